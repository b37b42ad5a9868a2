// Reads and appends configuration records.
#include "cli/configlog.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>

namespace turmericwell {

ConfigLog::ConfigLog(const Address &address)
    : m_log(m_io, address)
    , m_seen({m_state.current()})
{ }

ReadResult ConfigLog::readOnce(uint64_t from, Millis timeout)
{
    constexpr size_t batch = 500;
    ReadResult result;
    m_log.read(stream::config, from, batch, {0}, timeout, [&](ReadResult read) { result = std::move(read); });
    m_io.restart();
    m_io.run();
    return result;
}

bool ConfigLog::readToEnd(Millis until)
{
    uint64_t next = m_state.nextOffset();
    while (true) {
        const Millis left = until - Clock::now();
        if (left.count <= 0) {
            m_error = "timed out";
            return false;
        }
        const ReadResult result = readOnce(next, left);
        if (result.status == ReadStatus::Failed) {
            m_error = result.error;
            return false;
        }
        if (result.status == ReadStatus::Expired) {
            m_state.expiredBefore(result.oldest);
            next = result.oldest;
            continue;
        }
        for (const LogRecord &record : result.records) {
            m_state.apply(record.offset, record.data);
            if (m_state.version() != m_seen.back()->version)
                m_seen.push_back(m_state.current());
        }
        next = result.next;
        if (result.records.empty())
            return true;
    }
}

AppendResult ConfigLog::append(const std::string &record, Millis until)
{
    // Leaves time to look for the record if no answer comes.
    const Millis timeout = std::max(Millis{1}, (until - Clock::now()) / 2);
    AppendResult result;
    m_log.append(stream::config, record, timeout, [&](const AppendResult &done) { result = done; });
    m_io.restart();
    m_io.run();
    return result;
}

void ConfigLog::pause(Millis time)
{
    boost::asio::steady_timer timer(m_io, std::chrono::milliseconds(time.count));
    timer.wait();
}

ConfigPtr ConfigLog::at(uint64_t version) const
{
    const auto found = std::find_if(m_seen.begin(), m_seen.end(), [version](const ConfigPtr &config) {
        return config->version == version;
    });
    return found == m_seen.end() ? nullptr : *found;
}

} // namespace turmericwell
