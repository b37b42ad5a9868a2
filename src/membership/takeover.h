// State of the takeover of one dead entry.
#pragma once

#include "turmericwell/millis.h"
#include "turmericwell/task.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace turmericwell {

struct TakeoverOptions
{
    // The dead entry may still be alive but disconnected; in that case it stops by itself within this time.
    Millis freshness = {3'000};
    // Once a majority has replied, the takeover ends after this time even if replies or claims are missing.
    Millis takeover = {5'000};
    // Interval at which an agent is queried until it has replied and runs no more tasks of the dead entry.
    Millis queryInterval = {500};
};

enum class TakeoverState : uint8_t { Waiting, Complete, Incomplete };

// The dead entry's keys are not served until more than half of the known agents have fenced the dead entry.
// This wait has no time limit. Not thread-safe.
class Takeover
{
public:
    Takeover(ProcessId dead, const std::vector<std::string> &knownAgents, Millis now,
             TakeoverOptions options);

    const ProcessId &dead() const { return m_dead; }
    // Returns the agents to which the record query has to be sent now.
    std::vector<std::string> agentsToQuery(Millis now);
    // Records the reply of an agent. `runsTasks`: some of the reported tasks have no result yet.
    void answered(const std::string &agent, bool runsTasks, Millis now);
    void recordClaimsRead() { m_claimsRead = true; }
    // Sets the agents to query if none was known when the takeover began; otherwise has no effect.
    void setKnownAgents(const std::vector<std::string> &agents);

    TakeoverState state(Millis now) const;
    // Every agent has replied and runs no more tasks of the dead entry, so no further query is needed.
    bool hasAllReplies() const;

private:
    struct Agent
    {
        Millis queriedAt = {INT64_MIN / 4};
        bool answered = false;
        bool runsTasks = false;
    };

    size_t replyCount() const;

    ProcessId m_dead;
    TakeoverOptions m_options;
    Millis m_startedAt;
    std::map<std::string, Agent> m_agents;
    std::optional<Millis> m_majorityAt;
    bool m_claimsRead = false;
};

} // namespace turmericwell
