// Arrivals, tries and answers.
#include "emulator/emulatedclients.h"

#include <algorithm>
#include <cmath>

namespace turmericwell {

constexpr Millis clientDelay = {3};
constexpr Millis cancelDelay = {300};
constexpr Millis withdrawalDelay = {250};
constexpr Millis leastAskDelay = {500};
constexpr Millis mostAskDelay = {6'000};
constexpr Millis watchInterval = {200};
constexpr double msPerSecond = 1'000;
constexpr int64_t mostRunTimeFactor = 4;
constexpr uint32_t memoryOfTaskMb = 64;
constexpr int64_t leastLongTaskMs = 3'000;
constexpr int64_t mostLongTaskMs = 9'000;
static constexpr const char *emulatedHost = "emulated";

EmulatedClients::EmulatedClients(EmulatedTraffic traffic, uint64_t seed, EventQueue &events,
                                 EmulatedNetwork &network, Handlers handlers)
    : m_traffic(std::move(traffic))
    , m_events(events)
    , m_network(network)
    , m_handlers(std::move(handlers))
    , m_random(seed)
{ }

QueueTable EmulatedClients::queues() const
{
    std::vector<Queue> queues;
    for (const JobKind &kind : m_traffic.kinds)
        queues.push_back({.name = kind.queue,
                          .host = emulatedHost,
                          .pathPrefix = "/" + kind.queue + "/",
                          .service = m_traffic.service,
                          .attempts = failedRunsAllowed,
                          .stretch = m_traffic.stretch,
                          .targetLatency = m_traffic.targetLatency,
                          .timeout = m_traffic.deadline});
    return {1, std::move(queues)};
}

void EmulatedClients::start(Millis until)
{
    m_until = until;
    for (uint32_t kind = 0; kind < m_traffic.kinds.size(); ++kind)
        scheduleArrival(kind);
}

void EmulatedClients::burst(double factor, Millis until)
{
    m_burst = factor;
    m_burstUntil = until;
}

double EmulatedClients::drawFactor(double spread)
{
    return std::exp(std::normal_distribution<double>(-spread * spread / 2, spread)(m_random));
}

void EmulatedClients::scheduleArrival(uint32_t kind)
{
    const double burst = m_events.now() < m_burstUntil ? m_burst : 1;
    const double rate = m_traffic.kinds[kind].perSecond * m_traffic.load * burst;
    const double gap = std::exponential_distribution<double>(rate)(m_random) * msPerSecond;
    m_events.after({std::llround(gap)}, [this, kind] {
        if (m_events.now() >= m_until)
            return;
        arrive(kind);
        scheduleArrival(kind);
    });
}

void EmulatedClients::arrive(uint32_t number)
{
    const JobKind &kind = m_traffic.kinds[number];
    const JobId job = m_nextJob++;
    Work &work = m_work[job];
    work.cpuMilli = kind.cpuMilli;
    const Millis most = kind.meanRunTime * mostRunTimeFactor;
    JobOutcome &outcome = m_outcomes[job];
    // Draws nothing if no job has two steps, so that such days stay as they were.
    outcome.steps = m_traffic.twoStepShare > 0 && draw() < m_traffic.twoStepShare ? 2 : 1;
    work.tasksPerStep = kind.tasks;
    for (uint32_t step = 0; step < outcome.steps; ++step) {
        Millis longest;
        for (uint32_t task = 0; task < kind.tasks; ++task) {
            const double drawn =
                static_cast<double>(kind.meanRunTime.count) * drawFactor(m_traffic.runTimeSpread);
            work.runTimes.push_back(std::clamp(Millis{std::llround(drawn)}, Millis{1}, most));
            longest = std::max(longest, work.runTimes.back());
            outcome.work += work.runTimes.back().count * kind.cpuMilli;
        }
        outcome.longestTask += longest;
    }
    const double estimate =
        static_cast<double>(kind.meanRunTime.count) * drawFactor(m_traffic.estimateSpread);
    work.estimateMs = static_cast<uint32_t>(std::max(1.0, estimate));
    outcome.job = job;
    outcome.kind = number;
    outcome.isKept = draw() < m_traffic.keptShare;
    if (m_traffic.longTaskShare > 0 && outcome.isKept && draw() < m_traffic.longTaskShare)
        makeTasksLong(outcome, work);
    outcome.sentAt = m_events.now();
    outcome.deadlineSince = outcome.sentAt;
    submit(job);
    if (m_traffic.withdrawnShare > 0 && draw() < m_traffic.withdrawnShare)
        m_events.after(withdrawalDelay, [this, job] { withdraw(job); });
}

void EmulatedClients::makeTasksLong(JobOutcome &outcome, Work &work)
{
    outcome.work = 0;
    outcome.longestTask = {};
    for (uint32_t step = 0; step < outcome.steps; ++step) {
        Millis longest;
        for (uint32_t task = 0; task < work.tasksPerStep; ++task) {
            Millis &runTime = work.runTimes[step * work.tasksPerStep + task];
            runTime = {std::uniform_int_distribution<int64_t>(leastLongTaskMs, mostLongTaskMs)(m_random)};
            longest = std::max(longest, runTime);
            outcome.work += runTime.count * work.cpuMilli;
        }
        outcome.longestTask += longest;
    }
    work.estimateMs = static_cast<uint32_t>(mostLongTaskMs);
}

std::unique_ptr<JobSpec> EmulatedClients::specOf(const JobOutcome &outcome) const
{
    const JobKind &kind = m_traffic.kinds[outcome.kind];
    const Work &work = m_work.at(outcome.job);
    auto spec = std::make_unique<JobSpec>();
    spec->id = outcome.job;
    spec->queue = kind.queue;
    spec->service = m_traffic.service;
    spec->payload = "payload";
    spec->attempts = failedRunsAllowed;
    spec->priority = kind.priority;
    spec->stretch = m_traffic.stretch;
    spec->target_latency_ms = m_traffic.targetLatency.count;
    spec->best_effort = !outcome.isKept;
    auto step = std::make_unique<StepSpec>();
    step->count = kind.tasks;
    step->cpu_milli = static_cast<uint32_t>(kind.cpuMilli);
    step->memory_mb = memoryOfTaskMb;
    step->estimate_ms = work.estimateMs;
    spec->steps.push_back(std::move(step));
    for (uint32_t number = 1; number < outcome.steps; ++number) {
        auto next = std::make_unique<StepSpec>(*spec->steps.front());
        next->after.push_back(number - 1);
        spec->steps.push_back(std::move(next));
    }
    return spec;
}

HostNumber EmulatedClients::drawEntry()
{
    const std::vector<HostNumber> open = m_handlers.openEntries();
    if (open.empty())
        return 0;
    return open[std::uniform_int_distribution<size_t>(0, open.size() - 1)(m_random)];
}

void EmulatedClients::submit(JobId job)
{
    JobOutcome &outcome = m_outcomes.at(job);
    const uint32_t attempt = ++outcome.tries;
    const HostNumber entry = drawEntry();
    const uint64_t life = m_network.lifeOf(entry);
    const Millis left = outcome.deadlineSince + m_traffic.deadline - m_events.now();
    m_events.after(clientDelay, [this, job, attempt, entry, life, left] {
        if (life == 0 || m_network.lifeOf(entry) != life) {
            unanswered(job, attempt);
            return;
        }
        m_network.postTo(entry, life, [this, job, attempt, entry, left] {
            EntryNode *node = m_handlers.entryOn(entry);
            if (!node)
                return;
            JobCall call{.kind = fleet::CallKind::Submit,
                         .job = job,
                         .spec = specOf(m_outcomes.at(job)),
                         .wait = left - clientDelay * 2};
            node->call(std::move(call), [this, job, attempt](const JobReply &reply) {
                m_events.after(clientDelay, [this, job, attempt, reply] { answered(job, attempt, reply); });
            });
        });
    });
    watch(job, attempt, entry, life);
    m_events.after(left, [this, job, attempt] { unanswered(job, attempt); });
}

void EmulatedClients::watch(JobId job, uint32_t attempt, HostNumber entry, uint64_t life)
{
    m_events.after(watchInterval, [this, job, attempt, entry, life] {
        if (m_outcomes.at(job).tries != attempt)
            return;
        if (m_network.lifeOf(entry) != life)
            unanswered(job, attempt);
        else
            watch(job, attempt, entry, life);
    });
}

void EmulatedClients::answered(JobId job, uint32_t attempt, const JobReply &reply)
{
    JobOutcome &outcome = m_outcomes.at(job);
    if (outcome.tries != attempt)
        return;
    const Millis now = m_events.now();
    const bool isRefused =
        reply.status == fleet::CallStatus::Refused || reply.status == fleet::CallStatus::NotReady;
    outcome.onlyRefused = outcome.onlyRefused && isRefused;
    if (isRefused) {
        ++outcome.tries;
        return;
    }
    if (reply.status == fleet::CallStatus::Unknown) {
        unanswered(job, attempt);
        return;
    }
    ++outcome.tries;
    if (!outcome.isKept) {
        if (reply.phase == JobPhase::Completed)
            outcome.completedAt = now;
        else if (reply.status == fleet::CallStatus::Done && reply.phase != JobPhase::Failed)
            outcome.unfitAnswer = reply.phase;
        return;
    }
    outcome.acceptedAt = now;
    if (draw() < m_traffic.cancelledShare)
        m_events.after(cancelDelay, [this, job] { cancel(job); });
    else if (m_traffic.askedShare > 0 && draw() < m_traffic.askedShare)
        m_events.after(
            {std::uniform_int_distribution<int64_t>(leastAskDelay.count, mostAskDelay.count)(m_random)},
            [this, job] { ask(job); });
}

void EmulatedClients::unanswered(JobId job, uint32_t attempt)
{
    JobOutcome &outcome = m_outcomes.at(job);
    if (outcome.tries != attempt)
        return;
    outcome.onlyRefused = false;
    ++outcome.tries;
    const Millis resentAt = m_events.now() + m_traffic.resendDelay;
    if (resentAt >= outcome.deadlineSince + m_traffic.deadline) {
        if (outcome.resubmissions >= m_traffic.mostResubmissions)
            return;
        ++outcome.resubmissions;
        outcome.deadlineSince = resentAt;
    }
    m_events.after(m_traffic.resendDelay, [this, job] { submit(job); });
}

void EmulatedClients::cancel(JobId job)
{
    JobOutcome &outcome = m_outcomes.at(job);
    outcome.cancelSent = true;
    const HostNumber entry = drawEntry();
    m_network.postTo(entry, m_network.lifeOf(entry), [this, job, entry] {
        EntryNode *node = m_handlers.entryOn(entry);
        if (!node)
            return;
        node->call({.kind = fleet::CallKind::Cancel, .job = job, .wait = m_traffic.deadline},
                   [this, job](const JobReply &reply) {
                       // A client also takes "no such job" for an acknowledgement.
                       if (reply.status == fleet::CallStatus::Done
                           || reply.status == fleet::CallStatus::NotKnown)
                           m_outcomes.at(job).cancelledAt = m_events.now();
                   });
    });
}

void EmulatedClients::withdraw(JobId job)
{
    JobOutcome &outcome = m_outcomes.at(job);
    if (outcome.tries != 1)
        return;
    ++outcome.tries;
    outcome.onlyRefused = false;
    cancel(job);
}

void EmulatedClients::ask(JobId job)
{
    const HostNumber entry = drawEntry();
    m_network.postTo(entry, m_network.lifeOf(entry), [this, job, entry] {
        EntryNode *node = m_handlers.entryOn(entry);
        if (!node)
            return;
        node->call({.kind = fleet::CallKind::Query, .job = job, .wait = m_traffic.deadline},
                   [this, job](const JobReply &reply) {
                       if (reply.status == fleet::CallStatus::NotKnown)
                           m_outcomes.at(job).deniedAt = m_events.now();
                   });
    });
}

TaskWork EmulatedClients::workOf(const TaskId &task) const
{
    const auto found = m_work.find(task.job);
    if (found == m_work.end())
        return {};
    const Work &work = found->second;
    const size_t position = size_t{task.step} * work.tasksPerStep + task.index;
    if (task.index >= work.tasksPerStep || position >= work.runTimes.size())
        return {};
    return {.runTime = work.runTimes[position], .cpuMilli = work.cpuMilli};
}

} // namespace turmericwell
