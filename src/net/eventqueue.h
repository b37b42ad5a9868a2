// Event queue of an emulation: runs callbacks at points in virtual time. While an event queue exists, the
// clocks and timers of the thread that created it use its virtual time, so that processes of the system can
// run unchanged in the emulation.
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
    // Schedules a callback; a time in the past counts as now. Callbacks with the same time run in the order
    // in which they were scheduled.
    void at(Millis time, std::function<void()> call);
    void after(Millis delay, std::function<void()> call) { at(now() + delay, std::move(call)); }
    // Advances the clock to the time of the next callback and runs all callbacks due at that time. If none is
    // due by the limit, only advances the clock to the limit. Callbacks that these schedule for the same time
    // run on the next call of runNext.
    void runNext(Millis limit);

    // Random source for the jitter of all emulated processes; sharing one makes a run reproducible from its
    // seed.
    std::minstd_rand &random() { return m_random; }
    // Event queue of the calling thread; null outside an emulation.
    static EventQueue *current();

private:
    VirtualClock m_clock;
    // Keyed by time and sequence number; the number preserves the scheduling order of equal times.
    std::map<std::pair<Millis, uint64_t>, std::function<void()>> m_events;
    uint64_t m_nextNumber = 0;
    std::minstd_rand m_random;
};

} // namespace turmericwell
