// Subcommand show: what is in force, and which instances are behind and why.
#include "cli/options.h"
#include "net/http.h"

#include <iomanip>
#include <iostream>
#include <map>

namespace turmericwell {

namespace json = boost::json;
namespace options = boost::program_options;

namespace {

struct Instance
{
    std::string role;
    std::string name;
    std::string zone;
    std::optional<uint64_t> version;
    // Empty if nothing is wrong.
    std::string why;
};

std::string textAt(const json::object &object, std::string_view key)
{
    const json::value *value = object.if_contains(key);
    return value && value->is_string() ? std::string(std::string_view(value->get_string())) : std::string();
}

uint64_t countAt(const json::object &object, std::string_view key)
{
    const json::value *value = object.if_contains(key);
    boost::system::error_code error;
    return value && value->is_number() ? value->to_number<uint64_t>(error) : 0;
}

bool flagAt(const json::object &object, std::string_view key)
{
    const json::value *value = object.if_contains(key);
    return value && value->is_bool() && value->get_bool();
}

const json::array &listAt(const json::object &object, std::string_view key)
{
    static const json::array empty;
    const json::value *value = object.if_contains(key);
    return value && value->is_array() ? value->get_array() : empty;
}

// Merges the reports of all entries that answered.
class ShowReport
{
public:
    void addEntry(const json::object &shown);
    void addFailure(const std::string &address, const std::string &error);
    // Fills in why an instance is behind. Call once, after the last report.
    void finish();
    void print(std::string_view format) const;
    bool isComplete() const { return m_failures.empty(); }

private:
    void addAgent(const json::object &agent);
    json::object toJson() const;

