// Evidence of currency from reads of the log and from contact with agents and peers.
#include "membership/currencyguard.h"

#include <algorithm>
#include <vector>

namespace turmericwell {

CurrencyGuard::CurrencyGuard(CurrencyOptions options)
    : m_options(options)
{ }

void CurrencyGuard::detectPause(Millis now)
{
    if (m_lastActiveAt.count > 0 && now - m_lastActiveAt > m_options.pauseThreshold)
        m_resumedAt = now;
    m_lastActiveAt = std::max(m_lastActiveAt, now);
}

void CurrencyGuard::tick(Millis now)
{
    detectPause(now);
    if (!isLogReadable() || mayBeBuffered(now))
        return;
    std::erase_if(m_agents, [&](const auto &item) { return now - item.second.at > m_options.agentExpiry; });
}

void CurrencyGuard::recordLogRead(GuardedStream stream, Millis sentAt)
{
    Stream &read = m_streams[static_cast<size_t>(stream)];
    read.readAt = std::max(read.readAt, sentAt);
    read.readable = true;
}

void CurrencyGuard::recordLogFailure(GuardedStream stream)
{
    m_streams[static_cast<size_t>(stream)].readable = false;
}

void CurrencyGuard::recordAgentContact(const std::string &agent, const KnownVersions &versions, Millis now)
{
    detectPause(now);
    // A message that was buffered during a pause still reports newer versions but is not fresh evidence.
    Contact &contact = m_agents[agent];
    contact.versions = versions;
    if (!mayBeBuffered(now))
        contact.at = now;
}

void CurrencyGuard::agentRemoved(const std::string &agent)
{
    m_agents.erase(agent);
}

void CurrencyGuard::recordPeerContact(const std::string &peer, const KnownVersions &versions, Millis now)
{
    detectPause(now);
    Contact &contact = m_peers[peer];
    contact.versions = versions;
    if (!mayBeBuffered(now))
        contact.at = now;
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

Millis CurrencyGuard::contactTime(Millis now) const
{
    // Without a known agent there is no majority and no target to start tasks on.
    if (m_agents.empty())
        return {INT64_MIN / 4};
    std::vector<Millis> times;
    for (const auto &[name, contact] : m_agents)
        times.push_back(contact.at);
    std::sort(times.begin(), times.end(), std::greater<>());
    Millis result = times[times.size() / 2];
    for (const auto &[name, contact] : m_peers) {
        if (now - contact.at <= m_options.peerTimeout)
            result = std::min(result, contact.at);
    }
    return result;
}

Millis CurrencyGuard::evidenceAge(Millis now) const
{
    Millis evidence = std::min(m_streams[0].readAt, m_streams[1].readAt);
    if (!isLogReadable() && !isBehind())
        evidence = std::max(evidence, contactTime(now));
    return now - evidence;
}

std::vector<std::string> CurrencyGuard::knownAgents() const
{
    std::vector<std::string> result;
    for (const auto &[name, contact] : m_agents)
        result.push_back(name);
    return result;
}

bool CurrencyGuard::isCurrent(Millis now) const
{
    return evidenceAge(now) <= m_options.freshness;
}

} // namespace turmericwell
