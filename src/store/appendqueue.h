// Batched appends of one owner to one partition of the store, each carried out exactly once.
//
// One append is in flight at a time; records that arrive meanwhile are batched into the next one. An append
// without an answer is repeated with the same sequence number until the store reports whether it was carried
// out, so that the outcome reported for a record is always correct.
//
// The store takes an append with the epoch and sequence number of an earlier one for a repeat and stores
// nothing. Each queue therefore numbers its appends from a random start: a queue whose epoch has been used by
// another queue, for example one of a former process, receives WrongSequence and counts as superseded.
//
// A store may not count appends without records. The number of the next append is then too high; the append
// is rejected and repeated with the expected number.
#pragma once

#include "net/timers.h"
#include "observe/structuredlog.h"
#include "store/storeapi.h"

#include <deque>
#include <functional>

namespace turmericwell {

enum class AppendOutcome : uint8_t {
    Stored,
    // Not stored, and will not be sent again.
    NotStored,
    // Fenced. Only the owner with the higher epoch can tell whether the record was stored.
    Superseded,
};

struct AppendQueueOptions
{
    std::string topic;
    uint32_t partition = 0;
    std::string producer;
    uint64_t epoch = 0;
    // Sequence number of the first append.
    uint64_t firstSequence = 1;
    Millis timeout = {700};
    // Records added with `mayDrop` that are not stored this long after they were added are dropped when an
    // append fails.
    Millis dropAfter = {250};
    // Minimum time between the starts of two appends, which lets more records share a call.
    Millis minInterval = {8};
    size_t maxBytes = 1U << 20U;
};

// Draws a first sequence number that no other queue has used, except with negligible probability.
uint64_t randomFirstSequence();

class AppendQueue
{
public:
    using Done = std::function<void(AppendOutcome)>;

    AppendQueue(AppendQueueOptions options, StoreApi &store, IoContext &io, StructuredLog &log);

    // Sets the epoch in the store, which fences appends of all lower epochs from then on.
    void open(std::function<void(AppendOutcome)> onOpen);
    void add(std::string key, std::string value, bool mayDrop, Done onDone);
    // Calls onConfirmed once the store has accepted an append that was sent after this call, which shows that
    // no higher epoch has been set until then. Appends an empty batch if there is nothing else to append.
    void confirm(std::function<void()> onConfirmed);
    // Called at most once, when an append has been fenced by a higher epoch.
    std::function<void()> onFenced;
    // Called at most once instead of onFenced, when another queue has appended with the same epoch.
    std::function<void()> onEpochInUse;

    // End of the partition when the epoch was set, or a little later; 0 if the store has not told.
    uint64_t endAtOpening() const { return m_endAtOpening; }

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
    bool hasNext() const { return !m_waiting.empty() || !m_waitingConfirmations.empty(); }
    // The append in flight must be repeated although it contains no record.
    bool mustSendEmpty() const { return m_opening || !m_confirmations.empty(); }
    void send();
    void handleAnswer(const AppendAnswer &answer);
    // The append in flight has been stored under its present number.
    void handleStored();
    void finishBatch(AppendOutcome outcome);
    void dropExpired(Millis now);
    void retry();
    // Ends the queue: its records are reported as Superseded, then onEnded is called.
    void end(const std::function<void()> &onEnded);

    const AppendQueueOptions m_options;
    StoreApi &m_store;
    Timers m_timers;
    StructuredLog &m_log;
    std::deque<Item> m_waiting;
    // Records of the append in flight; empty for the append that sets or confirms the epoch.
    std::vector<Item> m_batch;
    // Confirmations that wait for the next append, and those that the append in flight provides.
    std::vector<std::function<void()>> m_waitingConfirmations;
    std::vector<std::function<void()>> m_confirmations;
    bool m_inFlight = false;
    bool m_opening = false;
    uint64_t m_endAtOpening = 0;
    bool m_fenced = false;
    // An attempt of the current append had no answer and may have been carried out.
    bool m_uncertain = false;
    bool m_sendScheduled = false;
    uint64_t m_sequence;
    // Number of the last append that contained records; the store may expect its successor although empty
    // appends were sent since.
    std::optional<uint64_t> m_lastRecordSequence;
    // Highest number under which an append with records was rejected because the store had not counted empty
    // appends; 0 if there was none. A delayed attempt with that number may still be carried out.
    uint64_t m_rejectedSequence = 0;
    uint32_t m_failures = 0;
    Millis m_sentAt;
    Millis m_batchStartedAt;
    Backoff m_backoff{{20}, {400}};
    std::function<void(AppendOutcome)> m_onOpen;
};

} // namespace turmericwell
