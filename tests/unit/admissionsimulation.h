// Simulation of several owners (JobScheduler) that share workers, in steps of one millisecond and without
// a network. The same arrivals can be played against different admission policies.
#pragma once

#include "jobs/jobscheduler.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <numbers>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace turmericwell {

struct OfferedKind
{
    std::string queue;
    uint32_t priority = 0;
    uint32_t tasks = 1;
    int64_t runMs = 100;
    uint32_t cpuMilli = 1'000;
    // Jobs per second.
    double rate = 1;
};

// Multiplies the rate of a kind for some time.
struct SimulatedBurst
{
    size_t kind = 0;
    double factor = 1;
    int64_t fromMs = 0;
    int64_t toMs = 0;
};

struct AdmissionSimulationOptions
{
    JobSchedulerOptions scheduler;
    std::vector<OfferedKind> kinds;
    std::vector<SimulatedBurst> bursts;
    // Part of the partitions that each owner serves; they add up to 1.
    std::vector<double> owners = {0.25, 0.25, 0.25, 0.25};
    uint32_t workers = 12;
    int64_t workerMilli = 16'000;
    int64_t lengthMs = 12'000;
    // Part of the tasks with `longFactor` times the usual work.
    double longTasks = 0;
    double longFactor = 7;
    // Error of the declared run times, and spread of the run times of one kind.
    double estimateError = 0.4;
    double runTimeSpread = 0.15;
    // Rates of the arrivals by zone swing by this part, with a different phase in each of three zones.
    double waves = 0;
    int64_t wavePeriodMs = 4'000;
    // Clients of rejected jobs submit them again this often.
    uint32_t resubmissions = 0;
    // From this time on, one owner's links to the other owners are cut; negative for never.
    int64_t isolateOwnerAt = -1;
    // Arrivals before this are served but not counted.
    int64_t countFromMs = 1'000;
    uint32_t seed = 1;
};

struct SimulatedOutcome
{
    uint32_t jobs = 0;
    uint32_t onTime = 0;
    uint32_t late = 0;
    uint32_t worthless = 0;
    uint32_t rejectedAtOnce = 0;
    uint32_t rejectedAfterWaiting = 0;
    // Rejected at once while free workers could hold the whole job.
    uint32_t rejectedBesideFree = 0;
    uint32_t servedAfterReturn = 0;
    int64_t longestWaitUntilRejected = 0;
    double onTimePart() const { return jobs == 0 ? 1 : static_cast<double>(onTime) / jobs; }
    // Value with a late job worth a fifth.
    double value() const { return onTime + 0.2 * late; }
};

class AdmissionSimulation
{
public:
    explicit AdmissionSimulation(AdmissionSimulationOptions options)
        : m_options(std::move(options))
        , m_random(m_options.seed)
        , m_agents(m_options.workers)
        , m_outcomes(m_options.kinds.size())
    {
        m_options.scheduler.partitions = partitions;
        const double total = static_cast<double>(partitions);
        double share = 0;
        uint32_t next = 0;
        for (size_t number = 0; number < m_options.owners.size(); ++number) {
            m_owners.push_back(std::make_unique<Owner>(*this, number));
            share += m_options.owners[number];
            for (; next < partitions && next < std::lround(share * total); ++next)
                m_owner[next] = number;
        }
        for (uint32_t partition = 0; partition < partitions; ++partition)
            openPartition(partition);
        for (Agent &agent : m_agents)
            agent.free = m_options.workerMilli;
    }

    // Returns the outcomes by kind.
    const std::vector<SimulatedOutcome> &run()
    {
        for (m_ms = 0; m_ms < m_options.lengthMs + drainMs; ++m_ms) {
            endRuns();
            if (m_ms < m_options.lengthMs)
                arrive();
            resubmit();
            deliver();
            if (m_ms % 250 == 0)
                exchangeReports();
            for (const auto &owner : m_owners) {
                if (m_ms % 15 == 0 || owner->dirty) {
                    owner->dirty = false;
                    owner->scheduler.advance(now());
                }
            }
        }
        for (SimulatedOutcome &outcome : m_outcomes)
            outcome.worthless = outcome.jobs - outcome.onTime - outcome.late - outcome.rejectedAtOnce
                - outcome.rejectedAfterWaiting;
        return m_outcomes;
    }

