// Stores rejected tasks during their backoff and tasks above a running limit.
#include "dispatch/parkedtasks.h"

#include <algorithm>

namespace turmericwell {

void ParkedTasks::park(QueuedTask task, Millis notBefore)
{
    m_due.emplace(notBefore, task.start.task);
    const TaskRef ref = task.start.task;
    m_tasks.emplace(ref, std::move(task));
}

void ParkedTasks::throttle(QueuedTask task)
{
    m_throttled[{task.start.service, task.start.team}].push_back(task.start.task);
    const TaskRef ref = task.start.task;
    m_tasks.emplace(ref, std::move(task));
}

std::optional<QueuedTask> ParkedTasks::remove(const TaskRef &task)
{
    const auto found = m_tasks.find(task);
    if (found == m_tasks.end())
        return std::nullopt;
    QueuedTask result = std::move(found->second);
    m_tasks.erase(found);
    return result;
}

std::vector<QueuedTask> ParkedTasks::takeDue(Millis now)
{
    std::vector<QueuedTask> due;
    while (!m_due.empty() && m_due.begin()->first <= now) {
        if (std::optional<QueuedTask> task = remove(m_due.begin()->second))
            due.push_back(std::move(*task));
        m_due.erase(m_due.begin());
    }
    return due;
}

bool ParkedTasks::isThrottled(const std::string &service, const std::string &team) const
{
    return m_throttled.contains({service, team});
}

std::optional<QueuedTask> ParkedTasks::takeThrottled(const MayRelease &mayRelease)
{
    auto group = m_throttled.upper_bound(m_lastReleased);
    for (size_t left = m_throttled.size(); left > 0; --left) {
        if (group == m_throttled.end())
            group = m_throttled.begin();
        if (!mayRelease(group->first.first, group->first.second)) {
            ++group;
            continue;
        }
        std::optional<QueuedTask> task;
        while (!task && !group->second.empty()) {
            task = remove(group->second.front());
            group->second.pop_front();
        }
        if (task)
            m_lastReleased = group->first;
        group = group->second.empty() ? m_throttled.erase(group) : std::next(group);
        if (task)
            return task;
    }
    return std::nullopt;
}

std::vector<QueuedTask> ParkedTasks::removeExpired(Millis now)
{
    std::vector<TaskRef> expired;
    for (const auto &[ref, task] : m_tasks) {
        if (now >= task.deadline)
            expired.push_back(ref);
    }
    std::vector<QueuedTask> result;
    result.reserve(expired.size());
    for (const TaskRef &ref : expired)
        result.push_back(std::move(*remove(ref)));
    return result;
}

} // namespace turmericwell
