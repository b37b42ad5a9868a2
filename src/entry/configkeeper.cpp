// Follows the config stream.
#include "entry/configkeeper.h"

namespace turmericwell {

ConfigKeeper::ConfigKeeper(IoContext &io, std::shared_ptr<LogClient> log, Millis pollWait, Handlers handlers)
    : m_handlers(std::move(handlers))
{
    m_follower = std::make_shared<LogFollower>(
        io, std::move(log), LogFollowerOptions{.stream = std::string(stream::config), .pollWait = pollWait},
        LogFollower::Handlers{.onRecord = [this](const LogRecord &record) { apply(record); },
                              .onExpired =
                                  [this](uint64_t oldest) {
                                      const std::lock_guard lock(m_mutex);
                                      m_state.startReadingAt(oldest);
                                  },
                              .onTail = m_handlers.onLogRead,
                              .onFailed = [this](const std::string &) { m_handlers.onLogFailed(); }});
}

void ConfigKeeper::start()
{
    m_follower->start(0);
}

void ConfigKeeper::stop()
{
    m_follower->stop();
}

uint64_t ConfigKeeper::version() const
{
    const std::lock_guard lock(m_mutex);
    return m_state.version();
}

ConfigPtr ConfigKeeper::current() const
{
    const std::lock_guard lock(m_mutex);
    return m_state.current();
}

std::string ConfigKeeper::stateText() const
{
    const std::lock_guard lock(m_mutex);
    return m_state.stateText();
}

void ConfigKeeper::adopt(const std::string &stateText)
{
    ConfigPtr adopted;
    {
        const std::lock_guard lock(m_mutex);
        if (!m_state.adopt(stateText))
            return;
        adopted = m_state.current();
    }
    m_handlers.onChanged(adopted);
}

void ConfigKeeper::apply(const LogRecord &record)
{
    RecordEffect effect = RecordEffect::Ignored;
    ConfigPtr config;
    {
        const std::lock_guard lock(m_mutex);
        effect = m_state.apply(record.offset, record.data);
        config = m_state.current();
    }
    if (effect == RecordEffect::Accepted)
        m_handlers.onChanged(config);
    else if (effect == RecordEffect::Conflict)
        m_handlers.onRefused("conflict");
}

} // namespace turmericwell
