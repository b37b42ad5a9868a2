// Delayed calls through Asio's steady timers, or through the event queue in an emulation.
#include "net/timers.h"

#include "net/eventqueue.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

namespace turmericwell {

void Timers::after(Millis delay, std::function<void()> call)
{
    if (EventQueue *events = EventQueue::current()) {
        const auto guarded = [call = std::move(call), alive = std::weak_ptr(m_alive)] {
            if (!alive.expired())
                call();
        };
        // Posted to the io context of the process instead of called here, so that a paused process runs the
        // call only after it resumes.
        events->after(delay, [&io = m_io, guarded, alive = std::weak_ptr(m_alive)] {
            if (!alive.expired())
                boost::asio::post(io, guarded);
        });
        return;
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(m_io, std::chrono::milliseconds(delay.count));
    timer->async_wait(
        [timer, call = std::move(call), alive = std::weak_ptr(m_alive)](boost::system::error_code error) {
            if (!error && !alive.expired())
                call();
        });
}

void Timers::every(Millis interval, std::function<void()> call)
{
    after(interval, [this, interval, call = std::move(call)] {
        // Scheduled first, so that an exception from one call does not end the series.
        every(interval, call);
        call();
    });
}

} // namespace turmericwell
