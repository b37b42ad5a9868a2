// Calls at moments of virtual time. While an event queue exists, the clocks and timers of its thread follow
// it, so that processes of the system can run in an emulation.
#pragma once

#include "turmericwell/millis.h"

#include <functional>
#include <map>
#include <random>
#include <utility>

namespace turmericwell {

class EventQueue
{
public:
    EventQueue(Millis start, uint32_t seed);
    ~EventQueue();
    EventQueue(const EventQueue &) = delete;
    EventQueue &operator=(const EventQueue &) = delete;

    Millis now() const { return m_clock.now(); }
    // Calls of the same moment run in the order in which they were made.
    void at(Millis time, std::function<void()> call);
    void after(Millis delay, std::function<void()> call) { at(now() + delay, std::move(call)); }
    // Moves to the next moment that has calls, at most to the given one, and runs them. Calls that they make
    // for the same moment are left for the next time.
    void runNext(Millis limit);

    // Source of the jitter of all processes, so that a seed gives the same day again.
    std::minstd_rand &random() { return m_random; }
    // The one of the calling thread; null outside an emulation.
    static EventQueue *current();

private:
    VirtualClock m_clock;
    // By time and by the order of their making.
    std::map<std::pair<Millis, uint64_t>, std::function<void()>> m_events;
    uint64_t m_nextNumber = 0;
    std::minstd_rand m_random;
};

} // namespace turmericwell
