// Test fixture: a JobScheduler on simulated workers of different speeds, with heavy-tailed tasks, estimates
// that are off, and workers that stall or turn slow. The same seed gives the same arrivals and tasks under
// any policy.
#pragma once

#include "jobs/jobscheduler.h"
#include "worker/speedestimator.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <random>
#include <set>
#include <vector>

namespace turmericwell {

struct SimulatedKind
{
    const char *queue = "";
    uint32_t tasks = 1;
    double workMs = 0;
    double jobsPerSecond = 0;
    bool hasData = false;
};

struct SimulatedTrouble
{
    AgentNumber agent = 0;
    Millis from;
    Millis until;
    // Runs take this many times as long; 0 if they make no progress.
    double slowness = 1;
};

struct SimulationOptions
{
    uint32_t seed = 1;
    uint32_t workers = 30;
    Millis duration = {20'000};
    // Results count only jobs that were submitted after this time.
    Millis warmUp = {3'000};
    std::vector<SimulatedKind> kinds = {
        {"short", 8, 51, 60, true}, {"middle", 2, 170, 180}, {"long", 4, 760, 11}};
    std::vector<double> speeds = {1.0, 0.6, 1.6};
    double longTaskShare = 0.03;
    double longTaskFactor = 7;
    double farFactor = 1;
    std::vector<SimulatedTrouble> troubles;
    bool learnsSpeeds = false;
    LongRunPolicy policy;
};

struct SimulationResult
{
    uint32_t jobs = 0;
    uint32_t onTime = 0;
    uint32_t late = 0;
    uint32_t rejected = 0;
    uint32_t stopped = 0;
    // Processor time of stopped runs, in core-seconds on a worker of speed 1.
    double discarded = 0;
};

class SchedulerSimulation : public JobEffects
{
public:
    explicit SchedulerSimulation(SimulationOptions options)
        : m_options(std::move(options))
        , m_pool({}, m_options.learnsSpeeds)
        , m_scheduler({.partitions = 1,
                       .learnWorkerSpeeds = m_options.learnsSpeeds,
                       .moveLongRuns = m_options.policy,
                       .farFactor = m_options.farFactor},
                      m_pool, *this, m_log)
        , m_arrivals(m_options.seed)
    { }

    SimulationResult run()
    {
        constexpr Millis step = {5};
        setUp();
        for (; m_now < m_start + m_options.duration; m_now += step) {
            submitArrivals(step);
            advanceWorkers(step);
            m_scheduler.advance(m_now);
        }
        return m_result;
    }

    void store(uint32_t, JobId, std::string, bool, std::function<void(StoreOutcome, Millis)>) override { }
    void start(const StartRequest &request) override
    {
        Worker &worker = m_workers.at(request.agent);
        ++worker.ordersReceived;
        const SimulatedJob &job = m_jobs.at(request.run.task.job);
        const bool isFar = !request.step->data_rack.empty()
            && request.step->data_rack != "rack" + std::to_string(request.agent % rackCount);
        worker.runs[request.run] = {.left = job.work.at(request.run.task.index)
                                        * (isFar ? m_options.farFactor : 1),
                                    .startedAt = m_now,
                                    .expected = request.expected};
        m_scheduler.runStarted(request.agent, request.run, m_now);
    }
    void stop(AgentNumber agent, uint32_t, uint64_t, const RunId &run) override
    {
        const auto found = m_workers.at(agent).runs.find(run);
        if (found != m_workers.at(agent).runs.end())
            found->second.stopAt = m_now + Millis{20};
    }
    void endStored(AgentNumber, const RunId &) override { }
    void endDisputed(AgentNumber, const RunId &) override { }
    void sendRunSize(AgentNumber, const RunId &, const StepSpec &) override { }

private:
    static constexpr int64_t runCpuMilli = 1'400;
    static constexpr int64_t workerCpuMilli = 16'000;
    static constexpr uint32_t rackCount = 3;
    static constexpr double stretch = 1.6;
    static constexpr int64_t targetMs = 60;

    struct Run
    {
        double left = 0;
        Millis startedAt;
        Millis expected;
        double done = 0;
        Millis stopAt = {INT64_MAX};
    };
    struct Worker
    {
        double speed = 1;
        uint64_t ordersReceived = 0;
        std::map<RunId, Run> runs;
        SpeedEstimator estimator;
    };
    struct SimulatedJob
    {
        std::vector<double> work;
        Millis submittedAt;
    };

    void setUp()
    {
        m_scheduler.openPartition(0, 1);
        std::set<AgentNumber> agents;
        for (AgentNumber agent = 1; agent <= m_options.workers; ++agent) {
            m_workers[agent].speed = m_options.speeds.at(agent / rackCount % m_options.speeds.size());
            report(agent);
            agents.insert(agent);
        }
        m_scheduler.loaded(0, m_now);
        m_scheduler.setExpectedAgents(0, agents, true);
        for (const AgentNumber agent : agents)
            m_scheduler.claimReport(agent, 0, 1, {}, {}, m_now);
    }

    void report(AgentNumber agent)
    {
        const Worker &worker = m_workers.at(agent);
        const auto used = static_cast<int64_t>(worker.runs.size());
        const SpeedEstimate speed = worker.estimator.estimate(m_now);
        m_pool.report(agent,
                      {.usable = true,
                       .worker = "w" + std::to_string(agent),
                       .service = "kiosk",
                       .zone = "patan",
                       .labels = {"rack" + std::to_string(agent % rackCount)},
                       .capacity = {workerCpuMilli, 64'000, 0},
                       .free = {workerCpuMilli - used * runCpuMilli, 64'000 - used * 64, 0},
                       .ordersReceived = worker.ordersReceived,
                       .speedPermille = static_cast<uint32_t>(speed.speed * 1'000),
                       .speedSamples = static_cast<uint32_t>(speed.samples)},
                      m_now);
    }

    void submitArrivals(Millis step)
    {
        constexpr double msPerSecond = 1'000;
        std::uniform_real_distribution<double> any(0, 1);
        for (const SimulatedKind &kind : m_options.kinds) {
            const double expected = kind.jobsPerSecond * static_cast<double>(step.count) / msPerSecond;
            std::poisson_distribution<int> count(expected);
            for (int left = count(m_arrivals); left > 0; --left)
                submit(kind, any);
        }
    }

    void submit(const SimulatedKind &kind, std::uniform_real_distribution<double> &any)
    {
        std::normal_distribution<double> spread(0, 0.15);
        std::normal_distribution<double> estimateError(0, 0.4);
        const JobId id = ++m_lastJob;
        SimulatedJob &job = m_jobs[id];
        job.submittedAt = m_now;
        for (uint32_t task = 0; task < kind.tasks; ++task) {
            const double factor = any(m_arrivals) < m_options.longTaskShare ? m_options.longTaskFactor : 1;
            job.work.push_back(kind.workMs * factor * std::exp(spread(m_arrivals)));
        }
        const double critical = *std::max_element(job.work.begin(), job.work.end());
        const double limit = critical * stretch + targetMs;
        JobSpec spec;
        spec.id = id;
        spec.queue = kind.queue;
        spec.service = "kiosk";
        spec.attempts = 2;
        spec.stretch = stretch;
        spec.target_latency_ms = targetMs;
        spec.best_effort = true;
        auto only = std::make_unique<StepSpec>();
        only->count = kind.tasks;
        only->cpu_milli = runCpuMilli;
        only->memory_mb = 64;
        only->estimate_ms = static_cast<uint32_t>(kind.workMs * std::exp(estimateError(m_arrivals))) + 1;
        const auto rack = static_cast<uint32_t>(any(m_arrivals) * rackCount);
        if (kind.hasData)
            only->data_rack = "rack" + std::to_string(rack);
        spec.steps.push_back(std::move(only));
        const Millis submittedAt = m_now;
        const bool counts =
            m_now >= m_start + m_options.warmUp && m_now < m_start + m_options.duration - Millis{4'000};
        if (counts)
            ++m_result.jobs;
        m_scheduler.submit(std::move(spec), {.wait = {60'000}}, m_now,
                           [this, limit, submittedAt, counts](const JobReply &reply) {
                               if (!counts)
                                   return;
                               const auto took = static_cast<double>((m_now - submittedAt).count);
                               if (reply.status != fleet::CallStatus::Done)
                                   ++m_result.rejected;
                               else if (took <= limit)
                                   ++m_result.onTime;
                               else if (took <= 3 * limit)
                                   ++m_result.late;
                           });
    }

    double slownessOf(AgentNumber agent) const
    {
        for (const SimulatedTrouble &trouble : m_options.troubles) {
            if (trouble.agent == agent && m_now >= m_start + trouble.from && m_now < m_start + trouble.until)
                return trouble.slowness;
        }
        return 1;
    }

    void advanceWorkers(Millis step)
    {
        for (auto &[agent, worker] : m_workers) {
            const double slowness = slownessOf(agent);
            const double progress =
                slowness > 0 ? static_cast<double>(step.count) * worker.speed / slowness : 0;
            std::vector<AgentEnd> ends;
            for (auto &[id, run] : worker.runs) {
                run.left -= progress;
                run.done += progress;
                if (run.left <= 0) {
                    ends.push_back({.run = id, .kind = EndKind::Done});
                    worker.estimator.runCompleted(run.expected, m_now - run.startedAt, m_now);
                } else if (m_now >= run.stopAt) {
                    ends.push_back({.run = id, .kind = EndKind::Stopped});
                    ++m_result.stopped;
                    m_result.discarded += run.done * runCpuMilli / 1e6;
                }
            }
            for (const AgentEnd &end : ends) {
                worker.runs.erase(end.run);
                m_scheduler.runEnded(agent, end, m_now);
            }
            if (!ends.empty() || m_now.count % 50 == 0)
                report(agent);
        }
    }

    const SimulationOptions m_options;
    const Millis m_start = {100'000};
    Millis m_now = m_start;
    StructuredLog m_log;
    WorkerPool m_pool;
    JobScheduler m_scheduler;
    std::minstd_rand m_arrivals;
    std::map<AgentNumber, Worker> m_workers;
    std::map<JobId, SimulatedJob> m_jobs;
    JobId m_lastJob = 0;
    SimulationResult m_result;
};

} // namespace turmericwell
