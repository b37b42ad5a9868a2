// An entry's view of the resources of all workers, and the choice of a worker for a task.
//
// Load pattern: several entries place tasks on the same workers at the same time, each with a view that is a
// few milliseconds old. Orders that a worker's last report does not include yet are subtracted from its free
// resources.
#pragma once

#include "jobs/forecast.h"
#include "jobs/policies.h"
#include "jobs/runratios.h"
#include "jobs/taskid.h"
#include "turmericwell/millis.h"

#include <array>
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
    // Speed of the worker in thousandths, and the number of runs that it is based on; 0 if unknown.
    uint32_t speedPermille = 0;
    uint32_t speedSamples = 0;
    // Number of further runs that the worker can take; 0 if it is not limited.
    uint32_t freeRuns = 0;
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
    // Expected run time on a worker of speed 1 near the task's data; 0 if unknown. On a worker off the rack
    // with the data the run takes farFactor times as long.
    Millis expectedNear = {};
    double farFactor = 1;
    // Time until the task must end for its job to meet its deadline, which is `stretch` times the work plus a
    // constant; 0 or less if it has passed.
    Millis untilDue = {};
    double stretch = 1;
    // Run time ratios of the job's queue; null if unknown.
    const RunRatios *ratios = nullptr;
    // Agents that may be chosen; null for all agents.
    const std::set<AgentNumber> *eligible = nullptr;
    // Agents that may not be chosen although they are eligible; null for none.
    const std::set<AgentNumber> *excluded = nullptr;
    // Agents that are chosen only if no other worker has room for the task; null for none.
    const std::set<AgentNumber> *avoided = nullptr;
    // Avoided agents are not chosen at all if another worker could hold the task when it is empty.
    bool waitsForOthers = true;
};

// What has happened on a worker since a run was last seen to end there.
struct WorkerActivity
{
    int64_t usedCpuMilli = 0;
    // Processors in use, integrated over the time, in thousandths of a core times milliseconds.
    double quietCpuMs = 0;
};

// The workers that a task may use, and how many of them are on the rack with its data.
struct RackRoom
{
    uint32_t rackWorkers = 0;
    uint32_t workers = 0;
    // Processors of the largest worker on the rack, and total and free processors of all workers, in
    // thousandths of a core.
    int64_t largestOnRackMilli = 0;
    int64_t capacityMilli = 0;
    int64_t freeMilli = 0;
};

// What speaks for or against a worker for a task.
struct PlacementCandidate
{
    AgentNumber agent = 0;
    std::string worker;
    std::string zone;
    // Why the worker is not chosen now; empty if it may be.
    std::string_view exclusion;
    bool isNear = false;
    int64_t freeMilli = 0;
    double slowness = 1;
    // Without the jitter of WorkerPool::choose. Higher is better.
    double score = 0;
};

class WorkerPool
{
public:
    // Reported speeds outside this range are ignored, in thousandths.
    static constexpr uint32_t minSpeedPermille = 50;
    static constexpr uint32_t maxSpeedPermille = 20'000;

    // With learnsSpeeds the choice depends on the speeds that the agents report.
    explicit WorkerPool(PlacementPolicy policy = {}, bool learnsSpeeds = false)
        : m_policy(policy)
        , m_learnsSpeeds(learnsSpeeds)
    { }

    // A speed that is out of range changes nothing; the former one stays in use.
    void report(AgentNumber agent, WorkerState state, Millis now = {});
    static bool isValidSpeed(uint32_t permille)
    {
        return permille == 0 || (permille >= minSpeedPermille && permille <= maxSpeedPermille);
    }
    void remove(AgentNumber agent);
    void setEvacuatedZones(std::set<std::string> zones);
    const std::set<std::string> &evacuatedZones() const { return m_evacuated; }

