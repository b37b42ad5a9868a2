// WorkerPool: views of the workers that a task may use, for the wait near the data and for explanations.
#include "core/overloaded.h"
#include "jobs/workerpool.h"

#include <algorithm>

namespace turmericwell {

RackRoom WorkerPool::rackRoom(const PlacementNeeds &needs) const
{
    RackRoom room;
    for (const auto &[agent, worker] : m_workers) {
        if (!admissible(worker, needs) || !isEligible(agent, needs))
            continue;
        ++room.workers;
        room.capacityMilli += worker.state.capacity.cpuMilli;
        room.freeMilli += std::max<int64_t>(0, freeResources(worker).cpuMilli);
        if (!hasLabel(worker, needs.dataRack))
            continue;
        ++room.rackWorkers;
        room.largestOnRackMilli = std::max(room.largestOnRackMilli, worker.state.capacity.cpuMilli);
    }
    return room;
}

bool WorkerPool::hasLabel(const Worker &worker, std::string_view label)
{
    const auto &labels = worker.state.labels;
    return std::find(labels.begin(), labels.end(), label) != labels.end();
}

std::string_view WorkerPool::exclusion(AgentNumber agent, const Worker &worker, const PlacementNeeds &needs,
                                       Millis now) const
{
    const WorkerState &state = worker.state;
    if (!state.usable)
        return "the worker is not usable";
    if (state.draining)
        return "the worker drains";
    if (m_evacuated.contains(state.zone))
        return "work is withdrawn from the zone";
    if (!needs.requiredLabel.empty() && !hasLabel(worker, needs.requiredLabel))
        return "the required label is missing";
    if (needs.eligible && !needs.eligible->contains(agent))
        return "the agent has not reported to the owner";
    if (needs.excluded && needs.excluded->contains(agent))
        return "the agent does not serve the partition";
    if (!state.capacity.holds(needs.size))
        return "the worker is too small";
    if (!freeResources(worker).holds(needs.size))
        return "not enough free resources";
    if (!hasRunSlot(worker, needs.size))
        return "too many runs";
    const double slow = slowness(worker, now);
    const bool isTooSlow = slow > 1 && needs.slack.count > 0
        && static_cast<double>(needs.estimate.count) * (slow - 1) > static_cast<double>(needs.slack.count);
    return isTooSlow ? "too slow for the deadline" : "";
}

std::vector<PlacementCandidate> WorkerPool::candidates(const PlacementNeeds &needs, Millis now) const
{
    std::vector<PlacementCandidate> result;
    for (const auto &[agent, worker] : m_workers) {
        if (worker.state.service != needs.service)
            continue;
        const int64_t free = std::max<int64_t>(0, freeResources(worker).cpuMilli);
        PlacementCandidate candidate{.agent = agent,
                                     .worker = worker.state.worker,
                                     .zone = worker.state.zone,
                                     .exclusion = exclusion(agent, worker, needs, now),
                                     .isNear = needs.dataRack.empty() || hasLabel(worker, needs.dataRack),
                                     .freeMilli = free,
                                     .slowness = slowness(worker, now)};
        const double share =
            static_cast<double>(free) / static_cast<double>(worker.state.capacity.cpuMilli + 1);
        candidate.score = std::visit(Overloaded{[&](const MostFreeShare &) { return share; },
                                                [&](const LeastFreeShare &) { return -share; },
                                                [&](const AnyFitting &) { return 0.0; }},
                                     m_policy);
        if (!needs.dataRack.empty() && candidate.isNear)
            candidate.score += 1;
        candidate.score -= candidate.slowness - 1;
        if (worker.avoidUntil > now)
            candidate.score -= 4;
        result.push_back(std::move(candidate));
    }
    std::stable_sort(result.begin(), result.end(), [](const auto &a, const auto &b) {
        return std::pair(!a.exclusion.empty(), -a.score) < std::pair(!b.exclusion.empty(), -b.score);
    });
    return result;
}

} // namespace turmericwell
