// Combines the submission table, admission and routing of one entry.
#pragma once

#include "config/configstate.h"
#include "dispatch/parkedtasks.h"
#include "limits/admission.h"
#include "limits/retrybudget.h"
#include "routing/router.h"
#include "submission/submissiontable.h"
#include "turmericwell/event.h"

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace turmericwell {

// Actions that the process shell performs after the call, without holding any lock.
struct SendTasks
{
    std::string agent;
    std::vector<TaskStart> tasks;
};
struct SendRevoke
{
    std::string agent;
    TaskRef task;
};
struct SendStop
{
    std::string agent;
    TaskRef task;
};
using DispatchAction = std::variant<SendTasks, SendRevoke, SendStop, AnswerWaiter, AskHolder>;
using DispatchActions = std::vector<DispatchAction>;

struct DispatcherOptions
{
    RouterOptions router;
    SubmissionTableOptions submissions;
    RetryBudgetOptions retries;
    // An agent whose connection was lost may reconnect within this time; afterwards its tasks count as lost.
    Millis reconnect = {3'000};
    // How long after a task's deadline its agent may still report the result.
    Millis answerGrace = {2'000};
    // Called with an event for each decision, from any thread.
    std::function<void(Event)> onEvent;
};

// Task results that an agent reports in one message.
struct AgentReport
{
    std::string agent;
    std::vector<TaskResult> results;
    uint32_t creditEpoch = 0;
    // Number of running and queued tasks at the agent.
    std::optional<uint32_t> load;
};

// Totals since the start of the process.
struct RoutingCounters
{
    uint64_t starts = 0;
    uint64_t refusals = 0;
};

// Totals since the start of the process, except tasksParked, which is the current number.
struct LimitCounters
{
    uint64_t submissionsRejected = 0;
    uint64_t retriesDenied = 0;
    uint64_t tasksParked = 0;
};

// Answer of an agent to a revocation.
struct RevokeAnswer
{
    std::string agent;
    TaskRef task;
    // The task has started: it can be stopped but no longer revoked.
    bool running = false;
    // Set if the task is not running.
    TaskResult result;
};

// Thread-safe. Submissions are sharded, each shard under its own lock; the queue, the credits and the tasks
// in flight are under the routing lock. Admission acquires the routing lock while it holds a shard's lock;
// the opposite order never occurs.
class Dispatcher
{
public:
    explicit Dispatcher(DispatcherOptions options);

    void setConfig(ConfigPtr config);
    ConfigPtr config() const;
    // While false, no tasks are sent to agents.
    void setMayStart(bool mayStart);

    // Number of entries in the roster, which share the configured limits.
    void setEntryCount(uint32_t entries);
    // Wall-clock time, for keys that carry their creation time.
    void setWallClock(Millis wall, Millis now) { m_submissions.setWallClock(wall, now); }

    // --- callers and peers ---
    DispatchActions submit(const SubmissionRequest &request, WaiterId waiter, Millis now);
    DispatchActions cancel(const Fingerprint &key, Millis now);
    std::optional<Answer> lookup(const Fingerprint &key) const { return m_submissions.lookup(key); }
    void dropWaiter(const Fingerprint &key, WaiterId waiter) { m_submissions.dropWaiter(key, waiter); }

    // --- agents ---
    DispatchActions agentUp(const ProcessId &agent, const TargetInfo &target, bool leaving, Millis now);
    // The connection was lost. The agent's tasks remain in flight until it reconnects or the reconnect time
    // has passed.
    DispatchActions agentLost(const std::string &agent, Millis now);
    DispatchActions agentLeaving(const std::string &agent, Millis now);
    DispatchActions creditsGranted(const std::string &agent, uint32_t credits, uint32_t epoch, Millis now);
    DispatchActions report(const AgentReport &report, Millis now);
    DispatchActions revokeAnswered(const RevokeAnswer &answer, Millis now);
    // Number of running and queued tasks, reported by an agent in a message without results.
    void loadReported(const std::string &agent, uint32_t load);
    DispatchActions tick(Millis now);

    // --- change of ownership; see SubmissionTable ---
    void setIncompleteTakeover(const IncompleteTakeover &takeover)
    {
        m_submissions.setIncompleteTakeover(takeover);
    }
    std::vector<KeyRecord> exportRecords(const SubmissionTable::KeyFilter &selects, const ProcessId &self,
                                         Millis now) const
    {
        return m_submissions.exportRecords(selects, self, now);
    }
    std::vector<Fingerprint> exportTombstones(const SubmissionTable::KeyFilter &selects) const
    {
        return m_submissions.exportTombstones(selects);
    }
    void importTombstones(std::span<const Fingerprint> keys) { m_submissions.importTombstones(keys); }
    void holderLost(const ProcessId &holder, Millis now) { m_submissions.holderLost(holder, now); }
    void importClaims(std::span<const Fingerprint> keys, Millis now)
    {
        m_submissions.importClaims(keys, now);
    }
    DispatchActions importRecords(std::span<const KeyRecord> records, Millis now);
    DispatchActions holderAnswered(const Fingerprint &key, const Answer &answer, Millis now);
    void importAgentRecords(std::span<const AgentRecord> records, Millis now)
    {
        m_submissions.importAgentRecords(records, now);
    }
    DispatchActions finishTakeover(bool complete, const SubmissionTable::KeyFilter &selects, Millis now);

    // --- balance between entries ---
    struct CreditBalance
    {
        uint32_t idle = 0;
        uint32_t queued = 0;
    };
    CreditBalance balance() const;
    uint32_t idleCredits() const;
    uint32_t queued() const;
    std::vector<CreditAmount> takeSurplusCredits(uint32_t peerIdle, uint32_t peerQueued);
    DispatchActions creditsReceived(const std::vector<CreditAmount> &credits, Millis now);

    size_t activeSubmissions() const { return m_submissions.active(); }
    size_t knownSubmissions() const { return m_submissions.size(); }
    size_t tasksInFlight() const;
    RoutingCounters routingCounters() const;
    LimitCounters limitCounters() const;
    SubmissionCounters submissionCounters() const { return m_submissions.counters(); }

private:
    struct InFlight
    {
        std::string agent;
        std::string service;
        std::string team;
        Millis deadline;
        // The target may have been told to stop the task, so a failure of the task says nothing about the
        // target.
        bool cancelled = false;
        // The submission has the outcome or counts the task as lost. The element remains until the agent's
        // result returns the credit or the agent can no longer report.
        bool settled = false;
    };
    using InFlightTasks = std::unordered_map<TaskRef, InFlight>;

    struct Agent
    {
        TargetInfo target;
        uint64_t incarnation = 0;
        // Empty while the agent is connected.
        std::optional<Millis> lostSince;
    };

    // Empty if a new submission is admitted; otherwise the answer that rejects it.
    std::optional<Answer> reject(const SubmissionRequest &request, const ServiceDeclaration *service,
                                 const CallDeclaration *call, Millis now);
    std::optional<Answer> rejectForLoad(const SubmissionRequest &request, Millis now);
    void emitSubmitted(const SubmissionActions &actions, const Fingerprint &key, bool isNew) const;
    // Performs the actions and those that result from them, but does not send queued tasks.
    void apply(SubmissionActions actions, Millis now, DispatchActions &result);
    SubmissionActions cancelTask(const TaskRef &task, Millis now, DispatchActions &result);
    // Returns the actions for tasks that were cancelled before they reached the queue.
    SubmissionActions enqueue(EnqueueTasks tasks, Millis now);
    void assign(Millis now, DispatchActions &result);
    void endTasks(const std::vector<TaskRef> &tasks, Outcome outcome, std::string_view why, Millis now,
                  DispatchActions &result);

    // The caller of these functions holds the routing lock.
    void release(QueuedTask task);
    void releaseParked(Millis now);
    std::optional<QueuedTask> removeUnsent(const TaskRef &task);
    std::vector<TaskRef> removeExpired(Millis now);
    void settle(InFlight &task);
    std::vector<TaskRef> removeTasksOf(const std::string &agent);
    std::vector<TaskRef> settleOverdue(Millis now);
    std::vector<TaskRef> settleLostAgents(Millis now);
    bool isAnyAgentLost() const;

    void emit(EventKind kind, const TaskRef &task, std::string_view agent, std::string_view why) const;
    void emitSubmission(EventKind kind, const Fingerprint &key, std::string_view why) const;
    void refreshUsable();
    // Applies the credits, the load and the failures of a report; returns true if the target is ejected. The
    // caller holds the routing lock.
    bool applyResults(const AgentReport &report, Millis now);

    DispatcherOptions m_options;
    RetryBudget m_retries;
    SubmissionTable m_submissions;
    mutable std::mutex m_configMutex;
    ConfigPtr m_config;

    // Guards the members below.
    mutable std::mutex m_routingMutex;
    Router m_router;
    Admission m_admission;
    ParkedTasks m_parked;
    InFlightTasks m_inFlight;
    std::map<std::string, Agent> m_agents;
    // Tasks cancelled before they reached the queue, with the time of the cancellation.
    std::unordered_map<TaskRef, Millis> m_cancelledEarly;
    std::set<std::string> m_leavingAgents;
    bool m_mayStart = false;
    RoutingCounters m_counters;
};

} // namespace turmericwell
