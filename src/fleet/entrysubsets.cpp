// The agents of the owned partitions: which are connected, claimed and used for new orders.
#include "fleet/entrynode.h"

#include <algorithm>

namespace turmericwell {

void EntryNode::partitionOpening(uint32_t partition)
{
    // Connections to the agents that the partition probably needs are made while its records are loaded.
    m_subsets.insert_or_assign(partition, PartitionSubset(wantedLevel(0)));
    refreshAgentLinks(Clock::now());
    // A former owner that goes on without the store closes the partition when it hears of this.
    sendReport();
    pingPeersSoon();
    // Asks for registrations that have not been read, while the records are loaded.
    m_members.isCurrentSince(Clock::now());
}

void EntryNode::partitionLoaded(uint32_t partition, std::optional<uint32_t> storedLevel)
{
    const Millis now = Clock::now();
    m_subsets.insert_or_assign(partition, PartitionSubset(storedLevel));
    advanceSubset(partition, now);
    refreshAgentLinks(now);
    updateTakeover(partition, m_presence.mayHoldRuns(now));
    claimAtAgents(partition);
    sendReport();
    // A former owner that has given the partition up closes it when it hears of this.
    if (m_settings.servesUntilTaken)
        pingPeersSoon();
}

void EntryNode::releaseAtAgents(uint32_t partition, uint64_t epoch)
{
    fleet::ReleaseT message;
    message.partition = partition;
    message.epoch = epoch;
    for (const auto &[number, link] : m_agentLinks) {
        if (isReached(m_presence.name(number), partition))
            link->send(message);
    }
}

void EntryNode::partitionClosed(uint32_t partition, uint64_t epoch)
{
    releaseAtAgents(partition, epoch);
    m_subsets.erase(partition);
    sendReport();
}

void EntryNode::partitionResumed(uint32_t partition)
{
    updatePlacement(partition);
    claimAtAgents(partition);
    sendReport();
}

uint32_t EntryNode::wantedLevel(uint32_t currentLevel) const
{
    return agentSubsetLevel(m_presence.registeredCount(), m_settings.partitions, currentLevel);
}

bool EntryNode::isReached(const std::string &agent, uint32_t partition) const
{
    const auto subset = m_subsets.find(partition);
    return subset != m_subsets.end() && isInAgentSubset(agent, partition, subset->second.reach());
}

bool EntryNode::wantsAgent(const std::string &agent) const
{
    // In a small fleet each partition is served by all agents, so a member of the group of owners keeps
    // connections to them and can use a partition as soon as it arrives.
    if (m_membershipPlan.current() > 0 && wantedLevel(0) == 0)
        return true;
    return std::any_of(m_subsets.begin(), m_subsets.end(),
                       [&](const auto &item) { return isReached(agent, item.first); });
}

void EntryNode::claim(AgentNumber agent, uint32_t partition, uint64_t epoch)
{
    fleet::ClaimT message;
    message.partition = partition;
    message.epoch = epoch;
    message.number = m_scheduler.claimSent(agent, partition);
    m_agentLinks.at(agent)->send(message);
}

void EntryNode::claimAtAgents(uint32_t partition)
{
    const std::optional<uint64_t> epoch = m_scheduler.epochOf(partition);
    if (!epoch || !m_scheduler.isServing(partition) || m_owner.isBeingTaken(partition))
        return;
    for (const auto &[number, link] : m_agentLinks) {
        if (isReached(m_presence.name(number), partition) && !m_scheduler.hasReported(partition, number))
            claim(number, partition, *epoch);
    }
}

void EntryNode::receivedClaimReport(AgentNumber agent, const fleet::ClaimReportT &report, Millis now)
{
    if (!report.accepted) {
        m_log.always(now, "claim_superseded", {{"partition", report.partition}, {"epoch", report.epoch}});
        m_owner.superseded(report.partition, report.epoch);
        return;
    }
    if (!m_scheduler.isNewestClaim(agent, report.partition, report.claim)) {
        m_log.write(now, "claim_report_outdated",
                    {{"agent", agent}, {"partition", report.partition}, {"claim", report.claim}});
        return;
    }
    std::vector<RunId> running;
    for (const fleet::RunRef &run : report.running)
        running.push_back(fromWire(run));
    std::vector<AgentEnd> ended;
    for (const auto &item : report.ended)
        ended.push_back(toAgentEnd(*item));
    m_scheduler.claimReport(agent, report.partition, report.epoch, running, ended, now);
}

std::set<AgentNumber> EntryNode::expectedAgents(uint32_t partition,
                                                const std::set<AgentNumber> &candidates) const
{
    std::set<AgentNumber> result;
    for (const AgentNumber number : candidates) {
        if (isReached(m_presence.name(number), partition))
            result.insert(number);
    }
    return result;
}

void EntryNode::updateTakeover(uint32_t partition, const std::set<AgentNumber> &candidates)
{
    const std::optional<Millis> openedAt = m_owner.openedAt(partition);
    const std::optional<Millis> loadedAt = m_owner.loadedAt(partition);
    if (!openedAt || !loadedAt)
        return;
    // A process that registered before the partition was opened, and has not been read, may be a former
    // owner, or an agent that holds its runs.
    const bool allMembersKnown = m_members.isCurrentSince(*openedAt);
    // An agent that no entry on this side has reached since may be at work for a former owner.
    std::set<AgentNumber> mayHoldRuns = m_presence.removedSince(*openedAt);
    mayHoldRuns.insert(candidates.begin(), candidates.end());
    m_scheduler.setExpectedAgents(partition, expectedAgents(partition, mayHoldRuns), allMembersKnown);
    // A former owner that has given the partition up goes on until it hears that the records are loaded here.
    const Millis takenAt = m_settings.servesUntilTaken ? *loadedAt : *openedAt;
    m_scheduler.setFormerOwnersEnd(partition,
                                   allMembersKnown ? m_entries.formerOwnersEnd(takenAt)
                                                   : takenAt + EntryPresence::withoutStoreLimit);
}

void EntryNode::updatePlacement(uint32_t partition)
{
    const PartitionSubset &subset = m_subsets.at(partition);
    // Agents that have left the reach are still connected for a while, and have reported.
    std::set<AgentNumber> excluded;
    for (const auto &[number, link] : m_agentLinks) {
        if (!isInAgentSubset(m_presence.name(number), partition, subset.placement()))
            excluded.insert(number);
    }
    m_scheduler.setPlacement(partition, subset.mayPlace(), std::move(excluded));
}

void EntryNode::advanceSubset(uint32_t partition, Millis now)
{
    PartitionSubset &subset = m_subsets.at(partition);
    const std::optional<uint32_t> level =
        subset.advance(wantedLevel(subset.placement()), m_scheduler.hasRunsOnExcludedAgents(partition), now);
    updatePlacement(partition);
    if (!level)
        return;
    const std::optional<uint64_t> epoch = m_scheduler.epochOf(partition);
    m_owner.storeSubsetLevel(partition, *level, [this, partition, epoch, level = *level] {
        const auto found = m_subsets.find(partition);
        if (found == m_subsets.end() || m_scheduler.epochOf(partition) != epoch)
            return;
        const uint32_t before = found->second.reach();
        const bool isTaken = found->second.stored(level);
        m_log.always(Clock::now(), isTaken ? "agent_subset_changed" : "agent_subset_rejected",
                     {{"partition", partition},
                      {"level", level},
                      {"before", before},
                      {"agents", m_presence.registeredCount()}});
        if (!isTaken)
            return;
        updatePlacement(partition);
        refreshAgentLinks(Clock::now());
        claimAtAgents(partition);
        advanceSoon();
    });
}

void EntryNode::advanceSubsets(Millis now)
{
    for (const auto &[partition, subset] : m_subsets) {
        if (m_scheduler.isServing(partition))
            advanceSubset(partition, now);
    }
    refreshAgentLinks(now);
    updatePeersWaiting();
}

void EntryNode::refreshAgentLinks(Millis now)
{
    for (const auto &[name, contact] : m_contacts) {
        const std::optional<AgentNumber> number = m_presence.find(name);
        if (!number)
            continue;
        const bool wanted = wantsAgent(name);
        m_presence.setWanted(*number, wanted, now);
        if (wanted)
            dial(name);
    }
    for (const AgentNumber number : m_presence.superfluousAgents(now)) {
        if (const NodeLinkPtr link = linkOf(number))
            link->close("no partition of this entry needs the agent");
    }
}

} // namespace turmericwell
