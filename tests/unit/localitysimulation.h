// Simulation for tests: one owner places the jobs of three kinds on nine racks of eight equal workers. The
// data of the jobs of kind 0 is on one rack, where their tasks run faster. Reports, orders and ends take the
// time that they take on a network; nothing else is simulated.
#pragma once

#include "jobs/jobscheduler.h"

#include <functional>
#include <map>
#include <random>
#include <vector>

namespace turmericwell {

struct LocalityLoad
{
    // Share of the jobs of kind 0 whose data is on rack 0; the others are spread evenly.
    double hotShare = 0;
    double farFactor = 3;
    // Decisions to wait for a rack in one pass over the queue.
    uint32_t mostRackWaits = 256;
    // Multiples of the base rates of kind 0 and of the other kinds.
    double urgentRate = 1;
    double otherRate = 1;
    // Share of the tasks with seven times the usual work.
    double longTaskShare = 0.03;
    // From this time on, rack 0 drains or is lost; 0 for never.
    Millis drainsAt;
    Millis lostAt;
    // No worker has the label of the rack with the data of hotShare.
    bool isRackUnknown = false;
    uint32_t seed = 1;
};

struct LocalityResult
{
    uint32_t jobs = 0;
    uint32_t onTime = 0;
    uint32_t late = 0;
    uint32_t worthless = 0;
    uint32_t rejected = 0;
    // The same for the jobs of kind 0.
    uint32_t urgentJobs = 0;
    uint32_t urgentOnTime = 0;
    uint32_t runs = 0;
    uint32_t farRuns = 0;
    double processorSeconds = 0;
};

class LocalitySimulation : private JobEffects
{
public:
    LocalitySimulation(LocalityLoad load, PlacementWaitPolicy policy, StructuredLog &log);
    LocalityResult run(Millis duration);

private:
    struct SimulatedJob
    {
        Millis dueAt;
        Millis submittedAt;
        Millis limit;
        bool isUrgent = false;
        std::vector<double> workMs;
    };

    struct SimulatedWorker
    {
        WorkerState state;
        bool isLost = false;
    };

    void store(uint32_t, JobId, std::string, bool, std::function<void(StoreOutcome, Millis)> onDone) override
    {
        onDone(StoreOutcome::Stored, m_now);
    }
    void start(const StartRequest &request) override;
    void stop(AgentNumber agent, uint32_t, uint64_t, const RunId &run) override;
    void endStored(AgentNumber, const RunId &) override { }
    void endDisputed(AgentNumber, const RunId &) override { }
    void sendRunSize(AgentNumber, const RunId &, const StepSpec &) override { }

    void at(Millis time, std::function<void()> event) { m_events.emplace(time, std::move(event)); }
    void runArrived(AgentNumber agent, RunId run, int64_t cpuMilli, const std::string &rack);
    void runDone(AgentNumber agent, const RunId &run, int64_t cpuMilli, EndKind kind);
    void submit(uint32_t kind, JobId id);
    void scheduleArrivals(uint32_t kind, double perSecond, Millis duration);
    void reportWorkers();
    void loseRack();
    void answered(JobId id, const JobReply &reply);

    const LocalityLoad m_load;
    Millis m_now = {100'000};
    std::multimap<Millis, std::function<void()>> m_events;
    std::minstd_rand m_random;
    std::map<AgentNumber, SimulatedWorker> m_workers;
    std::map<RunId, AgentNumber> m_running;
    std::map<JobId, SimulatedJob> m_jobs;
    JobId m_lastJob = 0;
    LocalityResult m_result;
    WorkerPool m_pool;
    JobScheduler m_scheduler;
};

} // namespace turmericwell
