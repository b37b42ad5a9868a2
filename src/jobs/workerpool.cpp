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
    recordChange(agent);
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
    recordChange(agent);
}

void WorkerPool::remove(AgentNumber agent)
{
    m_workers.erase(agent);
    recordChange(agent);
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
    recordChange(agent);
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

const WorkerState *WorkerPool::find(AgentNumber agent) const
{
    const auto found = m_workers.find(agent);
    return found == m_workers.end() ? nullptr : &found->second.state;
}

} // namespace turmericwell
