// Decides whether an entry can tell that its configuration and view are the newest, also while the log is
// down.
#pragma once

#include "turmericwell/millis.h"

#include <cstdint>
#include <map>
#include <string>

namespace turmericwell {

struct CurrencyOptions
{
    Millis freshness = {3'000};
};

// Versions that a process has heard of.
struct KnownVersions
{
    uint64_t config = 0;
    uint64_t view = 0;
};

// An entry is current if it read the log's tail within the freshness bound. While its reads fail, it is
// current if more than half of the known agents and all connected peers were heard within the bound and none
// knows a newer version. Not thread-safe.
class CurrencyGuard
{
public:
    explicit CurrencyGuard(CurrencyOptions options);

    // The versions that this entry has in force.
    void setOwn(const KnownVersions &own) { m_own = own; }
    // A read that reached the tail of the log was sent at this time.
    void logRead(Millis sentAt);
    void logFailed(Millis now);
    void agentHeard(const std::string &agent, const KnownVersions &versions, Millis now);
    // The agent has left for good, so it no longer counts among the known agents.
    void agentRemoved(const std::string &agent);
    void peerHeard(const std::string &peer, const KnownVersions &versions, Millis now);
    void peerRemoved(const std::string &peer);

    bool isCurrent(Millis now) const;
    // Age of the evidence; at least the freshness bound if the entry is not current.
    Millis evidenceAge(Millis now) const;
    bool isLogReadable() const { return m_logReadable; }
    // Someone knows a newer version than this entry.
    bool isBehind() const;

private:
    struct Heard
    {
        KnownVersions versions;
        Millis at;
    };

    // Time up to which a majority of the agents vouches for the own versions.
    Millis majorityTime() const;

    CurrencyOptions m_options;
    KnownVersions m_own;
    Millis m_logReadAt = {INT64_MIN / 4};
    bool m_logReadable = false;
    std::map<std::string, Heard> m_agents;
    std::map<std::string, Heard> m_peers;
};

} // namespace turmericwell
