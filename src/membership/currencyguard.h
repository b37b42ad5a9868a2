// Decides whether an entry can tell that its configuration and view are the newest, also while the log is
// down.
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
    // A connected peer that is silent for this long is out of reach.
    Millis peerTimeout = {2'000};
    // An agent that is silent for this long while the log can be read no longer counts in the majority.
    Millis forgetAgent = {60'000};
    // Time between two ticks after which this process must have been paused.
    Millis pause = {1'000};
    // Heartbeats that arrive this soon after a pause may have waited in a socket buffer.
    Millis drainAfterPause = {1'000};
};

// The two streams that an entry must know to their ends.
enum class GuardedStream : uint8_t { Config, Roster };

// Versions that a process has heard of.
struct KnownVersions
{
    uint64_t config = 0;
    uint64_t view = 0;
};

// An entry is current if it read the tail of both streams within the freshness bound. While its reads fail,
// it is current if more than half of the known agents and all peers within reach were heard within the bound
// and none knows a newer version. Agents are only forgotten while the log can be read: an entry that is cut
// off from almost all of them must not see the rest as all there are. Not thread-safe.
class CurrencyGuard
{
public:
    explicit CurrencyGuard(CurrencyOptions options);

    // The versions that this entry has in force.
    void setOwn(const KnownVersions &own) { m_own = own; }
    // Called often and at even intervals, to notice a pause of this process and agents that are gone.
    void tick(Millis now);
    // A read that reached the tail of the stream was sent at this time.
    void logRead(GuardedStream stream, Millis sentAt);
    void logFailed(GuardedStream stream);
    void agentHeard(const std::string &agent, const KnownVersions &versions, Millis now);
    // The agent has left for good, so it no longer counts among the known agents.
    void agentRemoved(const std::string &agent);
    void peerHeard(const std::string &peer, const KnownVersions &versions, Millis now);
    void peerRemoved(const std::string &peer);

    bool isCurrent(Millis now) const;
    // Age of the evidence; at least the freshness bound if the entry is not current.
    Millis evidenceAge(Millis now) const;
    bool isLogReadable() const { return m_streams[0].readable && m_streams[1].readable; }
    std::vector<std::string> knownAgents() const;
    // Someone knows a newer version than this entry.
    bool isBehind() const;

private:
    struct Heard
    {
        KnownVersions versions;
        Millis at = {INT64_MIN / 4};
    };

    struct Stream
    {
        Millis readAt = {INT64_MIN / 4};
        bool readable = false;
    };

    void notePause(Millis now);
    bool mayBeBuffered(Millis now) const { return now - m_resumedAt < m_options.drainAfterPause; }
    // Time up to which a majority of the agents and the peers within reach vouch for the own versions.
    Millis heardTime(Millis now) const;

    CurrencyOptions m_options;
    KnownVersions m_own;
    std::array<Stream, 2> m_streams;
    Millis m_seenAt = {INT64_MIN / 4};
    Millis m_resumedAt = {INT64_MIN / 4};
    std::map<std::string, Heard> m_agents;
    std::map<std::string, Heard> m_peers;
};

} // namespace turmericwell
