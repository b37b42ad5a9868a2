// Queues tasks and selects their targets.
#pragma once

#include "limits/ejector.h"
#include "routing/policy.h"
#include "routing/queuedtask.h"
#include "routing/teamqueue.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace turmericwell {

// A queued task and the agent to which it must be sent now.
struct Assignment
{
    std::string agent;
    QueuedTask task;
};

// Idle credits of one agent that are transferred between entries.
struct CreditAmount
{
    std::string agent;
    uint32_t credits = 0;
    uint32_t epoch = 0;
};

struct RouterOptions
{
    uint32_t maxQueued = 10'000;
    // Zone of this entry, used for the latencies to other zones.
    std::string zone;
    RoutingPolicy policy;
    EjectorOptions ejector;
};

// Invariants: a credit is either idle here, used by a task in flight, or transferred to a peer; a task is in
// the queue at most once. Not thread-safe; the caller holds the owner's lock.
//
// The cost of selecting a target grows with the number of kinds of targets, not with the number of targets.
class Router
{
public:
    explicit Router(RouterOptions options);

    // --- targets ---
    void agentUp(const std::string &agent, const TargetInfo &target);
    void agentDown(const std::string &agent);
    // Idle credits of an agent that is not usable are set aside and not lost.
    void setUsable(const std::string &agent, bool usable);
    void grant(const std::string &agent, uint32_t credits, uint32_t epoch);
    void creditReturned(const std::string &agent, uint32_t epoch);
    // Number of running and queued tasks that the agent reported.
    void loadReported(const std::string &agent, uint32_t load);
    // The agent rejected a start as busy: it gets no further start until it reports or until the next tick.
    void startRejectedAsBusy(const std::string &agent);
    // Records whether the target failed a task. Returns true if this answer causes the ejection of the
    // target.
    bool targetAnswered(const std::string &agent, bool failed, Millis now);
    // Ends expired ejections and returns the agents concerned. Also makes busy agents available again.
    std::vector<std::string> tick(Millis now);

    // --- configuration ---
    // One-way latency from the zone of this entry to other zones.
    void setLatencies(std::map<std::string, double> latencyMs);
    void setTeamWeights(std::map<std::string, uint32_t> weights) { m_queue.setWeights(std::move(weights)); }

    // --- tasks ---
    bool canEverRun(std::string_view service, const TaskNeeds &needs) const;
    bool hasCapacityFor(size_t tasks) const;
    void enqueue(QueuedTask task);
    // Removes a task that has not been assigned yet.
    std::optional<QueuedTask> removeQueued(const TaskRef &task) { return m_queue.remove(task); }
    // Removes the tasks whose deadline has passed from the queue.
    std::vector<QueuedTask> removeExpired(Millis now) { return m_queue.removeExpired(now); }
    // Assigns as many queued tasks to usable targets as the policy allows.
    std::vector<Assignment> assign();

    // --- balance between entries ---
    // Idle credits that can be used now.
    uint32_t idleCredits() const { return m_idleCredits; }
    uint32_t queued() const { return static_cast<uint32_t>(m_queue.size()); }
    // Removes and returns the credits to transfer to a peer that reported its own balance; empty if the peer
    // neither has fewer idle credits nor has queued tasks. Must be called after assign(), so that the
    // remaining credits cannot start any task in the queue.
    std::vector<CreditAmount> takeSurplusCredits(uint32_t peerIdle, uint32_t peerQueued);

private:
    struct Demand
    {
        std::string service;
        TaskNeeds needs;
        std::vector<TargetPool *> pools;
    };

    DemandId demandOf(const QueuedTask &task);
    void refreshPools(Demand &demand) const;
    RoutedTarget *find(const std::string &agent);
    // Changes a target while it is removed from the indexes of its pool.
    template <typename Change>
    void change(RoutedTarget &target, Change apply);
    double latencyTo(const std::string &zone) const;
    bool usesCredits() const;

    RouterOptions m_options;
    std::map<std::string, double> m_latencyMs;
    std::unordered_map<std::string, std::unique_ptr<RoutedTarget>> m_targets;
    // Pools and demands are never removed: their number is bounded by the kinds of tasks in the declarations
    // and the kinds of machines.
    std::map<TargetKind, std::unique_ptr<TargetPool>> m_pools;
    std::vector<Demand> m_demands;
    TeamQueue m_queue;
    Ejector m_ejector;
    uint32_t m_idleCredits = 0;
};

} // namespace turmericwell
