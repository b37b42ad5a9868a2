// Writes JSON lines to standard output through a log4cplus appender.
#include "observe/structuredlog.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <fcntl.h>
#include <log4cplus/appender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/logger.h>
#include <log4cplus/spi/loggingevent.h>
#include <unistd.h>

namespace turmericwell {

constexpr Millis oneSecond = {1'000};

// Maximum size of one write. A non-blocking pipe accepts a write of up to this size completely or not at all,
// so no line is truncated.
constexpr size_t maxWriteBytes = 4'096;

// Buffers complete lines and writes them to standard output in groups.
class BufferedAppender : public log4cplus::Appender
{
public:
    ~BufferedAppender() override { destructorImpl(); }
    void close() override { closed = true; }

    // Writes and clears the buffer. Returns the number of lines that standard output did not accept.
    uint64_t writeBufferedLines()
    {
        uint64_t lost = 0;
        std::string_view rest = m_lines;
        while (!rest.empty()) {
            size_t bytes = std::min(rest.size(), maxWriteBytes);
            const size_t lastEnd = rest.rfind('\n', bytes - 1);
            bytes = lastEnd == std::string_view::npos ? rest.find('\n') + 1 : lastEnd + 1;
            const std::string_view group = rest.substr(0, bytes);
            if (::write(STDOUT_FILENO, group.data(), group.size()) != static_cast<ssize_t>(group.size()))
                lost += static_cast<uint64_t>(std::count(group.begin(), group.end(), '\n'));
            rest.remove_prefix(bytes);
        }
        m_lines.clear();
        return lost;
    }

protected:
    void append(const log4cplus::spi::InternalLoggingEvent &event) override
    {
        m_lines += event.getMessage();
        m_lines += '\n';
    }

private:
    std::string m_lines;
};

namespace {

// Logger and appender shared by all decision logs of the program; an emulation has several.
struct DecisionLog
{
    DecisionLog()
    {
        logger.removeAllAppenders();
        logger.addAppender(log4cplus::SharedAppenderPtr(appender));
        logger.setAdditivity(false);
        logger.setLogLevel(log4cplus::INFO_LOG_LEVEL);
    }

    log4cplus::Initializer initializer;
    // Owned by the logger.
    BufferedAppender *appender = new BufferedAppender;
    log4cplus::Logger logger = log4cplus::Logger::getInstance(LOG4CPLUS_TEXT("decisions"));
};

} // namespace

static DecisionLog &decisionLog()
{
    // Never destroyed, because lines may be written until the process exits.
    static auto *const instance = new DecisionLog;
    return *instance;
}

static BufferedAppender &decisionAppender()
{
    return *decisionLog().appender;
}

static log4cplus::Logger &decisionLogger()
{
    return decisionLog().logger;
}

StructuredLog::StructuredLog(std::string process, StructuredLogOptions options)
    : m_process(std::move(process))
    , m_options(options)
    , m_enabled(true)
{
    const int flags = ::fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0)
        ::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

static void appendText(std::string &line, std::string_view text)
{
    line += '"';
    for (const char c : text) {
        if (c == '"' || c == '\\') {
            line += '\\';
            line += c;
        } else if (static_cast<unsigned char>(c) < ' ') {
            line += ' ';
        } else {
            line += c;
        }
    }
    line += '"';
}

static void appendNumber(std::string &line, double number)
{
    if (!std::isfinite(number)) {
        line += "null";
        return;
    }
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.4g", number);
    line += text.data();
}

void StructuredLog::append(Millis now, std::string_view event, std::initializer_list<LogField> fields)
{
    std::string line = "{\"t\":" + std::to_string(now.count)
        + ",\"wall\":" + std::to_string(Clock::wall().count) + ",\"process\":";
    appendText(line, m_process);
    line += ",\"event\":";
    appendText(line, event);
    for (const LogField &field : fields) {
        line += ',';
        appendText(line, field.name);
        line += ':';
        std::visit(
            [&line](const auto &value) {
                using Value = std::decay_t<decltype(value)>;
                if constexpr (std::is_same_v<Value, std::string_view>)
                    appendText(line, value);
                else if constexpr (std::is_same_v<Value, bool>)
                    line += value ? "true" : "false";
                else if constexpr (std::is_same_v<Value, double>)
                    appendNumber(line, value);
                else
                    line += std::to_string(value);
            },
            field.value);
    }
    line += '}';
    decisionLogger().log(log4cplus::INFO_LOG_LEVEL, line);
}

void StructuredLog::count(std::string_view counter, std::string_view labelValue) const
{
    if (m_metrics)
        m_metrics->count(counter, labelValue);
}

void StructuredLog::observe(std::string_view summary, Millis sample) const
{
    if (m_metrics)
        m_metrics->observe(summary, static_cast<double>(sample.count));
}

void StructuredLog::write(Millis now, std::string_view event, std::initializer_list<LogField> fields)
{
    if (m_metrics)
        m_metrics->count("decisions_total", event);
    if (!m_enabled)
        return;
    if (now - m_secondStart >= oneSecond || now < m_secondStart) {
        m_secondStart = now;
        m_linesThisSecond = 0;
        if (m_droppedUnreported > 0)
            append(now, "log_lines_dropped", {{"lines", m_droppedUnreported}});
        m_droppedUnreported = 0;
    }
    if (++m_linesThisSecond > m_options.linesPerSecond) {
        ++m_droppedUnreported;
        ++m_droppedTotal;
        return;
    }
    append(now, event, fields);
}

void StructuredLog::always(Millis now, std::string_view event, std::initializer_list<LogField> fields)
{
    if (m_metrics)
        m_metrics->count("decisions_total", event);
    if (m_enabled)
        append(now, event, fields);
}

void StructuredLog::flush(Millis)
{
    if (!m_enabled)
        return;
    const uint64_t lost = decisionAppender().writeBufferedLines();
    m_droppedUnreported += lost;
    m_droppedTotal += lost;
}

} // namespace turmericwell
