// Batches events into records of the events stream.
#include "entry/eventshipper.h"

#include "observe/timeline.h"

#include <boost/json.hpp>

namespace turmericwell {

namespace json = boost::json;

// Own events in one record: 2,000 events of about 250 bytes are half a megabyte a second.
static constexpr size_t maxOwnEvents = 2'000;
static constexpr size_t maxAgentEvents = 4'000;

EventShipper::EventShipper(std::string entry, const EventLog &own, std::shared_ptr<LogClient> log)
    : m_entry(std::move(entry))
    , m_own(own)
    , m_log(std::move(log))
{ }

void EventShipper::take(std::vector<std::string> events)
{
    const std::lock_guard lock(m_mutex);
    for (std::string &event : events) {
        if (m_fromAgents.size() < maxAgentEvents)
            m_fromAgents.push_back(std::move(event));
        else
            ++m_skipped;
    }
}

void EventShipper::tick(Millis now)
{
    constexpr Millis interval = {1'000};
    constexpr Millis appendTimeout = {5'000};
    std::string record;
    {
        const std::lock_guard lock(m_mutex);
        if (m_appending || now - m_lastAppend < interval)
            return;
        if (m_record.empty())
            m_record = nextRecord();
        if (m_record.empty())
            return;
        m_lastAppend = now;
        m_appending = true;
        record = m_record;
    }
    m_log->append(stream::events, std::move(record), appendTimeout,
                  [this](const AppendResult &result) { finished(result); });
}

void EventShipper::flush(std::function<void()> onDone)
{
    // The end of the process does not wait long for a log that is down.
    constexpr Millis appendTimeout = {1'000};
    std::string record;
    {
        const std::lock_guard lock(m_mutex);
        record = nextRecord();
    }
    if (record.empty()) {
        onDone();
        return;
    }
    m_log->append(stream::events, std::move(record), appendTimeout,
                  [onDone = std::move(onDone)](const AppendResult &) { onDone(); });
}

std::string EventShipper::nextRecord()
{
    const std::vector<Event> own = m_own.since(m_shippedUpTo, SIZE_MAX);
    if (own.empty() && m_fromAgents.empty())
        return {};
    json::array events;
    const std::vector<Event> selected = selectForShipping(own, maxOwnEvents);
    for (const Event &event : selected)
        events.push_back(json::string(toJsonText(event)));
    m_skipped += own.size() - selected.size();
    if (!own.empty())
        m_shippedUpTo = own.back().sequence;
    for (const std::string &event : m_fromAgents)
        events.push_back(json::string(event));
    m_fromAgents.clear();
    return json::serialize(json::object{{"entry", m_entry}, {"events", std::move(events)}});
}

void EventShipper::finished(const AppendResult &result)
{
    const std::lock_guard lock(m_mutex);
    m_appending = false;
    if (result.status == AppendStatus::Done)
        m_record.clear();
}

uint64_t EventShipper::skipped() const
{
    const std::lock_guard lock(m_mutex);
    return m_skipped;
}

} // namespace turmericwell
