// Keeps the configuration of an entry up to date from the log, or from peers while the log cannot be read.
#pragma once

#include "config/configstate.h"
#include "entry/logfollower.h"

#include <functional>
#include <memory>
#include <mutex>
#include <string>

namespace turmericwell {

// Thread-safe.
class ConfigKeeper
{
public:
    struct Handlers
    {
        std::function<void(const ConfigPtr &config)> onChanged;
        // A change was refused by the acceptance rule.
        std::function<void(const std::string &reason)> onRefused;
        // A read that was sent at this time has reached the tail of the config stream.
        std::function<void(Millis sentAt)> onLogRead;
        std::function<void()> onLogFailed;
    };

    ConfigKeeper(IoContext &io, std::shared_ptr<LogClient> log, Millis pollWait, Handlers handlers);

    void start();
    void stop();
    uint64_t version() const;
    ConfigPtr current() const;
    // State for a peer that knows less, and the other direction.
    std::string stateText() const;
    void adopt(const std::string &stateText);

private:
    void apply(const LogRecord &record);

    Handlers m_handlers;
    std::shared_ptr<LogFollower> m_follower;
    mutable std::mutex m_mutex;
    ConfigState m_state;
};

} // namespace turmericwell
