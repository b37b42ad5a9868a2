// Process log on log4cplus.
#include "observe/log.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>

namespace turmericwell {

static log4cplus::Logger &rootLogger()
{
    struct Root
    {
        log4cplus::Initializer initializer;
        log4cplus::Logger logger = log4cplus::Logger::getRoot();
    };
    // Never destroyed, because threads may log until the process exits.
    static auto *const root = new Root;
    return root->logger;
}

static log4cplus::LogLevel toLog4cplus(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case LogLevel::Info:
        return log4cplus::INFO_LOG_LEVEL;
    case LogLevel::Warning:
        return log4cplus::WARN_LOG_LEVEL;
    case LogLevel::Error:
        break;
    }
    return log4cplus::ERROR_LOG_LEVEL;
}

void initLogging(LogLevel level)
{
    log4cplus::Logger &logger = rootLogger();
    constexpr bool logToStandardError = true;
    constexpr bool flushEachLine = true;
    log4cplus::SharedAppenderPtr appender(new log4cplus::ConsoleAppender(logToStandardError, flushEachLine));
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%D{%Y-%m-%dT%H:%M:%S.%q} %-5p %m%n"));
    logger.removeAllAppenders();
    logger.addAppender(appender);
    logger.setLogLevel(toLog4cplus(level));
}

Logger::Logger(std::string_view component)
    : m_prefix(std::string(component) + ": ")
{ }

static void write(LogLevel level, const std::string &prefix, std::string_view message)
{
    log4cplus::Logger &logger = rootLogger();
    const log4cplus::LogLevel nativeLevel = toLog4cplus(level);
    if (logger.isEnabledFor(nativeLevel))
        logger.log(nativeLevel, prefix + std::string(message));
}

void Logger::debug(std::string_view message) const
{
    write(LogLevel::Debug, m_prefix, message);
}

void Logger::info(std::string_view message) const
{
    write(LogLevel::Info, m_prefix, message);
}

void Logger::warning(std::string_view message) const
{
    write(LogLevel::Warning, m_prefix, message);
}

void Logger::error(std::string_view message) const
{
    write(LogLevel::Error, m_prefix, message);
}

} // namespace turmericwell
