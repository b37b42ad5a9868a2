// Evidence that the configuration and the view of an entry are the newest.
#include "membership/currencyguard.h"

#include <algorithm>
#include <vector>

namespace turmericwell {

CurrencyGuard::CurrencyGuard(CurrencyOptions options)
    : m_options(options)
{ }

void CurrencyGuard::logRead(Millis sentAt)
{
    m_logReadAt = std::max(m_logReadAt, sentAt);
    m_logReadable = true;
}

void CurrencyGuard::logFailed(Millis)
{
    m_logReadable = false;
}

void CurrencyGuard::agentHeard(const std::string &agent, const KnownVersions &versions, Millis now)
{
    m_agents[agent] = {.versions = versions, .at = now};
}

void CurrencyGuard::agentRemoved(const std::string &agent)
{
    m_agents.erase(agent);
}

void CurrencyGuard::peerHeard(const std::string &peer, const KnownVersions &versions, Millis now)
{
    m_peers[peer] = {.versions = versions, .at = now};
}

void CurrencyGuard::peerRemoved(const std::string &peer)
{
    m_peers.erase(peer);
}

static bool isNewer(const KnownVersions &other, const KnownVersions &own)
{
    return other.config > own.config || other.view > own.view;
}

bool CurrencyGuard::isBehind() const
{
    const auto newer = [this](const auto &item) { return isNewer(item.second.versions, m_own); };
    return std::any_of(m_agents.begin(), m_agents.end(), newer)
        || std::any_of(m_peers.begin(), m_peers.end(), newer);
}

Millis CurrencyGuard::majorityTime() const
{
    // With no agent there is nothing to start and nobody to ask.
    if (m_agents.empty())
        return {INT64_MIN / 4};
    std::vector<Millis> times;
    for (const auto &[name, heard] : m_agents)
        times.push_back(heard.at);
    std::sort(times.begin(), times.end(), std::greater<>());
    return times[times.size() / 2];
}

Millis CurrencyGuard::evidenceAge(Millis now) const
{
    Millis evidence = m_logReadAt;
    if (!m_logReadable && !isBehind())
        evidence = std::max(evidence, majorityTime());
    return now - evidence;
}

bool CurrencyGuard::isCurrent(Millis now) const
{
    return evidenceAge(now) <= m_options.freshness;
}

} // namespace turmericwell
