// Checks names and references across declaration files.
#include "config/declarationchecks.h"

#include <algorithm>
#include <cctype>

namespace turmericwell {

namespace {

std::string elementPath(std::string_view list, size_t index, std::string_view key = "")
{
    const std::string element = std::string(list) + "[" + std::to_string(index) + "]";
    return key.empty() ? element : element + "." + std::string(key);
}

std::string quoted(std::string_view text)
{
    return "\"" + std::string(text) + "\"";
}

bool isNameCharacter(char c)
{
    return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '.' || c == '_' || c == '-';
}

// The characters of names are restricted, since names are used in URLs, metric labels and command lines.
void checkName(const std::string &file, const std::string &path, std::string_view name, Problems &problems)
{
    if (!std::all_of(name.begin(), name.end(), isNameCharacter))
        problems.push_back({.file = file,
                            .key = path,
                            .reason = quoted(name) + " may contain letters, digits, '.', '_' and '-' only"});
}

// Appends the items of one file to the merged items. `places` maps each name to its first declaration.
template <typename Item>
void mergeItems(const std::string &file, std::string_view list, const std::vector<Item> &items,
                std::vector<Item> &merged, std::map<std::string, std::string, std::less<>> &places,
                Problems &problems)
{
    for (size_t i = 0; i < items.size(); ++i) {
        const std::string path = elementPath(list, i);
        checkName(file, path + ".name", items[i].name, problems);
        const auto [place, isNew] = places.emplace(std::string(list).append("/").append(items[i].name),
                                                   std::string(file).append(": ").append(path));
        if (!isNew && !items[i].name.empty())
            problems.push_back(
                {.file = file,
                 .key = path + ".name",
                 .reason = quoted(items[i].name) + " is declared twice, first at " + place->second});
        merged.push_back(items[i]);
    }
}

// Checks the references of one file against the declarations of all files.
class ReferenceChecker
{
public:
    ReferenceChecker(const ParsedFile &file, const Declarations &all, Problems &problems)
        : m_file(file)
        , m_all(all)
        , m_problems(problems)
    { }

    void check()
    {
        const Declarations &own = m_file.declarations;
        for (size_t i = 0; i < own.zones.size(); ++i)
            checkZone(own.zones[i], i);
        for (size_t i = 0; i < own.services.size(); ++i)
            checkService(own.services[i], i);
        for (size_t i = 0; i < own.targetGroups.size(); ++i)
            checkTargetGroup(own.targetGroups[i], i);
        for (size_t i = 0; i < own.jobClasses.size(); ++i)
            checkJobClass(own.jobClasses[i], i);
    }

private:
    void problem(const std::string &path, std::string reason)
    {
        m_problems.push_back({.file = m_file.name, .key = path, .reason = std::move(reason)});
    }

    void checkZoneName(const std::string &path, const std::string &name)
    {
        if (!m_all.findZone(name))
            problem(path, "availability zone " + quoted(name) + " is not declared");
    }

    // Does not report an empty name, since JsonReader has already reported it.
    const ServiceDeclaration *checkServiceName(const std::string &path, const std::string &name)
    {
        const ServiceDeclaration *service = m_all.findService(name);
        if (!service && !name.empty())
            problem(path, "service " + quoted(name) + " is not declared");
        return service;
    }

    void checkZone(const ZoneDeclaration &zone, size_t index)
    {
        for (const auto &[name, latency] : zone.latencyMs) {
            const std::string path = elementPath("zones", index, "latencyMs." + name);
            checkZoneName(path, name);
            if (name == zone.name)
                problem(path, "names the availability zone itself");
            constexpr double longestLatency = 10'000;
            if (latency > longestLatency)
                problem(path, "must be between 0 and 10000 (ms)");
        }
    }

    void checkService(const ServiceDeclaration &service, size_t index)
    {
        if (service.calls.empty())
            problem(elementPath("services", index, "calls"), "must have at least one call");
        for (size_t i = 0; i < service.calls.size(); ++i) {
            const CallDeclaration &call = service.calls[i];
            const std::string path = elementPath("services", index) + "." + elementPath("calls", i);
            checkName(m_file.name, path + ".name", call.name, m_problems);
            if (!call.name.empty() && service.findCall(call.name) != &call)
                problem(path + ".name", quoted(call.name) + " is declared twice in this service");
            if (static_cast<int64_t>(call.runMs) > call.deadline.count)
                problem(path + ".runMs",
                        "must not be above deadlineMs (" + std::to_string(call.deadline.count) + ")");
        }
    }

    void checkTargetGroup(const TargetGroupDeclaration &group, size_t index)
    {
        checkServiceName(elementPath("targetGroups", index, "service"), group.service);
        for (size_t i = 0; i < group.zones.size(); ++i)
            checkZoneName(elementPath("targetGroups", index) + ".selector." + elementPath("zones", i),
                          group.zones[i]);
    }

    void checkJobClass(const JobClassDeclaration &jobClass, size_t index)
    {
        const ServiceDeclaration *service =
            checkServiceName(elementPath("jobClasses", index, "service"), jobClass.service);
        if (service && !jobClass.call.empty() && !service->findCall(jobClass.call))
            problem(elementPath("jobClasses", index, "call"),
                    "service " + quoted(jobClass.service) + " has no call " + quoted(jobClass.call));
    }

    const ParsedFile &m_file;
    const Declarations &m_all;
    Problems &m_problems;
};

} // namespace

Declarations mergeDeclarations(std::span<const ParsedFile> files, Problems &problems)
{
    Declarations merged;
    std::map<std::string, std::string, std::less<>> places;
    for (const ParsedFile &file : files) {
        const Declarations &own = file.declarations;
        mergeItems(file.name, "zones", own.zones, merged.zones, places, problems);
        mergeItems(file.name, "services", own.services, merged.services, places, problems);
        mergeItems(file.name, "teams", own.teams, merged.teams, places, problems);
        mergeItems(file.name, "targetGroups", own.targetGroups, merged.targetGroups, places, problems);
        mergeItems(file.name, "jobClasses", own.jobClasses, merged.jobClasses, places, problems);
    }
    for (const ParsedFile &file : files)
        ReferenceChecker(file, merged, problems).check();
    return merged;
}

} // namespace turmericwell