    SimulatedOutcome total() const
    {
        SimulatedOutcome sum;
        for (const SimulatedOutcome &outcome : m_outcomes) {
            sum.jobs += outcome.jobs;
            sum.onTime += outcome.onTime;
            sum.late += outcome.late;
            sum.worthless += outcome.worthless;
            sum.rejectedAtOnce += outcome.rejectedAtOnce;
            sum.rejectedAfterWaiting += outcome.rejectedAfterWaiting;
            sum.rejectedBesideFree += outcome.rejectedBesideFree;
            sum.servedAfterReturn += outcome.servedAfterReturn;
            sum.longestWaitUntilRejected =
                std::max(sum.longestWaitUntilRejected, outcome.longestWaitUntilRejected);
        }
        return sum;
    }

    // Work that has run of each kind, in thousandths of a core times milliseconds, by intervals of 250 ms.
    const std::vector<std::map<int64_t, double>> &workByKind() const { return m_work; }

private:
    static constexpr uint32_t partitions = 16;
    static constexpr int64_t drainMs = 6'000;
    static constexpr int64_t messageMs = 2;
    static constexpr Millis origin = {100'000};

    struct Owner : JobEffects
    {
        Owner(AdmissionSimulation &simulation, size_t ownNumber)
            : parent(simulation)
            , number(ownNumber)
            , scheduler(simulation.m_options.scheduler, pool, *this, log)
        { }

        void store(uint32_t, JobId, std::string, bool, std::function<void(StoreOutcome, Millis)>) override { }
        void start(const StartRequest &request) override { parent.order(*this, request); }
        void stop(AgentNumber agent, uint32_t, uint64_t, const RunId &run) override
        {
            parent.stop(*this, agent, run);
        }
        void endStored(AgentNumber, const RunId &) override { }
        void endDisputed(AgentNumber, const RunId &) override { }
        void sendRunSize(AgentNumber, const RunId &, const StepSpec &) override { }

        AdmissionSimulation &parent;
        size_t number;
        bool dirty = false;
        StructuredLog log;
        WorkerPool pool;
        JobScheduler scheduler;
        std::map<size_t, PeerReport> peers;
        std::map<AgentNumber, uint64_t> ordersReceived;
    };

    struct Run
    {
        size_t owner = 0;
        RunId id;
        int64_t cpuMilli = 0;
        int64_t lengthMs = 0;
        int64_t endsAt = 0;
        size_t kind = 0;
    };

    struct Agent
    {
        int64_t free = 0;
        std::vector<Run> running;
        std::vector<Run> queued;
    };

    struct Submission
    {
        JobId id = 0;
        size_t kind = 0;
        uint32_t zone = 0;
        int64_t firstMs = 0;
        int64_t submittedMs = 0;
        uint32_t rejections = 0;
        // Longest run time of its tasks.
        int64_t pathMs = 0;
        std::vector<int64_t> runMs;
        uint32_t estimateMs = 0;
    };

    using Message = std::pair<int64_t, std::function<void()>>;

    Millis now() const { return origin + Millis{m_ms}; }

    void openPartition(uint32_t partition)
    {
        JobScheduler &scheduler = m_owners[m_owner.at(partition)]->scheduler;
        scheduler.openPartition(partition, 1);
        scheduler.loaded(partition, now());
        std::set<AgentNumber> agents;
        for (AgentNumber agent = 1; agent <= m_options.workers; ++agent) {
            agents.insert(agent);
            report(agent);
        }
        scheduler.setExpectedAgents(partition, agents, true);
        for (const AgentNumber agent : agents)
            scheduler.claimReport(agent, partition, 1, {}, {}, now());
    }

    double rateOf(size_t kind, uint32_t zone) const
    {
        double rate = m_options.kinds[kind].rate / 3;
        for (const SimulatedBurst &burst : m_options.bursts) {
            if (burst.kind == kind && m_ms >= burst.fromMs && m_ms < burst.toMs)
                rate *= burst.factor;
        }
        const double phase = 2 * std::numbers::pi
            * (static_cast<double>(m_ms) / static_cast<double>(m_options.wavePeriodMs) + zone / 3.0);
        return rate * (1 + m_options.waves * std::sin(phase));
    }

    void arrive()
    {
        std::uniform_real_distribution<double> uniform(0, 1);
        for (size_t kind = 0; kind < m_options.kinds.size(); ++kind) {
            for (uint32_t zone = 0; zone < 3; ++zone) {
                if (uniform(m_random) < rateOf(kind, zone) / 1'000)
                    submit(makeJob(kind, zone));
            }
        }
    }

    Submission makeJob(size_t kind, uint32_t zone)
    {
        std::uniform_real_distribution<double> spread(-1, 1);
        std::uniform_real_distribution<double> uniform(0, 1);
        const OfferedKind &made = m_options.kinds[kind];
        Submission job{.id = ++m_lastJob, .kind = kind, .zone = zone, .firstMs = m_ms};
        for (uint32_t task = 0; task < made.tasks; ++task) {
            const double factor = uniform(m_random) < m_options.longTasks ? m_options.longFactor : 1;
            const double length =
                static_cast<double>(made.runMs) * factor * (1 + m_options.runTimeSpread * spread(m_random));
            job.runMs.push_back(std::max<int64_t>(1, std::llround(length)));
        }
        job.pathMs = *std::max_element(job.runMs.begin(), job.runMs.end());
        job.estimateMs = static_cast<uint32_t>(static_cast<double>(made.runMs)
                                               * (1 + m_options.estimateError * spread(m_random)));
        if (m_ms >= m_options.countFromMs)
            ++m_outcomes[kind].jobs;
        return job;
    }

    JobSpec specOf(const Submission &job) const
    {
        const OfferedKind &kind = m_options.kinds[job.kind];
        JobSpec spec;
        spec.id = job.id;
        spec.queue = kind.queue;
        spec.service = "s";
        spec.attempts = 3;
        spec.priority = kind.priority;
        spec.stretch = 1.6;
        spec.target_latency_ms = 60;
        spec.best_effort = true;
        auto step = std::make_unique<StepSpec>();
        step->count = kind.tasks;
        step->cpu_milli = kind.cpuMilli;
        step->memory_mb = 10;
        step->estimate_ms = job.estimateMs;
        spec.steps.push_back(std::move(step));
        return spec;
    }

    void submit(Submission job)
    {
        job.submittedMs = m_ms;
        Owner &owner = *m_owners[m_owner.at(partitionOf(job.id, partitions))];
        const JobId id = job.id;
        m_jobs[id] = std::move(job);
        owner.scheduler.submit(specOf(m_jobs.at(id)), {.wait = {5'000}, .zone = zoneName(m_jobs.at(id).zone)},
                               now(), [this, id](const JobReply &reply) { answered(id, reply); });
        owner.dirty = true;
    }

    static std::string zoneName(uint32_t zone) { return std::string(1, static_cast<char>('a' + zone)); }

    void answered(JobId id, const JobReply &reply)
    {
        Submission job = m_jobs.at(id);
        SimulatedOutcome &outcome = m_outcomes[job.kind];
        const bool counted = job.firstMs >= m_options.countFromMs;
        const int64_t took = m_ms - job.submittedMs;
        if (reply.status == fleet::CallStatus::Refused) {
            if (counted && job.rejections == 0) {
                ++(took == 0 ? outcome.rejectedAtOnce : outcome.rejectedAfterWaiting);
                outcome.longestWaitUntilRejected = std::max(outcome.longestWaitUntilRejected, took);
                outcome.rejectedBesideFree += took == 0 && couldHold(job) ? 1 : 0;
            }
            if (job.rejections++ < m_options.resubmissions) {
                const int64_t seconds = std::max<int64_t>(1, (reply.retryAfter.count + 999) / 1'000);
                m_returns.emplace(m_ms + seconds * 1'000, job);
            }
            return;
        }
        if (!counted || reply.phase != JobPhase::Completed)
            return;
        const double limit = 1.6 * static_cast<double>(job.pathMs) + 60;
        if (job.rejections > 0)
            outcome.servedAfterReturn += static_cast<double>(took) <= limit ? 1 : 0;
        else if (static_cast<double>(took) <= limit)
            ++outcome.onTime;
        else if (static_cast<double>(took) <= 3 * limit)
            ++outcome.late;
    }

    bool couldHold(const Submission &job) const
    {
        int64_t slots = 0;
        const OfferedKind &kind = m_options.kinds[job.kind];
        for (const Agent &agent : m_agents)
            slots += agent.queued.empty() ? agent.free / kind.cpuMilli : 0;
        // Resources that were freed within the last messages are promised to waiting jobs.
        const int64_t inMotion = m_options.workers * m_options.workerMilli / kind.cpuMilli / 20;
        return slots >= kind.tasks + inMotion;
    }

    void resubmit()
    {
        while (!m_returns.empty() && m_returns.begin()->first <= m_ms) {
            const Submission job = m_returns.begin()->second;
            m_returns.erase(m_returns.begin());
            submit(job);
        }
    }

    void post(std::function<void()> handler) { m_messages.emplace(m_ms + messageMs, std::move(handler)); }

    void deliver()
    {
        while (!m_messages.empty() && m_messages.begin()->first <= m_ms) {
            const auto handler = std::move(m_messages.begin()->second);
            m_messages.erase(m_messages.begin());
            handler();
        }
    }

    void order(Owner &owner, const StartRequest &request)
    {
        const Submission &job = m_jobs.at(request.run.task.job);
        const Run run{.owner = owner.number,
                      .id = request.run,
                      .cpuMilli = request.step->cpu_milli,
                      .lengthMs = job.runMs.at(request.run.task.index),
                      .kind = job.kind};
        post([this, &owner, number = request.agent, run] {
            Agent &agent = m_agents[number - 1];
            ++owner.ordersReceived[number];
            int64_t queued = 0;
            for (const Run &other : agent.queued)
                queued += other.cpuMilli;
            if (agent.free >= run.cpuMilli) {
                startRun(number, run);
            } else if (queued + run.cpuMilli <= m_options.workerMilli / 10) {
                agent.queued.push_back(run);
            } else {
                post([this, &owner, number, id = run.id] {
                    owner.scheduler.runRejected(number, id, RejectReason::NoRoom, now());
                    owner.dirty = true;
                });
            }
            report(number);
        });
    }

    void startRun(AgentNumber number, Run run)
    {
        Agent &agent = m_agents[number - 1];
        run.endsAt = m_ms + run.lengthMs;
        agent.free -= run.cpuMilli;
        agent.running.push_back(run);
        m_work.resize(m_options.kinds.size());
        m_work[run.kind][m_ms / 250] += static_cast<double>(run.cpuMilli * run.lengthMs);
        post([this, number, owner = m_owners[run.owner].get(), id = run.id] {
            owner->scheduler.runStarted(number, id, now());
        });
    }

    void endRun(AgentNumber number, const Run &run, EndKind kind)
    {
        post([this, number, owner = m_owners[run.owner].get(), id = run.id, kind] {
            owner->scheduler.runEnded(number, {.run = id, .kind = kind}, now());
            owner->dirty = true;
        });
    }

    void stop(Owner &, AgentNumber number, const RunId &id)
    {
        post([this, number, id] {
            Agent &agent = m_agents[number - 1];
            const auto isRun = [&](const Run &run) { return run.id == id; };
            if (const auto queued = std::find_if(agent.queued.begin(), agent.queued.end(), isRun);
                queued != agent.queued.end()) {
                endRun(number, *queued, EndKind::Stopped);
                agent.queued.erase(queued);
            } else if (const auto run = std::find_if(agent.running.begin(), agent.running.end(), isRun);
                       run != agent.running.end()) {
                endRun(number, *run, EndKind::Stopped);
                agent.free += run->cpuMilli;
                agent.running.erase(run);
                startQueued(number);
            }
            report(number);
        });
    }

    void startQueued(AgentNumber number)
    {
        Agent &agent = m_agents[number - 1];
        while (!agent.queued.empty() && agent.free >= agent.queued.front().cpuMilli) {
            const Run run = agent.queued.front();
            agent.queued.erase(agent.queued.begin());
            startRun(number, run);
        }
    }

    void endRuns()
    {
        for (AgentNumber number = 1; number <= m_agents.size(); ++number) {
            Agent &agent = m_agents[number - 1];
            bool any = false;
            for (size_t index = 0; index < agent.running.size();) {
                if (agent.running[index].endsAt > m_ms) {
                    ++index;
                    continue;
                }
                const Run run = agent.running[index];
                agent.running.erase(agent.running.begin() + static_cast<std::ptrdiff_t>(index));
                agent.free += run.cpuMilli;
                endRun(number, run, EndKind::Done);
                any = true;
            }
            if (any) {
                startQueued(number);
                report(number);
            }
        }
    }

    void report(AgentNumber number)
    {
        for (const auto &owner : m_owners) {
            post([this, &to = *owner, number] {
                const Agent &agent = m_agents[number - 1];
                int64_t queued = 0;
                for (const Run &run : agent.queued)
                    queued += run.cpuMilli;
                to.pool.report(number,
                               {.usable = true,
                                .worker = "w",
                                .service = "s",
                                .zone = "a",
                                .capacity = {m_options.workerMilli, 64'000, 0},
                                .free = {agent.free - queued, 64'000, 0},
                                .queuedCpuMilli = queued,
                                .ordersReceived = to.ordersReceived[number]});
                to.dirty = true;
            });
        }
    }

    void exchangeReports()
    {
        for (const auto &from : m_owners) {
            for (const auto &to : m_owners) {
                const bool isCut = m_options.isolateOwnerAt >= 0 && m_ms >= m_options.isolateOwnerAt
                    && (from->number == 0 || to->number == 0);
                if (from == to || isCut)
                    continue;
                to->peers[from->number] = {.waitingMilli = from->scheduler.waitingCpuMilli(),
                                           .receivedAt = now()};
            }
        }
        for (const auto &from : m_owners) {
            for (const auto &to : m_owners) {
                const bool isCut = m_options.isolateOwnerAt >= 0 && m_ms >= m_options.isolateOwnerAt
                    && (from->number == 0 || to->number == 0);
                if (FairShares *shares = to->scheduler.shares(); shares && from != to && !isCut)
                    shares->report(std::to_string(from->number), 1, true, from->scheduler.shareDemands(now()),
                                   now());
            }
        }
        for (const auto &owner : m_owners) {
            int64_t waiting = 0;
            std::vector<PeerReport> reports;
            for (const auto &[number, peer] : owner->peers) {
                waiting += peer.waitingMilli;
                reports.push_back(peer);
            }
            owner->scheduler.setPeersWaitingCpuMilli(waiting);
            owner->scheduler.setPeerReports(std::move(reports));
        }
    }

    AdmissionSimulationOptions m_options;
    std::minstd_rand m_random;
    int64_t m_ms = 0;
    JobId m_lastJob = 0;
    std::vector<Agent> m_agents;
    std::vector<std::unique_ptr<Owner>> m_owners;
    std::map<uint32_t, size_t> m_owner;
    std::map<JobId, Submission> m_jobs;
    std::multimap<int64_t, std::function<void()>> m_messages;
    std::multimap<int64_t, Submission> m_returns;
    std::vector<SimulatedOutcome> m_outcomes;
    std::vector<std::map<int64_t, double>> m_work;
};

} // namespace turmericwell
