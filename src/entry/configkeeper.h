// Keeps the configuration of an entry up to date from the log, or from peers while the log cannot be read.
#pragma once

#include "config/configstate.h"
#include "entry/logfollower.h"

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace turmericwell {

// Thread-safe.
class ConfigKeeper
{
public:
    struct Options
    {
        Millis pollWait;
        Millis retention;
    };

    struct Handlers
    {
        std::function<void(const ConfigPtr &config)> onChanged;
        // A change was refused by the acceptance rule.
        std::function<void(const std::string &reason)> onRefused;
        // A read that was sent at this time has reached the tail of the config stream.
        std::function<void(Millis sentAt)> onLogRead;
        std::function<void()> onLogFailed;
        // True for the live entry with the lowest name, which appends the snapshots.
        std::function<bool()> isSnapshotWriter;
    };

    ConfigKeeper(IoContext &io, std::shared_ptr<LogClient> log, Options options, Handlers handlers);

    void start();
    void stop();
    uint64_t version() const;
    ConfigPtr current() const;
    // False if records expired before this entry read them; changes among them may be missing.
    bool isPositionKnown() const;
    uint64_t snapshotsAppended() const;
    // State for a peer that knows less, and the other direction.
    std::string stateText() const;
    void adopt(const std::string &stateText);

private:
    void apply(const LogRecord &record);
    void noteSnapshot(const LogRecord &record);
    // Appends a snapshot if the newest one is old, so that one can be read at any time.
    void appendSnapshotIfDue();

    const Options m_options;
    Handlers m_handlers;
    std::shared_ptr<LogFollower> m_follower;
    std::shared_ptr<LogClient> m_log;
    mutable std::mutex m_mutex;
    ConfigState m_state;
    // When the newest snapshot record was appended, on this process's clock; empty if none was read.
    std::optional<Millis> m_snapshotAt;
    bool m_appending = false;
    uint64_t m_snapshots = 0;
};

} // namespace turmericwell
