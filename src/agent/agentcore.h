// Decisions of the agent beside one target: the last check before a start, and the authority on the target's
// slots.
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
// Tell an entry how an attempt ended.
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
    // After a zone returns, the credits are granted one by one over this time.
    Millis returnRamp = {500};
    // Starts without a free slot that may wait; zero means as many as there are slots.
    uint32_t maxQueued = 0;
    // Answers of finished tasks that are kept for a takeover; beyond this the oldest are dropped.
    size_t maxAnswerBytes = 16U << 20U;
};

// The part of the configuration that concerns this agent.
struct AgentSlice
{
    uint64_t configVersion = 0;
    uint64_t digest = 0;
    bool zoneWithdrawn = false;
    bool targetWithdrawn = false;
};

// A task that this agent has started, as the takeover of its entry needs it.
struct StartedTask
{
    TaskRef task;
    uint32_t taskCount = 1;
    uint64_t bodyHash = 0;
    bool running = false;
    // Set if the task is no longer running.
    TaskResult result;
    Millis startedAgo;
};

// Invariants: at most `slots` tasks run at a time; an attempt that was started, refused or revoked is never
// started afterwards; nothing starts without fresh evidence, in a withdrawn zone, on a leaving target, or for
// an entry that was fenced; the credits at the entries, in the free pool and used by running tasks add up to
// the slots.
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
    // Evidence that an entry was current at a time on this agent's clock.
    void evidence(Millis currentAt);
    AgentActions applySlice(const AgentSlice &slice, Millis now);
    AgentActions drain(Millis now);
    AgentActions tick(Millis now);

    // --- takeover of a dead entry ---
    // Refuses all later starts of the incarnation and gives its queued tasks up. Results of its running tasks
    // go to every heir.
    AgentActions fence(const ProcessId &deadEntry, const ProcessId &heir, Millis now);
    std::vector<StartedTask> startedBy(const ProcessId &entry, Millis now) const;

    // False if a task that is about to be sent to the target may no longer start.
    bool mayStillStart(Millis now) const { return refusal(now).empty(); }
    bool isFresh(Millis now) const;
    // The target is up and stays, and the evidence is fresh. Withdrawals are known to the entries themselves.
    bool takesWork(Millis now) const { return !isLeaving() && isTargetUp(now) && isFresh(now); }
    uint32_t running() const { return static_cast<uint32_t>(m_running); }
    uint32_t queued() const { return static_cast<uint32_t>(m_queue.size()); }
    uint32_t creditEpoch() const { return m_creditEpoch; }
    // Results that no connection could take yet.
    size_t undelivered() const { return m_undelivered; }
    // The result was handed to a connection.
    void delivered(const TaskRef &task);
    const AgentSlice &slice() const { return m_slice; }
    const TargetInfo &target() const { return m_target; }
    bool isTargetUp(Millis now) const;
    bool isLeaving() const { return m_leaving || m_draining; }
    size_t recordCount() const { return m_records.size(); }
    size_t answerBytes() const { return m_answerBytes; }

private:
    enum class RecordState : uint8_t { Queued, Running, Finished, Refused };

    // What this agent knows of one attempt; kept for the deduplication window.
    struct Record
    {
        ProcessId entry;
        RecordState state = RecordState::Queued;
        TaskResult result;
        uint32_t taskCount = 1;
        uint64_t bodyHash = 0;
        bool usesCredit = false;
        bool isDelivered = false;
        Millis deadline;
        Millis since;
    };

    struct Waiting
    {
        TaskStart start;
        ProcessId entry;
    };

    // Empty if a task may start now.
    std::string_view refusal(Millis now) const;
    bool isFenced(const ProcessId &entry) const;
    bool isConnected(const ProcessId &entry) const;
    void startQueued(Millis now, AgentActions &actions);
    void refuse(const TaskRef &task, std::string_view why, Millis now, AgentActions &actions);
    void refuseQueue(std::string_view why, Millis now, AgentActions &actions);
    void end(const TaskRef &task, Record &record, RecordState state, TaskResult result, Millis now,
             AgentActions &actions);
    void report(const TaskRef &task, Record &record, AgentActions &actions);
    void trimAnswers();
    void takeCredit(Record &record);
    void startCreditEpoch(AgentActions &actions);
    void grantFree(AgentActions &actions);
    void rampCredits(Millis now, AgentActions &actions);

    AgentOptions m_options;
    TargetInfo m_target;
    Millis m_announcedAt;
    bool m_leaving = false;
    bool m_draining = false;
    Millis m_currentAt = {INT64_MIN / 2};
    AgentSlice m_slice;
    std::unordered_map<TaskRef, Record> m_records;
    std::deque<Waiting> m_queue;
    size_t m_running = 0;
    size_t m_undelivered = 0;
    // Finished tasks with an answer, oldest first.
    std::deque<TaskRef> m_answers;
    size_t m_answerBytes = 0;

    // Connected entries and the credits granted to each in the present epoch, for an even spread.
    std::map<ProcessId, uint32_t> m_entries;
    uint32_t m_creditEpoch = 1;
    // Credits that the entries hold, and credits of queued and running tasks.
    int64_t m_creditsHeld = 0;
    int64_t m_creditsInUse = 0;
    // Credits that no entry holds. Negative after the target has lost slots: then results return no credit.
    int64_t m_freeCredits = 0;
    // Credits held back by the ramp after a return, and its start.
    uint32_t m_heldBack = 0;
    uint32_t m_rampCredits = 0;
    Millis m_rampBegan;

    // Highest fenced incarnation of each entry, and who gets the results of its tasks.
    std::map<std::string, uint64_t> m_fences;
    std::map<ProcessId, std::set<ProcessId>> m_heirs;
};

} // namespace turmericwell
