// Bounded in-memory buffer of the events of one process, and the JSON encoding of events.
#pragma once

#include "turmericwell/event.h"

#include <cstddef>
#include <deque>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace turmericwell {

struct EventLogOptions
{
    std::string process;
    std::string zone;
    size_t capacity = 50'000;
};

// Thread-safe. A full buffer drops its oldest event for each new one; readers detect the loss by the gap in
// the sequence numbers.
class EventLog
{
public:
    explicit EventLog(EventLogOptions options);

    // Sets the time, process and sequence of the event, and the zone if it is empty. Returns the sequence.
    uint64_t record(Event event);
    // At most `maxEvents` events with a sequence greater than `after`, oldest first.
    std::vector<Event> since(uint64_t after, size_t maxEvents) const;
    uint64_t dropped() const;

private:
    EventLogOptions m_options;
    mutable std::mutex m_mutex;
    std::deque<Event> m_events;
    uint64_t m_nextSequence = 1;
    uint64_t m_dropped = 0;
};

std::string toJsonText(const Event &event);
std::optional<Event> eventFromJson(std::string_view text);

} // namespace turmericwell
