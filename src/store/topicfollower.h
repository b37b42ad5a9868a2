// Follows partition 0 of a keyed topic: delivers the newest record of each key, then each change.
//
// Long polls have a bounded wait, so that an unresponsive connection is detected soon. If records have
// expired or the topic has been truncated, the newest records are read again, and keys that no longer exist
// are reported as deleted.
#pragma once

#include "net/timers.h"
#include "observe/structuredlog.h"
#include "store/storeapi.h"

#include <functional>
#include <set>

namespace turmericwell {

struct TopicFollowerOptions
{
    std::string topic;
    Millis readWait = {1'500};
    // Added to the wait of a read.
    Millis timeout = {700};
};

class TopicFollower
{
public:
    struct Handlers
    {
        // An empty value means that the key was deleted.
        std::function<void(const StoreRecord &record)> onRecord;
        // All records up to some time after the start of the last call to the store have been delivered.
        std::function<void()> onSynced;
    };

    TopicFollower(TopicFollowerOptions options, StoreApi &store, IoContext &io, StructuredLog &log,
                  Handlers handlers);

    void start();
    // Asks the store whether all records have been delivered. Does nothing while an earlier question is open
    // or has just failed; to be called again until currentAt is late enough.
    void checkCurrent();
    // All records that were written before this time have been delivered.
    Millis currentAt() const { return m_currentAt; }

private:
    void loadPage(const std::string &after);
    void pageLoaded(const NewestAnswer &answer);
    void continueLoading(const std::string &after);
    void readChanges();
    void changesRead(const ReadAnswer &answer);
    void currentChecked(const ReadAnswer &answer, Millis sentAt);
    // Passes the record on. A record that cannot be applied is logged and skipped, so that it does not keep
    // this reader from the records behind it.
    void deliver(const StoreRecord &record);
    void recordFailure(std::string_view what);
    void recordSuccess();

    const TopicFollowerOptions m_options;
    StoreApi &m_store;
    Timers m_timers;
    StructuredLog &m_log;
    const Handlers m_handlers;
    std::set<std::string> m_keys;
    std::set<std::string> m_loadedKeys;
    // End of the topic when the first page was read; later changes are read from the log.
    std::optional<uint64_t> m_loadEnd;
    uint64_t m_nextOffset = 0;
    // The newest records have been read and m_nextOffset is valid.
    bool m_isLoaded = false;
    Millis m_currentAt;
    // Earliest time of the next question of checkCurrent.
    Millis m_nextCheckAt;
    uint32_t m_failures = 0;
    Backoff m_backoff{{50}, {400}};
};

} // namespace turmericwell
