// An entry's view of the resources of all workers, and the choice of a worker for a task.
//
// Load pattern: several entries place tasks on the same workers at the same time, each with a view that is a
// few milliseconds old. Orders that a worker's last report does not include yet are subtracted from its free
// resources.
#pragma once

#include "jobs/forecast.h"
#include "jobs/policies.h"
#include "jobs/taskid.h"
#include "turmericwell/millis.h"

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace turmericwell {

// Identifies an agent within an entry process. Numbers are not reused.
using AgentNumber = uint32_t;

// Processors, memory and accelerators of a worker or a run. Signed, because the free resources of a worker
// can be overcommitted until its next report.
struct Resources
{
    int64_t cpuMilli = 0;
    int64_t memoryMb = 0;
    int64_t accelerators = 0;

    bool holds(const Resources &other) const
    {
        return cpuMilli >= other.cpuMilli && memoryMb >= other.memoryMb && accelerators >= other.accelerators;
    }
    Resources &operator+=(const Resources &other)
    {
        cpuMilli += other.cpuMilli;
        memoryMb += other.memoryMb;
        accelerators += other.accelerators;
        return *this;
    }
    Resources &operator-=(const Resources &other)
    {
        cpuMilli -= other.cpuMilli;
        memoryMb -= other.memoryMb;
        accelerators -= other.accelerators;
        return *this;
    }
};

struct WorkerState
{
    bool usable = false;
    bool draining = false;
    std::string worker;
    std::string service;
    std::string zone;
    std::vector<std::string> labels;
    Resources capacity;
    Resources free;
    // Processors that tasks queued at the agent require, in thousandths of a core.
    int64_t queuedCpuMilli = 0;
    // Number of start orders that the agent had received from this entry when it reported.
    uint64_t ordersReceived = 0;
};

struct PlacementNeeds
{
    std::string_view service;
    Resources size;
    // Label that the worker must have; empty if none is required.
    std::string_view requiredLabel;
    // Label of the rack with the task's data, which is preferred; empty for none.
    std::string_view dataRack;
    // Maximum number of tasks of the step on one worker; 0 for no limit.
    uint32_t workerLimit = 0;
    // Number of placed tasks of the same step by agent, for workerLimit. May be null.
    const std::map<AgentNumber, uint32_t> *siblings = nullptr;
    // Expected run time, and the delay with which the job still meets its deadline. Workers whose slowness
    // would cause a longer delay are excluded, unless slack is 0 or less.
    Millis estimate;
    Millis slack;
    // Agents that may be chosen; null for all agents.
    const std::set<AgentNumber> *eligible = nullptr;
    // Agents that may not be chosen although they are eligible; null for none.
    const std::set<AgentNumber> *excluded = nullptr;
    // Agents that are chosen only if the task fits on no other worker, not even an empty one; null for none.
    const std::set<AgentNumber> *avoided = nullptr;
};

class WorkerPool
{
public:
    explicit WorkerPool(PlacementPolicy policy = {})
        : m_policy(policy)
    { }

    void report(AgentNumber agent, WorkerState state);
    void remove(AgentNumber agent);
    void setEvacuatedZones(std::set<std::string> zones);
    const std::set<std::string> &evacuatedZones() const { return m_evacuated; }

    // Returns a worker on which the task fits now; nullopt if there is none.
    std::optional<AgentNumber> choose(const PlacementNeeds &needs, Millis now);
    void orderSent(AgentNumber agent, const Resources &size);
    // Releases the resources of the run ahead of the agent's next report.
    void runEnded(AgentNumber agent, const Resources &size);
    // Records a failed run. After repeated failures the worker is avoided for some time, unless no better one
    // fits.
    void runFailed(AgentNumber agent, Millis now);
    void runSucceeded(AgentNumber agent);
    // Records that a run took, or has taken so far, this multiple of its estimate.
    void recordTimeRatio(AgentNumber agent, double timeRatio, Millis now);
    // Average ratio of run time to estimate on the worker; 1 if the worker is not slow.
    double slowness(AgentNumber agent, Millis now) const;

    // Total and free processors of all usable workers of a service, in thousandths of a core.
    int64_t capacityMilli(std::string_view service) const;
    int64_t freeMilli(std::string_view service) const;
    // Processors that tasks queued at these workers' agents require.
    int64_t queuedCpuMilli(std::string_view service) const;
    // Resources for tasks of this size on the usable workers that have the required label. Sums are kept for
    // the sizes that are asked for, so that a call looks only at the workers that have changed since the last
    // one for the same size. Agents that the needs exclude are not left out.
    ReachableResources reachable(const PlacementNeeds &needs);
    // Whether the task would fit on any usable worker that is not avoided, if that worker were empty.
    bool canEverFit(const PlacementNeeds &needs) const;
    const WorkerState *find(AgentNumber agent) const;

private:
    struct Worker
    {
        WorkerState state;
        // Resources of the orders that the last report does not include yet, oldest first.
        std::deque<Resources> unreportedOrders;
        Resources unreportedTotal;
        uint64_t ordersSent = 0;
        uint32_t failuresInRow = 0;
        Millis avoidUntil;
        // Moving average of the ratio of run time to estimate, and the time of its last update.
        double timeRatio = 1;
        Millis timeRatioUpdatedAt;
    };

    static double slowness(const Worker &worker, Millis now);
    double placementScore(const Worker &worker, const Resources &available);

    bool admissible(const Worker &worker, const PlacementNeeds &needs) const;
    Resources freeResources(const Worker &worker) const;
    static bool isEligible(AgentNumber agent, const PlacementNeeds &needs);
    bool isAvoided(AgentNumber agent, const PlacementNeeds &needs) const;

    void raiseFreeBound(const Worker &worker);

    // Sums over all workers for tasks of one size.
    struct ReachableSum
    {
        std::string service;
        std::string requiredLabel;
        Resources size;
        ReachableResources total;
        std::map<AgentNumber, ReachableResources> byAgent;
        // Entries of m_changes that the sum includes.
        uint64_t changesSeen = 0;
        uint64_t lastUse = 0;
    };
    // More sizes than this replace the one that was not asked for the longest.
    static constexpr size_t mostReachableSums = 24;

    ReachableSum &reachableSum(const PlacementNeeds &needs);
    void updateReachable(ReachableSum &sum, AgentNumber agent) const;
    void recordChange(AgentNumber agent);

    const PlacementPolicy m_policy;
    std::map<AgentNumber, Worker> m_workers;
    // Upper bound of the free processors of any worker, by service. Placing a task does not lower the bound;
    // an unsuccessful search does.
    std::map<std::string, int64_t, std::less<>> m_maxFreeMilli;
    std::set<std::string> m_evacuated;
    std::vector<ReachableSum> m_reachable;
    uint64_t m_reachableUses = 0;
    // Agents whose resources have changed, oldest first, and the number of earlier changes that were
    // forgotten. Empty while no sum is kept.
    std::vector<AgentNumber> m_changes;
    uint64_t m_changesForgotten = 0;
    std::minstd_rand m_random{1};
};

} // namespace turmericwell
