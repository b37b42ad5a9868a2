// WorkerPool: accounting of free resources, and choice among the workers that fit a task.
#include "jobs/workerpool.h"
#include "core/overloaded.h"
#include "jobs/runslots.h"

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

// Load pattern: workers of lasting different speeds. With few runs the error of the estimates, which are off
// by tens of percent, is as large as the differences; this many runs are assumed at the median.
constexpr double assumedMedianRuns = 4;
constexpr Millis speedRefreshInterval = {250};
// Time from the end of a run to the answer to the client, and for the order.
constexpr Millis orderOverhead = {10};
// Weight of the probability that the task ends on time. The free share of a worker counts up to 1, so that
// a difference of one percent decides.
constexpr double onTimeWeight = 100;
// Learned speeds are off by some percent, since workers do not get the same mix of tasks. A task has to be on
// time with this error.
constexpr double speedError = 1.06;
// A worker with repeated failures is chosen only if no other one has room.
constexpr double avoidancePenalty = 4;
// A task waits for another worker while that is possible, rather than being late with more than this
// probability.
constexpr double mostLateShare = 0.8;
// Fast workers are kept free for the tasks that need them: a factor of two in speed weighs as much as this
// share of free processors.
constexpr double fastWorkerPrice = 0.5;
// With medians of three ratios, a single long task does not make a worker look slow, so that fewer ratios
// need to be averaged.
constexpr double medianSmoothingFactor = 0.5;

// With more workers than this, a sample of them is searched first: a decision must not cost more with more
// workers. The sample is large enough to contain workers of each speed with room.
constexpr size_t maxScannedWorkers = 128;
constexpr size_t sampledWorkers = 64;
constexpr size_t maxRackWorkers = 32;

void WorkerPool::updateLabels(AgentNumber agent, const std::vector<std::string> &before,
                              const std::vector<std::string> &after)
{
    if (before == after)
        return;
    for (const std::string &label : before) {
        const auto found = m_byLabel.find(label);
        if (found != m_byLabel.end() && found->second.erase(agent) > 0 && found->second.empty())
            m_byLabel.erase(found);
    }
    for (const std::string &label : after)
        m_byLabel[label].insert(agent);
}

void WorkerPool::recordActivity(Worker &worker, const WorkerState &next, Millis now)
{
    const Resources &before = worker.state.free;
    // Scarce processors are shown to one entry at a time as free, and to the others as not, so that their
    // rise from 0 is no sign of an end, unless the runs use nothing else.
    const bool usesMemory = before.memoryMb < worker.state.capacity.memoryMb;
    const bool hasMoreCpu = next.free.cpuMilli > before.cpuMilli && (before.cpuMilli > 0 || !usesMemory);
    const bool hasEnded = worker.state.worker != next.worker || next.free.memoryMb > before.memoryMb
        || next.free.accelerators > before.accelerators || hasMoreCpu;
    const int64_t used = std::max<int64_t>(0, worker.state.capacity.cpuMilli - before.cpuMilli);
    const Millis passed = std::max(Millis{0}, now - worker.activitySince);
    worker.quietCpuMs = hasEnded ? 0 : worker.quietCpuMs + static_cast<double>(used * passed.count);
    worker.activitySince = now;
}

void WorkerPool::report(AgentNumber agent, WorkerState state, Millis now)
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
        worker.earlierRatios = {1, 1};
    } else if (!isValidSpeed(state.speedPermille)) {
        state.speedPermille = worker.state.speedPermille;
        state.speedSamples = worker.state.speedSamples;
    }
    if (!isValidSpeed(state.speedPermille))
        state.speedPermille = 0;
    recordActivity(worker, state, now);
    updateLabels(agent, worker.state.labels, state.labels);
    const bool hasOtherSpeed =
        worker.state.speedPermille != state.speedPermille || worker.state.speedSamples != state.speedSamples;
    worker.state = std::move(state);
    if (m_learnsSpeeds && hasOtherSpeed) {
        Speeds &speeds = m_speeds[worker.state.service];
        speeds.changed = true;
        updateRelativeSpeed(worker, speeds.median);
    }
    raiseFreeBound(worker);
    recordChange(agent);
}

void WorkerPool::updateRelativeSpeed(Worker &worker, double median)
{
    const WorkerState &state = worker.state;
    worker.logSpeed = 0;
    if (median > 0 && state.speedPermille > 0) {
        const double weight = state.speedSamples / (state.speedSamples + assumedMedianRuns);
        worker.logSpeed = weight * std::log2(state.speedPermille / median);
    }
    worker.inverseSpeed = std::exp2(-worker.logSpeed);
}