    // Returns a worker on which the task fits now; nullopt if there is none.
    std::optional<AgentNumber> choose(const PlacementNeeds &needs, Millis now);
    void orderSent(AgentNumber agent, const Resources &size);
    // Releases the resources of the run ahead of the agent's next report.
    void runEnded(AgentNumber agent, const Resources &size, Millis now = {});
    // Records a failed run. After repeated failures the worker is avoided for some time, unless no better one
    // fits.
    void runFailed(AgentNumber agent, Millis now);
    void runSucceeded(AgentNumber agent);
    // Records that a run took, or has taken so far, this multiple of the run time expected on the worker.
    void recordTimeRatio(AgentNumber agent, double timeRatio, Millis now);
    // Average ratio of run time to estimate on the worker; 1 if the worker is not slow.
    double slowness(AgentNumber agent, Millis now) const;
    // Speed of the worker relative to the median of its service's workers; 1 if unknown.
    double relativeSpeed(AgentNumber agent) const;
    size_t workersWithKnownSpeed() const;
    // True if the data are on no particular rack, or on that of the worker.
    bool isNear(AgentNumber agent, std::string_view dataRack) const;
    WorkerActivity activity(AgentNumber agent, Millis now) const;

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
    // Looks at all workers; not to be called for each task.
    RackRoom rackRoom(const PlacementNeeds &needs) const;
    // All workers of the service, best first and the excluded ones last, as choose() judges them now.
    std::vector<PlacementCandidate> candidates(const PlacementNeeds &needs, Millis now) const;

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
        // The two ratios before the newest one.
        std::array<double, 2> earlierRatios = {1, 1};
        // Inverse of the relative speed, and the relative speed's binary logarithm.
        double inverseSpeed = 1;
        double logSpeed = 0;
        Millis activitySince;
        double quietCpuMs = 0;
    };

    // State of a search for the best worker.
    struct Search
    {
        const PlacementNeeds &needs;
        Millis now;
        bool usesSpeeds = false;
        bool leavesOutAvoided = false;
        std::optional<AgentNumber> best;
        double bestScore = 0;
    };

    // Speeds of the workers of a service.
    struct Speeds
    {
        double median = 0;
        bool changed = true;
        Millis nextRefresh;
    };

    // Scores the worker if the task may be placed on it.
    void consider(Search &search, AgentNumber agent, const Worker &worker);
    // Considers workers on the rack with the data, and others from a random one on.
    void considerSome(Search &search);
    void updateLabels(AgentNumber agent, const std::vector<std::string> &before,
                      const std::vector<std::string> &after);

    static double slowness(const Worker &worker, Millis now);
    double placementScore(const Worker &worker, const Resources &available);
    // The medians are refreshed at intervals, so that a decision needs no pass over all workers for them.
    void refreshSpeeds(Speeds &speeds, std::string_view service, Millis now);
    bool usesSpeedsFor(const PlacementNeeds &needs, Millis now);
    static void updateRelativeSpeed(Worker &worker, double median);
    static bool isNear(const Worker &worker, std::string_view dataRack);
    // Score of the worker's speed for the task, to be added to that of its free resources; nullopt if it
    // should wait for another one.
    static std::optional<double> speedScore(const Worker &worker, const PlacementNeeds &needs, double slow,
                                            bool isNearData);
    static std::optional<double> slownessScore(const PlacementNeeds &needs, double slow);
    static void recordActivity(Worker &worker, const WorkerState &next, Millis now);

    bool admissible(const Worker &worker, const PlacementNeeds &needs) const;
    Resources freeResources(const Worker &worker) const;
    // Whether the worker has room for another run of this size, apart from its resources.
    static bool hasRunSlot(const Worker &worker, const Resources &size);
    static bool isEligible(AgentNumber agent, const PlacementNeeds &needs);
    bool isAvoided(AgentNumber agent, const PlacementNeeds &needs) const;

    std::string_view exclusion(AgentNumber agent, const Worker &worker, const PlacementNeeds &needs,
                               Millis now) const;
    static bool hasLabel(const Worker &worker, std::string_view label);

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
    const bool m_learnsSpeeds;
    std::map<AgentNumber, Worker> m_workers;
    std::map<std::string, std::set<AgentNumber>, std::less<>> m_byLabel;
    // Upper bound of the free processors of any worker, by service. Placing a task does not lower the bound;
    // an unsuccessful search does.
    std::map<std::string, int64_t, std::less<>> m_maxFreeMilli;
    std::map<std::string, Speeds, std::less<>> m_speeds;
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
