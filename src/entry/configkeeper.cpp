// Follows the config stream.
#include "entry/configkeeper.h"

#include "observe/log.h"

#include <algorithm>

namespace turmericwell {

static const Logger &logger()
{
    static const Logger instance("config");
    return instance;
}

ConfigKeeper::ConfigKeeper(IoContext &io, std::shared_ptr<LogClient> log, Options options, Handlers handlers)
    : m_options(options)
    , m_handlers(std::move(handlers))
    , m_log(std::move(log))
{
    m_follower = std::make_shared<LogFollower>(
        io, m_log, LogFollowerOptions{.stream = std::string(stream::config), .pollWait = m_options.pollWait},
        LogFollower::Handlers{.onRecord = [this](const LogRecord &record) { apply(record); },
                              .onExpired =
                                  [this](uint64_t oldest) {
                                      const std::lock_guard lock(m_mutex);
                                      m_state.expiredBefore(oldest);
                                  },
                              .onTail =
                                  [this](Millis sentAt) {
                                      m_handlers.onLogRead(sentAt);
                                      appendSnapshotIfDue();
                                  },
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

bool ConfigKeeper::isPositionKnown() const
{
    const std::lock_guard lock(m_mutex);
    return m_state.isPositionKnown();
}

uint64_t ConfigKeeper::snapshotsAppended() const
{
    const std::lock_guard lock(m_mutex);
    return m_snapshots;
}

void ConfigKeeper::apply(const LogRecord &record)
{
    RecordEffect effect = RecordEffect::Ignored;
    ConfigPtr config;
    bool isNewer = false;
    {
        const std::lock_guard lock(m_mutex);
        const uint64_t before = m_state.version();
        effect = m_state.apply(record.offset, record.data);
        config = m_state.current();
        isNewer = config->version > before;
        noteSnapshot(record);
    }
    if (isNewer)
        m_handlers.onChanged(config);
    else if (effect == RecordEffect::Conflict)
        m_handlers.onRefused("conflict");
    else if (effect == RecordEffect::Invalid)
        m_handlers.onRefused("invalid_record");
}

void ConfigKeeper::noteSnapshot(const LogRecord &record)
{
    // Snapshot records are the only ones that name an upTo offset.
    if (record.data.find("\"upTo\"") == std::string::npos)
        return;
    // The clocks of the log and of this machine may differ; an age outside of the interval is cut off.
    const Millis age = std::clamp(Clock::wall() - record.time, Millis{0}, m_options.retention / 4);
    m_snapshotAt = Clock::now() - age;
}

void ConfigKeeper::appendSnapshotIfDue()
{
    // Another entry takes over after half of the retention, should the writer have died unnoticed.
    const Millis interval = m_handlers.isSnapshotWriter() ? m_options.retention / 4 : m_options.retention / 2;
    std::string snapshot;
    {
        const std::lock_guard lock(m_mutex);
        const bool due = !m_snapshotAt || Clock::now() - *m_snapshotAt >= interval;
        if (!due || m_appending || !m_state.isPositionKnown() || m_state.nextOffset() == 0)
            return;
        m_appending = true;
        snapshot = m_state.snapshotRecord();
    }
    constexpr Millis appendTimeout = {2'000};
    m_log->append(stream::config, std::move(snapshot), appendTimeout, [this](const AppendResult &result) {
        {
            const std::lock_guard lock(m_mutex);
            m_appending = false;
            if (result.status == AppendStatus::Done)
                ++m_snapshots;
        }
        if (result.status != AppendStatus::Done)
            logger().warning("a snapshot may not have been appended: " + result.error);
    });
}

} // namespace turmericwell
