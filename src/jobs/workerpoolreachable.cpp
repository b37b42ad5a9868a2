// WorkerPool: sums of the resources that jobs can reach, kept up to date by the changes of single workers.
#include "jobs/workerpool.h"

#include <algorithm>

namespace turmericwell {

// Number of tasks of the size that fit into the resources.
static int64_t tasksThatFit(const Resources &available, const Resources &size)
{
    int64_t count = INT32_MAX;
    if (size.cpuMilli > 0)
        count = std::min(count, available.cpuMilli / size.cpuMilli);
    if (size.memoryMb > 0)
        count = std::min(count, available.memoryMb / size.memoryMb);
    if (size.accelerators > 0)
        count = std::min(count, available.accelerators / size.accelerators);
    return std::max<int64_t>(0, count);
}

void WorkerPool::recordChange(AgentNumber agent)
{
    if (m_reachable.empty())
        return;
    // Walking all workers costs less than this many changes.
    if (m_changes.size() > 2 * m_workers.size() + 64) {
        m_changesForgotten += m_changes.size() + 1;
        m_changes.clear();
    } else {
        m_changes.push_back(agent);
    }
}

void WorkerPool::setEvacuatedZones(std::set<std::string> zones)
{
    m_evacuated = std::move(zones);
    m_reachable.clear();
}

void WorkerPool::updateReachable(ReachableSum &sum, AgentNumber agent) const
{
    ReachableResources resources;
    if (const auto found = m_workers.find(agent); found != m_workers.end()
        && admissible(found->second, {.service = sum.service, .requiredLabel = sum.requiredLabel})) {
        const WorkerState &state = found->second.state;
        const int64_t capacity = tasksThatFit(state.capacity, sum.size) * sum.size.cpuMilli;
        const int64_t free = tasksThatFit(freeResources(found->second), sum.size) * sum.size.cpuMilli;
        if (capacity > 0)
            resources = {.capacityMilli = capacity,
                         .freeMilli = std::min(capacity, free),
                         .queuedMilli = state.queuedCpuMilli,
                         .workers = 1};
    }
    ReachableResources &known = sum.byAgent[agent];
    sum.total.capacityMilli += resources.capacityMilli - known.capacityMilli;
    sum.total.freeMilli += resources.freeMilli - known.freeMilli;
    sum.total.queuedMilli += resources.queuedMilli - known.queuedMilli;
    sum.total.workers += resources.workers - known.workers;
    if (m_workers.contains(agent))
        known = resources;
    else
        sum.byAgent.erase(agent);
}

WorkerPool::ReachableSum &WorkerPool::reachableSum(const PlacementNeeds &needs)
{
    const auto found = std::find_if(m_reachable.begin(), m_reachable.end(), [&](const ReachableSum &sum) {
        return sum.service == needs.service && sum.requiredLabel == needs.requiredLabel
            && sum.size.cpuMilli == needs.size.cpuMilli && sum.size.memoryMb == needs.size.memoryMb
            && sum.size.accelerators == needs.size.accelerators;
    });
    if (found != m_reachable.end())
        return *found;
    if (m_reachable.size() >= mostReachableSums) {
        const auto byUse = [](const ReachableSum &a, const ReachableSum &b) { return a.lastUse < b.lastUse; };
        m_reachable.erase(std::min_element(m_reachable.begin(), m_reachable.end(), byUse));
    }
    m_reachable.push_back({.service = std::string(needs.service),
                           .requiredLabel = std::string(needs.requiredLabel),
                           .size = needs.size});
    return m_reachable.back();
}

ReachableResources WorkerPool::reachable(const PlacementNeeds &needs)
{
    ReachableSum &sum = reachableSum(needs);
    if (sum.lastUse == 0 || sum.changesSeen < m_changesForgotten) {
        sum.total = {};
        sum.byAgent.clear();
        for (const auto &[agent, worker] : m_workers)
            updateReachable(sum, agent);
    } else {
        for (size_t index = sum.changesSeen - m_changesForgotten; index < m_changes.size(); ++index)
            updateReachable(sum, m_changes[index]);
    }
    sum.changesSeen = m_changesForgotten + m_changes.size();
    sum.lastUse = ++m_reachableUses;
    return sum.total;
}

} // namespace turmericwell
