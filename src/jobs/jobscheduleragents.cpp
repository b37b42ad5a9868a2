// JobScheduler: claims of partitions at the agents, their reports, lost agents, and the reconciliation of a
// new owner's view with the runs that exist.
#include "jobs/jobscheduler.h"

#include <algorithm>

namespace turmericwell {

// The steady clocks of two instances differ by at most this share.
constexpr int64_t clockDifferencePercent = 2;
// A worker may carry out a start that it has not answered up to this long after it was sent, and the run then
// lasts for a lease on a slow clock.
constexpr Millis latestUnansweredStart = {12'000};
constexpr Millis longestLease = {1'020};
// A bound counts in whole milliseconds on either side.
constexpr Millis clockGranularity = {1};

uint64_t JobScheduler::claimSent(AgentNumber agent, uint32_t number)
{
    Partition &partition = m_partitions.at(number);
    partition.reported.erase(agent);
    partition.leaseEnds.erase(agent);
    partition.claims[agent] = ++m_lastClaim;
    return m_lastClaim;
}

bool JobScheduler::isNewestClaim(AgentNumber agent, uint32_t number, uint64_t claim) const
{
    const auto partition = m_partitions.find(number);
    if (partition == m_partitions.end())
        return false;
    const auto newest = partition->second.claims.find(agent);
    return newest != partition->second.claims.end() && (claim == 0 || claim == newest->second);
}

std::string_view JobScheduler::claimReportProblem(uint32_t number, uint64_t epoch,
                                                  std::span<const RunId> running,
                                                  std::span<const AgentEnd> ended) const
{
    const auto found = m_partitions.find(number);
    if (found == m_partitions.end())
        return "the partition is not owned";
    const Partition &partition = found->second;
    if (partition.epoch != epoch)
        return epoch < partition.epoch ? "older epoch" : "newer epoch";
    if (!partition.loaded || partition.suspended)
        return "the partition is not in use";
    const auto isReadable = [&](const RunId &run) {
        return run.number > 0 && partitionOf(run.task.job, m_options.partitions) == number;
    };
    const bool runsReadable = std::all_of(running.begin(), running.end(), isReadable);
    const bool endsReadable = std::all_of(ended.begin(), ended.end(), [&](const AgentEnd &end) {
        return isReadable(end.run) && end.kind <= EndKind::MAX;
    });
    return runsReadable && endsReadable ? "" : "unreadable run";
}

void JobScheduler::claimReport(AgentNumber agent, uint32_t number, uint64_t epoch,
                               std::span<const RunId> running, std::span<const AgentEnd> ended, Millis now)
{
    // A run that the report does not contain counts as lost, so a report is used as a whole or not at all.
    const std::string_view problem = claimReportProblem(number, epoch, running, ended);
    if (!problem.empty()) {
        m_log.always(now, "claim_report_rejected",
                     {{"agent", agent}, {"partition", number}, {"epoch", epoch}, {"cause", problem}});
        return;
    }
    Partition &partition = m_partitions.at(number);
    std::set<RunId> reported(running.begin(), running.end());
    for (const AgentEnd &end : ended)
        reported.insert(end.run);
    std::erase_if(m_orphans, [&](const auto &item) {
        return item.second.agent == agent && !reported.contains(item.first)
            && partitionOf(item.first.task.job, m_options.partitions) == number;
    });
    for (const RunId &run : running)
        adoptRun(agent, run, now);
    for (const AgentEnd &end : ended)
        runEnded(agent, end, now);
    std::vector<std::pair<JobId, RunId>> lost;
    for (auto &[id, job] : m_jobs) {
        if (job.partition != number)
            continue;
        endLateStarts(job, agent, now);
        for (const Task &task : job.tasks) {
            const bool isOrdered = task.phase == TaskPhase::Ordered || task.phase == TaskPhase::Running;
            if (isOrdered && task.agent == agent && !reported.contains(runId(job, task)))
                lost.emplace_back(id, runId(job, task));
        }
    }
    for (const auto &[id, run] : lost) {
        m_log.write(
            now, "run_lost",
            {{"job", jobIdText(id)}, {"task", taskIdText(run.task)}, {"run", run.number}, {"agent", agent}});
        Job &job = m_jobs.at(id);
        requeueTask(job, *findTask(job, run.task), "the agent does not report the run", now);
    }
    partition.reported.insert(agent);
}

void JobScheduler::endLateStarts(Job &job, AgentNumber agent, Millis now)
{
    for (Task &task : job.tasks) {
        if (task.phase == TaskPhase::MayStartLate && task.agent == agent)
            requeueTask(job, task, "the agent does not report the run", now);
    }
}

void JobScheduler::leaseBound(AgentNumber agent, const fleet::LeaseBoundT &bound, Millis now)
{
    const auto found = m_partitions.find(bound.partition);
    const bool isUsable = found != m_partitions.end() && found->second.epoch == bound.epoch
        && found->second.loaded && !found->second.suspended && bound.claim != 0
        && isNewestClaim(agent, bound.partition, bound.claim);
    m_log.always(now, isUsable ? "lease_bound_received" : "lease_bound_outdated",
                 {{"agent", agent},
                  {"partition", bound.partition},
                  {"epoch", bound.epoch},
                  {"claim", bound.claim},
                  {"lease_left_ms", bound.lease_left_ms},
                  {"loaded_ms_ago", isUsable ? now - found->second.loadedAt : Millis{0}}});
    if (!isUsable)
        return;
    const Millis left = std::clamp(Millis{bound.lease_left_ms}, Millis{0}, m_options.reconciliationTimeout);
    found->second.leaseEnds[agent] = now + left + left * clockDifferencePercent / 100 + clockGranularity;
}

bool JobScheduler::isAccountedFor(const Partition &partition, AgentNumber agent, Millis now)
{
    if (partition.reported.contains(agent))
        return true;
    const auto leaseEnd = partition.leaseEnds.find(agent);
    return leaseEnd != partition.leaseEnds.end() && now > leaseEnd->second;
}

void JobScheduler::agentDisconnected(AgentNumber agent)
{
    for (auto &[number, partition] : m_partitions) {
        partition.reported.erase(agent);
        partition.leaseEnds.erase(agent);
        partition.claims.erase(agent);
    }
}

void JobScheduler::agentLeft(AgentNumber agent, Millis now)
{
    endRunsOf(agent, false, now);
}

void JobScheduler::agentGone(AgentNumber agent, Millis now)
{
    endRunsOf(agent, true, now);
}

void JobScheduler::endRunsOf(AgentNumber agent, bool ordersMayStart, Millis now)
{
    agentDisconnected(agent);
    std::erase_if(m_orphans, [&](const auto &item) { return item.second.agent == agent; });
    for (auto &[id, job] : m_jobs) {
        for (Task &task : job.tasks) {
            if (task.agent != agent || (task.phase != TaskPhase::Ordered && task.phase != TaskPhase::Running))
                continue;
            m_log.write(now, "run_lost",
                        {{"job", jobIdText(id)},
                         {"task", taskIdText(runId(job, task).task)},
                         {"run", task.run},
                         {"agent", agent}});
            const bool mayStartLate = ordersMayStart && task.phase == TaskPhase::Ordered;
            requeueTask(job, task,
                        mayStartLate ? "the agent is gone and the run may start late" : "the agent is gone",
                        now);
            recordRepeatedRun(job, task);
            if (!mayStartLate)
                continue;
            task.phase = TaskPhase::MayStartLate;
            task.notBefore = task.orderedAt + latestUnansweredStart + longestLease;
        }
    }
}

void JobScheduler::setExpectedAgents(uint32_t number, std::set<AgentNumber> agents, bool allKnown)
{
    const auto found = m_partitions.find(number);
    if (found == m_partitions.end())
        return;
    found->second.expected = std::move(agents);
    found->second.allAgentsKnown = allKnown;
}

void JobScheduler::setFormerOwnersEnd(uint32_t number, Millis end)
{
    if (const auto found = m_partitions.find(number); found != m_partitions.end())
        found->second.formerOwnersEnd = end;
}

bool JobScheduler::hasReported(uint32_t number, AgentNumber agent) const
{
    const auto found = m_partitions.find(number);
    return found != m_partitions.end() && found->second.reported.contains(agent);
}

std::vector<uint32_t> JobScheduler::unreconciledPartitions() const
{
    std::vector<uint32_t> result;
    for (const auto &[number, partition] : m_partitions) {
        if (partition.loaded && !partition.reconciled)
            result.push_back(number);
    }
    return result;
}

void JobScheduler::setPlacement(uint32_t number, bool mayPlace, std::set<AgentNumber> excluded)
{
    const auto found = m_partitions.find(number);
    if (found == m_partitions.end())
        return;
    found->second.mayPlace = mayPlace;
    found->second.excluded = std::move(excluded);
}

bool JobScheduler::hasRunsOnExcludedAgents(uint32_t number) const
{
    const auto found = m_partitions.find(number);
    if (found == m_partitions.end())
        return false;
    const std::set<AgentNumber> &excluded = found->second.excluded;
    const auto isOutside = [&](const Task &task) {
        return (task.phase == TaskPhase::Ordered || task.phase == TaskPhase::Running)
            && excluded.contains(task.agent);
    };
    return std::any_of(m_jobs.begin(), m_jobs.end(), [&](const auto &item) {
        const Job &job = item.second;
        return job.partition == number && std::any_of(job.tasks.begin(), job.tasks.end(), isOutside);
    });
}

void JobScheduler::reconcilePartition(uint32_t number, Partition &partition, Millis now)
{
    const size_t unreported = unreportedAgents(partition);
    const bool allAccountedFor = partition.allAgentsKnown
        && std::all_of(partition.expected.begin(), partition.expected.end(),
                       [&](AgentNumber agent) { return isAccountedFor(partition, agent, now); });
    const Millis lastOrderAt = std::max(partition.loadedAt, partition.formerOwnersEnd);
    if (!allAccountedFor && now - lastOrderAt < m_options.reconciliationTimeout)
        return;
    partition.reconciled = true;
    uint32_t restarted = 0;
    for (auto &[id, job] : m_jobs) {
        if (job.partition != number)
            continue;
        for (Task &task : job.tasks) {
            if (task.phase != TaskPhase::Unreconciled)
                continue;
            ++restarted;
            requeueTask(job, task, "no run of a former owner exists", now);
            // An agent that is out of reach for long is not waited for, and may still report an end.
            recordRepeatedRun(job, task);
        }
    }
    m_log.always(now, "partition_located",
                 {{"partition", number},
                  {"all_agents_reported", partition.allAgentsKnown && unreported == 0},
                  {"unreported_agents", unreported},
                  {"by_lease_bounds", allAccountedFor && unreported > 0},
                  {"after_ms", now - partition.loadedAt},
                  {"former_owners_ended_ms", now - partition.formerOwnersEnd},
                  {"tasks_without_run", restarted}});
}

} // namespace turmericwell
