// An entry's record of the agents: which are connected, which may hold runs that a new owner must learn of
// before it starts tasks, and which are gone together with their runs. Performs no input or output; the
// caller passes the time.
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
    // An agent without a connection and without a registration holds no runs once this time has passed since
    // its last contact. The registration of an agent that no entry reaches is removed before; one that stays
    // shows that this entry may be the one that was cut off.
    static constexpr Millis contactExpiry = {6'000};
    // Runs on an agent without a connection end within this time after this entry last answered a ping of the
    // agent: the agent stops the runs of an unresponsive owner after 1.2 s, and after that a lease of 1 s may
    // still be running on a slow clock.
    static constexpr Millis goneAfter = {2'500};
    // An agent that has been unreachable for this long is removed from the member list. If it is still alive,
    // it registers again.
    static constexpr Millis memberExpiry = {4'500};

    // A connection is kept for this long after the agent is no longer wanted.
    static constexpr Millis connectionLinger = {5'000};

    // Called when a registration of the agent's process `incarnation` has been read. A name always maps to
    // the same number.
    AgentNumber registered(const std::string &name, uint64_t incarnation, Millis now);
    void connected(AgentNumber agent, Millis now);
    // Called when the connection is lost. lastAnswer is the time at which this entry last answered a ping of
    // the agent on this connection; 0 if it has answered none.
    void disconnected(AgentNumber agent, Millis lastAnswer, Millis now);
    // Sets whether this entry wants a connection to the agent. What happened at an agent while it was not
    // wanted is unknown, so it may hold runs until it has reported or contactExpiry has passed.
    void setWanted(AgentNumber agent, bool wanted, Millis now);
    bool isWanted(AgentNumber agent) const { return m_agents.at(agent).wanted; }
    // Called when the agent has announced that it is stopping and that nothing runs on its worker.
    void setLeaving(AgentNumber agent);

    std::optional<AgentNumber> find(std::string_view name) const;
    const std::string &name(AgentNumber agent) const { return m_agents.at(agent).name; }
    // True if the agent is connected and not stopping.
    bool isActive(AgentNumber agent) const;

    // Returns the agents that have been without a connection for so long that their runs have ended. Each
    // agent is returned once per lost connection.
    std::vector<AgentNumber> takeGone(Millis now);
    // The agent has said that it accepts no orders and that nothing runs there.
    bool isLeaving(AgentNumber number) const { return m_agents.at(number).leaving; }
    // The wanted agents that may hold runs.
    std::set<AgentNumber> mayHoldRuns(Millis now) const;
    // Number of registered agents, wanted or not, that were not removed from the member list.
    size_t registeredCount() const;
    // Called when the registration of the agent has been removed. The entry that removed it may be the one
    // that was cut off, so the agent may hold runs for goneAfter from then on.
    void removed(AgentNumber agent, Millis now);
    // The wanted agents without a connection whose registration was removed at this time or later, and that
    // have not left. The removal shows that an entry does not reach them, not that nothing runs there.
    std::set<AgentNumber> removedSince(Millis time) const;
    bool isRegistered(AgentNumber agent) const { return m_agents.at(agent).isRegistered; }
    size_t wantedCount() const;
    // Connected agents that have not been wanted for at least connectionLinger.
    std::vector<AgentNumber> superfluousAgents(Millis now) const;
    // Wanted agents that have been unreachable for at least memberExpiry, with the time since their last
    // contact.
    std::vector<std::pair<AgentNumber, Millis>> unreachableAgents(Millis now) const;

private:
    struct Agent
    {
        std::string name;
        // Process of the newest registration.
        uint64_t incarnation = 0;
        bool isRegistered = true;
        Millis removedAt;
        bool wanted = false;
        Millis unwantedSince;
        bool connected = false;
        bool leaving = false;
        // Set when the connection is lost, until takeGone returns the agent: the time by which its runs have
        // ended.
        std::optional<Millis> goneAt;
        // Time of the last registration, connection or disconnection, or since when the agent is wanted.
        Millis lastContact;
        // Last contact of the agent with this entry as the agent counts it: the start of a connection, or an
        // answer to a ping, over all connections.
        Millis lastAnswered;
    };

    std::map<AgentNumber, Agent> m_agents;
    std::map<std::string, AgentNumber, std::less<>> m_numbers;
};

} // namespace turmericwell
