// Routing by slot credits that the agents grant.
#include "routing/router.h"

#include <algorithm>

namespace turmericwell {

Router::Router(RouterOptions options)
    : m_options(std::move(options))
{ }

void Router::agentUp(const std::string &agent, const TargetInfo &target)
{
    m_targets[agent].info = target;
}

void Router::agentDown(const std::string &agent)
{
    m_targets.erase(agent);
}

void Router::setUsable(const std::string &agent, bool usable)
{
    const auto found = m_targets.find(agent);
    if (found != m_targets.end())
        found->second.usable = usable;
}

void Router::grant(const std::string &agent, uint32_t credits, uint32_t epoch)
{
    const auto found = m_targets.find(agent);
    if (found == m_targets.end() || epoch < found->second.epoch)
        return;
    Target &target = found->second;
    if (epoch > target.epoch) {
        target.epoch = epoch;
        target.idle = 0;
    }
    target.idle += credits;
}

void Router::creditReturned(const std::string &agent, uint32_t epoch)
{
    grant(agent, 1, epoch);
}

static bool fits(const TargetInfo &target, std::string_view service, const TaskNeeds &needs)
{
    return target.service == service && target.cores >= needs.cores && target.memoryGb >= needs.memoryGb
        && target.accelerators >= needs.accelerators;
}

bool Router::canEverRun(std::string_view service, const TaskNeeds &needs) const
{
    return std::any_of(m_targets.begin(), m_targets.end(),
                       [&](const auto &entry) { return fits(entry.second.info, service, needs); });
}

bool Router::hasRoomFor(size_t tasks) const
{
    return m_queue.size() + tasks <= m_options.maxQueued;
}

void Router::enqueue(QueuedTask task)
{
    m_queue.push_back(std::move(task));
}

std::optional<QueuedTask> Router::removeQueued(const TaskRef &task)
{
    const auto found = std::find_if(m_queue.begin(), m_queue.end(),
                                    [&](const QueuedTask &queued) { return queued.start.task == task; });
    if (found == m_queue.end())
        return std::nullopt;
    QueuedTask result = std::move(*found);
    m_queue.erase(found);
    return result;
}

std::vector<QueuedTask> Router::removeExpired(Millis now)
{
    std::vector<QueuedTask> expired;
    std::erase_if(m_queue, [&](QueuedTask &task) {
        if (now < task.deadline)
            return false;
        expired.push_back(std::move(task));
        return true;
    });
    return expired;
}

Router::Target *Router::choose(const QueuedTask &task, std::string &name)
{
    Target *best = nullptr;
    const auto rank = [&](const Target &target) {
        return std::pair(target.info.zone == m_options.zone, target.idle);
    };
    for (auto &[agent, target] : m_targets) {
        if (!target.usable || target.idle == 0 || !fits(target.info, task.start.service, task.needs))
            continue;
        if (!best || rank(target) > rank(*best)) {
            best = &target;
            name = agent;
        }
    }
    return best;
}

std::vector<Assignment> Router::assign()
{
    std::vector<Assignment> result;
    while (!m_queue.empty()) {
        std::string agent;
        Target *target = choose(m_queue.front(), agent);
        if (!target)
            break;
        --target->idle;
        m_queue.front().start.usesCredit = true;
        result.push_back({.agent = std::move(agent), .task = std::move(m_queue.front())});
        m_queue.pop_front();
    }
    return result;
}

uint32_t Router::idleCredits() const
{
    uint32_t total = 0;
    for (const auto &[agent, target] : m_targets)
        total += target.usable ? target.idle : 0;
    return total;
}

std::vector<CreditAmount> Router::surplusFor(uint32_t peerIdle, uint32_t peerQueued)
{
    std::vector<CreditAmount> result;
    const uint32_t mine = idleCredits();
    const uint32_t wanted = peerIdle < peerQueued ? peerQueued - peerIdle : 0;
    if (queued() > 0 || mine <= peerIdle + 1)
        return result;
    uint32_t amount = std::max((mine - peerIdle) / 4, std::min(wanted, mine / 2));
    for (auto &[agent, target] : m_targets) {
        const uint32_t credits = target.usable ? std::min(target.idle, amount) : 0;
        if (credits == 0)
            continue;
        target.idle -= credits;
        amount -= credits;
        result.push_back({.agent = agent, .credits = credits, .epoch = target.epoch});
    }
    return result;
}

} // namespace turmericwell
