// Queue of the tasks that wait for a target, and the choice of the target.
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

// A task that is to be sent to an agent now.
struct Assignment
{
    std::string agent;
    QueuedTask task;
};

// Idle slot credits of one agent that move between entries.
struct CreditAmount
{
    std::string agent;
    uint32_t credits = 0;
    uint32_t epoch = 0;
};

struct RouterOptions
{
    uint32_t maxQueued = 10'000;
    // Zone of this entry, for latency.
    std::string zone;
    RoutingPolicy policy;
    EjectorOptions ejector;
};

// Invariants: a credit is either idle here, used by a task in flight, or was handed on; a task is in the
// queue at most once. Not thread-safe; the owner holds its lock.
//
// The cost of a choice grows with the number of kinds of targets, not with the number of targets.
class Router
{
public:
    explicit Router(RouterOptions options);

    // --- targets ---
    void agentUp(const std::string &agent, const TargetInfo &target);
    void agentDown(const std::string &agent);
    // Idle credits of an agent that may not be used now are set aside, not lost.
    void setUsable(const std::string &agent, bool usable);
    void grant(const std::string &agent, uint32_t credits, uint32_t epoch);
    void creditReturned(const std::string &agent, uint32_t epoch);
    // Running and queued tasks that the agent reported.
    void loadReported(const std::string &agent, uint32_t load);
    // The agent refused a start as busy: it gets no other one until it reports or the next tick.
    void refusedBusy(const std::string &agent);
    // Takes the answer of a target. Returns true if the target is ejected by it.
    bool targetAnswered(const std::string &agent, bool failed, Millis now);
    // Ends ejections that have passed; returns the agents concerned.
    std::vector<std::string> tick(Millis now);

    // --- configuration ---
    // One-way latency from this entry's zone to other zones.
    void setLatencies(std::map<std::string, double> latencyMs);
    void setTeamWeights(std::map<std::string, uint32_t> weights) { m_queue.setWeights(std::move(weights)); }

    // --- tasks ---
    bool canEverRun(std::string_view service, const TaskNeeds &needs) const;
    bool hasRoomFor(size_t tasks) const;
    void enqueue(QueuedTask task);
    // Removes a task that has not been assigned yet.
    std::optional<QueuedTask> removeQueued(const TaskRef &task) { return m_queue.remove(task); }
    // Takes tasks whose deadline has passed out of the queue.
    std::vector<QueuedTask> removeExpired(Millis now) { return m_queue.removeExpired(now); }
    // Assigns queued tasks to usable targets, as many as the policy allows.
    std::vector<Assignment> assign();

    // --- balance between entries ---
    // Idle credits that can be used now.
    uint32_t idleCredits() const { return m_idle; }
    uint32_t queued() const { return static_cast<uint32_t>(m_queue.size()); }
    // Credits to hand to a peer that reported its own balance; empty if it is neither poorer nor has tasks
    // that wait. Must follow assign(), so that the credits left are of no use to the tasks in the queue.
    std::vector<CreditAmount> surplusFor(uint32_t peerIdle, uint32_t peerQueued);

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
    // Makes a change to a target while it is not in its pool's indexes.
    template <typename Change>
    void change(RoutedTarget &target, Change apply);
    double latencyTo(const std::string &zone) const;
    bool usesCredits() const;

    RouterOptions m_options;
    std::map<std::string, double> m_latencyMs;
    std::unordered_map<std::string, std::unique_ptr<RoutedTarget>> m_targets;
    // Pools and demands are kept once they exist: there are only as many as the declarations and the machines
    // have kinds.
    std::map<TargetKind, std::unique_ptr<TargetPool>> m_pools;
    std::vector<Demand> m_demands;
    TeamQueue m_queue;
    Ejector m_ejector;
    uint32_t m_idle = 0;
};

} // namespace turmericwell
