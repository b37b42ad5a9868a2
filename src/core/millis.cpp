// Reads CLOCK_BOOTTIME and CLOCK_REALTIME.
#include "turmericwell/millis.h"

#include <ctime>

namespace turmericwell {

static thread_local const VirtualClock *threadClock = nullptr;

VirtualClock::VirtualClock(Millis start)
    : m_now(start)
{
    threadClock = this;
}

VirtualClock::~VirtualClock()
{
    threadClock = nullptr;
}

const VirtualClock *VirtualClock::current()
{
    return threadClock;
}

static Millis readClock(clockid_t id)
{
    if (threadClock)
        return threadClock->now();
    timespec time{};
    clock_gettime(id, &time);
    return {static_cast<int64_t>(time.tv_sec) * 1000 + time.tv_nsec / 1'000'000};
}

Millis Clock::now()
{
    return readClock(CLOCK_BOOTTIME);
}

Millis Clock::wall()
{
    return readClock(CLOCK_REALTIME);
}

} // namespace turmericwell
