// Steady timers of Asio.
#include "net/timers.h"

#include <boost/asio/steady_timer.hpp>

namespace turmericwell {

void Timers::after(Millis delay, std::function<void()> call)
{
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
        call();
        every(interval, call);
    });
}

} // namespace turmericwell
