// Decision log of a process: one JSON object a line on standard output, written through log4cplus.
//
// Lines are buffered and flushed in groups. The number of lines a second is bounded, and a standard output
// that does not take data loses lines instead of blocking the process; both losses are counted and reported
// in the log itself.
#pragma once

#include "observe/metrics.h"
#include "turmericwell/millis.h"

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace turmericwell {

struct LogField
{
    std::string_view name;
    std::variant<int64_t, double, bool, std::string_view> value;

    LogField(std::string_view fieldName, std::string_view text)
        : name(fieldName)
        , value(text)
    { }
    LogField(std::string_view fieldName, const char *text)
        : name(fieldName)
        , value(std::string_view(text))
    { }
    LogField(std::string_view fieldName, const std::string &text)
        : name(fieldName)
        , value(std::string_view(text))
    { }
    LogField(std::string_view fieldName, Millis time)
        : name(fieldName)
        , value(time.count)
    { }
    LogField(std::string_view fieldName, bool flag)
        : name(fieldName)
        , value(flag)
    { }
    LogField(std::string_view fieldName, double number)
        : name(fieldName)
        , value(number)
    { }
    template <std::integral Number>
    LogField(std::string_view fieldName, Number number)
        : name(fieldName)
        , value(static_cast<int64_t>(number))
    { }
};

struct StructuredLogOptions
{
    // Lines of one second beyond this are dropped and counted. Lines written with `always` do not count.
    uint32_t linesPerSecond = 800;
};

class StructuredLog
{
public:
    // Lines go nowhere; for tests and tools.
    StructuredLog() = default;
    StructuredLog(std::string process, StructuredLogOptions options);

    void write(Millis now, std::string_view event, std::initializer_list<LogField> fields);
    // For starts, stops and dependencies: not subject to the bound.
    void always(Millis now, std::string_view event, std::initializer_list<LogField> fields);
    // Hands the buffered lines to standard output. Call regularly.
    void flush(Millis now);

    // Each event is counted in decisions_total, whether its line is written or not.
    void setMetrics(Metrics *metrics) { m_metrics = metrics; }
    // Adds a sample to a summary of the metrics.
    void observe(std::string_view summary, Millis sample) const;
    uint64_t droppedLines() const { return m_droppedTotal; }

private:
    void append(Millis now, std::string_view event, std::initializer_list<LogField> fields);

    std::string m_process;
    StructuredLogOptions m_options;
    bool m_enabled = false;
    // May be null.
    Metrics *m_metrics = nullptr;
    Millis m_secondStart;
    uint32_t m_linesThisSecond = 0;
    // Dropped since the last line that reported drops.
    uint64_t m_droppedUnreported = 0;
    uint64_t m_droppedTotal = 0;
};

} // namespace turmericwell
