// Queue of the tasks that wait for a target, and the choice of the target.
#pragma once

#include "turmericwell/millis.h"
#include "turmericwell/task.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace turmericwell {

struct QueuedTask
{
    TaskStart start;
    TaskNeeds needs;
    Millis deadline;
};

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
};

// Invariants: a credit is either idle here, used by a task in flight, or was handed on; a task is in the
// queue at most once. Not thread-safe; the owner holds its lock.
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

    // --- tasks ---
    bool canEverRun(std::string_view service, const TaskNeeds &needs) const;
    bool hasRoomFor(size_t tasks) const;
    void enqueue(QueuedTask task);
    // Removes a task that has not been assigned yet.
    std::optional<QueuedTask> removeQueued(const TaskRef &task);
    // Takes tasks whose deadline has passed out of the queue.
    std::vector<QueuedTask> removeExpired(Millis now);
    // Assigns queued tasks to usable targets, as many as the credits allow.
    std::vector<Assignment> assign();

    // --- balance between entries ---
    uint32_t idleCredits() const;
    uint32_t queued() const { return static_cast<uint32_t>(m_queue.size()); }
    // Credits to hand to a peer that reported its own balance; empty if the peer is not poorer.
    std::vector<CreditAmount> surplusFor(uint32_t peerIdle, uint32_t peerQueued);

private:
    struct Target
    {
        TargetInfo info;
        uint32_t idle = 0;
        uint32_t epoch = 0;
        bool usable = true;
    };

    Target *choose(const QueuedTask &task, std::string &name);

    RouterOptions m_options;
    std::map<std::string, Target> m_targets;
    std::deque<QueuedTask> m_queue;
};

} // namespace turmericwell
