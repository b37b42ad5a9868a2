// Reads and checks entry settings.
#include "entry/entrysettings.h"

#include "net/settingsreader.h"
#include "routing/policy.h"

namespace turmericwell {

EntrySettings parseEntrySettings(const std::string &file, std::string_view text, Problems &problems)
{
    EntrySettings settings;
    const boost::json::value value = parseJsonText(file, text, problems);
    if (value.is_null())
        return settings;
    constexpr IntegerRange shortTime = {.least = 100, .most = 60'000};
    constexpr IntegerRange longTime = {.least = 1'000, .most = 86'400'000};
    JsonReader reader(file, "", value, problems);
    settings.name = reader.requiredText("name");
    settings.zone = reader.requiredText("zone");
    settings.listen = readAddress(reader, "listen");
    settings.linkListen = readAddress(reader, "linkListen");
    settings.linkAnnounced =
        reader.has("linkAnnounced") ? readAddress(reader, "linkAnnounced") : settings.linkListen;
    settings.log = readAddress(reader, "log");
    settings.peers = readAddresses(reader, "peers");
    settings.threads =
        static_cast<uint32_t>(reader.integer("threads", settings.threads, {.least = 1, .most = 64}));
    settings.freshness = reader.millis("freshnessMs", settings.freshness, shortTime);
    settings.logPollWait =
        reader.millis("logPollWaitMs", settings.logPollWait, {.least = 10, .most = 60'000});
    settings.peerTimeout = reader.millis("peerTimeoutMs", settings.peerTimeout, shortTime);
    settings.reconnect = reader.millis("reconnectMs", settings.reconnect, shortTime);
    settings.takeover = reader.millis("takeoverMs", settings.takeover, shortTime);
    settings.dedupWindow = reader.millis("dedupWindowMs", settings.dedupWindow, longTime);
    settings.tombstoneCapacity = static_cast<uint32_t>(
        reader.integer("tombstoneCapacity", settings.tombstoneCapacity, {.least = 16, .most = 100'000'000}));
    constexpr int64_t megabyte = 1 << 20;
    settings.answerBytes =
        static_cast<uint64_t>(reader.integer("answerMemoryMb", 32, {.least = 1, .most = 65'536}) * megabyte);
    settings.answerGrace = reader.millis("answerGraceMs", settings.answerGrace, shortTime);
    settings.logRetention = reader.millis("logRetentionMs", settings.logRetention, longTime);
    settings.maxQueued = static_cast<uint32_t>(
        reader.integer("maxQueued", settings.maxQueued, {.least = 1, .most = 10'000'000}));
    settings.policy = reader.word("policy", settings.policy, policyNames);
    settings.drain = reader.millis("drainMs", settings.drain, {.least = 0, .most = 60'000});
    settings.stopTimeout = reader.millis("stopMs", settings.stopTimeout, {.least = 0, .most = 600'000});
    settings.input = readInputLimits(reader, settings.input);
    if (settings.dedupWindow >= settings.logRetention)
        reader.problem("dedupWindowMs", "must be below logRetentionMs");
    if (settings.logPollWait >= settings.freshness)
        reader.problem("logPollWaitMs", "must be below freshnessMs");
    reader.finish();
    return settings;
}

} // namespace turmericwell
