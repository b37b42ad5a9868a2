// Parsing of agent settings.
#include "agentd/agentsettings.h"

#include "net/settingsreader.h"

namespace turmericwell {

AgentSettings parseAgentSettings(const std::string &file, std::string_view text, Problems &problems)
{
    AgentSettings settings;
    const boost::json::value value = parseJsonText(file, text, problems);
    if (value.is_null())
        return settings;
    JsonReader reader(file, "", value, problems);
    settings.name = reader.requiredText("name");
    settings.zone = reader.requiredText("zone");
    settings.rack = reader.text("rack", "");
    settings.worker = reader.text("worker", settings.name);
    settings.listen = readAddress(reader, "listen");
    settings.entries = readAddresses(reader, "entries");
    settings.pingInterval =
        reader.millis("pingIntervalMs", settings.pingInterval, {.least = 10, .most = 10'000});
    settings.stopTimeout = reader.millis("stopMs", settings.stopTimeout, {.least = 0, .most = 600'000});
    AgentOptions &core = settings.core;
    core.freshness = reader.millis("freshnessMs", core.freshness, {.least = 100, .most = 60'000});
    core.targetLease = reader.millis("targetLeaseMs", core.targetLease, {.least = 100, .most = 60'000});
    core.dedupWindow = reader.millis("dedupWindowMs", core.dedupWindow, {.least = 1'000, .most = 86'400'000});
    core.returnRamp = reader.millis("returnRampMs", core.returnRamp, {.least = 0, .most = 60'000});
    core.maxQueued =
        static_cast<uint32_t>(reader.integer("agentQueue", core.maxQueued, {.least = 0, .most = 10'000}));
    reader.finish();
    return settings;
}

} // namespace turmericwell
