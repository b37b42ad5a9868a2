// Connects the queue, the target pools, the routing policy and the ejection of failing targets.
#include "routing/router.h"

#include <algorithm>
#include <cassert>

namespace turmericwell {

Router::Router(RouterOptions options)
    : m_options(std::move(options))
    , m_ejector(m_options.ejector)
{ }

// --- targets ---

RoutedTarget *Router::find(const std::string &agent)
{
    const auto found = m_targets.find(agent);
    return found == m_targets.end() ? nullptr : found->second.get();
}

template <typename Change>
void Router::change(RoutedTarget &target, Change apply)
{
    if (target.pool)
        target.pool->remove(target);
    m_idleCredits -= target.isOpen() ? target.idle : 0;
    apply(target);
    m_idleCredits += target.isOpen() ? target.idle : 0;
    if (target.pool)
        target.pool->add(target);
}

double Router::latencyTo(const std::string &zone) const
{
    // Zones without a declared latency rank after all zones that have one.
    constexpr double undeclaredLatencyMs = 1e6;
    if (zone == m_options.zone)
        return 0;
    const auto found = m_latencyMs.find(zone);
    return found == m_latencyMs.end() ? undeclaredLatencyMs : found->second;
}

void Router::agentUp(const std::string &agent, const TargetInfo &info)
{
    std::unique_ptr<RoutedTarget> &known = m_targets[agent];
    if (!known) {
        known = std::make_unique<RoutedTarget>();
        known->agent = agent;
    }
    TargetKind kind{
        .service = info.service,
        .offers = {.cores = info.cores, .memoryGb = info.memoryGb, .accelerators = info.accelerators}};
    std::unique_ptr<TargetPool> &pool = m_pools[kind];
    if (!pool) {
        pool = std::make_unique<TargetPool>(std::move(kind));
        for (Demand &demand : m_demands)
            refreshPools(demand);
    }
    if (known->pool)
        known->pool->remove(*known);
    known->pool = pool.get();
    pool->add(*known);
    change(*known, [&](RoutedTarget &target) {
        target.info = info;
        target.latencyMs = latencyTo(info.zone);
        target.ejected = m_ejector.isEjected(agent);
    });
}

void Router::agentDown(const std::string &agent)
{
    RoutedTarget *target = find(agent);
    if (!target)
        return;
    change(*target, [](RoutedTarget &gone) { gone.usable = false; });
    m_targets.erase(agent);
}

void Router::setUsable(const std::string &agent, bool usable)
{
    if (RoutedTarget *target = find(agent))
        change(*target, [&](RoutedTarget &changed) { changed.usable = usable; });
}

void Router::grant(const std::string &agent, uint32_t credits, uint32_t epoch)
{
    RoutedTarget *target = find(agent);
    if (!target || epoch < target->epoch)
        return;
    change(*target, [&](RoutedTarget &changed) {
        if (epoch > changed.epoch) {
            changed.epoch = epoch;
            changed.idle = 0;
        }
        changed.idle += credits;
    });
}

void Router::creditReturned(const std::string &agent, uint32_t epoch)
{
    grant(agent, 1, epoch);
}

void Router::loadReported(const std::string &agent, uint32_t load)
{
    RoutedTarget *target = find(agent);
    if (!target)
        return;
    target->load = load;
    if (target->busy)
        change(*target, [](RoutedTarget &changed) { changed.busy = false; });
}

void Router::startRejectedAsBusy(const std::string &agent)
{
    if (RoutedTarget *target = find(agent))
        change(*target, [](RoutedTarget &changed) { changed.busy = true; });
}

bool Router::targetAnswered(const std::string &agent, bool failed, Millis now)
{
    if (!m_ejector.record(agent, failed, m_targets.size(), now))
        return false;
    if (RoutedTarget *target = find(agent))
        change(*target, [](RoutedTarget &changed) { changed.ejected = true; });
    return true;
}

std::vector<std::string> Router::tick(Millis now)
{
    std::vector<std::string> restored = m_ejector.restore(now);
    for (const std::string &agent : restored) {
        if (RoutedTarget *target = find(agent))
            change(*target, [](RoutedTarget &changed) { changed.ejected = false; });
    }
    for (auto &[agent, target] : m_targets) {
        if (target->busy)
            change(*target, [](RoutedTarget &changed) { changed.busy = false; });
    }
    return restored;
}

void Router::setLatencies(std::map<std::string, double> latencyMs)
{
    m_latencyMs = std::move(latencyMs);
    for (auto &[agent, target] : m_targets) {
        const double latency = latencyTo(target->info.zone);
        change(*target, [&](RoutedTarget &changed) { changed.latencyMs = latency; });
    }
}

// --- tasks ---

bool Router::canEverRun(std::string_view service, const TaskNeeds &needs) const
{
    // Pools outlive their targets, so tasks are not rejected while all targets of a kind are disconnected.
    return std::any_of(m_pools.begin(), m_pools.end(),
                       [&](const auto &pool) { return pool.first.fits(service, needs); });
}

bool Router::hasCapacityFor(size_t tasks) const
{
    return m_queue.size() + tasks <= m_options.maxQueued;
}

void Router::refreshPools(Demand &demand) const
{
    demand.pools.clear();
    for (const auto &[kind, pool] : m_pools) {
        if (pool && kind.fits(demand.service, demand.needs))
            demand.pools.push_back(pool.get());
    }
}

DemandId Router::demandOf(const QueuedTask &task)
{
    const auto found = std::find_if(m_demands.begin(), m_demands.end(), [&](const Demand &demand) {
        return demand.needs == task.needs && demand.service == task.start.service;
    });
    if (found != m_demands.end())
        return static_cast<DemandId>(found - m_demands.begin());
    m_demands.push_back({.service = task.start.service, .needs = task.needs});
    refreshPools(m_demands.back());
    return static_cast<DemandId>(m_demands.size() - 1);
}

void Router::enqueue(QueuedTask task)
{
    const DemandId demand = demandOf(task);
    m_queue.push(demand, std::move(task));
}

bool Router::usesCredits() const
{
    return std::visit([](const auto &policy) { return policy.usesCredits; }, m_options.policy);
}

std::vector<Assignment> Router::assign()
{
    std::vector<Assignment> result;
    const bool credits = usesCredits();
    if (m_queue.size() == 0 || (credits && m_idleCredits == 0))
        return result;
    const auto canStart = [&](DemandId demand) {
        const PoolSpan pools(m_demands[demand].pools);
        return std::visit([&](const auto &policy) { return policy.canChoose(pools); }, m_options.policy);
    };
    while (std::optional<TeamQueue::Next> next = m_queue.pop(canStart)) {
        const PoolSpan pools(m_demands[next->demand].pools);
        RoutedTarget *target =
            std::visit([&](auto &policy) { return policy.choose(pools); }, m_options.policy);
        assert(target);
        ++target->load;
        if (credits)
            change(*target, [](RoutedTarget &changed) { --changed.idle; });
        next->task.start.usesCredit = credits;
        result.push_back({.agent = target->agent, .task = std::move(next->task)});
    }
    return result;
}

// --- balance between entries ---

std::vector<CreditAmount> Router::takeSurplusCredits(uint32_t peerIdle, uint32_t peerQueued)
{
    std::vector<CreditAmount> result;
    if (!usesCredits())
        return result;
    // Half of the difference evens out idle credits. A peer with queued tasks gets up to half of the idle
    // credits even if it has as many itself, since its own credits do not fit those tasks. The other half
    // stays here; otherwise the next task at this entry would have to request a credit.
    const uint32_t even = m_idleCredits > peerIdle ? (m_idleCredits - peerIdle) / 2 : 0;
    // Bounds the size of the message and the time under the lock; later messages transfer the rest.
    constexpr uint32_t maxTransfer = 256;
    uint32_t amount = std::min(maxTransfer, std::max(even, std::min(peerQueued, (m_idleCredits + 1) / 2)));
    // Takes one credit of each kind of target in turn, because the peer's tasks may need a certain kind.
    while (amount > 0 && m_idleCredits > 0) {
        for (const auto &[kind, pool] : m_pools) {
            RoutedTarget *target = amount > 0 ? pool->lastWithCredit() : nullptr;
            if (!target)
                continue;
            --amount;
            change(*target, [](RoutedTarget &changed) { --changed.idle; });
            const auto given = std::find_if(result.begin(), result.end(), [&](const CreditAmount &credit) {
                return credit.agent == target->agent;
            });
            if (given != result.end())
                ++given->credits;
            else
                result.push_back({.agent = target->agent, .credits = 1, .epoch = target->epoch});
        }
    }
    return result;
}

} // namespace turmericwell
