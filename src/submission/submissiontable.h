// Submissions that this entry owns: deduplication by idempotency key, progress of the tasks, and the answer.
#pragma once

#include "config/declarations.h"
#include "submission/submission.h"
#include "submission/tombstones.h"
#include "turmericwell/outcome.h"
#include "turmericwell/task.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <queue>
#include <span>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace turmericwell {

// Actions that the table requests. The caller performs them after the call, without holding any lock.
struct EnqueueTasks
{
    std::vector<TaskStart> tasks;
    TaskNeeds needs;
    Millis deadline;
    // The tasks must not be queued before this time; set for a rejected task.
    Millis notBefore;
};
struct AnswerWaiter
{
    WaiterId waiter = 0;
    Fingerprint key;
    Answer answer;
};
// Remove the task if it is still in the local queue; otherwise ask its agent to revoke or stop it.
struct CancelTask
{
    TaskRef task;
};
// Query the state of the key at its holder, without starting anything, and pass the reply to holderAnswered.
struct AskHolder
{
    ProcessId holder;
    Fingerprint key;
};
using SubmissionAction = std::variant<EnqueueTasks, AnswerWaiter, CancelTask, AskHolder>;
using SubmissionActions = std::vector<SubmissionAction>;

// Record of a key that is transferred to another owner.
struct KeyRecord
{
    Fingerprint key;
    SubmissionKind kind = SubmissionKind::Request;
    uint64_t bodyHash = 0;
    // Time since the first arrival of the key.
    Millis age;
    bool answered = false;
    // Set if answered.
    Answer answer;
    // Entry that runs the submission; set if not answered.
    ProcessId holder;
};

// State, as recorded by an agent, of one attempt that a dead entry sent.
struct AgentRecord
{
    TaskRef task;
    uint32_t taskCount = 1;
    uint64_t bodyHash = 0;
    bool running = false;
    // Set if not running.
    TaskResult result;
    // Time since the start.
    Millis age;
};

// Rule for keys whose previous owner died when some of its records could not be found.
struct IncompleteTakeover
{
    // Wall-clock time of the takeover.
    Millis at;
    // When the rule expires, on the clock of the `now` arguments: one deduplication window after the
    // takeover.
    Millis until;
    // Keys that the dead entry owned; all keys if empty.
    std::function<bool(const Fingerprint &)> affects;
};

