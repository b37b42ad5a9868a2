// JobScheduler: run times, and runs that take long.
#include "jobs/jobscheduler.h"

#include <algorithm>
#include <cmath>

namespace turmericwell {

constexpr Millis runCheckInterval = {30};
// A run is slow if it exceeds this multiple of its estimate. Estimates are off by tens of percent.
constexpr double slowRunFactor = 2.5;
// A run that exceeds this multiple of its estimate is moved even if its worker does not appear slow.
constexpr double longRunFactor = 6;
constexpr Millis minSlowRunTime = {80};
constexpr uint32_t maxMoveDoublings = 16;
// Run times beyond this multiple of the estimate count as that: few tasks have several times the usual work,
// and the estimate is for the others.
constexpr double maxLearnedRatio = 3;
// A run that ends after this multiple of its expected time, and was not moved, counts as left.
constexpr double leftRunFactor = 2;
// A run that takes longer than all but this share of its queue is overdue. Long tasks are running for a
// greater part of the time than their share of the tasks, so that this share of the runs on a sound worker
// may be overdue at any time.
constexpr double overdueShare = 0.05;
constexpr double overdueShareOfRunning = 0.2;

double JobScheduler::estimateOf(const Job &job, const Task &task) const
{
    const StepSpec &step = *job.spec.steps[task.step];
    return std::max(1U, m_runTimes.estimateMs(job.spec.queue, step.estimate_ms));
}

double JobScheduler::farFactorOf(const Task &task) const
{
    return task.isFar ? m_options.farFactor : 1;
}

double JobScheduler::expectedHere(const Job &job, const Task &task) const
{
    return estimateOf(job, task) * farFactorOf(task) / m_pool.relativeSpeed(task.agent);
}

RunRatios &JobScheduler::ratiosOf(const std::string &queue)
{
    return m_runRatios.try_emplace(queue).first->second;
}

const RunRatios &JobScheduler::ratiosOf(const std::string &queue) const
{
    static const RunRatios initial;
    const auto found = m_runRatios.find(queue);
    return found == m_runRatios.end() ? initial : found->second;
}

void JobScheduler::recordRunTime(const Job &job, const Task &task, Millis took, Millis now)
{
    const StepSpec &step = *job.spec.steps[task.step];
    const double estimate = estimateOf(job, task);
    const double ratio = static_cast<double>(took.count) / expectedHere(job, task);
    // A run that was recorded as slow while it was running counts once.
    if (!m_options.learnWorkerSpeeds || !task.slowReported)
        m_pool.recordTimeRatio(task.agent, ratio, now);
    if (ratio >= leftRunFactor && took >= minSlowRunTime)
        ++m_leftRuns;
    // Run times on a slow worker are not representative of the queue.
    if (m_pool.slowness(task.agent, now) != 1)
        return;
    m_placementWait.runObserved(job.spec.queue, ratio, now);
    if (m_options.learnWorkerSpeeds || movesByEvidence())
        ratiosOf(job.spec.queue).observe(ratio);
    if (!m_options.learnWorkerSpeeds) {
        const double near = static_cast<double>(took.count) / farFactorOf(task);
        m_runTimes.observe(job.spec.queue, step.estimate_ms, {std::llround(near)});
        return;
    }
    const double learned = estimate * std::min(ratio, maxLearnedRatio);
    m_runTimes.observe(job.spec.queue, step.estimate_ms, {std::max<int64_t>(1, std::llround(learned))});
}

void JobScheduler::moveRun(Job &job, Task &task, Millis now)
{
    ++m_movedRuns;
    ++task.moves;
    avoidWorker(task, task.agent, now);
    task.stopOrdered = true;
    m_effects.stop(task.agent, job.partition, m_partitions.at(job.partition).epoch, runId(job, task));
}

// Load pattern: workers that become slow or stall while they run tasks. A run that exceeds a multiple of its
// estimate is stopped and restarted on another worker, if one that is not slow has free resources. The
// multiple doubles with each move, so that a task that is inherently long is not moved forever.
void JobScheduler::checkRunByRatio(Job &job, Task &task, Millis now)
{
    const StepSpec &step = *job.spec.steps[task.step];
    const double estimate = estimateOf(job, task) * farFactorOf(task);
    const Millis elapsed = now - task.startedAt;
    const double timeRatio = static_cast<double>(elapsed.count) / estimate;
    if (timeRatio < slowRunFactor || elapsed < minSlowRunTime)
        return;
    if (!task.slowReported) {
        task.slowReported = true;
        m_pool.recordTimeRatio(task.agent, slowRunFactor, now);
    }
    const double factor = m_pool.slowness(task.agent, now) > 1 ? slowRunFactor : longRunFactor;
    const uint32_t doublings = std::min(task.moves, maxMoveDoublings);
    if (task.stopOrdered || timeRatio < factor * static_cast<double>(1U << doublings))
        return;
    const Partition &partition = m_partitions.at(job.partition);
    const PlacementNeeds needs{.service = job.spec.service,
                               .size = {step.cpu_milli, step.memory_mb, step.accelerators},
                               .requiredLabel = step.required_label,
                               .eligible = &partition.reported,
                               .excluded = &partition.excluded};
    const std::optional<AgentNumber> other = m_pool.choose(needs, now);
    if (!other || *other == task.agent || m_pool.slowness(*other, now) > 1)
        return;
    m_log.write(now, "run_moved",
                {{"job", jobIdText(job.spec.id)},
                 {"task", taskIdText(runId(job, task).task)},
                 {"run", task.run},
                 {"elapsed_ms", elapsed},
                 {"estimate_ms", std::llround(estimate)},
                 {"slowness", m_pool.slowness(task.agent, now)}});
    moveRun(job, task, now);
}

void JobScheduler::collectRuns(Millis now)
{
    m_agentRuns.clear();
    for (const auto &[id, job] : m_jobs) {
        for (const Task &task : job.tasks) {
            if (task.phase != TaskPhase::Running)
                continue;
            AgentRuns &runs = m_agentRuns[task.agent];
            ++runs.count;
            const double ratio = static_cast<double>((now - task.startedAt).count) / expectedHere(job, task);
            const double share = ratiosOf(job.spec.queue).shareAbove(ratio);
            if (share < overdueShare)
                runs.likelihood *= overdueShareOfRunning;
        }
    }
}

WorkerEvidence JobScheduler::evidenceOf(const Job &job, const Task &task, Millis now) const
{
    const StepSpec &step = *job.spec.steps[task.step];
    const auto runCpu = static_cast<double>(std::max(1U, step.cpu_milli));
    const WorkerActivity activity = m_pool.activity(task.agent, now);
    const auto used = static_cast<double>(activity.usedCpuMilli);
    // Reports are batched, so that the last end is up to this much later than known.
    constexpr double reportDelayMs = 50;
    const double quietMs = used > 0 ? activity.quietCpuMs / used - reportDelayMs : 0;
    WorkerEvidence evidence{.slowness = m_pool.slowness(task.agent, now),
                            .otherRuns = used / runCpu - 1,
                            .quiet = {std::llround(std::max(0.0, quietMs))},
                            .meanRunTime =
                                m_runTimes.turnover(job.spec.service, {std::llround(estimateOf(job, task))})};
    if (const auto runs = m_agentRuns.find(task.agent); runs != m_agentRuns.end() && runs->second.count > 1) {
        // Without the run in question, whose own time is weighed apart from the evidence.
        const double ratio = static_cast<double>((now - task.startedAt).count) / expectedHere(job, task);
        const bool isOverdue = ratiosOf(job.spec.queue).shareAbove(ratio) < overdueShare;
        evidence.otherRunsLikelihood = runs->second.likelihood / (isOverdue ? overdueShareOfRunning : 1);
    }
    return evidence;
}

void JobScheduler::checkRunByEvidence(Job &job, Task &task, Millis now)
{
    const Millis elapsed = now - task.startedAt;
    const double here = expectedHere(job, task);
    if (!task.slowReported && static_cast<double>(elapsed.count) >= slowRunFactor * here
        && elapsed >= minSlowRunTime) {
        task.slowReported = true;
        m_pool.recordTimeRatio(task.agent, slowRunFactor, now);
    }
    if (task.stopOrdered || !isLongRun(elapsed, here))
        return;
    const WorkerEvidence evidence = evidenceOf(job, task, now);
    const PlacementNeeds wanted = placementNeeds(job, task, now);
    LongRun run{.elapsed = elapsed,
                .estimateMs = estimateOf(job, task),
                .expectedHereMs = here,
                .expectedElsewhereMs = estimateOf(job, task),
                .stretch = wanted.stretch,
                .limit = job.dueAt - job.acceptedAt,
                .untilDue = wanted.untilDue,
                .tasks = static_cast<uint32_t>(job.tasks.size()),
                .moves = task.moves,
                .mustComplete = !job.spec.best_effort};
    const RunRatios &ratios = ratiosOf(job.spec.queue);
    // Most runs are left whatever the other worker is, and it is searched only for the rest.
    if (decideLongRun(run, evidence, ratios).action == LongRunAction::Leave)
        return;
    const Partition &partition = m_partitions.at(job.partition);
    std::set<AgentNumber> excluded = partition.excluded;
    excluded.insert(task.agent);
    excluded.insert(task.avoided.begin(), task.avoided.end());
    PlacementNeeds needs = wanted;
    needs.workerLimit = 0;
    // A task that is already late is moved as well.
    needs.slack = {0};
    needs.eligible = &partition.reported;
    needs.excluded = &excluded;
    const std::optional<AgentNumber> other = m_pool.choose(needs, now);
    if (!other || m_pool.slowness(*other, now) > 1)
        return;
    const double farFactor = m_pool.isNear(*other, needs.dataRack) ? 1 : needs.farFactor;
    run.expectedElsewhereMs = run.estimateMs * farFactor / m_pool.relativeSpeed(*other);
    const LongRunDecision decision = decideLongRun(run, evidence, ratios);
    if (decision.action == LongRunAction::Leave)
        return;
    m_log.write(now, "run_moved",
                {{"job", jobIdText(job.spec.id)},
                 {"task", taskIdText(runId(job, task).task)},
                 {"run", task.run},
                 {"elapsed_ms", elapsed},
                 {"estimate_ms", std::llround(run.estimateMs)},
                 {"expected_here_ms", std::llround(here)},
                 {"expected_elsewhere_ms", std::llround(run.expectedElsewhereMs)},
                 {"slowness", evidence.slowness},
                 {"other_runs", evidence.otherRuns},
                 {"quiet_ms", evidence.quiet},
                 {"other_runs_likelihood", evidence.otherRunsLikelihood},
                 {"queue_share", decision.queueShare},
                 {"worker_at_fault", decision.workerAtFault},
                 {"gain", decision.gain}});
    moveRun(job, task, now);
}

void JobScheduler::checkRuns(Millis now)
{
    if (now < m_nextRunCheck)
        return;
    m_nextRunCheck = now + runCheckInterval;
    if (movesByEvidence())
        collectRuns(now);
    for (auto &[id, job] : m_jobs) {
        if (job.phase != JobPhase::Active || !isServing(job.partition))
            continue;
        for (Task &task : job.tasks) {
            if (task.phase != TaskPhase::Running)
                continue;
            if (movesByEvidence())
                checkRunByEvidence(job, task, now);
            else
                checkRunByRatio(job, task, now);
        }
    }
    expireJobs(now);
}

} // namespace turmericwell
