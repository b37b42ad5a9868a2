// Reads one stream of the log from an offset on, for ever.
#pragma once

#include "logservice/logclient.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>

namespace turmericwell {

struct LogFollowerOptions
{
    std::string stream;
    Millis pollWait = {1'000};
};

class LogFollower : public std::enable_shared_from_this<LogFollower>
{
public:
    struct Handlers
    {
        std::function<void(const LogRecord &record)> onRecord;
        // The records before this offset are no longer readable.
        std::function<void(uint64_t oldest)> onExpired;
        // A read that was sent at this time has reached the tail of the stream.
        std::function<void(Millis sentAt)> onTail;
        std::function<void(const std::string &error)> onFailed;
    };

    LogFollower(IoContext &io, std::shared_ptr<LogClient> log, LogFollowerOptions options, Handlers handlers);

    void start(uint64_t from);
    void stop();

private:
    void read();
    void handle(const ReadResult &result, Millis sentAt);
    void readLater();

    std::shared_ptr<LogClient> m_log;
    LogFollowerOptions m_options;
    Handlers m_handlers;
    boost::asio::steady_timer m_timer;
    uint64_t m_next = 0;
    // The first read does not wait, so that a start learns the tail at once.
    bool m_atTail = false;
    bool m_stopped = false;
};

} // namespace turmericwell
