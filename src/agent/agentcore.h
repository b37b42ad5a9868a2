// State machine of the agent that runs next to one target. It makes the last check before a task starts and
// owns the target's slots. It performs no I/O: its methods return the actions that the caller has to perform.
#pragma once

#include "turmericwell/millis.h"
#include "turmericwell/outcome.h"
#include "turmericwell/task.h"

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

namespace turmericwell {

// --- actions ---

// Run the task on the target.
struct RunOnTarget
{
    TaskStart start;
};
// Stop a running task through the target.
struct StopOnTarget
{
    TaskRef task;
};
// Report the result of an attempt to an entry.
struct SendResult
{
    ProcessId entry;
    TaskResult result;
};
enum class RevokeState : uint8_t { Revoked, Running, Finished };
struct SendRevokeAck
{
    ProcessId entry;
    TaskRef task;
    RevokeState state = RevokeState::Revoked;
    // Set unless the state is Running.
    TaskResult result;
};
struct SendCredits
{
    ProcessId entry;
    uint32_t credits = 0;
};
using AgentAction = std::variant<RunOnTarget, StopOnTarget, SendResult, SendRevokeAck, SendCredits>;
using AgentActions = std::vector<AgentAction>;

struct AgentOptions
{
    Millis freshness = {3'000};
    Millis targetLease = {3'000};
    Millis dedupWindow = {600'000};
    // After a withdrawn zone is back in service, credits are granted gradually over this time.
    Millis returnRamp = {500};
    // Limit of starts that are queued for a free slot; zero means the number of slots of the target.
    uint32_t maxQueued = 0;
    // Limit of the memory for answers of finished tasks, which are retained for a takeover. When it is
    // exceeded, the oldest answers are evicted.
    size_t maxAnswerBytes = 16U << 20U;
};

// The part of the configuration that applies to this agent and its target.
struct AgentSlice
{
    uint64_t configVersion = 0;
    uint64_t digest = 0;
    bool zoneWithdrawn = false;
    bool targetWithdrawn = false;
};

// A task that this agent has started, as reported to the entry that takes over from the task's entry.
struct StartedTask
{
    TaskRef task;
    uint32_t taskCount = 1;
    uint64_t bodyHash = 0;
    bool running = false;
    // Valid only if the task is no longer running.
    TaskResult result;
    Millis startedAgo;
};

// Invariants:
// - At most `slots` tasks run at a time.
// - An attempt that was started, rejected or revoked is not started afterwards.
// - No task starts without fresh evidence of currency, in a withdrawn zone, on a withdrawn or leaving target,
//   or for a fenced entry.
// - The credits at the entries, the free credits and those of queued and running tasks add up to `slots`.
class AgentCore
{
public:
    explicit AgentCore(AgentOptions options);

    // --- target ---
    AgentActions targetAnnounced(const TargetInfo &target, bool leaving, Millis now);
    AgentActions taskEnded(const TaskResult &result, Millis now);

    // --- entries ---
    AgentActions entryConnected(const ProcessId &entry, Millis now);
    AgentActions entryDisconnected(const ProcessId &entry, Millis now);
    AgentActions start(const ProcessId &entry, const TaskStart &start, Millis now);
    AgentActions revoke(const ProcessId &entry, const TaskRef &task, Millis now);
    AgentActions stop(const TaskRef &task);
    // Records that an entry was current at the given time of this agent's clock.
    void recordEvidence(Millis currentAt);
    AgentActions applySlice(const AgentSlice &slice, Millis now);
    AgentActions drain(Millis now);
    AgentActions tick(Millis now);

    // --- takeover of a dead entry ---
    // Rejects the queued tasks and all later starts of the dead incarnation. Results of its running tasks are
    // sent to every successor.
    AgentActions fence(const ProcessId &deadEntry, const ProcessId &successor, Millis now);
    std::vector<StartedTask> startedBy(const ProcessId &entry, Millis now) const;

    // Whether a task that was already accepted may be sent to the target now.
    bool mayStillStart(Millis now) const { return rejectionReason(now).empty(); }
    bool isFresh(Millis now) const;
    // The target is up and not leaving, and the evidence is fresh. Withdrawals are not considered, because
    // the entries know them from the configuration.
    bool acceptsTasks(Millis now) const { return !isLeaving() && isTargetUp(now) && isFresh(now); }
    uint32_t running() const { return static_cast<uint32_t>(m_running); }
    uint32_t queued() const { return static_cast<uint32_t>(m_queue.size()); }
    uint32_t creditEpoch() const { return m_creditEpoch; }
    // Results that could not be sent yet because their entry is not connected.
    size_t undeliveredCount() const { return m_undeliveredCount; }
    // Records that the result was passed to a connection.
    void markDelivered(const TaskRef &task);
    const AgentSlice &slice() const { return m_slice; }
    const TargetInfo &target() const { return m_target; }
    bool isTargetUp(Millis now) const;
    bool isLeaving() const { return m_leaving || m_draining; }
    size_t recordCount() const { return m_records.size(); }
    size_t answerBytes() const { return m_answerBytes; }

private:
    enum class AttemptState : uint8_t { Queued, Running, Finished, Rejected };

    // State of one attempt. After the attempt has ended, it is retained for the deduplication window.
    struct AttemptRecord
    {
        ProcessId entry;
        AttemptState state = AttemptState::Queued;
        TaskResult result;
        uint32_t taskCount = 1;
        uint64_t bodyHash = 0;
        bool usesCredit = false;
        bool isDelivered = false;
        Millis deadline;
        Millis stateChangedAt;
    };

    struct QueuedStart
    {
        TaskStart start;
        ProcessId entry;
    };

    // Reason why no task may start now; empty if tasks may start.
    std::string_view rejectionReason(Millis now) const;
    bool isFenced(const ProcessId &entry) const;
    bool isConnected(const ProcessId &entry) const;
    void startQueued(Millis now, AgentActions &actions);
    void reject(const TaskRef &task, std::string_view why, Millis now, AgentActions &actions);
    void rejectQueue(std::string_view why, Millis now, AgentActions &actions);
    void finishAttempt(const TaskRef &task, AttemptRecord &record, AttemptState state, TaskResult result,
                       Millis now, AgentActions &actions);
    void sendResult(const TaskRef &task, AttemptRecord &record, AgentActions &actions);
    void evictAnswers();
    void useCredit(AttemptRecord &record);
    void startCreditEpoch(AgentActions &actions);
    void grantFreeCredits(AgentActions &actions);
    void rampCredits(Millis now, AgentActions &actions);

    AgentOptions m_options;
    TargetInfo m_target;
    Millis m_announcedAt;
    bool m_leaving = false;
    bool m_draining = false;
    Millis m_evidenceTime = {INT64_MIN / 2};
    AgentSlice m_slice;
    std::unordered_map<TaskRef, AttemptRecord> m_records;
    std::deque<QueuedStart> m_queue;
    size_t m_running = 0;
    size_t m_undeliveredCount = 0;
    // Finished tasks with an answer, oldest first.
    std::deque<TaskRef> m_answers;
    size_t m_answerBytes = 0;

    // Connected entries and the credits granted to each in the current epoch, so that credits are distributed
    // evenly.
    std::map<ProcessId, uint32_t> m_entries;
    uint32_t m_creditEpoch = 1;
    // Unused credits at the entries, and credits of queued and running tasks.
    int64_t m_creditsAtEntries = 0;
    int64_t m_creditsInUse = 0;
    // Credits that are not granted to any entry. Negative after the number of slots was reduced: results then
    // return no credit until the deficit is covered.
    int64_t m_freeCredits = 0;
    // Gradual grant of credits after a withdrawal has ended: credits not yet released, their total, and the
    // start time.
    uint32_t m_unreleasedCredits = 0;
    uint32_t m_rampCredits = 0;
    Millis m_rampStart;

    // Highest fenced incarnation of each entry name, and the entries that receive a dead entry's results.
    std::map<std::string, uint64_t> m_fences;
    std::map<ProcessId, std::set<ProcessId>> m_successors;
};

} // namespace turmericwell
