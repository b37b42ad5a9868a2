// Test fixture: a JobScheduler whose effects are recorded instead of executed, and whose agents are simulated
// by the test.
#pragma once

#include "jobs/jobscheduler.h"

#include <string>
#include <vector>

namespace turmericwell {

struct RecordedWrite
{
    JobId job = 0;
    std::string value;
    bool mayDrop = false;
    std::function<void(StoreOutcome, Millis)> onDone;
};

class RecordedEffects : public JobEffects
{
public:
    struct Start
    {
        AgentNumber agent = 0;
        RunId run;
    };

    void store(uint32_t, JobId job, std::string value, bool mayDrop,
               std::function<void(StoreOutcome, Millis)> onDone) override
    {
        records.push_back({job, std::move(value), mayDrop, std::move(onDone)});
    }
    void start(const StartRequest &request) override { starts.push_back({request.agent, request.run}); }
    void stop(AgentNumber agent, uint32_t, uint64_t, const RunId &run) override
    {
        stops.push_back({agent, run});
    }
    void endStored(AgentNumber, const RunId &run) override { confirmed.push_back(run); }
    void endDisputed(AgentNumber, const RunId &run) override { disputed.push_back(run); }
    void sendRunSize(AgentNumber, const RunId &run, const StepSpec &) override { sized.push_back(run); }

    std::vector<RecordedWrite> records;
    std::vector<Start> starts;
    std::vector<Start> stops;
    std::vector<RunId> confirmed;
    std::vector<RunId> disputed;
    std::vector<RunId> sized;
};

// One partition and two agents, each with a worker of four processors.
struct JobSchedulerFixture
{
    explicit JobSchedulerFixture(uint64_t epoch = 1, JobSchedulerOptions options = {.partitions = 1})
        : scheduler(std::move(options), pool, effects, log)
    {
        scheduler.openPartition(0, epoch);
        for (AgentNumber agent = 1; agent <= 2; ++agent)
            pool.report(agent, workerWith(4'000));
    }

    static WorkerState workerWith(int64_t freeMilli)
    {
        return {.usable = true,
                .worker = "w",
                .service = "kiosk",
                .zone = "patan",
                .capacity = {4'000, 8'000, 0},
                .free = {freeMilli, 8'000, 0}};
    }

    static JobSpec job(JobId id, uint32_t tasks, bool bestEffort)
    {
        JobSpec spec;
        spec.id = id;
        spec.queue = "unlock";
        spec.service = "kiosk";
        spec.attempts = 2;
        spec.stretch = 1.6;
        spec.target_latency_ms = 60;
        spec.best_effort = bestEffort;
        auto step = std::make_unique<StepSpec>();
        step->count = tasks;
        step->cpu_milli = 1'000;
        step->memory_mb = 64;
        step->estimate_ms = 100;
        spec.steps.push_back(std::move(step));
        return spec;
    }

    void load(bool agentsReport = true)
    {
        scheduler.loaded(0, now);
        scheduler.setExpectedAgents(0, {1, 2}, true);
        if (agentsReport) {
            for (AgentNumber agent = 1; agent <= 2; ++agent)
                scheduler.claimReport(agent, 0, *scheduler.epochOf(0), {}, {}, now);
        }
        scheduler.advance(now);
    }

    void submit(JobSpec spec)
    {
        scheduler.submit(std::move(spec), {.wait = {2'000}}, now,
                         [this](JobReply reply) { replies.push_back(std::move(reply)); });
        scheduler.advance(now);
    }

    void storeAll(StoreOutcome outcome = StoreOutcome::Stored)
    {
        std::vector<RecordedWrite> records = std::exchange(effects.records, {});
        for (RecordedWrite &record : records)
            record.onDone(outcome, now);
        scheduler.advance(now);
    }

    // Submits a durable job, stores it and starts as many of its tasks as fit.
    void submitAndStart(JobId id, uint32_t tasks)
    {
        submit(job(id, tasks, false));
        storeAll();
        startAll();
    }

    void end(const RecordedEffects::Start &start, EndKind kind)
    {
        scheduler.runEnded(start.agent, {.run = start.run, .kind = kind}, now);
        scheduler.advance(now);
    }

    void startAll()
    {
        for (const auto &start : effects.starts)
            scheduler.runStarted(start.agent, start.run, now);
    }

    Millis now = {100'000};
    StructuredLog log;
    WorkerPool pool;
    RecordedEffects effects;
    JobScheduler scheduler;
    std::vector<JobReply> replies;
};

} // namespace turmericwell
