// Decides whether an entry has evidence that its configuration and view are the newest. The decision remains
// possible while the log is unavailable.
#pragma once

#include "turmericwell/millis.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace turmericwell {

struct CurrencyOptions
{
    Millis freshness = {3'000};
    // A connected peer that sends nothing for this long is considered unreachable.
    Millis peerTimeout = {2'000};
    // An agent that sends nothing for this long while the log is readable is removed from the known agents
    // and no longer counts in the majority.
    Millis agentExpiry = {60'000};
    // A longer time between two ticks means that this process was paused.
    Millis pauseThreshold = {1'000};
    // Heartbeats that arrive within this time after a pause may have been in a socket buffer during it.
    Millis bufferedInputWindow = {1'000};
};

// The streams that an entry must have read to the tail.
enum class GuardedStream : uint8_t { Config, Roster };

// Newest versions that a process knows of.
struct KnownVersions
{
    uint64_t config = 0;
    uint64_t view = 0;
};

// An entry is current if it read the tail of both streams within the freshness bound. While its reads fail,
// it is current if it had contact with more than half of the known agents and with all reachable peers within
// the bound, and none of them knows a newer version. Agents are removed from the known agents only while the
// log is readable; otherwise an entry that is disconnected from most agents would take the remaining ones for
// the majority. Not thread-safe.
class CurrencyGuard
{
public:
    explicit CurrencyGuard(CurrencyOptions options);

    // Versions that are in force at this entry.
    void setOwn(const KnownVersions &own) { m_own = own; }
    // Must be called at regular intervals, much shorter than `CurrencyOptions::pauseThreshold`. Detects a
    // pause of this process and removes unresponsive agents.
    void tick(Millis now);
    // Records a read that reached the tail of the stream. `sentAt` is the time at which the request was sent.
    void recordLogRead(GuardedStream stream, Millis sentAt);
    void recordLogFailure(GuardedStream stream);
    void recordAgentContact(const std::string &agent, const KnownVersions &versions, Millis now);
    // Removes an agent that has left permanently from the known agents.
    void agentRemoved(const std::string &agent);
    void recordPeerContact(const std::string &peer, const KnownVersions &versions, Millis now);
    void peerRemoved(const std::string &peer);

    bool isCurrent(Millis now) const;
    // Age of the evidence of currency; exceeds the freshness bound if the entry is not current.
    Millis evidenceAge(Millis now) const;
    bool isLogReadable() const { return m_streams[0].readable && m_streams[1].readable; }
    std::vector<std::string> knownAgents() const;
    // An agent or peer knows a newer version than this entry.
    bool isBehind() const;

private:
    struct Contact
    {
        KnownVersions versions;
        Millis at = {INT64_MIN / 4};
    };

    struct Stream
    {
        Millis readAt = {INT64_MIN / 4};
        bool readable = false;
    };

    void detectPause(Millis now);
    bool mayBeBuffered(Millis now) const { return now - m_resumedAt < m_options.bufferedInputWindow; }
    // Latest time at or after which a majority of the agents and every reachable peer were in contact.
    Millis contactTime(Millis now) const;

    CurrencyOptions m_options;
    KnownVersions m_own;
    std::array<Stream, 2> m_streams;
    Millis m_lastActiveAt = {INT64_MIN / 4};
    Millis m_resumedAt = {INT64_MIN / 4};
    std::map<std::string, Contact> m_agents;
    std::map<std::string, Contact> m_peers;
};

} // namespace turmericwell
