// Time in whole milliseconds and the clock of a process.
#pragma once

#include <compare>
#include <cstdint>

namespace turmericwell {

// A point in time or a span of time, in milliseconds.
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

// Reads the clocks of the machine. Decision logic never calls it: time is passed in as an argument.
class Clock
{
public:
    // Monotonic time that also counts while the machine is suspended, so that a lease can lapse during a
    // suspension.
    static Millis now();
    // Time since the Unix epoch, for events and for keys that carry their creation time.
    static Millis wall();
};

// Replaces the clocks of the calling thread while it exists: an emulation runs many processes on one thread,
// in time that it moves on itself. Timers of the thread follow it as well.
class VirtualClock
{
public:
    explicit VirtualClock(Millis start);
    ~VirtualClock();
    VirtualClock(const VirtualClock &) = delete;
    VirtualClock &operator=(const VirtualClock &) = delete;

    Millis now() const { return m_now; }
    void moveTo(Millis time) { m_now = time; }
    // The one of the calling thread, null if the thread uses the machine's clocks.
    static const VirtualClock *current();

private:
    Millis m_now;
};

} // namespace turmericwell
