// Settings of an entry process.
#pragma once

#include "config/jsonreader.h"
#include "net/address.h"
#include "net/inputlimits.h"

#include <string>
#include <vector>

namespace turmericwell {

struct EntrySettings
{
    std::string name;
    std::string zone;
    // HTTP for callers and operators.
    Address listen;
    // Framed connections of agents and other entries.
    Address linkListen;
    // Address that other processes are told to dial, where it differs from linkListen (translation, proxy).
    Address linkAnnounced;
    Address log;
    // Framed addresses of other entries, for a start without the log.
    std::vector<Address> peers;
    uint32_t threads = 2;
    Millis freshness = {3'000};
    // Evidence of a read is up to two poll times old, and agents use it for another ping interval; together
    // they stay below the freshness bound.
    Millis logPollWait = {500};
    Millis peerTimeout = {2'000};
    Millis reconnect = {3'000};
    Millis takeover = {5'000};
    Millis dedupWindow = {600'000};
    uint32_t tombstoneCapacity = 1'000'000;
    // Bytes of answers kept for resubmissions.
    uint64_t answerBytes = 32ULL << 20;
    // Time after its deadline in which a sent task may still be answered.
    Millis answerGrace = {2'000};
    Millis logRetention = {3'600'000};
    uint32_t maxQueued = 10'000;
    // How targets are chosen; see policyNames.
    std::string policy = "credits";
    Millis drain = {1'000};
    Millis stopTimeout = {30'000};
    // Of the port for callers and operators. Jobs carry the payloads of all their tasks.
    InputLimits input = {.maxRequestBodyBytes = 4U << 20U};
};

EntrySettings parseEntrySettings(const std::string &file, std::string_view text, Problems &problems);

} // namespace turmericwell
