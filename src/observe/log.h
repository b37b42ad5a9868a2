// Process log: plain-text messages, prefixed with the name of the component that writes them.
#pragma once

#include <string>
#include <string_view>

namespace turmericwell {

enum class LogLevel : unsigned char { Debug, Info, Warning, Error };

// Directs the log to standard error. Must be called once, before the first message.
void initLogging(LogLevel level);

// Logs messages with the prefix of one component, such as "entry: ". Cheap to copy; thread-safe.
class Logger
{
public:
    explicit Logger(std::string_view component);

    void debug(std::string_view message) const;
    void info(std::string_view message) const;
    void warning(std::string_view message) const;
    void error(std::string_view message) const;

private:
    std::string m_prefix;
};

} // namespace turmericwell
