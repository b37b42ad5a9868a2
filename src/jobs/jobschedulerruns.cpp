// JobScheduler: tasks and runs.
#include "jobs/jobscheduler.h"

#include <algorithm>

namespace turmericwell {

// An orphan is stopped after this time. Entries resubmit the jobs of a failed owner as soon as they know the
// new owner.
constexpr Millis orphanGracePeriod = {600};
// How long a task waits for another worker after its first failed run; twice as long after each further one.
// With four attempts it outlasts a worker that fails everything for several seconds.
constexpr Millis firstWaitForAnotherWorker = {1'500};
// Also after a run that was moved, since a worker that has stalled one is likely to stall the next, too.
constexpr Millis longestWaitForAnotherWorker = {8'000};

JobScheduler::Job *JobScheduler::findJob(JobId id)
{
    const auto found = m_jobs.find(id);
    return found == m_jobs.end() ? nullptr : &found->second;
}

std::string_view JobScheduler::jobState(JobId id) const
{
    if (m_jobs.contains(id))
        return "active";
    if (m_ended.contains(id))
        return "ended";
    return m_givenUp.contains(id) ? "given up" : "unknown";
}

JobScheduler::Task *JobScheduler::findTask(Job &job, const TaskId &id)
{
    if (id.occurrence != 0 || id.step >= job.stepFirst.size() || id.index >= job.spec.steps[id.step]->count)
        return nullptr;
    return &job.tasks[job.stepFirst[id.step] + id.index];
}

RunId JobScheduler::runId(const Job &job, const Task &task) const
{
    return {.task = {.job = job.spec.id, .step = task.step, .index = task.index}, .number = task.run};
}

void JobScheduler::openReadySteps(Job &job)
{
    const auto partition = m_partitions.find(job.partition);
    const bool isReconciled = partition != m_partitions.end() && partition->second.reconciled;
    const TaskPhase opened =
        job.mayHaveFormerRuns && !isReconciled ? TaskPhase::Unreconciled : TaskPhase::Waiting;
    for (uint32_t number = 0; number < job.spec.steps.size(); ++number) {
        const StepSpec &step = *job.spec.steps[number];
        const bool ready = std::all_of(step.after.begin(), step.after.end(),
                                       [&](uint32_t earlier) { return job.stepRemaining[earlier] == 0; });
        if (!ready)
            continue;
        for (uint32_t index = 0; index < step.count; ++index) {
            Task &task = job.tasks[job.stepFirst[number] + index];
            if (task.phase != TaskPhase::Blocked)
                continue;
            const bool mayStartLate = opened == TaskPhase::Waiting && task.notBefore.count > 0;
            task.phase = mayStartLate ? TaskPhase::MayStartLate : opened;
            if (job.mayHaveFormerRuns && isReconciled)
                recordRepeatedRun(job, task);
        }
    }
    enqueue(job);
    // A job without tasks is complete at once.
    if (job.accepted && job.phase == JobPhase::Active
        && std::all_of(job.stepRemaining.begin(), job.stepRemaining.end(),
                       [](uint32_t left) { return left == 0; }))
        endJob(job, JobPhase::Completed);
}

void JobScheduler::recordUnstoredEnd(Job &job, AgentNumber agent, const RunId &run, Millis now)
{
    if (job.spec.best_effort) {
        m_effects.endStored(agent, run);
        return;
    }
    if (job.unstoredEnds.empty())
        job.oldestUnstoredEnd = now;
    job.unstoredEnds.push_back({.agent = agent, .run = run});
}

bool JobScheduler::isDisputed(const AgentEnd &end, const Job *job, const Task *task) const
{
    // A confirmed failure counts as an attempt, and the task may have been started again after its last one.
    if (end.kind != EndKind::Done && end.kind != EndKind::Failed)
        return false;
    if (task) {
        // Runs that a former owner ordered are known only from the stored record.
        const bool isOfFormerOwner = job->runNumbers.isOfFormerOwner(end.run.number);
        return !job->spec.best_effort
            && (end.run.number < task->run || (isOfFormerOwner && task->isRepeated));
    }
    const auto ended = m_ended.find(end.run.task.job);
    return ended != m_ended.end() && ended->second.hasRepeatedRuns;
}

void JobScheduler::requeueTask(Job &job, Task &task, std::string_view cause, Millis now)
{
    m_log.write(now, "task_requeued",
                {{"job", jobIdText(job.spec.id)},
                 {"task", taskIdText(runId(job, task).task)},
                 {"run", task.run},
                 {"agent", task.agent},
                 {"cause", cause}});
    task.phase = TaskPhase::Waiting;
    if (job.phase == JobPhase::Active)
        enqueue(job);
}

void JobScheduler::recordRepeatedRun(Job &job, Task &task)
{
    job.hasRepeatedRuns = true;
    if (std::exchange(task.isRepeated, true) || job.spec.best_effort)
        return;
    task.awaitsRecord = true;
    writeRecord(job);
}

void JobScheduler::stopRuns(Job &job)
{
    const auto partition = m_partitions.find(job.partition);
    if (partition == m_partitions.end())
        return;
    for (const Task &task : job.tasks) {
        if (task.phase == TaskPhase::Ordered || task.phase == TaskPhase::Running)
            m_effects.stop(task.agent, job.partition, partition->second.epoch, runId(job, task));
    }
}

void JobScheduler::endJob(Job &job, JobPhase phase)
{
    job.phase = phase;
    dequeue(job);
    // The cancel of a client is acknowledged once it holds for later owners as well.
    const bool mustBeStored = !job.spec.best_effort || (phase == JobPhase::Cancelled && !job.abandoned);
    // The Job object must outlive the handling of the event that ended the job, so it is removed later.
    if (!mustBeStored)
        m_finished.push_back(job.spec.id);
    // Clients may submit a job again that was given up, so the next owner must not take it for cancelled.
    if (job.abandoned && job.recorded)
        deleteRecord(job.partition, job.spec.id);
    else if (mustBeStored || job.recorded)
        writeRecord(job);
}

void JobScheduler::taskDone(Job &job, Task &task, Millis now)
{
    if (task.phase == TaskPhase::Running) {
        const StepSpec &step = *job.spec.steps[task.step];
        const Millis took = now - task.startedAt;
        m_log.observe("run_ms", took);
        m_runTimes.observeTurnover(job.spec.service, step.cpu_milli, took);
        recordRunTime(job, task, took, now);
    }
    task.phase = TaskPhase::Done;
    task.checkpoint.clear();
    if (--job.stepRemaining[task.step] > 0 || job.phase != JobPhase::Active)
        return;
    const bool allDone = std::all_of(job.stepRemaining.begin(), job.stepRemaining.end(),
                                     [](uint32_t left) { return left == 0; });
    if (allDone)
        endJob(job, JobPhase::Completed);
    else
        openReadySteps(job);
}

void JobScheduler::avoidWorker(Task &task, AgentNumber agent, Millis now)
{
    task.avoided.insert(agent);
    task.lacksRoom = false;
    constexpr uint32_t maxDoublings = 3;
    const uint32_t doublings = std::min(std::max(task.failures, 1U) - 1, maxDoublings);
    const Millis wait =
        task.moves > 0 ? longestWaitForAnotherWorker : firstWaitForAnotherWorker * (int64_t{1} << doublings);
    task.avoidUntil = now + std::min(wait, longestWaitForAnotherWorker);
}

void JobScheduler::taskFailed(Job &job, Task &task, AgentNumber agent, const RunId &run, Millis now)
{
    const uint32_t number = job.stepFirst[task.step] + task.index;
    const auto counted = [&](const fleet::FailedRun &failed) {
        return failed.task() == number && failed.run() == run.number;
    };
    if (std::none_of(job.failedRuns.begin(), job.failedRuns.end(), counted)) {
        job.failedRuns.emplace_back(number, run.number);
        ++task.failures;
        avoidWorker(task, agent, now);
        m_pool.runFailed(agent, now);
    }
    const bool isAtWork = task.phase == TaskPhase::Ordered || task.phase == TaskPhase::Running;
    const bool hasEnded = isAtWork && isCurrentRun(task, agent, run);
    // The failures count in whatever order the ends arrive, and also before the task's step is opened. A
    // later run is stopped with the job.
    if (job.phase == JobPhase::Active && task.failures >= std::max(1U, job.spec.attempts)) {
        if (hasEnded)
            task.phase = TaskPhase::Waiting;
        endJob(job, JobPhase::Failed);
        return;
    }
    // Otherwise a later run may still exist.
    if (hasEnded)
        requeueTask(job, task, "the run failed", now);
}

void JobScheduler::runStarted(AgentNumber agent, const RunId &run, Millis now)
{
    Job *job = findJob(run.task.job);
    Task *task = job ? findTask(*job, run.task) : nullptr;
    if (!task || !isCurrentRun(*task, agent, run)) {
        // The order was executed late, by a worker that counts as lost or that received it over a connection
        // that is lost.
        const uint32_t number = partitionOf(run.task.job, m_options.partitions);
        if (isServing(number))
            m_effects.stop(agent, number, m_partitions.at(number).epoch, run);
        return;
    }
    if (task->phase != TaskPhase::Ordered)
        return;
    task->phase = TaskPhase::Running;
    task->startedAt = now;
    task->slowReported = false;
    m_log.observe("run_wait_ms", now - job->acceptedAt);
    job->anyStarted = true;
}

void JobScheduler::runEnded(AgentNumber agent, const AgentEnd &end, Millis now)
{
    const RunId &run = end.run;
    if (!isServing(partitionOf(run.task.job, m_options.partitions)))
        return;
    m_orphans.erase(run);
    Job *job = findJob(run.task.job);
    Task *task = job ? findTask(*job, run.task) : nullptr;
    const bool disputed = isDisputed(end, job, task);
    m_log.write(now, "run_ended",
                {{"job", jobIdText(run.task.job)},
                 {"task", taskIdText(run.task)},
                 {"run", run.number},
                 {"how", fleet::EnumNameEndKind(end.kind)},
                 {"lost_because", fleet::EnumNameLostCause(end.lostCause)},
                 {"agent", agent},
                 {"known", task != nullptr},
                 {"job_state", jobState(run.task.job)},
                 {"current_run", task ? task->run : 0},
                 {"current_agent", task ? task->agent : 0},
                 {"disputed", disputed}});
    if (disputed)
        m_effects.endDisputed(agent, run);
    if (!task) {
        m_effects.endStored(agent, run);
        return;
    }
    if (task->phase == TaskPhase::Done) {
        // A former owner ordered this run after the one that completed the task, and could not store that.
        if (run.number > task->run && !job->spec.best_effort)
            m_effects.endDisputed(task->agent, runId(*job, *task));
        // A reconnected agent lists the end with which the task became done; that end may not be stored yet.
        recordUnstoredEnd(*job, agent, run, now);
        return;
    }
    const bool isCurrent = isCurrentRun(*task, agent, run);
    if (isCurrent) {
        const StepSpec &step = *job->spec.steps[task->step];
        m_pool.runEnded(agent, {step.cpu_milli, step.memory_mb, step.accelerators}, now);
        processorsReleased(agent, step, now);
    }
    if (!end.checkpoint.empty())
        task->checkpoint = end.checkpoint;
    // Shows ends of earlier runs, which agents may report later, to be superseded.
    const bool isAtWork = task->phase == TaskPhase::Ordered || task->phase == TaskPhase::Running;
    if (!isAtWork && run.number > task->run) {
        task->run = run.number;
        task->agent = agent;
    }
    if (end.kind == EndKind::Done) {
        if (!isCurrent && (task->phase == TaskPhase::Ordered || task->phase == TaskPhase::Running))
            m_effects.stop(task->agent, job->partition, m_partitions.at(job->partition).epoch,
                           runId(*job, *task));
        m_pool.runSucceeded(agent);
        recordUnstoredEnd(*job, agent, run, now);
        taskDone(*job, *task, now);
        return;
    }
    if (end.kind == EndKind::Failed) {
        recordUnstoredEnd(*job, agent, run, now);
        taskFailed(*job, *task, agent, run, now);
        return;
    }
    m_effects.endStored(agent, run);
    if (!isCurrent || (task->phase != TaskPhase::Ordered && task->phase != TaskPhase::Running))
        return;
    requeueTask(*job, *task, "the run ended early", now);
    // The worker may still list an end that it could not report.
    if (end.kind == EndKind::Lost)
        recordRepeatedRun(*job, *task);
}

void JobScheduler::runRejected(AgentNumber agent, const RunId &run, RejectReason reason, Millis now)
{
    Job *job = findJob(run.task.job);
    Task *task = job ? findTask(*job, run.task) : nullptr;
    m_log.write(now, "run_rejected",
                {{"job", jobIdText(run.task.job)},
                 {"task", taskIdText(run.task)},
                 {"run", run.number},
                 {"reason", fleet::EnumNameRejectReason(reason)},
                 {"known", task != nullptr}});
    m_orphans.erase(run);
    // A task that took over an orphan counts as running, also if the order of the orphan is rejected only
    // now.
    const bool isAtWork = task && (task->phase == TaskPhase::Ordered || task->phase == TaskPhase::Running);
    if (!isAtWork || !isCurrentRun(*task, agent, run))
        return;
    // The agent knows another owner of the partition. It receives no more orders until it accepts a claim.
    if (reason == RejectReason::Superseded)
        m_partitions.at(job->partition).reported.erase(agent);
    if (reason == RejectReason::Unhealthy)
        m_pool.runFailed(agent, now);
    task->lacksRoom = reason == RejectReason::NoRoom;
    requeueTask(*job, *task, "the order was rejected", now);
}

void JobScheduler::adoptRun(AgentNumber agent, const RunId &run, Millis now)
{
    const uint32_t number = partitionOf(run.task.job, m_options.partitions);
    const uint64_t epoch = m_partitions.at(number).epoch;
    Job *job = findJob(run.task.job);
    Task *task = job ? findTask(*job, run.task) : nullptr;
    if (!job && !m_ended.contains(run.task.job)) {
        const Millis grace = m_unknownCancelled.contains(run.task.job) ? Millis{0} : orphanGracePeriod;
        const auto [orphan, isNew] =
            m_orphans.try_emplace(run, Orphan{.agent = agent, .stopAt = now + grace});
        // An earlier stop did not reach the agent, or the run would not be reported.
        if (!isNew && std::exchange(orphan->second.stopped, false))
            orphan->second.stopAt = now;
        return;
    }
    const bool hasOtherRun = task && (task->phase == TaskPhase::Ordered || task->phase == TaskPhase::Running)
        && !isCurrentRun(*task, agent, run);
    if (!task || task->phase == TaskPhase::Done || job->phase != JobPhase::Active || hasOtherRun) {
        m_effects.stop(agent, number, epoch, run);
        return;
    }
    m_effects.sendRunSize(agent, run, *job->spec.steps[task->step]);
    // The stop of a run that is to be moved may have been lost with the connection or the agent's process.
    if (task->stopOrdered && isCurrentRun(*task, agent, run))
        m_effects.stop(agent, number, epoch, run);
    if (task->phase == TaskPhase::Running)
        return;
    task->phase = TaskPhase::Running;
    task->agent = agent;
    task->run = run.number;
    task->startedAt = now;
    task->isFar = isFar(*job->spec.steps[task->step], agent);
    job->anyOrdered = true;
    job->anyStarted = true;
}

void JobScheduler::adoptOrphans(Job &job, Millis now)
{
    const RunId first{.task = {.job = job.spec.id}};
    auto item = m_orphans.lower_bound(first);
    while (item != m_orphans.end() && item->first.task.job == job.spec.id) {
        const auto [run, orphan] = *item;
        item = m_orphans.erase(item);
        adoptRun(orphan.agent, run, now);
    }
}

void JobScheduler::stopOrphans(Millis now)
{
    for (auto &[run, orphan] : m_orphans) {
        if (orphan.stopped || now < orphan.stopAt)
            continue;
        orphan.stopped = true;
        const uint32_t number = partitionOf(run.task.job, m_options.partitions);
        m_effects.stop(orphan.agent, number, m_partitions.at(number).epoch, run);
    }
}

} // namespace turmericwell
