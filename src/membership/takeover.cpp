// Majority of agents, freshness wait and time-out of a takeover.
#include "membership/takeover.h"

#include <algorithm>

namespace turmericwell {

Takeover::Takeover(ProcessId dead, const std::vector<std::string> &knownAgents, Millis now,
                   TakeoverOptions options)
    : m_dead(std::move(dead))
    , m_options(options)
    , m_startedAt(now)
{
    setKnownAgents(knownAgents);
}

void Takeover::setKnownAgents(const std::vector<std::string> &agents)
{
    if (!m_agents.empty())
        return;
    for (const std::string &agent : agents)
        m_agents[agent] = {};
}

std::vector<std::string> Takeover::agentsToQuery(Millis now)
{
    std::vector<std::string> result;
    for (auto &[name, agent] : m_agents) {
        if ((agent.answered && !agent.runsTasks) || now - agent.queriedAt < m_options.queryInterval)
            continue;
        agent.queriedAt = now;
        result.push_back(name);
    }
    return result;
}

void Takeover::answered(const std::string &name, bool runsTasks, Millis now)
{
    const auto found = m_agents.find(name);
    if (found == m_agents.end())
        return;
    found->second.answered = true;
    found->second.runsTasks = runsTasks;
    if (!m_majorityAt && replyCount() * 2 > m_agents.size())
        m_majorityAt = now;
}

size_t Takeover::replyCount() const
{
    return static_cast<size_t>(std::count_if(m_agents.begin(), m_agents.end(),
                                             [](const auto &item) { return item.second.answered; }));
}

TakeoverState Takeover::state(Millis now) const
{
    if (!m_majorityAt || now - *m_majorityAt < m_options.freshness)
        return TakeoverState::Waiting;
    if (m_claimsRead && replyCount() == m_agents.size())
        return TakeoverState::Complete;
    return now - m_startedAt >= m_options.takeover ? TakeoverState::Incomplete : TakeoverState::Waiting;
}

bool Takeover::hasAllReplies() const
{
    return std::all_of(m_agents.begin(), m_agents.end(),
                       [](const auto &item) { return item.second.answered && !item.second.runsTasks; });
}

} // namespace turmericwell