void WorkerPool::refreshSpeeds(Speeds &speeds, std::string_view service, Millis now)
{
    if (!speeds.changed || now < speeds.nextRefresh)
        return;
    speeds.changed = false;
    speeds.nextRefresh = now + speedRefreshInterval;
    std::vector<uint32_t> known;
    for (const auto &[agent, worker] : m_workers) {
        if (worker.state.service == service && worker.state.speedPermille > 0)
            known.push_back(worker.state.speedPermille);
    }
    speeds.median = 0;
    if (!known.empty()) {
        const auto middle = known.begin() + static_cast<std::ptrdiff_t>(known.size() / 2);
        std::nth_element(known.begin(), middle, known.end());
        speeds.median = *middle;
    }
    for (auto &[agent, worker] : m_workers) {
        if (worker.state.service == service)
            updateRelativeSpeed(worker, speeds.median);
    }
}

double WorkerPool::relativeSpeed(AgentNumber agent) const
{
    const auto found = m_workers.find(agent);
    return found == m_workers.end() ? 1 : 1 / found->second.inverseSpeed;
}

size_t WorkerPool::workersWithKnownSpeed() const
{
    return static_cast<size_t>(std::count_if(m_workers.begin(), m_workers.end(), [](const auto &item) {
        return item.second.state.speedPermille > 0;
    }));
}

bool WorkerPool::isNear(const Worker &worker, std::string_view dataRack)
{
    return dataRack.empty() || hasLabel(worker, dataRack);
}

bool WorkerPool::isNear(AgentNumber agent, std::string_view dataRack) const
{
    const auto found = m_workers.find(agent);
    return dataRack.empty() || (found != m_workers.end() && isNear(found->second, dataRack));
}

WorkerActivity WorkerPool::activity(AgentNumber agent, Millis now) const
{
    const auto found = m_workers.find(agent);
    // Without the time of a report nothing is known.
    if (found == m_workers.end() || found->second.activitySince.count == 0)
        return {};
    const Worker &worker = found->second;
    const int64_t used = std::max<int64_t>(0, worker.state.capacity.cpuMilli - worker.state.free.cpuMilli);
    const Millis passed = std::max(Millis{0}, now - worker.activitySince);
    return {.usedCpuMilli = used, .quietCpuMs = worker.quietCpuMs + static_cast<double>(used * passed.count)};
}

void WorkerPool::raiseFreeBound(const Worker &worker)
{
    int64_t &bound = m_maxFreeMilli[worker.state.service];
    bound = std::max(bound, freeResources(worker).cpuMilli);
}

void WorkerPool::runEnded(AgentNumber agent, const Resources &size, Millis now)
{
    const auto found = m_workers.find(agent);
    if (found == m_workers.end())
        return;
    found->second.state.free += size;
    if (found->second.state.freeRuns > 0)
        ++found->second.state.freeRuns;
    found->second.quietCpuMs = 0;
    found->second.activitySince = std::max(found->second.activitySince, now);
    raiseFreeBound(found->second);
    recordChange(agent);
}

