// Tracks the other processes: dials them, detects lost ones and removes outdated registrations.
#include "fleet/entrynode.h"

#include <algorithm>

namespace turmericwell {

constexpr Millis dialTimeout = {700};
// In milliseconds of the wall clock, from which incarnations are drawn. A registration that is older than
// this process by more belongs to a fleet that had started before, not to one that starts with this process.
// A wrong clock leads to a join that is corrected later.
constexpr uint64_t establishedAge = 5'000;
// Timeout of the connection attempt to a lost entry, after which its memberships are ended on its behalf.
constexpr Millis redialTimeout = {250};
// An entry whose registration has been read counts as present for this long before it is connected.
constexpr Millis entryAppearanceTime = {1'500};
// Time after which the removal of an unreachable agent's registration is repeated if it has not been read
// from the store. Bounds the writes of an entry that is cut off from all agents.
constexpr Millis removalRetryInterval = {5'000};

void EntryNode::memberFound(const Member &member)
{
    // Until the whole list has been read; later registrations tell nothing about the others.
    const bool isFormer = member.identity.incarnation + establishedAge < m_self.incarnation;
    if (m_settings.joinsKnownFleetAtOnce && !m_members.isSynced() && isFormer && !member.isLost)
        m_membershipPlan.setFleetKnown();
    if (member.identity.name == m_self.name) {
        selfFound(member);
        return;
    }
    if (member.identity.role == fleet::ProcessRole::Entry) {
        entryFound(member);
        return;
    }
    Contact &contact = m_contacts[member.identity.name];
    contact.member = member;
    contact.foundAt = Clock::now();
    const AgentNumber number =
        m_presence.registered(member.identity.name, member.identity.incarnation, contact.foundAt);
    if (wantsAgent(member.identity.name))
        m_presence.setWanted(number, true, contact.foundAt);
    dial(member.identity.name);
}

void EntryNode::entryFound(const Member &member)
{
    const Millis now = Clock::now();
    const std::string &name = member.identity.name;
    Contact &contact = m_contacts[name];
    contact.member = member;
    if (const auto peer = m_peers.find(name); peer != m_peers.end())
        peer->second.link->confirmPeer();
    if (member.isLost) {
        m_log.always(
            now, "entry_marked_lost",
            {{"entry", name}, {"connected", m_peers.contains(name)}, {"knew_writer", member.lostKnewWriter}});
        m_entries.lost(name, member.lostKnewWriter, now);
        endDemand(name);
        if (m_peers.contains(name) && isAmongFirstEntries())
            m_members.restore(member);
    } else {
        contact.foundAt = now;
        m_entries.registered(name, now);
    }
    // Of two entries, the one with the lexicographically lower name dials; agents never dial.
    if (m_self.name < name)
        dial(name);
}

void EntryNode::selfFound(const Member &member)
{
    const Millis now = Clock::now();
    if (member.isLost) {
        m_log.always(now, "own_registration_lost", {});
        m_entries.selfLost();
        m_registration.start();
    } else if (member.identity.incarnation == m_self.incarnation) {
        m_entries.selfRegistered(now);
        if (m_settings.joinsKnownFleetAtOnce)
            m_timers.after({0}, [this] { updateMemberships(Clock::now()); });
    }
}

void EntryNode::memberRemoved(const std::string &name)
{
    const auto contact = m_contacts.find(name);
    if (contact == m_contacts.end())
        return;
    const std::optional<AgentNumber> number = m_presence.find(name);
    if (number)
        m_presence.removed(*number, Clock::now());
    else
        m_entries.lost(name, false, Clock::now());
    if (!number)
        endDemand(name);
    // Another entry has lost its connection to this agent and removed the registration, but the agent is
    // alive.
    if (number && m_presence.isActive(*number)) {
        m_members.restore(contact->second.member);
        return;
    }
    // A connection to an agent that is being made may succeed after the removal. The registration is then
    // restored: an entry that does not find it orders the runs of that agent again.
    if (number && (contact->second.connected || contact->second.dialling))
        return;
    forgetMember(name);
}

void EntryNode::forgetMember(const std::string &name)
{
    m_log.always(Clock::now(), "member_removed", {{"member", name}});
    m_contacts.erase(name);
}

void EntryNode::dialAfterFailure(const std::string &name)
{
    const auto contact = m_contacts.find(name);
    if (contact == m_contacts.end())
        return;
    const std::optional<AgentNumber> number = m_presence.find(name);
    if (number && !m_presence.isRegistered(*number) && !m_presence.isActive(*number))
        forgetMember(name);
    else
        m_timers.after(contact->second.backoff.next(), [this, name] { dial(name); });
}

void EntryNode::dial(const std::string &name)
{
    const auto found = m_contacts.find(name);
    if (found == m_contacts.end() || found->second.connected || found->second.dialling)
        return;
    if (const auto agent = m_presence.find(name); agent && !m_presence.isWanted(*agent))
        return;
    found->second.dialling = true;
    m_network.dial(found->second.member.address, dialTimeout,
                   [this, name, guard = m_timers.guard()](const FrameLinkPtr &link) {
                       const auto contact = guard.expired() ? m_contacts.end() : m_contacts.find(name);
                       if (guard.expired() || contact == m_contacts.end())
                           return;
                       contact->second.dialling = false;
                       if (!link) {
                           dialAfterFailure(name);
                           return;
                       }
                       contact->second.connected = true;
                       connected(std::make_shared<NodeLink>(m_io, link, m_self), name);
                   });
}

void EntryNode::dialAll()
{
    for (auto &[name, contact] : m_contacts) {
        const bool isAgent = contact.member.identity.role == fleet::ProcessRole::Agent;
        contact.backoff.reset();
        if (isAgent || m_self.name < name)
            dial(name);
    }
}

void EntryNode::peerAnswered(const NodeLinkPtr &link, Millis pingSentAt)
{
    const auto peer = m_peers.find(link->peer().node);
    if (peer != m_peers.end() && peer->second.link == link && pingSentAt > peer->second.reportedAt)
        m_entries.answered(peer->first, pingSentAt);
}

void EntryNode::pingPeersSoon()
{
    if (std::exchange(m_peerPingPending, true))
        return;
    // Times are compared in whole milliseconds, so the ping must not bear the time of the report before it.
    constexpr Millis afterReport = {2};
    m_timers.after(afterReport, [this] {
        m_peerPingPending = false;
        for (const auto &[name, peer] : m_peers)
            peer.link->ping();
    });
}

void EntryNode::closeSuperseded(const fleet::EntryReportT &report)
{
    for (const auto &owned : report.partitions) {
        const std::optional<uint64_t> own = m_scheduler.epochOf(owned->partition);
        if (!own || *own >= owned->epoch)
            continue;
        if (owned->ready || !m_owner.nextOwnerLoads(owned->partition))
            m_owner.superseded(owned->partition, *own);
    }
}

void EntryNode::updatePeersWaiting()
{
    int64_t waiting = 0;
    for (const auto &[name, other] : m_peers)
        waiting += other.report.waiting_cpu_milli;
    // The tasks that wait at the peers spread over all agents; only a part of them competes for the agents
    // that this entry uses.
    const auto all = static_cast<int64_t>(std::max<size_t>(1, m_presence.registeredCount()));
    const auto used = std::min(all, static_cast<int64_t>(m_presence.wantedCount()));
    m_scheduler.setPeersWaitingCpuMilli(waiting * used / all);
    if (!std::holds_alternative<ForecastAdmission>(m_settings.admission))
        return;
    std::vector<PeerReport> reports;
    for (const auto &[name, other] : m_peers) {
        const int64_t amount = std::max<int64_t>(0, other.report.waiting_cpu_milli);
        reports.push_back({.waitingMilli = amount * used / all, .receivedAt = other.receivedAt});
    }
    m_scheduler.setPeerReports(std::move(reports));
}

void EntryNode::endDemand(const std::string &entry)
{
    if (FairShares *shares = m_scheduler.shares())
        shares->ownerGone(entry);
}

void EntryNode::receivedDemands(const fleet::HelloT &peer, const fleet::EntryReportT &report)
{
    FairShares *shares = m_scheduler.shares();
    if (!shares)
        return;
    std::vector<QueueDemand> demands;
    for (const auto &item : report.demands)
        demands.push_back({.queue = item->queue,
                           .waitingMilli = item->waiting_cpu_milli,
                           .runningMilli = item->running_cpu_milli});
    const Millis now = Clock::now();
    const DemandOutcome outcome =
        shares->report(peer.node, peer.incarnation, !report.partitions.empty(), std::move(demands), now);
    if (outcome != DemandOutcome::Taken)
        m_log.write(
            now, "demand_report_ignored",
            {{"entry", peer.node}, {"incarnation", peer.incarnation}, {"cause", demandOutcomeText(outcome)}});
}

void EntryNode::updateMemberships(Millis now)
{
    // An entry that may become an owner must be known to those that watch the other entries.
    if (!m_members.isSynced() || !m_entries.isSelfRegistered() || !m_operatorRecordsKnown || isStopping())
        return;
    std::vector<EntryCapacity> others;
    for (const auto &[name, contact] : m_contacts) {
        if (contact.member.identity.role != fleet::ProcessRole::Entry)
            continue;
        const auto peer = m_peers.find(name);
        const bool isPresent = peer == m_peers.end() ? now - contact.foundAt < entryAppearanceTime
                                                     : !peer->second.report.stopping;
        if (isPresent)
            others.push_back({.name = name, .processors = contact.member.processors});
    }
    const EntryCapacity self{.name = m_self.name,
                             .processors = m_settings.processorShare * m_settings.processorSpeed};
    const uint32_t wanted = membershipsFor(self, others, m_settings.partitions, m_membershipPlan.current());
    const uint32_t before = m_membershipPlan.current();
    const size_t agents = m_presence.registeredCount();
    const std::optional<uint32_t> count = m_membershipPlan.advance(wanted, agents, now);
    if (!count)
        return;
    m_log.always(now, "memberships_changed",
                 {{"count", *count},
                  {"before", before},
                  {"processors", self.processors},
                  {"other_entries", others.size()},
                  {"agents", agents}});
    m_owner.setMemberships(*count);
    refreshAgentLinks(now);
}

bool EntryNode::isAmongFirstEntries() const
{
    constexpr int64_t entriesThatAct = 3;
    return std::count_if(m_peers.begin(), m_peers.end(),
                         [&](const auto &item) { return item.first < m_self.name; })
        < entriesThatAct;
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
        // The contact is kept, and dialled, until the removal has been read from the store. This entry may be
        // the one that is cut off, and then the removal fails and nothing would bring the agent back.
        const auto contact = m_contacts.find(name);
        if (contact == m_contacts.end())
            continue;
        std::optional<Millis> &sentAt = contact->second.removalSentAt;
        if (sentAt && now - *sentAt < removalRetryInterval)
            continue;
        sentAt = now;
        m_log.always(now, "member_expired", {{"agent", name}, {"unreached_ms", unreachedFor}});
        m_members.remove(name);
    }
    for (const auto &[name, contact] : m_contacts) {
        const std::optional<AgentNumber> number = m_presence.find(name);
        if (number && m_presence.isActive(*number) && !m_presence.isRegistered(*number))
            m_members.restore(contact.member);
    }
    expireEntries(now);
}

void EntryNode::expireEntries(Millis now)
{
    if (!isAmongFirstEntries())
        return;
    for (const auto &[name, unreachedFor] : m_entries.unreachable(now)) {
        const auto contact = m_contacts.find(name);
        if (contact == m_contacts.end())
            continue;
        std::optional<Millis> &sentAt = contact->second.removalSentAt;
        if (sentAt && now - *sentAt < removalRetryInterval)
            continue;
        sentAt = now;
        m_log.always(now, "entry_expired", {{"entry", name}, {"unreached_ms", unreachedFor}});
        m_members.markLost(contact->second.member, m_entries.knowsThisEntry(name));
    }
}

void EntryNode::updateAgentPresence(Millis now)
{
    for (const AgentNumber number : m_presence.takeGone(now)) {
        const bool hasLeft = m_presence.isLeaving(number);
        m_log.always(now, "agent_gone",
                     {{"agent", m_presence.name(number)}, {"number", number}, {"left", hasLeft}});
        if (hasLeft)
            m_scheduler.agentLeft(number, now);
        else
            m_scheduler.agentGone(number, now);
    }
    const std::vector<uint32_t> unreconciled = m_scheduler.unreconciledPartitions();
    if (unreconciled.empty())
        return;
    const std::set<AgentNumber> candidates = m_presence.mayHoldRuns(now);
    for (const uint32_t partition : unreconciled)
        updateTakeover(partition, candidates);
}

} // namespace turmericwell
