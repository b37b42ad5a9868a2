// Strict parsing of settings. Unknown keys are reported as problems, because the file comes from a template
// of this project that the platform fills in, so an unknown key is a mistake.
#include "fleet/fleetsettings.h"

#include "net/settingsreader.h"

#include <array>

namespace turmericwell {

constexpr double mostFarFactor = 100;
constexpr double leastShareWeight = 0.001;
constexpr double mostShareWeight = 1'000;

static FleetSettings readCommon(JsonReader &reader)
{
    constexpr int64_t mostPartitions = 1'024;
    FleetSettings settings;
    settings.name = reader.requiredText("name");
    settings.zone = reader.requiredText("zone");
    settings.store = readAddress(reader, "store");
    settings.peerListen = readAddress(reader, "peerListen");
    settings.peerAddress =
        reader.has("peerAddress") ? readAddress(reader, "peerAddress") : settings.peerListen;
    settings.metricsListen = readAddress(reader, "metricsListen");
    settings.partitions =
        static_cast<uint32_t>(reader.integer("partitions", 8, {.least = 1, .most = mostPartitions}));
    settings.leastMemberTtl = reader.millis("leastMemberTtlMs", {1'000}, {.least = 100, .most = 60'000});
    settings.workerLease = reader.millis("workerLeaseMs", {1'000}, {.least = 100, .most = 60'000});
    settings.stopGrace = reader.millis("stopGraceMs", {6'000}, {.least = 500, .most = 600'000});
    settings.logLinesPerSecond =
        static_cast<uint32_t>(reader.integer("logLinesPerSecond", 800, {.least = 10, .most = 1'000'000}));
    settings.learnWorkerSpeeds = reader.boolean("learnWorkerSpeeds", false);
    settings.input = readInputLimits(reader);
    return settings;
}

static LongRunPolicy readLongRunPolicy(JsonReader &reader)
{
    constexpr std::array<std::string_view, 2> names = {"by-ratio", "by-evidence"};
    const std::string name = reader.word("moveLongRuns", names[0], names);
    return parseLongRunPolicy(name).value_or(LongRunPolicy());
}

// Weights of 0 would starve a queue or zone.
static std::map<std::string, double, std::less<>> readWeights(JsonReader &reader, std::string_view key)
{
    std::map<std::string, double, std::less<>> weights;
    for (const auto &[name, weight] : reader.numberMap(key)) {
        if (weight <= 0 || weight > mostShareWeight)
            reader.problem(std::string(key) + "." + name, "a weight must be above 0 and at most 1000");
        else
            weights[name] = weight;
    }
    return weights;
}

static SharesSettings readShares(JsonReader &reader)
{
    SharesSettings shares;
    shares.defaultWeight = reader.number("default", 1, leastShareWeight, mostShareWeight);
    shares.queues = readWeights(reader, "queues");
    shares.zones = readWeights(reader, "zones");
    double guaranteed = 0;
    for (const auto &[name, part] : reader.numberMap("guaranteed")) {
        shares.guaranteed[name] = part;
        guaranteed += part;
    }
    if (guaranteed > 1)
        reader.problem("guaranteed", "the guaranteed shares add up to more than 1");
    for (const auto &[name, weight] : reader.numberMap("accounts"))
        reader.problem("accounts." + name, "is not a known account: calls name no client account");
    if (reader.boolean("preempt", false))
        reader.problem("preempt", "preemption is not supported");
    reader.finish();
    return shares;
}

FleetSettings parseFleetEntrySettings(const std::string &file, std::string_view text, Problems &problems)
{
    const boost::json::value value = parseJsonText(file, text, problems);
    if (!problems.empty())
        return {};
    JsonReader reader(file, "", value, problems);
    FleetSettings settings = readCommon(reader);
    settings.clientListen = readAddress(reader, "clientListen");
    settings.readyListen = readAddress(reader, "readyListen");
    settings.processorShare = reader.number("processorShare", settings.processorShare, 0.001, 1'024);
    settings.processorSpeed = reader.number("processorSpeed", settings.processorSpeed, 0.01, 1'024);
    settings.admissionSlackPercent = static_cast<uint32_t>(
        reader.integer("admissionSlackPercent", settings.admissionSlackPercent, {.least = 1, .most = 1'000}));
    settings.moveLongRuns = readLongRunPolicy(reader);
    settings.urgentSlackPercent = static_cast<uint32_t>(
        reader.integer("urgentSlackPercent", settings.urgentSlackPercent, {.least = 0, .most = 1'000}));
    settings.placementWait = reader.boolean("placementWait", settings.placementWait);
    settings.farFactor = reader.number("farFactor", settings.farFactor, 1, mostFarFactor);
    settings.servesUntilTaken = reader.boolean("serveUntilTaken", settings.servesUntilTaken);
    constexpr std::array<std::string_view, 2> admissionNames = {"slack", "forecast"};
    for (JsonReader &shares : reader.object("shares"))
        settings.shares = readShares(shares);
    settings.admission = *parseAdmissionPolicy(reader.word("admission", "slack", admissionNames));
    settings.joinsKnownFleetAtOnce = reader.boolean("joinKnownFleetAtOnce", settings.joinsKnownFleetAtOnce);
    reader.finish();
    return settings;
}

FleetSettings parseFleetAgentSettings(const std::string &file, std::string_view text, Problems &problems)
{
    const boost::json::value value = parseJsonText(file, text, problems);
    if (!problems.empty())
        return {};
    JsonReader reader(file, "", value, problems);
    FleetSettings settings = readCommon(reader);
    settings.controlListen = readAddress(reader, "controlListen");
    settings.worker = readAddress(reader, "worker");
    settings.queueAllowancePercent = static_cast<uint32_t>(
        reader.integer("queueAllowancePercent", settings.queueAllowancePercent, {.least = 0, .most = 100}));
    settings.leaveWithoutWorker = reader.millis("leaveWithoutWorkerMs", {0}, {.least = 0, .most = 600'000});
    reader.finish();
    return settings;
}

} // namespace turmericwell
