// Follows partition 0 of a keyed topic: first the newest record of each key, then each change.
//
// Reads are long but bounded, so that a silent connection is found soon. If records have expired or the topic
// has been shortened, the newest records are read again, and keys that are gone are reported as deleted.
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
    // Beyond the wait of a read.
    Millis timeout = {700};
};

class TopicFollower
{
public:
    struct Handlers
    {
        // An empty value means that the key was deleted.
        std::function<void(const StoreRecord &record)> onRecord;
        // All records up to some moment after the call began have been delivered.
        std::function<void()> onSynced;
    };

    TopicFollower(TopicFollowerOptions options, StoreApi &store, IoContext &io, StructuredLog &log,
                  Handlers handlers);

    void start();
    // Time of the last answer of the store.

private:
    void loadPage(const std::string &after);
    void pageLoaded(const NewestAnswer &answer);
    void readOn();
    void readDone(const ReadAnswer &answer);
    void failed(std::string_view what);
    void works();

    const TopicFollowerOptions m_options;
    StoreApi &m_store;
    Timers m_timers;
    StructuredLog &m_log;
    const Handlers m_handlers;
    std::set<std::string> m_keys;
    std::set<std::string> m_keysOfLoad;
    // End of the topic when the first page was read: changes from there on are read from the log.
    std::optional<uint64_t> m_loadEnd;
    uint64_t m_next = 0;
    uint32_t m_failures = 0;
    Backoff m_backoff{{50}, {400}};
};

} // namespace turmericwell
