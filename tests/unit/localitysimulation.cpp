// Arrivals, workers and scoring of the simulation of placement near the data.
#include "unit/localitysimulation.h"

#include <algorithm>
#include <cmath>

namespace turmericwell {

constexpr uint32_t racks = 9;
constexpr uint32_t workersPerRack = 8;
constexpr int64_t workerCpuMilli = 16'000;
constexpr Millis messageTime = {2};
constexpr Millis reportInterval = {20};
constexpr Millis passInterval = {3};
constexpr double stretch = 1.6;
constexpr int64_t targetLatencyMs = 60;
constexpr double longTaskFactor = 7;

struct SimulatedKind
{
    const char *queue;
    uint32_t tasks;
    double runMs;
    double jobsPerSecond;
};

constexpr SimulatedKind kinds[] = {
    {"urgent", 8, 51, 181},
    {"usual", 2, 170, 529},
    {"patient", 4, 760, 33},
};

static std::string rackName(uint32_t number)
{
    return "rack-" + std::to_string(number);
}

LocalitySimulation::LocalitySimulation(LocalityLoad load, PlacementWaitPolicy policy, StructuredLog &log)
    : m_load(load)
    , m_random(load.seed)
    , m_scheduler({.partitions = 1,
                   .placementWait = policy,
                   .farFactor = load.farFactor,
                   .mostRackWaits = load.mostRackWaits},
                  m_pool, *this, log)
{
    std::set<AgentNumber> agents;
    for (AgentNumber agent = 1; agent <= racks * workersPerRack; ++agent) {
        const uint32_t rack = (agent - 1) / workersPerRack;
        m_workers[agent].state = {.usable = true,
                                  .worker = "w" + std::to_string(agent),
                                  .service = "kiosk",
                                  .zone = "patan",
                                  .labels = {rackName(rack)},
                                  .capacity = {workerCpuMilli, 64'000, 0},
                                  .free = {workerCpuMilli, 64'000, 0}};
        m_pool.report(agent, m_workers[agent].state);
        agents.insert(agent);
    }
    m_scheduler.openPartition(0, 1);
    m_scheduler.loaded(0, m_now);
    m_scheduler.setExpectedAgents(0, agents, true);
    for (const AgentNumber agent : agents)
        m_scheduler.claimReport(agent, 0, 1, {}, {}, m_now);
}

void LocalitySimulation::start(const StartRequest &request)
{
    ++m_result.runs;
    at(m_now + messageTime,
       [this, agent = request.agent, run = request.run, cpu = request.step->cpu_milli,
        rack = request.step->data_rack] { runArrived(agent, run, cpu, rack); });
}

void LocalitySimulation::runArrived(AgentNumber agent, RunId run, int64_t cpuMilli, const std::string &rack)
{
    SimulatedWorker &worker = m_workers.at(agent);
    if (worker.isLost)
        return;
    ++worker.state.ordersReceived;
    if (worker.state.draining) {
        m_scheduler.runRejected(agent, run, fleet::RejectReason::Draining, m_now);
        return;
    }
    worker.state.free -= {cpuMilli, 64, 0};
    m_running[run] = agent;
    const auto &labels = worker.state.labels;
    const bool isFar = !rack.empty() && std::find(labels.begin(), labels.end(), rack) == labels.end();
    m_result.farRuns += isFar ? 1 : 0;
    const double workMs = m_jobs.at(run.task.job).workMs.at(run.task.index);
    const Millis took = {std::llround(workMs * (isFar ? m_load.farFactor : 1))};
    m_result.processorSeconds += static_cast<double>(cpuMilli * took.count) / 1e6;
    m_scheduler.runStarted(agent, run, m_now);
    at(m_now + took, [this, agent, run, cpuMilli] { runDone(agent, run, cpuMilli, EndKind::Done); });
}

void LocalitySimulation::runDone(AgentNumber agent, const RunId &run, int64_t cpuMilli, EndKind kind)
{
    SimulatedWorker &worker = m_workers.at(agent);
    if (worker.isLost || m_running.erase(run) == 0)
        return;
    worker.state.free += {cpuMilli, 64, 0};
    at(m_now + messageTime, [this, agent, run, kind] {
        if (!m_workers.at(agent).isLost)
            m_scheduler.runEnded(agent, {.run = run, .kind = kind}, m_now);
    });
}

void LocalitySimulation::stop(AgentNumber agent, uint32_t, uint64_t, const RunId &run)
{
    at(m_now + messageTime, [this, agent, run] { runDone(agent, run, 1'400, EndKind::Stopped); });
}

void LocalitySimulation::submit(uint32_t number, JobId id)
{
    const SimulatedKind &kind = kinds[number];
    std::uniform_real_distribution<double> any(0, 1);
    std::uniform_real_distribution<double> declared(0.6, 1.4);
    std::normal_distribution<double> varies(1, 0.15);
    JobSpec spec;
    spec.id = id;
    spec.queue = kind.queue;
    spec.service = "kiosk";
    spec.attempts = 2;
    spec.priority = number;
    spec.stretch = stretch;
    spec.target_latency_ms = targetLatencyMs;
    spec.best_effort = true;
    auto step = std::make_unique<StepSpec>();
    step->count = kind.tasks;
    step->cpu_milli = 1'400;
    step->memory_mb = 64;
    step->estimate_ms = static_cast<uint32_t>(kind.runMs * declared(m_random));
    if (number == 0) {
        const bool isHot = any(m_random) < m_load.hotShare;
        const auto rack = static_cast<uint32_t>(any(m_random) * racks);
        step->data_rack = isHot && m_load.isRackUnknown ? "rack-unknown" : rackName(isHot ? 0 : rack);
    }
    spec.steps.push_back(std::move(step));
    SimulatedJob job{.submittedAt = m_now, .isUrgent = number == 0};
    for (uint32_t index = 0; index < kind.tasks; ++index) {
        const double factor = any(m_random) < m_load.longTaskShare ? longTaskFactor : 1;
        job.workMs.push_back(kind.runMs * factor * std::max(0.4, varies(m_random)));
    }
    const double longest = *std::max_element(job.workMs.begin(), job.workMs.end());
    job.limit = {std::llround(longest * stretch) + targetLatencyMs};
    job.dueAt = m_now + job.limit;
    m_jobs[id] = std::move(job);
    ++m_result.jobs;
    m_result.urgentJobs += number == 0 ? 1 : 0;
    m_scheduler.submit(std::move(spec), {.wait = {5'000}}, m_now,
                       [this, id](const JobReply &reply) { answered(id, reply); });
}

void LocalitySimulation::answered(JobId id, const JobReply &reply)
{
    const SimulatedJob &job = m_jobs.at(id);
    if (reply.status != fleet::CallStatus::Done) {
        ++m_result.rejected;
    } else if (m_now <= job.dueAt) {
        ++m_result.onTime;
        m_result.urgentOnTime += job.isUrgent ? 1 : 0;
    } else {
        ++(m_now - job.submittedAt <= job.limit * 3 ? m_result.late : m_result.worthless);
    }
}

void LocalitySimulation::scheduleArrivals(uint32_t kind, double perSecond, Millis duration)
{
    std::exponential_distribution<double> interval(perSecond / 1'000);
    for (double time = interval(m_random); time < static_cast<double>(duration.count);
         time += interval(m_random))
        at(m_now + Millis{std::llround(time)}, [this, kind, id = ++m_lastJob] { submit(kind, id); });
}

void LocalitySimulation::reportWorkers()
{
    for (const auto &[agent, worker] : m_workers) {
        if (worker.isLost)
            continue;
        at(m_now + messageTime, [this, number = agent, state = worker.state] {
            if (!m_workers.at(number).isLost)
                m_pool.report(number, state);
        });
    }
}

void LocalitySimulation::loseRack()
{
    for (AgentNumber agent = 1; agent <= workersPerRack; ++agent) {
        m_workers.at(agent).isLost = true;
        m_pool.remove(agent);
        m_scheduler.agentGone(agent, m_now);
    }
}

LocalityResult LocalitySimulation::run(Millis duration)
{
    const Millis start = m_now;
    scheduleArrivals(0, kinds[0].jobsPerSecond * m_load.urgentRate, duration);
    for (uint32_t kind = 1; kind < std::size(kinds); ++kind)
        scheduleArrivals(kind, kinds[kind].jobsPerSecond * m_load.otherRate, duration);
    // Time for the last jobs to end.
    const Millis end = start + duration + Millis{8'000};
    for (Millis time = start; time < end; time += passInterval)
        at(time, [this] { m_scheduler.advance(m_now); });
    for (Millis time = start; time < end; time += reportInterval)
        at(time, [this] { reportWorkers(); });
    if (m_load.drainsAt > Millis{0}) {
        at(start + m_load.drainsAt, [this] {
            for (AgentNumber agent = 1; agent <= workersPerRack; ++agent)
                m_workers.at(agent).state.draining = true;
        });
    }
    if (m_load.lostAt > Millis{0})
        at(start + m_load.lostAt, [this] { loseRack(); });
    while (!m_events.empty()) {
        m_now = m_events.begin()->first;
        const std::function<void()> event = std::move(m_events.begin()->second);
        m_events.erase(m_events.begin());
        event();
    }
    return m_result;
}

} // namespace turmericwell