    std::map<std::string, Instance> m_entries;
    std::map<std::string, Instance> m_agents;
    std::map<std::string, std::string> m_failures;
    uint64_t m_newest = 0;
    json::object m_newestReport;
};

void ShowReport::addEntry(const json::object &shown)
{
    const uint64_t version = countAt(shown, "version");
    if (version >= m_newest || m_newestReport.empty()) {
        m_newest = version;
        m_newestReport = shown;
    }
    Instance &own = m_entries[textAt(shown, "entry")];
    own = {
        .role = "entry", .name = textAt(shown, "entry"), .zone = textAt(shown, "zone"), .version = version};
    if (!flagAt(shown, "logReadable"))
        own.why = "the log cannot be read";
    else if (!flagAt(shown, "positionKnown"))
        own.why = "records expired before they were read; waits for a snapshot";
    if (!flagAt(shown, "current"))
        own.why += std::string(own.why.empty() ? "" : "; ") + "not current, starts nothing";
    for (const json::value &member : listAt(shown, "entries")) {
        const json::object &entry = member.as_object();
        Instance instance{.role = "entry", .name = textAt(entry, "entry"), .zone = textAt(entry, "zone")};
        if (entry.contains("version"))
            instance.version = countAt(entry, "version");
        else
            instance.why = "not asked and not heard by " + own.name;
        m_entries.emplace(instance.name, instance);
    }
    for (const json::value &agent : listAt(shown, "agentVersions"))
        addAgent(agent.as_object());
}

// Entries hear from an agent at different times; the newest version is the one in force there.
void ShowReport::addAgent(const json::object &agent)
{
    const std::string name = textAt(agent, "agent");
    Instance &known = m_agents[name];
    const uint64_t version = countAt(agent, "version");
    if (known.version && *known.version >= version)
        return;
    known = {.role = "agent", .name = name, .zone = textAt(agent, "zone"), .version = version};
    if (flagAt(agent, "leaving"))
        known.why = "the target is leaving or not announced";
}

void ShowReport::addFailure(const std::string &address, const std::string &error)
{
    m_failures[address] = error;
}

void ShowReport::finish()
{
    for (auto *instances : {&m_entries, &m_agents}) {
        for (auto &[name, instance] : *instances) {
            if (!instance.version || *instance.version >= m_newest)
                continue;
            const std::string cause = instance.why.empty()
                ? (instance.role == "agent" ? "no entry has sent its part yet"
                                            : "has not read the change yet")
                : instance.why;
            instance.why = "behind by " + std::to_string(m_newest - *instance.version) + ": " + cause;
        }
    }
}

json::object ShowReport::toJson() const
{
    json::array instances;
    for (const auto *list : {&m_entries, &m_agents}) {
        for (const auto &[name, instance] : *list) {
            json::object object{{"role", instance.role}, {"name", name}, {"zone", instance.zone}};
            if (instance.version) {
                object["version"] = *instance.version;
                object["behind"] = m_newest - *instance.version;
            }
            object["why"] = instance.why;
            instances.push_back(std::move(object));
        }
    }
    json::object failures;
    for (const auto &[address, error] : m_failures)
        failures[address] = error;
    const json::value *declarations = m_newestReport.if_contains("declarations");
    return {{"version", m_newest},
            {"changeId", textAt(m_newestReport, "changeId")},
            {"author", textAt(m_newestReport, "author")},
            {"instances", std::move(instances)},
            {"notReached", std::move(failures)},
            {"declarations", declarations ? *declarations : json::value()}};
}

void printInstances(const std::map<std::string, Instance> &instances)
{
    for (const auto &[name, instance] : instances)
        std::cout << "  " << std::left << std::setw(6) << instance.role << std::setw(26) << name
                  << std::setw(16) << instance.zone << "version " << std::setw(8)
                  << (instance.version ? std::to_string(*instance.version) : "-")
                  << (instance.why.empty() ? "ok" : instance.why) << '\n';
}

void printDeclarations(const json::value &declarations)
{
    for (const auto &[list, items] : declarations.as_object()) {
        std::cout << list << ":\n";
        for (const json::value &item : items.as_array())
            std::cout << "  " << json::serialize(item) << '\n';
    }
}

void ShowReport::print(std::string_view format) const
{
    if (format == "json") {
        std::cout << json::serialize(toJson()) << '\n';
        return;
    }
    if (m_newest == 0)
        std::cout << "no version is in force yet\n";
    else
        std::cout << "version " << m_newest << " is in force, made by " << textAt(m_newestReport, "author")
                  << " (change " << textAt(m_newestReport, "changeId") << ")\n";
    std::cout << "instances:\n";
    printInstances(m_entries);
    printInstances(m_agents);
    for (const auto &[address, error] : m_failures)
        std::cout << "  " << address << " was not reached: " << error << '\n';
    if (const json::value *declarations = m_newestReport.if_contains("declarations"))
        printDeclarations(*declarations);
}

void ask(const std::string &text, const Address &address, ShowReport &report)
{
    constexpr Millis timeout = {3'000};
    IoContext io;
    HttpClient http(io, address);
    http.request({.method = "GET", .path = "/v1/show"}, timeout, [&](const HttpResult &result) {
        if (!result.response) {
            report.addFailure(text, result.error);
            return;
        }
        boost::system::error_code error;
        const json::value shown = json::parse(result.response->body, error);
        if (error || !shown.is_object() || result.response->status != 200)
            report.addFailure(text, "status " + std::to_string(result.response->status));
        else
            report.addEntry(shown.get_object());
    });
    io.run();
}

} // namespace

ExitCode showCommand(std::span<const std::string> arguments)
{
    std::vector<std::string> entries;
    std::string format;
    options::options_description description("options");
    description.add_options()("entry", options::value(&entries)->required()->composing(),
                              "IP address and port of an entry's HTTP interface; may be repeated")(
        "format", options::value(&format)->default_value("text"), "text or json");
    const CommandLine line = parseCommandLine(
        arguments, "show", description, "",
        "Exit codes: 0 all entries named answered, 1 one did not (the rest is printed), 2 bad usage.\n");
    if (line.exit)
        return *line.exit;
    std::vector<Address> addresses;
    for (const std::string &entry : entries) {
        if (const std::optional<Address> address = Address::parse(entry))
            addresses.push_back(*address);
    }
    if (addresses.size() != entries.size() || !isFormat(format)) {
        std::cerr << "turmericwell show: --entry must be IP:PORT, --format text or json\n";
        return ExitCode::BadUsage;
    }
    ShowReport report;
    for (size_t i = 0; i < entries.size(); ++i)
        ask(entries[i], addresses[i], report);
    report.finish();
    report.print(format);
    return report.isComplete() ? ExitCode::Done : ExitCode::Failure;
}

} // namespace turmericwell
