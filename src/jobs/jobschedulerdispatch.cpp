// JobScheduler: the queue of waiting jobs and the placement of their tasks.
//
// Load pattern: bursts beyond the capacity of all workers. Jobs that can still meet their deadline are placed
// first, ordered by their latest start; late jobs use the remaining capacity, oldest first.
//
// Load pattern: many jobs that wait for workers that are gone, and others behind them that any worker could
// run. The first jobs of a queue that cannot be placed do not keep the others from the free workers.
#include "core/overloaded.h"
#include "jobs/jobscheduler.h"

#include <algorithm>
#include <cmath>

namespace turmericwell {

constexpr Millis rejectionRetryAfter = {1'000};
constexpr Millis progressInterval = {100};
constexpr Millis purgeInterval = {1'000};
// Limits the cost of a dispatch pass under overload: it ends after this many jobs with a task that could not
// be placed.
constexpr uint32_t maxUnplacedJobs = 24;
// Interval of the passes over the jobs behind those, each of which ends after as many unplaced jobs of a
// queue. A job behind 1,000 jobs that cannot be placed is looked at within about two seconds.
constexpr Millis passBehindInterval = {50};

Millis declaredSlack(const JobSpec &spec)
{
    int64_t criticalPath = 0;
    for (const auto &step : spec.steps)
        criticalPath = step->after.empty() ? std::max<int64_t>(criticalPath, step->estimate_ms)
                                           : criticalPath + step->estimate_ms;
    const auto stretched =
        std::llround(static_cast<double>(criticalPath) * (std::max(1.0, spec.stretch) - 1));
    return std::max(Millis{0}, Millis{stretched + spec.target_latency_ms} - dispatchOverhead);
}

Millis JobScheduler::objective(const JobSpec &spec) const
{
    int64_t criticalPath = 0;
    for (const auto &step : spec.steps) {
        const int64_t estimate = m_runTimes.estimateMs(spec.queue, step->estimate_ms);
        criticalPath = step->after.empty() ? std::max(criticalPath, estimate) : criticalPath + estimate;
    }
    return {std::llround(static_cast<double>(criticalPath) * std::max(1.0, spec.stretch))
            + spec.target_latency_ms};
}

Millis JobScheduler::remainingCriticalPath(const Job &job) const
{
    int64_t criticalPath = 0;
    for (size_t number = 0; number < job.spec.steps.size(); ++number) {
        if (job.stepRemaining[number] == 0)
            continue;
        const StepSpec &step = *job.spec.steps[number];
        const int64_t estimate = m_runTimes.estimateMs(job.spec.queue, step.estimate_ms);
        criticalPath = step.after.empty() ? std::max(criticalPath, estimate) : criticalPath + estimate;
    }
    return {criticalPath};
}

Millis JobScheduler::queueKey(Millis latestStart, Millis acceptedAt) const
{
    return std::visit(Overloaded{[&](const LatestStartFirst &) { return latestStart; },
                                 [&](const ArrivalOrder &) { return acceptedAt; }},
                      m_options.order);
}

void JobScheduler::enqueue(Job &job)
{
    const auto partition = m_partitions.find(job.partition);
    const bool mayOrder =
        partition != m_partitions.end() && !partition->second.frozen && !partition->second.suspended;
    if (job.queued || job.phase != JobPhase::Active || !job.accepted || !mayOrder)
        return;
    job.queued = true;
    job.latestStart = job.dueAt - remainingCriticalPath(job) - dispatchOverhead;
    job.queueKey = queueKey(job.latestStart, job.acceptedAt);
    if (job.expectedLate)
        m_late.emplace(job.acceptedAt, job.spec.id);
    else
        m_onTime.emplace(job.queueKey, job.spec.id);
}

void JobScheduler::dequeue(Job &job)
{
    if (!job.queued)
        return;
    job.queued = false;
    m_onTime.erase({job.queueKey, job.spec.id});
    m_late.erase({job.acceptedAt, job.spec.id});
    for (Task &task : job.tasks) {
        if (std::exchange(task.nearWaitSince, std::nullopt))
            m_log.count("placement_waits_total", "unplaced");
    }
}

void JobScheduler::demoteLate(Millis now)
{
    if (!std::holds_alternative<LatestStartFirst>(m_options.order))
        return;
    while (!m_onTime.empty() && m_onTime.begin()->first < now) {
        const JobId id = m_onTime.begin()->second;
        m_onTime.erase(m_onTime.begin());
        Job &job = m_jobs.at(id);
        if (m_admission && isWorthFinishing(job, now)) {
            job.queueKey = lastUsefulStart(job);
            m_onTime.emplace(job.queueKey, id);
        } else {
            m_late.emplace(job.acceptedAt, id);
        }
    }
}

void JobScheduler::rejectLateJobs(Millis now)
{
    std::vector<JobId> rejected;
    for (const auto &[key, id] : m_late) {
        const Job &job = m_jobs.at(id);
        // A refusal says that the job does not run, which is not known yet.
        const bool mayHaveRuns = job.mayHaveFormerRuns && !m_partitions.at(job.partition).reconciled;
        if (!job.spec.best_effort || job.anyOrdered || job.recorded || mayHaveRuns)
            continue;
        if (!m_admission || !isWorthWaiting(job, now))
            rejected.push_back(id);
    }
    for (const JobId id : rejected) {
        Job &job = m_jobs.at(id);
        recordRejected(job.spec, job.zone, now);
        const Millis retryAfter = m_admission ? retryAfterWaiting(job, now) : rejectionRetryAfter;
        m_log.write(now, "job_refused",
                    {{"job", jobIdText(id)},
                     {"queue", job.spec.queue},
                     {"reason", "no room in time"},
                     {"waited_ms", now - job.acceptedAt}});
        dequeue(job);
        const std::vector<JobReplyHandler> submitters = job.submitters.takeAll();
        m_jobs.erase(id);
        for (const JobReplyHandler &submitter : submitters) {
            submitter({.status = fleet::CallStatus::Refused,
                       .retryAfter = retryAfter,
                       .reason = "no worker had room in time"});
        }
    }
}

PlacementNeeds JobScheduler::placementNeeds(const Job &job, const Task &task, Millis now) const
{
    const StepSpec &step = *job.spec.steps[task.step];
    const Millis estimate = {m_runTimes.estimateMs(job.spec.queue, step.estimate_ms)};
    const Millis slack = job.latestStart - now;
    return {.service = job.spec.service,
            .size = {step.cpu_milli, step.memory_mb, step.accelerators},
            .requiredLabel = step.required_label,
            .dataRack = step.data_rack,
            .workerLimit = step.worker_limit,
            .estimate = estimate,
            .slack = slack,
            .expectedNear = estimate,
            .farFactor = step.data_rack.empty() ? 1 : m_options.farFactor,
            .untilDue = slack + estimate + dispatchOverhead,
            .stretch = std::max(1.0, job.spec.stretch),
            .ratios = &ratiosOf(job.spec.queue)};
}

JobScheduler::Placement JobScheduler::placeTask(Job &job, Task &task, Millis now)
{
    const StepSpec &step = *job.spec.steps[task.step];
    const Partition &partition = m_partitions.at(job.partition);
    if (!partition.mayPlace || !hasRunNumber(job, task, now))
        return Placement::NoRoom;
    if (waitsForRack(job, task, now))
        return Placement::WaitsForRack;
    std::map<AgentNumber, uint32_t> siblings;
    if (step.worker_limit > 0) {
        for (const Task &other : job.tasks) {
            if (other.step == task.step
                && (other.phase == TaskPhase::Ordered || other.phase == TaskPhase::Running))
                ++siblings[other.agent];
        }
    }
    // A late task may go to any worker with free resources. Once a run of the task has been moved, the
    // avoided workers are left out even if the task is late. A task that has waited for another worker in
    // vain may go to any one, too.
    const bool isWaitOver = now >= task.avoidUntil;
    const bool mayAvoid = (job.latestStart >= now || task.moves > 0) && !(isWaitOver && task.lacksRoom);
    PlacementNeeds needs = placementNeeds(job, task, now);
    needs.siblings = &siblings;
    needs.eligible = &partition.reported;
    needs.excluded = &partition.excluded;
    needs.avoided = mayAvoid ? &task.avoided : nullptr;
    needs.waitsForOthers = !isWaitOver;
    const std::optional<AgentNumber> agent = m_pool.choose(needs, now);
    if (!agent)
        return Placement::NoRoom;
    if (waitsForRack(job, task, *agent, now))
        return Placement::WaitsForRack;
    const Millis rackWait = endRackWait(job, task, *agent, now);
    task.isFar = isFar(step, *agent);
    job.anyOrdered = true;
    task.phase = TaskPhase::Ordered;
    task.agent = *agent;
    task.orderedAt = now;
    task.notBefore = {};
    task.stopOrdered = false;
    job.hasRepeatedRuns = job.hasRepeatedRuns || task.run > 0;
    task.run = job.runNumbers.next(task.run);
    m_pool.orderSent(*agent, needs.size);
    const RunId run = runId(job, task);
    m_log.write(now, "run_ordered",
                {{"job", jobIdText(job.spec.id)},
                 {"task", taskIdText(run.task)},
                 {"run", run.number},
                 {"agent", *agent},
                 {"worker", m_pool.find(*agent)->worker},
                 {"far", task.isFar},
                 {"rack_wait_ms", rackWait},
                 {"slack_ms", job.latestStart - now}});
    m_effects.start({.agent = *agent,
                     .partition = job.partition,
                     .epoch = partition.epoch,
                     .run = run,
                     .spec = &job.spec,
                     .step = &step,
                     .checkpoint = task.checkpoint,
                     .slack = job.latestStart - now,
                     .expected = m_options.learnWorkerSpeeds
                         ? Millis{std::llround(estimateOf(job, task) * farFactorOf(task))}
                         : Millis{0}});
    return Placement::Placed;
}

bool JobScheduler::hasRunNumber(Job &job, const Task &task, Millis now)
{
    if (job.runNumbers.hasNext(task.run))
        return true;
    if (job.runNumbers.extend()) {
        m_log.write(now, "run_numbers_extended",
                    {{"job", jobIdText(job.spec.id)},
                     {"task", taskIdText(runId(job, task).task)},
                     {"run", task.run},
                     {"limit", job.runNumbers.limitToRecord()}});
        writeRecord(job);
    }
    return false;
}

bool JobScheduler::placeTasks(Job &job, Millis now)
{
    bool all = true;
    // A task that waits for its time or its rack does not make the job one that has no room.
    bool anyWaits = false;
    // Tasks stand in the order of their steps.
    std::optional<uint32_t> unplaceableStep;
    for (Task &task : job.tasks) {
        if (task.phase == TaskPhase::MayStartLate && now >= task.notBefore)
            task.phase = TaskPhase::Waiting;
        anyWaits = anyWaits || task.phase == TaskPhase::MayStartLate;
        if (task.phase == TaskPhase::Unreconciled || task.awaitsRecord)
            all = false;
        if (task.phase != TaskPhase::Waiting || task.awaitsRecord || task.step == unplaceableStep)
            continue;
        // The tasks of a step are similar: if one does not fit on any worker, the others rarely do. Another
        // step may need other workers.
        const Placement placement = placeTask(job, task, now);
        anyWaits = anyWaits || placement == Placement::WaitsForRack;
        if (placement == Placement::NoRoom) {
            all = false;
            unplaceableStep = task.step;
        }
    }
    if (all && !anyWaits)
        dequeue(job);
    return all;
}

int64_t JobScheduler::waitingCpuMilli(const Job &job)
{
    int64_t amount = 0;
    for (const Task &task : job.tasks) {
        if (task.phase == TaskPhase::Waiting)
            amount += job.spec.steps[task.step]->cpu_milli;
    }
    return amount;
}

size_t JobScheduler::placeInOrder(std::span<const QueueKey> jobs, uint32_t &budget, Millis now)
{
    size_t count = 0;
    for (; count < jobs.size() && budget > 0; ++count) {
        if (!placeTasks(m_jobs.at(jobs[count].second), now))
            --budget;
    }
    return count;
}

void JobScheduler::placeQueued(const JobQueue &queue, uint32_t &budget, QueueKey &resumeAt, bool alsoBehind,
                               Millis now)
{
    // Jobs leave the queue when they are placed.
    const std::vector<QueueKey> jobs(queue.begin(), queue.end());
    std::span<const QueueKey> behind = std::span(jobs).subspan(placeInOrder(jobs, budget, now));
    if (!alsoBehind)
        return;
    const auto next = std::lower_bound(behind.begin(), behind.end(), resumeAt);
    behind = behind.subspan(static_cast<size_t>(next - behind.begin()));
    uint32_t budgetBehind = maxUnplacedJobs;
    const size_t passed = placeInOrder(behind, budgetBehind, now);
    // At the end of the queue the next pass begins behind its first jobs again.
    resumeAt = passed < behind.size() ? behind[passed] : QueueKey();
}

void JobScheduler::dispatch(Millis now)
{
    const bool alsoBehind = now >= m_nextPassBehind;
    if (alsoBehind)
        m_nextPassBehind = now + passBehindInterval;
    ++m_pass;
    m_rackWaits = 0;
    m_rackWaitingCpuMilli.clear();
    uint32_t budget = maxUnplacedJobs;
    placeQueued(m_onTime, budget, m_onTimeResumeAt, alsoBehind, now);
    placeQueued(m_late, budget, m_lateResumeAt, alsoBehind, now);
    m_waitingCpuMilli = 0;
    for (const auto &[key, id] : m_onTime)
        m_waitingCpuMilli += waitingCpuMilli(m_jobs.at(id));
}

void JobScheduler::expireJobs(Millis now)
{
    std::vector<JobId> expired;
    for (const auto &[id, job] : m_jobs) {
        if (job.spec.best_effort && job.phase == JobPhase::Active && now >= job.expiresAt
            && !job.recordInFlight)
            expired.push_back(id);
    }
    for (const JobId id : expired) {
        Job &job = m_jobs.at(id);
        m_log.write(now, "job_given_up",
                    {{"job", jobIdText(id)}, {"queue", job.spec.queue}, {"took_ms", now - job.acceptedAt}});
        job.abandoned = true;
        endJob(job, JobPhase::Cancelled);
    }
}

void JobScheduler::storeProgress(Millis now)
{
    if (now < m_nextProgress)
        return;
    m_nextProgress = now + progressInterval;
    for (auto &[id, job] : m_jobs) {
        const bool due = !job.unstoredEnds.empty() && now - job.oldestUnstoredEnd >= m_options.progressDelay;
        if (due && !job.recordInFlight)
            writeRecord(job);
    }
}

void JobScheduler::purge(Millis now)
{
    if (now < m_nextPurge)
        return;
    m_nextPurge = now + purgeInterval;
    m_placementWait.purge(now);
    std::erase_if(m_rackViews,
                  [&](const auto &item) { return now - item.second.takenAt > PlacementWait::retention; });
    std::erase_if(m_givenUp, [&](const auto &item) { return item.second.evictAt <= now; });
    evictUnknownCancels(now);
    while (!m_endedOrder.empty()) {
        const JobId id = m_endedOrder.front();
        const auto found = m_ended.find(id);
        if (found != m_ended.end()) {
            if (found->second.evictAt > now)
                return;
            const uint32_t partition = found->second.partition;
            const bool recorded = found->second.recorded;
            m_ended.erase(found);
            if (recorded)
                deleteRecord(partition, id);
        }
        m_endedOrder.pop_front();
    }
}

void JobScheduler::advance(Millis now)
{
    retireFinished(now);
    stopOrphans(now);
    for (auto &[number, partition] : m_partitions) {
        if (partition.loaded && !partition.reconciled && !partition.suspended)
            reconcilePartition(number, partition, now);
    }
    demoteLate(now);
    dispatch(now);
    rejectLateJobs(now);
    checkRuns(now);
    storeProgress(now);
    purge(now);
}

} // namespace turmericwell
