// Submissions that this entry owns: idempotency by key, progress of the tasks, and the answer.
#pragma once

#include "config/declarations.h"
#include "membership/recordstore.h"
#include "turmericwell/outcome.h"
#include "turmericwell/task.h"

#include <array>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace turmericwell {

// Names who waits for an answer: a caller connection or a forward from another entry. Chosen by the process
// shell.
using WaiterId = uint64_t;

// Actions that the table asks for. The caller performs them after the call, without any lock.
struct EnqueueTasks
{
    std::vector<TaskStart> tasks;
    TaskNeeds needs;
    Millis deadline;
};
struct AnswerWaiter
{
    WaiterId waiter = 0;
    Fingerprint key;
    Answer answer;
};
// Drop the task if it still is in the local queue, otherwise ask its agent to revoke or stop it.
struct CancelTask
{
    TaskRef task;
};
using SubmissionAction = std::variant<EnqueueTasks, AnswerWaiter, CancelTask>;
using SubmissionActions = std::vector<SubmissionAction>;

struct SubmissionTableOptions
{
    // Time for which answers are kept.
    Millis dedupWindow = {600'000};
};

// Invariants: a key has at most one submission; each attempt of a task is enqueued at most once; a submission
// is answered Complete only with one answer for each task. Thread-safe: 16 shards, each under its own lock.
class SubmissionTable
{
public:
    explicit SubmissionTable(SubmissionTableOptions options);

    SubmissionActions submit(const SubmissionRequest &request, const CallDeclaration &call, WaiterId waiter,
                             Millis now);
    SubmissionActions taskEnded(const TaskResult &result, Millis now);
    SubmissionActions cancel(const Fingerprint &key, Millis now);
    // Enforces deadlines and drops submissions whose window has passed.
    SubmissionActions tick(Millis now);
    // State for a lookup by key; empty if the key is not known.
    std::optional<Answer> lookup(const Fingerprint &key) const;
    // Forgets a waiter whose connection has closed.
    void dropWaiter(const Fingerprint &key, WaiterId waiter);

    // All submissions, for other entries that become owners of their keys.
    std::vector<SubmissionRecord> records() const;

    size_t size() const;
    // Submissions without an answer.
    size_t active() const;

private:
    enum class TaskState : uint8_t { Pending, Ended };

    struct Submission
    {
        SubmissionKind kind = SubmissionKind::Request;
        uint64_t bodyHash = 0;
        CallDeclaration call;
        std::vector<TaskState> states;
        std::vector<std::string> answers;
        // Number of the awaited attempt of each task; grows with each enqueue, so a late result never
        // matches.
        std::vector<uint32_t> attempts;
        // Attempts of each task that ended otherwise than NotRun.
        std::vector<uint32_t> starts;
        SubmissionRequest request;
        std::vector<WaiterId> waiters;
        Millis deadline;
        Millis firstSeen;
        uint32_t ended = 0;
        // Worst outcome so far and its reason; Complete while no task has ended otherwise.
        Outcome worst = Outcome::Complete;
        std::string reason;
        // Tasks that have ended otherwise than NotRun.
        uint32_t ran = 0;
        bool closing = false;
        bool answered = false;
        Answer answer;
    };

    struct Shard
    {
        mutable std::mutex mutex;
        std::unordered_map<Fingerprint, Submission> submissions;
        size_t active = 0;
    };

    Shard &shardOf(const Fingerprint &key);
    const Shard &shardOf(const Fingerprint &key) const;
    static EnqueueTasks startTasks(const Fingerprint &key, Submission &submission);
    static void closeRemaining(const Fingerprint &key, Submission &submission, SubmissionActions &actions);
    static void finish(Shard &shard, const Fingerprint &key, Submission &submission,
                       SubmissionActions &actions);
    static bool retry(const TaskResult &result, Submission &submission, Millis now,
                      SubmissionActions &actions);

    SubmissionTableOptions m_options;
    std::array<Shard, 16> m_shards;
};

} // namespace turmericwell