void WorkerPool::remove(AgentNumber agent)
{
    const auto found = m_workers.find(agent);
    if (found == m_workers.end())
        return;
    updateLabels(agent, found->second.state.labels, {});
    if (const auto speeds = m_speeds.find(found->second.state.service); speeds != m_speeds.end())
        speeds->second.changed = true;
    m_workers.erase(found);
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

bool WorkerPool::hasRunSlot(const Worker &worker, const Resources &size)
{
    if (worker.state.freeRuns == 0)
        return true;
    const auto sent = static_cast<int64_t>(worker.unreportedOrders.size());
    return hasSlotFor(worker.state.freeRuns - sent, isSmallTask(size, worker.state.capacity));
}

void WorkerPool::recordTimeRatio(AgentNumber agent, double timeRatio, Millis now)
{
    const auto found = m_workers.find(agent);
    if (found == m_workers.end())
        return;
    Worker &worker = found->second;
    timeRatio = std::min(timeRatio, maxTimeRatio);
    if (m_learnsSpeeds) {
        const auto [second, third] = worker.earlierRatios;
        const double median =
            std::max(std::min(timeRatio, second), std::min(std::max(timeRatio, second), third));
        worker.earlierRatios = {timeRatio, second};
        worker.timeRatio += medianSmoothingFactor * (median - worker.timeRatio);
    } else {
        worker.timeRatio += timeRatioSmoothingFactor * (timeRatio - worker.timeRatio);
    }
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

std::optional<double> WorkerPool::slownessScore(const PlacementNeeds &needs, double slow)
{
    if (slow > 1 && needs.slack.count > 0
        && static_cast<double>(needs.estimate.count) * (slow - 1) > static_cast<double>(needs.slack.count))
        return std::nullopt;
    return 1 - slow;
}

// Probability that a task ends on time if it takes `factor` times as long as on a worker of speed 1 near its
// data. Its deadline grows with its actual work.
static double onTimeShare(const PlacementNeeds &needs, double factor)
{
    const auto expected = static_cast<double>(needs.expectedNear.count);
    const double room =
        static_cast<double>((needs.untilDue - orderOverhead).count) - needs.stretch * expected;
    const double excess = (factor - needs.stretch) * expected;
    if (excess <= 0)
        return room >= 0 ? 1 : needs.ratios->shareAbove(room / std::min(excess, -1.0));
    return room <= 0 ? 0 : 1 - needs.ratios->shareAbove(room / excess);
}

std::optional<double> WorkerPool::speedScore(const Worker &worker, const PlacementNeeds &needs, double slow,
                                             bool isNearData)
{
    const double factor = worker.inverseSpeed * slow * speedError;
    const double onTimeNear = onTimeShare(needs, factor);
    if (needs.slack.count > 0 && factor > needs.stretch && onTimeNear < 1 - mostLateShare)
        return std::nullopt;
    const double onTime =
        isNearData || needs.farFactor <= 1 ? onTimeNear : onTimeShare(needs, factor * needs.farFactor);
    // A task that is hardly on time on this worker prefers fast ones, any other leaves them free.
    return onTimeWeight * onTime - (slow - 1) - fastWorkerPrice * worker.logSpeed * (2 * onTime - 1);
}

bool WorkerPool::usesSpeedsFor(const PlacementNeeds &needs, Millis now)
{
    if (!m_learnsSpeeds || needs.expectedNear.count <= 0 || !needs.ratios)
        return false;
    const auto speeds = m_speeds.find(needs.service);
    if (speeds == m_speeds.end())
        return false;
    refreshSpeeds(speeds->second, needs.service, now);
    return speeds->second.median > 0;
}

void WorkerPool::consider(Search &search, AgentNumber agent, const Worker &worker)
{
    const PlacementNeeds &needs = search.needs;
    if (!admissible(worker, needs) || !isEligible(agent, needs))
        return;
    const Resources available = freeResources(worker);
    if (!available.holds(needs.size) || !hasRunSlot(worker, needs.size))
        return;
    const bool avoided = isAvoided(agent, needs);
    if (search.leavesOutAvoided && avoided)
        return;
    if (needs.workerLimit > 0 && needs.siblings) {
        const auto placed = needs.siblings->find(agent);
        if (placed != needs.siblings->end() && placed->second >= needs.workerLimit)
            return;
    }
    const double slow = slowness(worker, search.now);
    const bool isNearData = isNear(worker, needs.dataRack);
    const std::optional<double> bySpeed =
        search.usesSpeeds ? speedScore(worker, needs, slow, isNearData) : slownessScore(needs, slow);
    if (!bySpeed)
        return;
    double score = placementScore(worker, available) + *bySpeed;
    if (!needs.dataRack.empty() && isNearData)
        score += 1;
    if (worker.avoidUntil > search.now || avoided)
        score -= search.usesSpeeds ? onTimeWeight : avoidancePenalty;
    if (!search.best || score > search.bestScore) {
        search.best = agent;
        search.bestScore = score;
    }
}

void WorkerPool::considerSome(Search &search)
{
    if (const auto rack = m_byLabel.find(search.needs.dataRack); rack != m_byLabel.end()) {
        size_t left = maxRackWorkers;
        for (auto agent = rack->second.begin(); agent != rack->second.end() && left > 0; ++agent, --left)
            consider(search, *agent, m_workers.at(*agent));
    }
    std::uniform_int_distribution<AgentNumber> any(m_workers.begin()->first, m_workers.rbegin()->first);
    auto item = m_workers.lower_bound(any(m_random));
    for (size_t left = sampledWorkers; left > 0; --left) {
        consider(search, item->first, item->second);
        if (++item == m_workers.end())
            item = m_workers.begin();
    }
}

std::optional<AgentNumber> WorkerPool::choose(const PlacementNeeds &needs, Millis now)
{
    const auto bound = m_maxFreeMilli.find(needs.service);
    if (bound == m_maxFreeMilli.end() || bound->second < needs.size.cpuMilli)
        return std::nullopt;
    const bool leavesOutAvoided =
        needs.avoided && !needs.avoided->empty() && needs.waitsForOthers && canEverFit(needs);
    Search search{.needs = needs,
                  .now = now,
                  .usesSpeeds = usesSpeedsFor(needs, now),
                  .leavesOutAvoided = leavesOutAvoided};
    if (search.usesSpeeds && m_workers.size() > maxScannedWorkers) {
        considerSome(search);
        const bool isLikelyOnTime = search.bestScore > onTimeWeight / 2;
        if (search.best && (isLikelyOnTime || needs.slack.count <= 0))
            return search.best;
    }
    int64_t maxFree = 0;
    for (const auto &[agent, worker] : m_workers) {
        if (worker.state.service == needs.service)
            maxFree = std::max(maxFree, freeResources(worker).cpuMilli);
        consider(search, agent, worker);
    }
    if (!search.best)
        bound->second = maxFree;
    return search.best;
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
