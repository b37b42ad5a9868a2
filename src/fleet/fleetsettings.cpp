// Strict parsing of settings. Unknown keys are reported as problems, because the file comes from a template
// of this project that the platform fills in, so an unknown key is a mistake.
#include "fleet/fleetsettings.h"

#include "net/settingsreader.h"

namespace turmericwell {

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
    return settings;
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
    settings.urgentSlackPercent = static_cast<uint32_t>(
        reader.integer("urgentSlackPercent", settings.urgentSlackPercent, {.least = 0, .most = 1'000}));
    settings.servesUntilTaken = reader.boolean("serveUntilTaken", settings.servesUntilTaken);
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
    reader.finish();
    return settings;
}

} // namespace turmericwell
