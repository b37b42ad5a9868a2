// JobWaiters: a list without order; jobs have few waiters.
#include "jobs/jobwaiters.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace turmericwell {

void JobWaiters::add(CallerId caller, Millis until, JobReplyHandler onDone, Millis now)
{
    std::erase_if(m_waiters, [&](const Waiter &waiter) {
        return waiter.until < now || (caller.isKnown() && waiter.caller == caller);
    });
    m_waiters.push_back({.caller = std::move(caller), .until = until, .onDone = std::move(onDone)});
}

bool JobWaiters::remove(const CallerId &caller)
{
    return caller.isKnown()
        && std::erase_if(m_waiters, [&](const Waiter &waiter) { return waiter.caller == caller; }) > 0;
}

void JobWaiters::take(JobWaiters &&other)
{
    std::move(other.m_waiters.begin(), other.m_waiters.end(), std::back_inserter(m_waiters));
    other.m_waiters.clear();
}

std::vector<JobReplyHandler> JobWaiters::takeAll()
{
    std::vector<JobReplyHandler> handlers;
    handlers.reserve(m_waiters.size());
    for (Waiter &waiter : std::exchange(m_waiters, {}))
        handlers.push_back(std::move(waiter.onDone));
    return handlers;
}

Millis JobWaiters::latestEnd() const
{
    Millis latest;
    for (const Waiter &waiter : m_waiters)
        latest = std::max(latest, waiter.until);
    return latest;
}

} // namespace turmericwell
