// Tracks the other processes: dials them, detects lost ones and removes outdated registrations.
#include "fleet/entrynode.h"

#include <algorithm>

namespace turmericwell {

constexpr Millis dialTimeout = {700};
// Timeout of the connection attempt to a lost entry, after which its memberships are ended on its behalf.
constexpr Millis redialTimeout = {250};

void EntryNode::memberFound(const Member &member)
{
    if (member.identity.name == m_self.name)
        return;
    Contact &contact = m_contacts[member.identity.name];
    contact.member = member;
    const bool isAgent = member.identity.role == fleet::ProcessRole::Agent;
    if (isAgent)
        m_presence.registered(member.identity.name, Clock::now());
    // Of two entries, the one with the lexicographically lower name dials; agents never dial.
    if (isAgent || m_self.name < member.identity.name)
        dial(member.identity.name);
}

void EntryNode::memberRemoved(const std::string &name)
{
    const auto contact = m_contacts.find(name);
    if (contact == m_contacts.end())
        return;
    const std::optional<AgentNumber> number = m_presence.find(name);
    // Another entry has lost its connection to this agent and removed the registration, but the agent is
    // alive.
    if (number && m_presence.isActive(*number))
        m_members.restore(contact->second.member);
    else
        m_contacts.erase(contact);
}

void EntryNode::dial(const std::string &name)
{
    const auto found = m_contacts.find(name);
    if (found == m_contacts.end() || found->second.connected || found->second.dialling)
        return;
    found->second.dialling = true;
    m_network.dial(found->second.member.address, dialTimeout,
                   [this, name, guard = m_timers.guard()](const FrameLinkPtr &link) {
                       const auto contact = guard.expired() ? m_contacts.end() : m_contacts.find(name);
                       if (guard.expired() || contact == m_contacts.end())
                           return;
                       contact->second.dialling = false;
                       if (!link) {
                           m_timers.after(contact->second.backoff.next(), [this, name] { dial(name); });
                           return;
                       }
                       contact->second.connected = true;
                       connected(std::make_shared<NodeLink>(m_io, link, m_self), name);
                   });
}

void EntryNode::closeSuperseded(const fleet::EntryReportT &report)
{
    for (const auto &owned : report.partitions) {
        const std::optional<uint64_t> own = m_scheduler.epochOf(owned->partition);
        if (own && *own < owned->epoch)
            m_owner.superseded(owned->partition, *own);
    }
}

void EntryNode::updatePeersWaiting()
{
    int64_t waiting = 0;
    for (const auto &[name, other] : m_peers)
        waiting += other.report.waiting_cpu_milli;
    m_scheduler.setPeersWaitingCpuMilli(waiting);
}

void EntryNode::checkLostEntry(const std::string &name)
{
    const auto contact = m_contacts.find(name);
    if (contact == m_contacts.end())
        return;
    m_network.dial(contact->second.member.address, redialTimeout,
                   [this, name, guard = m_timers.guard()](const FrameLinkPtr &link) {
                       if (guard.expired() || m_peers.contains(name))
                           return;
                       if (link) {
                           link->close("reachability check");
                           return;
                       }
                       m_log.always(Clock::now(), "entry_lost", {{"entry", name}});
                       m_owner.evictMember(name);
                   });
}

void EntryNode::expireMembers(Millis now)
{
    for (const auto &[number, unreachedFor] : m_presence.unreachableAgents(now)) {
        const std::string &name = m_presence.name(number);
        if (m_contacts.erase(name) == 0)
            continue;
        m_log.always(now, "member_expired", {{"agent", name}, {"unreached_ms", unreachedFor}});
        m_members.remove(name);
    }
}

void EntryNode::updateAgentPresence(Millis now)
{
    for (const AgentNumber number : m_presence.takeGone(now)) {
        m_log.always(now, "agent_gone", {{"agent", m_presence.name(number)}});
        m_scheduler.agentGone(number, now);
    }
    m_scheduler.setExpectedAgents(m_presence.mayHoldRuns(now), m_members.isSynced());
}

} // namespace turmericwell
