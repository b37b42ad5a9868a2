// Time in whole milliseconds, and the clocks that a process reads.
#pragma once

#include <compare>
#include <cstdint>

namespace turmericwell {

// A point in time or a duration, in milliseconds.
struct Millis
{
    int64_t count = 0;

    constexpr auto operator<=>(const Millis &) const = default;
    constexpr Millis &operator+=(Millis other)
    {
        count += other.count;
        return *this;
    }
};

constexpr Millis operator+(Millis a, Millis b)
{
    return {a.count + b.count};
}
constexpr Millis operator-(Millis a, Millis b)
{
    return {a.count - b.count};
}
constexpr Millis operator*(Millis a, int64_t factor)
{
    return {a.count * factor};
}
constexpr Millis operator/(Millis a, int64_t divisor)
{
    return {a.count / divisor};
}

namespace literals {
constexpr Millis operator""_ms(unsigned long long count)
{
    return {static_cast<int64_t>(count)};
}
} // namespace literals

// Reads the clocks of the machine. Decision logic never calls it; the current time is passed to it as an
// argument.
class Clock
{
public:
    // Monotonic time that includes suspension of the machine, so that a lease can lapse while it is
    // suspended.
    static Millis now();
    // Time since the Unix epoch, for events and for keys that contain their creation time.
    static Millis wall();
};

// Replaces the clocks of the calling thread for the lifetime of the object, including those of the thread's
// timers. An emulation runs many processes on one thread and advances the time itself.
class VirtualClock
{
public:
    explicit VirtualClock(Millis start);
    ~VirtualClock();
    VirtualClock(const VirtualClock &) = delete;
    VirtualClock &operator=(const VirtualClock &) = delete;

    Millis now() const { return m_now; }
    void moveTo(Millis time) { m_now = time; }
    // The virtual clock of the calling thread; null if the thread uses the clocks of the machine.
    static const VirtualClock *current();

private:
    Millis m_now;
};

} // namespace turmericwell
