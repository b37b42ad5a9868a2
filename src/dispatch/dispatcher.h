// Brings together submissions, admission and routing of one entry.
#pragma once

#include "config/configstate.h"
#include "routing/router.h"
#include "submission/submissiontable.h"
#include "turmericwell/event.h"

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace turmericwell {

// Actions for the process shell, performed without any lock.
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
using DispatchAction = std::variant<SendTasks, SendRevoke, SendStop, AnswerWaiter>;
using DispatchActions = std::vector<DispatchAction>;

struct DispatcherOptions
{
    RouterOptions router;
    SubmissionTableOptions submissions;
    // Receives an event for each decision; may be called from any thread.
    std::function<void(Event)> onEvent;
};

// Results that an agent reports in one message.
struct AgentReport
{
    std::string agent;
    std::vector<TaskResult> results;
    uint32_t creditEpoch = 0;
    // Running and queued tasks of the agent.
    std::optional<uint32_t> load;
};

// Totals since the start of the process.
struct RoutingCounters
{
    uint64_t starts = 0;
    uint64_t refusals = 0;
};

// Thread-safe. Submissions are in shards under their own locks; queue, credits and tasks in flight are under
// one lock that is never held together with a shard's.
class Dispatcher
{
public:
    explicit Dispatcher(DispatcherOptions options);

    void setConfig(ConfigPtr config);
    ConfigPtr config() const;
    // While false, nothing is sent to agents.
    void setMayStart(bool mayStart);

    // --- callers and peers ---
    DispatchActions submit(const SubmissionRequest &request, WaiterId waiter, Millis now);
    DispatchActions cancel(const Fingerprint &key, Millis now);
    std::optional<Answer> lookup(const Fingerprint &key) const { return m_submissions.lookup(key); }
    void dropWaiter(const Fingerprint &key, WaiterId waiter) { m_submissions.dropWaiter(key, waiter); }

    // --- agents ---
    DispatchActions agentUp(const ProcessId &agent, const TargetInfo &target, bool leaving, Millis now);
    DispatchActions agentLost(const std::string &agent, Millis now);
    DispatchActions agentLeaving(const std::string &agent, Millis now);
    DispatchActions creditsGranted(const std::string &agent, uint32_t credits, uint32_t epoch, Millis now);
    DispatchActions report(const AgentReport &report, Millis now);
    // Running and queued tasks that an agent reported without results.
    void loadReported(const std::string &agent, uint32_t load);
    DispatchActions tick(Millis now);

    // --- balance between entries ---
    struct CreditBalance
    {
        uint32_t idle = 0;
        uint32_t queued = 0;
    };
    CreditBalance balance() const;
    uint32_t idleCredits() const;
    uint32_t queued() const;
    std::vector<CreditAmount> surplusFor(uint32_t peerIdle, uint32_t peerQueued);
    DispatchActions creditsReceived(const std::vector<CreditAmount> &credits, Millis now);

    std::vector<SubmissionRecord> records() const { return m_submissions.records(); }
    size_t activeSubmissions() const { return m_submissions.active(); }
    size_t knownSubmissions() const { return m_submissions.size(); }
    size_t tasksInFlight() const;
    RoutingCounters routingCounters() const;

private:
    struct InFlight
    {
        std::string agent;
        bool usesCredit = false;
        // The target may be told to stop the task, so that its failure says nothing about the target.
        bool cancelled = false;
    };

    // Empty if the request may be submitted; else the answer that refuses it.
    std::optional<Answer> validate(const SubmissionRequest &request, const Config &config,
                                   const CallDeclaration *&call) const;
    void apply(SubmissionActions actions, Millis now, DispatchActions &result);
    void cancelTask(const TaskRef &task, Millis now, DispatchActions &result);
    void enqueue(EnqueueTasks tasks);
    void assign(Millis now, DispatchActions &result);
    void emit(EventKind kind, const TaskRef &task, std::string_view agent, std::string_view why) const;
    void emitSubmission(EventKind kind, const Fingerprint &key, std::string_view why) const;
    void refreshUsable();
    // Credits, load and failures of a report; returns true if the target is ejected. The lock is held.
    bool takeResults(const AgentReport &report, Millis now);

    DispatcherOptions m_options;
    SubmissionTable m_submissions;
    mutable std::mutex m_configMutex;
    ConfigPtr m_config;

    // Guards the members below.
    mutable std::mutex m_routingMutex;
    Router m_router;
    std::unordered_map<TaskRef, InFlight> m_inFlight;
    std::map<std::string, TargetInfo> m_agents;
    std::set<std::string> m_leavingAgents;
    bool m_mayStart = false;
    RoutingCounters m_counters;
};

} // namespace turmericwell
