// Decision log of a process: one JSON object per line on standard output, written through log4cplus.
//
// Lines are buffered and flushed in groups. The rate is limited to a number of lines per second, and lines
// are dropped rather than blocking the process if standard output does not accept data. Dropped lines of both
// kinds are counted and reported in the log itself.
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
    // Lines in excess of this limit are dropped and counted. Lines written with `always` are exempt.
    uint32_t linesPerSecond = 800;
};

class StructuredLog
{
public:
    // Discards all lines; for tests and tools.
    StructuredLog() = default;
    StructuredLog(std::string process, StructuredLogOptions options);

    void write(Millis now, std::string_view event, std::initializer_list<LogField> fields);
    // Bypasses the rate limit; for events about process start and stop and about dependencies.
    void always(Millis now, std::string_view event, std::initializer_list<LogField> fields);
    // Writes the buffered lines to standard output. Must be called periodically.
    void flush(Millis now);

    // Each event is counted in decisions_total, even if its line is dropped.
    void setMetrics(Metrics *metrics) { m_metrics = metrics; }
    // Adds a sample to the named summary; does nothing without metrics.
    void observe(std::string_view summary, Millis sample) const;
    // Adds 1 to the named counter; does nothing without metrics.
    void count(std::string_view counter, std::string_view labelValue) const;
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
    // Lines dropped since the last log_lines_dropped event.
    uint64_t m_droppedUnreported = 0;
    uint64_t m_droppedTotal = 0;
};

} // namespace turmericwell
