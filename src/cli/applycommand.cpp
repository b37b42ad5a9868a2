// Subcommand apply: publishes a directory of declarations as one change.
#include "cli/configlog.h"
#include "cli/options.h"
#include "config/declarationdiff.h"

#include <iostream>

namespace turmericwell {

namespace json = boost::json;
namespace options = boost::program_options;

namespace {

struct ApplyOptions
{
    std::string directory;
    std::string log;
    std::string author;
    std::optional<uint64_t> base;
    bool dryRun = false;
    int64_t timeoutMs = 0;
    std::string format;
};

// What became of the change. The word stands in the JSON output.
struct ApplyReport
{
    std::string word;
    // One sentence for the operator.
    std::string text;
    ExitCode exit = ExitCode::Failure;
};

class ApplySession
{
public:
    ApplySession(const ApplyOptions &options, const Address &address, Declarations declarations)
        : m_options(options)
        , m_log(address)
        , m_declarations(std::move(declarations))
        , m_until(Clock::now() + Millis{options.timeoutMs})
    { }

    ApplyReport run();
    void print(const ApplyReport &report) const;

private:
    ApplyReport publish();
    std::optional<ApplyReport> resolve();
    ApplyReport conflict();

    const ApplyOptions &m_options;
    ConfigLog m_log;
    Declarations m_declarations;
    Millis m_until;
    uint64_t m_base = 0;
    ChangeRecord m_change;
    std::vector<std::string> m_diff;
    // Accepted changes that came first.
    std::vector<AcceptedChange> m_first;
};

ApplyReport ApplySession::run()
{
    if (!m_log.readToEnd(m_until))
        return {.word = "not_applied",
                .text = "the log cannot be read (" + m_log.error() + "); nothing was applied"};
    const ConfigState &state = m_log.state();
    if (!state.isPositionKnown())
        return {.word = "not_applied",
                .text = "the log holds no usable snapshot, so the version in force is not known; nothing was "
                        "applied. Entries append a snapshot every quarter of the retention: try again"};
    m_base = m_options.base.value_or(state.version());
    m_change = makeChangeRecord(m_base, m_options.author, m_declarations);
    if (std::optional<ApplyReport> known = resolve())
        return *known;
    if (m_base > state.version())
        return {.word = "conflict",
                .text = "base version " + std::to_string(m_base) + " does not exist; version "
                    + std::to_string(state.version()) + " is in force; nothing was applied",
                .exit = ExitCode::Conflict};
    m_diff = diffDeclarations(state.current()->declarations, m_declarations);
    if (m_diff.empty())
        return {.word = "unchanged",
                .text =
                    "version " + std::to_string(m_base) + " already has these declarations; nothing to apply",
                .exit = ExitCode::Done};
    if (m_options.dryRun)
        return {.word = "dry_run",
                .text = "dry run on base version " + std::to_string(m_base) + "; nothing was applied",
                .exit = ExitCode::Done};
    return publish();
}

// The outcome as far as the records that were read decide it.
std::optional<ApplyReport> ApplySession::resolve()
{
    if (const std::optional<uint64_t> version = m_log.state().acceptedVersion(m_change.id)) {
        std::string text = "version " + std::to_string(*version) + " is in force";
        if (m_log.state().version() > *version)
            text = "the change was accepted as version " + std::to_string(*version) + "; version "
                + std::to_string(m_log.state().version()) + " by " + m_log.state().current()->author
                + " has replaced it";
        return ApplyReport{.word = "applied", .text = text, .exit = ExitCode::Done};
    }
    if (m_log.state().version() > m_base)
        return conflict();
    return std::nullopt;
}

// A change on an older version can never be accepted, even if its record appears later.
ApplyReport ApplySession::conflict()
{
    std::string text = "conflict: the change was made on version " + std::to_string(m_base) + ", but version "
        + std::to_string(m_log.state().version()) + " is in force; nothing was applied";
    for (const AcceptedChange &change : m_log.state().history()) {
        if (change.version <= m_base)
            continue;
        m_first.push_back(change);
        text += "\n" + change.author + " made version " + std::to_string(change.version) + " first (change "
            + change.id + ")";
        const ConfigPtr before = m_log.at(change.version - 1);
        const ConfigPtr after = m_log.at(change.version);
        if (!before || !after)
            continue;
        for (const std::string &line : diffDeclarations(before->declarations, after->declarations))
            text += "\n  " + line;
    }
    return {.word = "conflict", .text = text, .exit = ExitCode::Conflict};
}

ApplyReport ApplySession::publish()
{
    constexpr Millis retryDelay = {200};
    bool mayBeAppended = false;
    bool isAppended = false;
    while (true) {
        // The id makes it safe to append the same change again.
        if (!isAppended) {
            const AppendResult result = m_log.append(m_change.text, m_until);
            isAppended = result.status == AppendStatus::Done;
            mayBeAppended = mayBeAppended || result.status != AppendStatus::Refused;
            if (!mayBeAppended)
                return {.word = "not_applied",
                        .text =
                            "the log did not take the change (" + result.error + "); nothing was applied"};
        }
        if (m_log.readToEnd(m_until)) {
            if (std::optional<ApplyReport> report = resolve())
                return *report;
        }
        if (Clock::now() + retryDelay >= m_until)
            break;
        m_log.pause(retryDelay);
    }
    return {.word = "unknown",
            .text = "the outcome of change " + m_change.id + " is not known (" + m_log.error()
                + "). The same command with --base " + std::to_string(m_base)
                + " tells what became of it, or applies it once",
            .exit = ExitCode::OutcomeNotKnown};
}

void ApplySession::print(const ApplyReport &report) const
{
    if (m_options.format == "json") {
        json::array first;
        for (const AcceptedChange &change : m_first)
            first.push_back(json::object{
                {"version", change.version}, {"author", change.author}, {"changeId", change.id}});
        std::cout << json::serialize(json::object{{"outcome", report.word},
                                                  {"text", report.text},
                                                  {"base", m_base},
                                                  {"version", m_log.state().version()},
                                                  {"changeId", m_change.id},
                                                  {"changes", json::array(m_diff.begin(), m_diff.end())},
                                                  {"first", std::move(first)}})
                  << '\n';
        return;
    }
    if (!m_diff.empty())
        std::cout << "changes on base version " << m_base << ":\n";
    for (const std::string &line : m_diff)
        std::cout << "  " << line << '\n';
    (report.exit == ExitCode::Done ? std::cout : std::cerr) << report.text << '\n';
}

} // namespace

ExitCode applyCommand(std::span<const std::string> arguments)
{
    ApplyOptions apply;
    uint64_t base = 0;
    options::options_description description("options");
    description.add_options()("DIR", options::value(&apply.directory)->required(),
                              "directory of declaration files (*.json)")(
        "log", options::value(&apply.log)->required(), "IP address and port of the log service")(
        "author", options::value(&apply.author)->default_value("operator"), "who makes the change")(
        "base", options::value(&base), "apply only if this version is in force; default: the newest one")(
        "dry-run", options::bool_switch(&apply.dryRun), "show what would change and append nothing")(
        "timeout-ms", options::value(&apply.timeoutMs)->default_value(10'000),
        "time for reads, the append and the search for a lost answer, in ms")(
        "format", options::value(&apply.format)->default_value("text"), "text or json");
    const CommandLine line =
        parseCommandLine(arguments, "apply", description, "DIR",
                         "Exit codes: 0 in force or nothing to change, 1 nothing was applied, "
                         "2 bad usage,\n3 invalid declarations, 4 conflict, 5 outcome not "
                         "known (safe to repeat with --base).\n");
    if (line.exit)
        return *line.exit;
    const std::optional<Address> address = Address::parse(apply.log);
    if (!address || apply.timeoutMs < 1 || !isFormat(apply.format)) {
        std::cerr
            << "turmericwell apply: --log must be IP:PORT, --timeout-ms positive, --format text or json\n";
        return ExitCode::BadUsage;
    }
    if (line.values.contains("base"))
        apply.base = base;
    LoadedDeclarations loaded = loadDeclarations(apply.directory, apply.format);
    if (loaded.exit)
        return *loaded.exit;
    ApplySession session(apply, *address, std::move(loaded.declarations));
    const ApplyReport report = session.run();
    session.print(report);
    return report.exit;
}

} // namespace turmericwell
