// Timers of Asio on the steady clock, or on the thread's virtual clock.
#include "net/timers.h"

#include <boost/asio/basic_waitable_timer.hpp>
#include <chrono>

namespace turmericwell {

namespace {

struct TimerClock
{
    using duration = std::chrono::steady_clock::duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<TimerClock>;
    static constexpr bool is_steady = true;

    static time_point now()
    {
        if (const VirtualClock *clock = VirtualClock::current())
            return time_point(std::chrono::milliseconds(clock->now().count));
        return time_point(std::chrono::steady_clock::now().time_since_epoch());
    }
};

using Timer = boost::asio::basic_waitable_timer<TimerClock>;

} // namespace

void Timers::after(Millis delay, std::function<void()> call)
{
    auto timer = std::make_shared<Timer>(m_io, std::chrono::milliseconds(delay.count));
    timer->async_wait(
        [timer, call = std::move(call), alive = std::weak_ptr(m_alive)](boost::system::error_code error) {
            if (!error && !alive.expired())
                call();
        });
}

void Timers::every(Millis interval, std::function<void()> call)
{
    after(interval, [this, interval, call = std::move(call)] {
        call();
        every(interval, call);
    });
}

} // namespace turmericwell
