// Tasks that must not enter the router's queue yet.
#pragma once

#include "routing/queuedtask.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace turmericwell {

// A task is parked for a backoff, or throttled by the running limit of its service or team. Invariant: a task
// is stored at most once. m_due and m_throttled may still name tasks that have been removed. Not thread-safe.
class ParkedTasks
{
public:
    void park(QueuedTask task, Millis notBefore);
    void throttle(QueuedTask task);

    // Removes and returns the parked tasks whose backoff has passed.
    std::vector<QueuedTask> takeDue(Millis now);
    // Removes and returns the oldest throttled task of the next service and team that may release one, in
    // round-robin order.
    using MayRelease = std::function<bool(std::string_view service, std::string_view team)>;
    std::optional<QueuedTask> takeThrottled(const MayRelease &mayRelease);
    bool isThrottled(const std::string &service, const std::string &team) const;
    std::optional<QueuedTask> remove(const TaskRef &task);
    std::vector<QueuedTask> removeExpired(Millis now);
    size_t size() const { return m_tasks.size(); }

private:
    using Group = std::pair<std::string, std::string>;

    std::unordered_map<TaskRef, QueuedTask> m_tasks;
    std::multimap<Millis, TaskRef> m_due;
    std::map<Group, std::deque<TaskRef>> m_throttled;
    Group m_lastReleased;
};

} // namespace turmericwell
