// Event buffer and JSON encoding of events.
#include "observe/eventlog.h"

#include <boost/json.hpp>

namespace turmericwell {

namespace json = boost::json;

EventLog::EventLog(EventLogOptions options)
    : m_options(std::move(options))
{ }

uint64_t EventLog::record(Event event)
{
    event.time = Clock::wall();
    event.process = m_options.process;
    event.zone = event.zone.empty() ? m_options.zone : event.zone;
    const std::lock_guard lock(m_mutex);
    event.sequence = m_nextSequence++;
    if (m_events.size() >= m_options.capacity) {
        m_events.pop_front();
        ++m_dropped;
    }
    m_events.push_back(std::move(event));
    return m_events.back().sequence;
}

std::vector<Event> EventLog::since(uint64_t after, size_t maxEvents) const
{
    const std::lock_guard lock(m_mutex);
    std::vector<Event> result;
    if (m_events.empty())
        return result;
    const uint64_t first = m_events.front().sequence;
    size_t index = after < first ? 0 : after - first + 1;
    for (; index < m_events.size() && result.size() < maxEvents; ++index)
        result.push_back(m_events[index]);
    return result;
}

uint64_t EventLog::dropped() const
{
    const std::lock_guard lock(m_mutex);
    return m_dropped;
}

std::string toJsonText(const Event &event)
{
    json::object object{{"timeMs", event.time.count},
                        {"process", event.process},
                        {"sequence", event.sequence},
                        {"kind", toString(event.kind)}};
    const auto addText = [&](std::string_view key, const std::string &value) {
        if (!value.empty())
            object[key] = value;
    };
    addText("zone", event.zone);
    addText("job", event.job);
    addText("task", event.task);
    addText("target", event.target);
    if (event.configVersion != 0)
        object["configVersion"] = event.configVersion;
    addText("reason", event.reason);
    addText("causeProcess", event.causeProcess);
    if (event.causeSequence != 0)
        object["causeSequence"] = event.causeSequence;
    return json::serialize(object);
}

static std::optional<EventKind> kindFromText(std::string_view text)
{
    for (int i = 0; i <= static_cast<int>(EventKind::BecameCurrent); ++i) {
        const auto kind = static_cast<EventKind>(i);
        if (toString(kind) == text)
            return kind;
    }
    return std::nullopt;
}

std::optional<Event> eventFromJson(std::string_view text)
{
    boost::system::error_code error;
    const json::value value = json::parse(text, error);
    if (error || !value.is_object())
        return std::nullopt;
    const json::object &object = value.get_object();
    const auto textAt = [&](std::string_view key) {
        const json::value *found = object.if_contains(key);
        return found && found->is_string() ? std::string(std::string_view(found->get_string()))
                                           : std::string();
    };
    const auto countAt = [&](std::string_view key) -> uint64_t {
        const json::value *found = object.if_contains(key);
        boost::system::error_code countError;
        return found && found->is_number() ? found->to_number<uint64_t>(countError) : 0;
    };
    const std::optional<EventKind> kind = kindFromText(textAt("kind"));
    if (!kind)
        return std::nullopt;
    return Event{.kind = *kind,
                 .time = {static_cast<int64_t>(countAt("timeMs"))},
                 .process = textAt("process"),
                 .zone = textAt("zone"),
                 .sequence = countAt("sequence"),
                 .job = textAt("job"),
                 .task = textAt("task"),
                 .target = textAt("target"),
                 .configVersion = countAt("configVersion"),
                 .reason = textAt("reason"),
                 .causeProcess = textAt("causeProcess"),
                 .causeSequence = countAt("causeSequence")};
}

} // namespace turmericwell
