// Event queue ordered by virtual time and, for equal times, by insertion.
#include "net/eventqueue.h"

#include <algorithm>

namespace turmericwell {

static thread_local EventQueue *threadQueue = nullptr;

EventQueue::EventQueue(Millis start, uint32_t seed)
    : m_clock(start)
    , m_random(seed)
{
    threadQueue = this;
}

EventQueue::~EventQueue()
{
    threadQueue = nullptr;
}

EventQueue *EventQueue::current()
{
    return threadQueue;
}

void EventQueue::at(Millis time, std::function<void()> call)
{
    m_events.emplace(std::pair(std::max(time, now()), m_nextNumber++), std::move(call));
}

void EventQueue::runNext(Millis limit)
{
    if (m_events.empty() || m_events.begin()->first.first > limit) {
        m_clock.moveTo(std::max(now(), limit));
        return;
    }
    m_clock.moveTo(m_events.begin()->first.first);
    const uint64_t firstNew = m_nextNumber;
    while (!m_events.empty() && m_events.begin()->first < std::pair(now(), firstNew))
        m_events.extract(m_events.begin()).mapped()();
}

} // namespace turmericwell
