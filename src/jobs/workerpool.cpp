// WorkerPool: accounting of free resources, and choice among the workers that fit a task.
#include "jobs/workerpool.h"
#include "core/overloaded.h"

#include <algorithm>
#include <cmath>

namespace turmericwell {

// One failure can be caused by the task itself; two in a row indicate a fault of the worker.
constexpr uint32_t failuresUntilAvoided = 2;
constexpr Millis firstAvoidance = {500};
constexpr Millis longestAvoidance = {4'000};
constexpr double timeRatioSmoothingFactor = 0.25;
// Smaller factors are within the error of the estimates, which are off by tens of percent.
constexpr double minSlowness = 1.5;
constexpr double maxTimeRatio = 20;
// The slowness of a worker without new runs is assumed to decay with this half-life.
constexpr Millis slownessHalfLife = {1'500};

void WorkerPool::report(AgentNumber agent, WorkerState state)
{
    Worker &worker = m_workers[agent];
    const uint64_t notReceived = worker.ordersSent - std::min(worker.ordersSent, state.ordersReceived);
    while (worker.unreportedOrders.size() > notReceived) {
        worker.unreportedTotal -= worker.unreportedOrders.front();
        worker.unreportedOrders.pop_front();
    }
    if (worker.state.worker != state.worker) {
        worker.failuresInRow = 0;
        worker.avoidUntil = {};
        worker.timeRatio = 1;
    }
    worker.state = std::move(state);
    raiseFreeBound(worker);
}

void WorkerPool::raiseFreeBound(const Worker &worker)
{
    int64_t &bound = m_maxFreeMilli[worker.state.service];
    bound = std::max(bound, freeResources(worker).cpuMilli);
}

void WorkerPool::runEnded(AgentNumber agent, const Resources &size)
{
    const auto found = m_workers.find(agent);
    if (found == m_workers.end())
        return;
    found->second.state.free += size;
    raiseFreeBound(found->second);
}

void WorkerPool::remove(AgentNumber agent)
{
    m_workers.erase(agent);
}

bool WorkerPool::admissible(const Worker &worker, const PlacementNeeds &needs) const
{
    const WorkerState &state = worker.state;
    if (!state.usable || state.draining || state.service != needs.service || m_evacuated.contains(state.zone))
        return false;
    const auto &labels = state.labels;
    return needs.requiredLabel.empty()
        || std::find(labels.begin(), labels.end(), needs.requiredLabel) != labels.end();
}

Resources WorkerPool::freeResources(const Worker &worker) const
{
    Resources available = worker.state.free;
    available -= worker.unreportedTotal;
    return available;
}

void WorkerPool::recordTimeRatio(AgentNumber agent, double timeRatio, Millis now)
{
    const auto found = m_workers.find(agent);
    if (found == m_workers.end())
        return;
    Worker &worker = found->second;
    worker.timeRatio += timeRatioSmoothingFactor * (std::min(timeRatio, maxTimeRatio) - worker.timeRatio);
    worker.timeRatioUpdatedAt = now;
}

double WorkerPool::slowness(const Worker &worker, Millis now)
{
    const double age = static_cast<double>((now - worker.timeRatioUpdatedAt).count)
        / static_cast<double>(slownessHalfLife.count);
    const double decayed = 1 + (worker.timeRatio - 1) * std::exp2(-age);
    return decayed < minSlowness ? 1 : decayed;
}

double WorkerPool::slowness(AgentNumber agent, Millis now) const
{
    const auto found = m_workers.find(agent);
    return found == m_workers.end() ? 1 : slowness(found->second, now);
}

double WorkerPool::placementScore(const Worker &worker, const Resources &available)
{
    // Jitter prevents entries with the same view from all choosing the same worker.
    std::uniform_real_distribution<double> jitter(0, 0.05);
    std::uniform_real_distribution<double> any(0, 1);
    const double share =
        static_cast<double>(available.cpuMilli) / static_cast<double>(worker.state.capacity.cpuMilli + 1);
    return std::visit(Overloaded{[&](const MostFreeShare &) { return share + jitter(m_random); },
                                 [&](const LeastFreeShare &) { return -share + jitter(m_random); },
                                 [&](const AnyFitting &) { return any(m_random); }},
                      m_policy);
}

std::optional<AgentNumber> WorkerPool::choose(const PlacementNeeds &needs, Millis now)
{
    const auto bound = m_maxFreeMilli.find(needs.service);
    if (bound == m_maxFreeMilli.end() || bound->second < needs.size.cpuMilli)
        return std::nullopt;
    std::optional<AgentNumber> best;
    double bestScore = 0;
    int64_t maxFree = 0;
    const bool mayAvoid = needs.avoided && !needs.avoided->empty() && canEverFit(needs);
    for (const auto &[agent, worker] : m_workers) {
        const Resources available = freeResources(worker);
        if (worker.state.service == needs.service)
            maxFree = std::max(maxFree, available.cpuMilli);
        if (!admissible(worker, needs) || !isEligible(agent, needs))
            continue;
        if (!available.holds(needs.size) || (mayAvoid && isAvoided(agent, needs)))
            continue;
        if (needs.workerLimit > 0 && needs.siblings) {
            const auto placed = needs.siblings->find(agent);
            if (placed != needs.siblings->end() && placed->second >= needs.workerLimit)
                continue;
        }
        const double slow = slowness(worker, now);
        if (slow > 1 && needs.slack.count > 0
            && static_cast<double>(needs.estimate.count) * (slow - 1)
                > static_cast<double>(needs.slack.count))
            continue;
        double score = placementScore(worker, available);
        const auto &labels = worker.state.labels;
        if (!needs.dataRack.empty()
            && std::find(labels.begin(), labels.end(), needs.dataRack) != labels.end())
            score += 1;
        score -= slow - 1;
        if (worker.avoidUntil > now)
            score -= 4;
        if (!best || score > bestScore) {
            best = agent;
            bestScore = score;
        }
    }
    if (!best)
        bound->second = maxFree;
    return best;
}

void WorkerPool::orderSent(AgentNumber agent, const Resources &size)
{
    Worker &worker = m_workers[agent];
    ++worker.ordersSent;
    worker.unreportedOrders.push_back(size);
    worker.unreportedTotal += size;
}

void WorkerPool::runFailed(AgentNumber agent, Millis now)
{
    const auto found = m_workers.find(agent);
    if (found == m_workers.end())
        return;
    Worker &worker = found->second;
    ++worker.failuresInRow;
    if (worker.failuresInRow < failuresUntilAvoided)
        return;
    const uint32_t doublings = std::min(worker.failuresInRow - failuresUntilAvoided, 3U);
    worker.avoidUntil = now + std::min(firstAvoidance * (int64_t{1} << doublings), longestAvoidance);
}

void WorkerPool::runSucceeded(AgentNumber agent)
{
    const auto found = m_workers.find(agent);
    if (found == m_workers.end())
        return;
    found->second.failuresInRow = 0;
    found->second.avoidUntil = {};
}

int64_t WorkerPool::capacityMilli(std::string_view service) const
{
    int64_t total = 0;
    for (const auto &[agent, worker] : m_workers) {
        if (admissible(worker, {.service = service}))
            total += worker.state.capacity.cpuMilli;
    }
    return total;
}

int64_t WorkerPool::freeMilli(std::string_view service) const
{
    int64_t total = 0;
    for (const auto &[agent, worker] : m_workers) {
        if (admissible(worker, {.service = service}))
            total += std::max<int64_t>(0, freeResources(worker).cpuMilli);
    }
    return total;
}

int64_t WorkerPool::queuedCpuMilli(std::string_view service) const
{
    int64_t total = 0;
    for (const auto &[agent, worker] : m_workers) {
        if (admissible(worker, {.service = service}))
            total += worker.state.queuedCpuMilli;
    }
    return total;
}

bool WorkerPool::isEligible(AgentNumber agent, const PlacementNeeds &needs)
{
    return (!needs.eligible || needs.eligible->contains(agent))
        && (!needs.excluded || !needs.excluded->contains(agent));
}

bool WorkerPool::isAvoided(AgentNumber agent, const PlacementNeeds &needs) const
{
    return needs.avoided && needs.avoided->contains(agent);
}

bool WorkerPool::canEverFit(const PlacementNeeds &needs) const
{
    return std::any_of(m_workers.begin(), m_workers.end(), [&](const auto &item) {
        return isEligible(item.first, needs) && !isAvoided(item.first, needs)
            && admissible(item.second, needs) && item.second.state.capacity.holds(needs.size);
    });
}

RackRoom WorkerPool::rackRoom(const PlacementNeeds &needs) const
{
    RackRoom room;
    for (const auto &[agent, worker] : m_workers) {
        if (!admissible(worker, needs) || !isEligible(agent, needs))
            continue;
        ++room.workers;
        room.capacityMilli += worker.state.capacity.cpuMilli;
        room.freeMilli += std::max<int64_t>(0, freeResources(worker).cpuMilli);
        const auto &labels = worker.state.labels;
        if (std::find(labels.begin(), labels.end(), needs.dataRack) == labels.end())
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

const WorkerState *WorkerPool::find(AgentNumber agent) const
{
    const auto found = m_workers.find(agent);
    return found == m_workers.end() ? nullptr : &found->second.state;
}

} // namespace turmericwell
