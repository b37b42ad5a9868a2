// Tracks the last contact with each agent and the time by which the runs of unreachable agents have ended.
#include "fleet/agentpresence.h"

#include <algorithm>
#include <utility>

namespace turmericwell {

AgentNumber AgentPresence::registered(const std::string &name, uint64_t incarnation, Millis now)
{
    const auto [item, isNew] = m_numbers.try_emplace(name, static_cast<AgentNumber>(m_numbers.size() + 1));
    const AgentNumber number = item->second;
    if (isNew)
        m_agents[number].name = name;
    Agent &agent = m_agents.at(number);
    // What left was the former process.
    if (incarnation > agent.incarnation)
        agent.leaving = false;
    agent.incarnation = std::max(agent.incarnation, incarnation);
    // An agent that has registered again may accept runs from another entry before this entry connects to it.
    agent.lastContact = now;
    agent.isRegistered = true;
    return number;
}

void AgentPresence::removed(AgentNumber number, Millis now)
{
    Agent &agent = m_agents.at(number);
    agent.isRegistered = false;
    agent.removedAt = now;
    if (!agent.leaving)
        agent.lastContact = std::max(agent.lastContact, now - contactExpiry + goneAfter);
}

std::set<AgentNumber> AgentPresence::removedSince(Millis time) const
{
    std::set<AgentNumber> result;
    for (const auto &[number, agent] : m_agents) {
        const bool isOutOfReach = agent.wanted && !agent.connected && !agent.leaving;
        if (isOutOfReach && !agent.isRegistered && agent.removedAt >= time)
            result.insert(number);
    }
    return result;
}

void AgentPresence::setWanted(AgentNumber number, bool wanted, Millis now)
{
    Agent &agent = m_agents.at(number);
    if (std::exchange(agent.wanted, wanted) == wanted)
        return;
    if (wanted)
        agent.lastContact = now;
    else
        agent.unwantedSince = now;
}

std::vector<AgentNumber> AgentPresence::superfluousAgents(Millis now) const
{
    std::vector<AgentNumber> result;
    for (const auto &[number, agent] : m_agents) {
        if (agent.connected && !agent.wanted && now - agent.unwantedSince >= connectionLinger)
            result.push_back(number);
    }
    return result;
}

size_t AgentPresence::wantedCount() const
{
    const auto count =
        std::count_if(m_agents.begin(), m_agents.end(), [](const auto &item) { return item.second.wanted; });
    return static_cast<size_t>(count);
}

size_t AgentPresence::registeredCount() const
{
    const auto count = std::count_if(m_agents.begin(), m_agents.end(),
                                     [](const auto &item) { return item.second.isRegistered; });
    return static_cast<size_t>(count);
}

void AgentPresence::connected(AgentNumber number, Millis now)
{
    Agent &agent = m_agents.at(number);
    agent.connected = true;
    agent.leaving = false;
    agent.goneAt.reset();
    agent.lastContact = now;
    agent.lastAnswered = now;
}

void AgentPresence::disconnected(AgentNumber number, Millis lastAnswer, Millis now)
{
    Agent &agent = m_agents.at(number);
    agent.connected = false;
    agent.lastAnswered = std::max(agent.lastAnswered, lastAnswer);
    agent.goneAt = agent.lastAnswered + goneAfter;
    agent.lastContact = now;
    // A drained agent has no runs, so nobody needs to wait for its report.
    if (agent.leaving) {
        agent.goneAt = now;
        agent.lastContact = now - contactExpiry;
    }
}

void AgentPresence::setLeaving(AgentNumber number)
{
    m_agents.at(number).leaving = true;
}

std::optional<AgentNumber> AgentPresence::find(std::string_view name) const
{
    const auto found = m_numbers.find(name);
    return found == m_numbers.end() ? std::nullopt : std::optional(found->second);
}

bool AgentPresence::isActive(AgentNumber number) const
{
    const Agent &agent = m_agents.at(number);
    return agent.connected && !agent.leaving;
}

std::vector<AgentNumber> AgentPresence::takeGone(Millis now)
{
    std::vector<AgentNumber> gone;
    for (auto &[number, agent] : m_agents) {
        if (!agent.goneAt || now < *agent.goneAt)
            continue;
        agent.goneAt.reset();
        gone.push_back(number);
    }
    return gone;
}

std::set<AgentNumber> AgentPresence::mayHoldRuns(Millis now) const
{
    std::set<AgentNumber> result;
    for (const auto &[number, agent] : m_agents) {
        // It has said that it accepts no orders and that nothing runs there. It may be connected for as long
        // as its registration cannot be removed.
        if (agent.leaving)
            continue;
        const bool hadContact = now - agent.lastContact < contactExpiry;
        if (agent.wanted && (agent.connected || hadContact || agent.isRegistered))
            result.insert(number);
    }
    return result;
}

std::vector<std::pair<AgentNumber, Millis>> AgentPresence::unreachableAgents(Millis now) const
{
    std::vector<std::pair<AgentNumber, Millis>> result;
    for (const auto &[number, agent] : m_agents) {
        const Millis sinceContact = now - agent.lastContact;
        if (agent.wanted && !agent.connected && sinceContact >= memberExpiry)
            result.emplace_back(number, sinceContact);
    }
    return result;
}

} // namespace turmericwell
