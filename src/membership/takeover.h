// Progress of the takeover of one dead entry.
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
    // The dead entry may be alive and cut off; it stops by itself within this time.
    Millis freshness = {3'000};
    // Bound after which the records are taken as incomplete.
    Millis takeover = {5'000};
    // An agent is asked again while it has not answered, or while it still runs tasks of the dead entry.
    Millis askAgain = {500};
};

enum class TakeoverState : uint8_t { Waiting, Complete, Incomplete };

// More than half of the known agents must refuse the dead entry's starts before its keys are served, however
// long that takes. Not thread-safe.
class Takeover
{
public:
    Takeover(ProcessId dead, const std::vector<std::string> &knownAgents, Millis now,
             TakeoverOptions options);

    const ProcessId &dead() const { return m_dead; }
    // Agents to send the record query to now.
    std::vector<std::string> toAsk(Millis now);
    // runsTasks: some of the records have no result yet.
    void answered(const std::string &agent, bool runsTasks, Millis now);
    void claimsRead() { m_claimsRead = true; }
    // Used if no agent was known when the takeover began.
    void agentsKnown(const std::vector<std::string> &agents);

    TakeoverState state(Millis now) const;
    // Every agent has answered and runs nothing more: nothing else can be learnt.
    bool isSettled() const;

private:
    struct Agent
    {
        Millis askedAt = {INT64_MIN / 4};
        bool answered = false;
        bool runsTasks = false;
    };

    size_t answers() const;

    ProcessId m_dead;
    TakeoverOptions m_options;
    Millis m_beganAt;
    std::map<std::string, Agent> m_agents;
    std::optional<Millis> m_majorityAt;
    bool m_claimsRead = false;
};

} // namespace turmericwell
