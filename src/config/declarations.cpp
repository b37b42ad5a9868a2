// Lookup, parsing and canonical JSON serialization of declarations.
#include "config/declarations.h"

#include "config/declarationchecks.h"

#include <algorithm>
#include <array>

namespace turmericwell {

namespace json = boost::json;

static constexpr std::array<std::string_view, 2> servingStateNames = {"in_service", "withdrawn"};

template <typename Item>
static const Item *findByName(const std::vector<Item> &items, std::string_view name)
{
    const auto found =
        std::find_if(items.begin(), items.end(), [&](const Item &item) { return item.name == name; });
    return found == items.end() ? nullptr : &*found;
}

const CallDeclaration *ServiceDeclaration::findCall(std::string_view callName) const
{
    return findByName(calls, callName);
}

const ZoneDeclaration *Declarations::findZone(std::string_view name) const
{
    return findByName(zones, name);
}

const ServiceDeclaration *Declarations::findService(std::string_view name) const
{
    return findByName(services, name);
}

const TeamDeclaration *Declarations::findTeam(std::string_view name) const
{
    return findByName(teams, name);
}

const JobClassDeclaration *Declarations::findJobClass(std::string_view name) const
{
    return findByName(jobClasses, name);
}

bool Declarations::isZoneWithdrawn(std::string_view name) const
{
    const ZoneDeclaration *zone = findZone(name);
    return zone && zone->state == ServingState::Withdrawn;
}

bool Declarations::isTargetWithdrawn(const TargetInfo &target) const
{
    return std::any_of(targetGroups.begin(), targetGroups.end(), [&](const TargetGroupDeclaration &group) {
        return group.state == ServingState::Withdrawn && group.matches(target);
    });
}

static bool selects(const std::vector<std::string> &names, const std::string &name)
{
    return names.empty() || std::find(names.begin(), names.end(), name) != names.end();
}

bool TargetGroupDeclaration::matches(const TargetInfo &target) const
{
    return service == target.service && selects(zones, target.zone) && selects(racks, target.rack)
        && selects(targets, target.name);
}

static ServingState readState(JsonReader &reader)
{
    return reader.word("state", servingStateNames[0], servingStateNames) == servingStateNames[1]
        ? ServingState::Withdrawn
        : ServingState::InService;
}

static uint32_t readCount(JsonReader &reader, std::string_view key, uint32_t defaultValue, IntegerRange range)
{
    return static_cast<uint32_t>(reader.integer(key, defaultValue, range));
}

static TaskNeeds readNeeds(JsonReader &parent)
{
    TaskNeeds needs;
    for (JsonReader &reader : parent.object("needs")) {
        needs.cores = readCount(reader, "cores", 0, {.least = 0, .most = 4'096});
        needs.memoryGb = readCount(reader, "memoryGb", 0, {.least = 0, .most = 65'536});
        needs.accelerators = readCount(reader, "accelerators", 0, {.least = 0, .most = 1'024});
        reader.finish();
    }
    return needs;
}

static constexpr IntegerRange deadlineRange = {.least = 1, .most = 3'600'000};

static CallDeclaration readCall(JsonReader &reader)
{
    CallDeclaration call;
    call.name = reader.requiredText("name");
    call.repeatable = reader.boolean("repeatable", false);
    call.maxStarts = readCount(reader, "maxStarts", 1, {.least = 1, .most = 10});
    call.deadline = reader.millis("deadlineMs", call.deadline, deadlineRange);
    call.runMs = readCount(reader, "runMs", 0, {.least = 0, .most = 3'600'000});
    call.needs = readNeeds(reader);
    if (call.maxStarts > 1 && !call.repeatable)
        reader.problem("maxStarts", "must be 1 for a call that is not repeatable");
    reader.finish();
    return call;
}

static ServiceDeclaration readService(JsonReader &reader)
{
    ServiceDeclaration service;
    service.name = reader.requiredText("name");
    for (JsonReader &call : reader.objects("calls"))
        service.calls.push_back(readCall(call));
    service.maxRunning = readCount(reader, "maxRunning", 0, {});
    service.maxQueued = readCount(reader, "maxQueued", 0, {});
    reader.finish();
    return service;
}

static ZoneDeclaration readZone(JsonReader &reader)
{
    ZoneDeclaration zone;
    zone.name = reader.requiredText("name");
    zone.region = reader.text("region", "");
    zone.state = readState(reader);
    for (const auto &[name, latency] : reader.numberMap("latencyMs"))
        zone.latencyMs[name] = latency;
    reader.finish();
    return zone;
}

static TeamDeclaration readTeam(JsonReader &reader)
{
    TeamDeclaration team;
    team.name = reader.requiredText("name");
    team.weight = readCount(reader, "weight", 1, {.least = 1, .most = 1'000});
    team.startsPerSecond = readCount(reader, "startsPerSecond", 0, {});
    team.maxRunning = readCount(reader, "maxRunning", 0, {});
    reader.finish();
    return team;
}

static TargetGroupDeclaration readTargetGroup(JsonReader &reader)
{
    TargetGroupDeclaration group;
    group.name = reader.requiredText("name");
    group.service = reader.requiredText("service");
    for (JsonReader &selector : reader.object("selector")) {
        group.zones = selector.texts("zones");
        group.racks = selector.texts("racks");
        group.targets = selector.texts("targets");
        selector.finish();
    }
    group.state = readState(reader);
    reader.finish();
    return group;
}

static JobClassDeclaration readJobClass(JsonReader &reader)
{
    JobClassDeclaration jobClass;
    jobClass.name = reader.requiredText("name");
    jobClass.service = reader.requiredText("service");
    jobClass.call = reader.requiredText("call");
    jobClass.maxTasks = readCount(reader, "maxTasks", jobClass.maxTasks, {.least = 1, .most = 10'000});
    jobClass.deadline = reader.millis("deadlineMs", jobClass.deadline, deadlineRange);
    jobClass.needs = readNeeds(reader);
    reader.finish();
    return jobClass;
}

template <typename Item, typename Read>
static void readItems(JsonReader &file, std::string_view key, std::vector<Item> &items, Read read)
{
    for (JsonReader &reader : file.objects(key))
        items.push_back(read(reader));
}

static void readFile(JsonReader &reader, Declarations &result)
{
    readItems(reader, "zones", result.zones, readZone);
    readItems(reader, "services", result.services, readService);
    readItems(reader, "teams", result.teams, readTeam);
    readItems(reader, "targetGroups", result.targetGroups, readTargetGroup);
    readItems(reader, "jobClasses", result.jobClasses, readJobClass);
    reader.finish();
}

Declarations parseDeclarations(std::span<const DeclarationFile> files, Problems &problems)
{
    std::vector<ParsedFile> parsed;
    for (const DeclarationFile &file : files) {
        const size_t before = problems.size();
        const json::value value = parseJsonText(file.name, file.text, problems);
        if (problems.size() > before)
            continue;
        JsonReader reader(file.name, "", value, problems);
        parsed.push_back({.name = file.name, .declarations = {}});
        readFile(reader, parsed.back().declarations);
    }
    return mergeDeclarations(parsed, problems);
}

Declarations declarationsFromJson(const json::value &value, Problems &problems)
{
    Declarations result;
    JsonReader reader("(record)", "", value, problems);
    readFile(reader, result);
    return result;
}

static json::string_view stateName(ServingState state)
{
    return servingStateNames[state == ServingState::Withdrawn ? 1 : 0];
}

static json::array toJson(const std::vector<std::string> &names)
{
    return json::array(names.begin(), names.end());
}

static json::object toJson(const TaskNeeds &needs)
{
    return {{"accelerators", needs.accelerators}, {"cores", needs.cores}, {"memoryGb", needs.memoryGb}};
}

static json::object toJson(const ZoneDeclaration &zone)
{
    json::object latency;
    for (const auto &[name, value] : zone.latencyMs)
        latency[name] = value;
    return {{"latencyMs", latency},
            {"name", zone.name},
            {"region", zone.region},
            {"state", stateName(zone.state)}};
}

static json::object toJson(const CallDeclaration &call)
{
    return {{"deadlineMs", call.deadline.count}, {"maxStarts", call.maxStarts},   {"name", call.name},
            {"needs", toJson(call.needs)},       {"repeatable", call.repeatable}, {"runMs", call.runMs}};
}

template <typename Item>
static json::array sortedByName(std::vector<Item> items)
{
    std::sort(items.begin(), items.end(), [](const Item &a, const Item &b) { return a.name < b.name; });
    json::array result;
    for (const Item &item : items)
        result.push_back(toJson(item));
    return result;
}

static json::object toJson(const ServiceDeclaration &service)
{
    return {{"calls", sortedByName(service.calls)},
            {"maxQueued", service.maxQueued},
            {"maxRunning", service.maxRunning},
            {"name", service.name}};
}

static json::object toJson(const TeamDeclaration &team)
{
    return {{"maxRunning", team.maxRunning},
            {"name", team.name},
            {"startsPerSecond", team.startsPerSecond},
            {"weight", team.weight}};
}

static json::object toJson(const TargetGroupDeclaration &group)
{
    return {{"name", group.name},
            {"selector",
             json::object{{"racks", toJson(group.racks)},
                          {"targets", toJson(group.targets)},
                          {"zones", toJson(group.zones)}}},
            {"service", group.service},
            {"state", stateName(group.state)}};
}

static json::object toJson(const JobClassDeclaration &jobClass)
{
    return {{"call", jobClass.call}, {"deadlineMs", jobClass.deadline.count}, {"maxTasks", jobClass.maxTasks},
            {"name", jobClass.name}, {"needs", toJson(jobClass.needs)},       {"service", jobClass.service}};
}

json::value toJson(const Declarations &declarations)
{
    return json::object{{"jobClasses", sortedByName(declarations.jobClasses)},
                        {"services", sortedByName(declarations.services)},
                        {"targetGroups", sortedByName(declarations.targetGroups)},
                        {"teams", sortedByName(declarations.teams)},
                        {"zones", sortedByName(declarations.zones)}};
}

} // namespace turmericwell
