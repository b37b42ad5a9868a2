// Process log: short sentences with a fixed prefix for each part.
#pragma once

#include <string>
#include <string_view>

namespace turmericwell {

enum class LogLevel : unsigned char { Debug, Info, Warning, Error };

// Sends the log to standard error. Call once, before the first line.
void initLogging(LogLevel level);

// Writes lines with the prefix of one part, such as "entry: ". Cheap to copy; thread-safe.
class Logger
{
public:
    explicit Logger(std::string_view part);

    void debug(std::string_view sentence) const;
    void info(std::string_view sentence) const;
    void warning(std::string_view sentence) const;
    void error(std::string_view sentence) const;

private:
    std::string m_prefix;
};

} // namespace turmericwell