struct SubmissionTableOptions
{
    // How long answers are retained.
    Millis dedupWindow = {600'000};
    uint32_t tombstoneCapacity = 1'000'000;
    // Bytes of answers retained for resubmissions. Beyond this the oldest answers are evicted, but not their
    // records.
    uint64_t answerBytes = 32ULL << 20;
    // Records within the window; further new submissions are rejected, since evicting a record would allow a
    // second run.
    uint32_t maxRecords = 2'000'000;
    // Maximum difference between the clocks of callers and entries within which the time of a key is trusted.
    Millis keyClockSkew = {5'000};
    // Whether a task that has already started may be started again now (the retry budget). Always allowed if
    // empty.
    std::function<bool()> mayRetry;
};

struct SubmissionCounters
{
    uint64_t tombstones = 0;
    uint64_t tombstonesDropped = 0;
    uint64_t answersDropped = 0;
    uint64_t answerBytes = 0;
};

// Invariants: a key has at most one submission; each attempt of a task is enqueued at most once; a submission
// is answered Complete only with one answer for each task. Thread-safe: 16 shards, each under its own lock.
class SubmissionTable
{
public:
    // Decides whether to accept a submission with a new key: empty to accept, otherwise the answer that
    // rejects it. Called under the lock of the shard, so that a rejection never races with an acceptance of
    // the same key.
    using Admit = std::function<std::optional<Answer>()>;

    explicit SubmissionTable(SubmissionTableOptions options);

    // Wall-clock time, for keys that contain their creation time; `now` is on the clock of the other calls.
    void setWallClock(Millis wall, Millis now) { m_wallOffset = (wall - now).count; }
    void setIncompleteTakeover(const IncompleteTakeover &takeover);

    // --- callers ---
    SubmissionActions submit(const SubmissionRequest &request, const CallDeclaration &call, WaiterId waiter,
                             Millis now, const Admit &admit = {});
    SubmissionActions taskEnded(const TaskResult &result, Millis now);
    SubmissionActions cancel(const Fingerprint &key, Millis now);
    // Enforces deadlines and removes submissions whose window has passed.
    SubmissionActions tick(Millis now);
    // State of the submission with the given key; empty if the key is unknown.
    std::optional<Answer> lookup(const Fingerprint &key) const;
    bool contains(const Fingerprint &key) const;
    // Removes a waiter whose connection has closed.
    void dropWaiter(const Fingerprint &key, WaiterId waiter);

    // --- change of ownership ---
    using KeyFilter = std::function<bool(const Fingerprint &)>;
    // Records of the selected keys: answered keys with their answer, running ones with `self` as the holder.
    std::vector<KeyRecord> exportRecords(const KeyFilter &selects, const ProcessId &self, Millis now) const;
    std::vector<Fingerprint> exportTombstones(const KeyFilter &selects) const;
    // Imports records of keys that this entry owns now. An existing record of this entry takes precedence
    // over an imported one.
    SubmissionActions importRecords(std::span<const KeyRecord> records, Millis now);
    void importTombstones(std::span<const Fingerprint> keys);
    // Handles the reply to AskHolder. Status 404 or 421 means that the holder has no record of the key.
    SubmissionActions holderAnswered(const Fingerprint &key, const Answer &answer, Millis now);
    // The holder died: its submissions are answered from the records of agents, as in finishTakeover.
    void holderLost(const ProcessId &holder, Millis now);

    // Imports the records of agents about tasks that a dead entry started. Imported tasks are never started
    // again.
    void importAgentRecords(std::span<const AgentRecord> records, Millis now);
    // Imports keys that a dead entry accepted. Without any other record their outcome remains unknown.
    void importClaims(std::span<const Fingerprint> keys, Millis now);
    // Called when all obtainable records of a takeover are imported: settles each imported submission among
    // the selected keys, or all of them if `selects` is empty. Must be called again after records that arrive
    // late. complete: all agents that were known before the entry left have answered.
    SubmissionActions finishTakeover(bool complete, const KeyFilter &selects);

    size_t size() const;
    // Submissions that run at this entry and are not answered yet.
    size_t active() const;
    SubmissionCounters counters() const;

private:
    struct Wakeup
    {
        Millis at;
        Fingerprint key;

        bool operator>(const Wakeup &other) const { return at > other.at; }
    };

    struct Shard
    {
        mutable std::mutex mutex;
        std::unordered_map<Fingerprint, Submission> submissions;
        // Invariant: one element for each submission.
        std::priority_queue<Wakeup, std::vector<Wakeup>, std::greater<>> wakeups;
        Tombstones tombstones{0};
        // Keys with stored answers, oldest first; may include keys of removed submissions.
        std::deque<Fingerprint> answerOrder;
        uint64_t answerBytes = 0;
        uint64_t answersDropped = 0;
        size_t active = 0;
    };

    Shard &shardOf(const Fingerprint &key) { return m_shards[key.high % m_shards.size()]; }
    const Shard &shardOf(const Fingerprint &key) const { return m_shards[key.high % m_shards.size()]; }
    // Time after which a record is removed; longer than the window, so that a key with a creation time is
    // rejected by its age before its record is removed.
    Millis retention() const { return m_options.dedupWindow + m_options.keyClockSkew * 2; }

    std::optional<Answer> rejectNewKey(const Shard &shard, const SubmissionRequest &request,
                                       const CallDeclaration &call, std::optional<Millis> keyTime,
                                       Millis now) const;
    bool isAfterIncompleteTakeover(const Fingerprint &key, std::optional<Millis> keyTime, Millis now) const;
    static SubmissionActions attach(const SubmissionRequest &request, Submission &submission, WaiterId waiter,
                                    Millis now);
    bool retry(const TaskResult &result, Submission &submission, Millis now,
               SubmissionActions &actions) const;
    static void endTask(const TaskResult &result, TaskProgress &task);
    static void close(const Fingerprint &key, Submission &submission, std::string_view why,
                      SubmissionActions &actions);
    void finish(Shard &shard, const Fingerprint &key, Submission &submission, const Answer &answer,
                SubmissionActions &actions);
    void recordAnswer(Shard &shard, const Fingerprint &key, const Answer &answer);
    SubmissionActions applyLateResult(Shard &shard, const TaskResult &result, Submission &submission);
    void handleWakeup(Shard &shard, const Fingerprint &key, Submission &submission, Millis now,
                      SubmissionActions &actions);
    bool removeIfExpired(Shard &shard, const Fingerprint &key, Millis now);
    SubmissionActions importOne(const KeyRecord &record, Millis now);
    void importOne(const AgentRecord &record, Millis now);
    void settle(Shard &shard, const Fingerprint &key, Submission &submission, bool complete,
                SubmissionActions &actions);

    SubmissionTableOptions m_options;
    std::atomic<int64_t> m_wallOffset = 0;
    mutable std::mutex m_takeoverMutex;
    std::vector<IncompleteTakeover> m_takeovers;
    std::array<Shard, 16> m_shards;
};

} // namespace turmericwell
