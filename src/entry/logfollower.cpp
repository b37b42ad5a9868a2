// Long polling of one log stream.
#include "entry/logfollower.h"

namespace turmericwell {

LogFollower::LogFollower(IoContext &io, std::shared_ptr<LogClient> log, LogFollowerOptions options,
                         Handlers handlers)
    : m_log(std::move(log))
    , m_options(std::move(options))
    , m_handlers(std::move(handlers))
    , m_timer(io)
{ }

void LogFollower::start(uint64_t from)
{
    m_next = from;
    read();
}

void LogFollower::stop()
{
    m_stopped = true;
    m_timer.cancel();
}

void LogFollower::read()
{
    if (m_stopped)
        return;
    constexpr size_t batch = 500;
    constexpr Millis slack = {1'000};
    const Millis wait = m_atTail ? m_options.pollWait : Millis{0};
    const Millis sentAt = Clock::now();
    m_log->read(
        m_options.stream, m_next, batch, wait, wait + slack,
        [self = shared_from_this(), sentAt](const ReadResult &result) { self->handle(result, sentAt); });
}

void LogFollower::handle(const ReadResult &result, Millis sentAt)
{
    if (m_stopped)
        return;
    switch (result.status) {
    case ReadStatus::Failed:
        m_handlers.onFailed(result.error);
        readLater();
        return;
    case ReadStatus::Expired:
        m_handlers.onExpired(result.oldest);
        m_next = std::max(m_next, result.oldest);
        break;
    case ReadStatus::Done:
        for (const LogRecord &record : result.records)
            m_handlers.onRecord(record);
        // After records the next read does not wait: it proves at once that the tail was reached.
        m_atTail = result.records.empty();
        m_next = std::max(m_next, result.next);
        if (result.records.empty())
            m_handlers.onTail(sentAt);
        break;
    }
    read();
}

void LogFollower::readLater()
{
    constexpr Millis retryDelay = {200};
    m_timer.expires_after(std::chrono::milliseconds(retryDelay.count));
    m_timer.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
        if (!error)
            self->read();
    });
}

} // namespace turmericwell
