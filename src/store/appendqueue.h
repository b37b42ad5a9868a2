// Appends of one owner to one partition of the store, grouped and exactly once.
//
// One append is under way at a time; records that arrive meanwhile go together into the next one. An append
// without an answer is repeated with the same sequence number until the store says whether it was carried
// out, so that the outcome that is reported for a record is always true.
#pragma once

#include "net/timers.h"
#include "observe/structuredlog.h"
#include "store/storeapi.h"

#include <deque>
#include <functional>

namespace turmericwell {

enum class AppendOutcome : uint8_t {
    Stored,
    // Not stored, and never will be.
    NotStored,
    // Fenced: the owner with the higher epoch knows whether the record was stored.
    Superseded,
};

struct AppendQueueOptions
{
    std::string topic;
    uint32_t partition = 0;
    std::string producer;
    uint64_t epoch = 0;
    Millis timeout = {700};
    // Records that may be dropped are, once the store has refused them for this long.
    Millis dropAfter = {250};
    // Least time from the start of one append to the next; more records share a call.
    Millis spacing = {8};
    size_t mostBytes = 1U << 20U;
};

class AppendQueue
{
public:
    using Done = std::function<void(AppendOutcome)>;

    AppendQueue(AppendQueueOptions options, StoreApi &store, IoContext &io, StructuredLog &log);

    // Sets the epoch in the store: appends of all lower epochs are fenced from then on.
    void open(std::function<void(AppendOutcome)> onOpen);
    void add(std::string key, std::string value, bool mayDrop, Done onDone);
    // Called at most once, when a higher epoch has taken the partition.
    std::function<void()> onFenced;

    bool isIdle() const { return m_batch.empty() && m_waiting.empty(); }

private:
    struct Item
    {
        StoreRecord record;
        bool mayDrop = false;
        Millis addedAt;
        Done onDone;
    };

    void sendNext();
    void send();
    void answered(const AppendAnswer &answer);
    void finishBatch(AppendOutcome outcome);
    void dropExpired(Millis now);
    void retry();
    void fenced();

    const AppendQueueOptions m_options;
    StoreApi &m_store;
    Timers m_timers;
    StructuredLog &m_log;
    std::deque<Item> m_waiting;
    // Records of the append under way; empty for the append that sets the epoch.
    std::vector<Item> m_batch;
    bool m_inFlight = false;
    bool m_opening = false;
    bool m_fenced = false;
    // A try without an answer may have been carried out.
    bool m_uncertain = false;
    bool m_sendScheduled = false;
    uint64_t m_sequence = 1;
    uint32_t m_failures = 0;
    Millis m_sentAt;
    Millis m_batchStartedAt;
    Backoff m_backoff{{20}, {400}};
    std::function<void(AppendOutcome)> m_onOpen;
};

} // namespace turmericwell
