// What an entry knows of the agents: which are connected, which may hold runs that a new owner has to hear of
// first, and which are gone together with their runs. No input or output; time is passed in.
#pragma once

#include "jobs/workerpool.h"
#include "turmericwell/millis.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace turmericwell {

class AgentPresence
{
public:
    // An agent that could not be reached for this long since its last sign holds no runs.
    static constexpr Millis forgottenAfter = {6'000};
    // Runs on an agent without a connection end within this time after the last answer to its pings: the
    // agent stops the runs of a silent owner after 1.2 s, and a lease of 1 s on a slow clock may still be
    // running.
    static constexpr Millis goneAfter = {2'500};
    // An agent that was not reached for this long is taken out of the list of members; it registers again if
    // it lives.
    static constexpr Millis memberExpiry = {4'500};

    // A registration of the agent has been read. Numbers stay the same for a name.
    AgentNumber registered(const std::string &name, Millis now);
    void connected(AgentNumber agent, Millis now);
    // The connection is lost; lastAnswer is when this entry last answered a ping of the agent.
    void disconnected(AgentNumber agent, Millis lastAnswer, Millis now);
    // The agent has said that it ends and that nothing runs on its worker.
    void setLeaving(AgentNumber agent);

    std::optional<AgentNumber> find(std::string_view name) const;
    const std::string &name(AgentNumber agent) const { return m_agents.at(agent).name; }
    // Connected, and not about to end.
    bool isStaying(AgentNumber agent) const;

    // Agents whose runs have ended since the last call, going by the time without a connection.
    std::vector<AgentNumber> takeGone(Millis now);
    // Agents that may hold runs.
    std::set<AgentNumber> mayHoldRuns(Millis now) const;
    // Agents that have not been reached for memberExpiry, with the time since their last sign.
    std::vector<std::pair<AgentNumber, Millis>> unreached(Millis now) const;

private:
    struct Agent
    {
        std::string name;
        bool connected = false;
        bool leaving = false;
        // Set while there is no connection: runs on the agent end by then.
        std::optional<Millis> goneAt;
        // Last registration or connection.
        Millis lastSign;
    };

    std::map<AgentNumber, Agent> m_agents;
    std::map<std::string, AgentNumber, std::less<>> m_numbers;
};

} // namespace turmericwell
