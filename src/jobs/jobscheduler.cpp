// JobScheduler: client calls, admission, and records in the store.
#include "jobs/jobscheduler.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>
#include <xxhash.h>

namespace turmericwell {

constexpr Millis minRetryAfter = {1'000};
constexpr int64_t wholePercent = 100;

uint32_t partitionOf(JobId job, uint32_t partitions)
{
    return static_cast<uint32_t>(XXH3_64bits(&job, sizeof(job)) % partitions);
}

JobScheduler::JobScheduler(JobSchedulerOptions options, WorkerPool &pool, JobEffects &effects,
                           StructuredLog &log)
    : m_options(std::move(options))
    , m_pool(pool)
    , m_effects(effects)
    , m_log(log)
    , m_placementWait(options.placementWait)
{
    if (std::holds_alternative<ForecastAdmission>(m_options.admission))
        useForecast();
    if (m_options.shares)
        m_shares.emplace(*m_options.shares);
}

int64_t largestStepMilli(const JobSpec &spec)
{
    int64_t largest = 0;
    for (const auto &step : spec.steps)
        largest = std::max(largest, int64_t{step->cpu_milli} * step->count);
    return largest;
}

static std::string_view unsupportedFeature(const JobSpec &spec)
{
    if (spec.long_running)
        return "long-running jobs are not supported";
    if (spec.repeat_count > 0)
        return "repeated jobs are not supported";
    for (size_t number = 0; number < spec.steps.size(); ++number) {
        const StepSpec &step = *spec.steps[number];
        if (step.gang)
            return "gangs are not supported";
        if (step.fills || step.target_ms > 0)
            return "serving and filling tasks are not supported";
        const auto isLater = [number](uint32_t earlier) { return earlier >= number; };
        if (std::any_of(step.after.begin(), step.after.end(), isLater))
            return "a step depends on a later step";
    }
    return {};
}

Millis JobScheduler::predictedWait(const JobSpec &spec, Millis key, Millis estimate) const
{
    const int64_t capacity = m_pool.capacityMilli(spec.service);
    if (capacity <= 0)
        return {INT32_MAX};
    const int64_t needed = largestStepMilli(spec);
    // If the free processors suffice for the waiting work and this job, the queue is not waiting for
    // processors.
    if (m_pool.freeMilli(spec.service) - m_waitingCpuMilli >= needed)
        return {0};
    int64_t localAhead = 0;
    for (const auto &[other, id] : m_onTime) {
        if (other > key)
            break;
        localAhead += waitingCpuMilli(m_jobs.at(id));
    }
    // Assumes that the queues of the other entries have the same composition as the local queue.
    const int64_t peersAhead = m_waitingCpuMilli > 0 ? m_peersWaitingCpuMilli * localAhead / m_waitingCpuMilli
                                                     : m_peersWaitingCpuMilli;
    const int64_t ahead = localAhead + peersAhead + m_pool.queuedCpuMilli(spec.service);
    return m_runTimes.turnover(spec.service, estimate) * ahead / capacity;
}

Millis JobScheduler::allowedWait(const JobSpec &spec, Millis slack, Millis now)
{
    m_urgentSlack.observe(spec.service, spec.priority, slack, now);
    return allowedWait(spec, slack, m_urgentSlack, now);
}

Millis JobScheduler::allowedWait(const JobSpec &spec, Millis slack, const UrgentSlack &urgentSlack,
                                 Millis now) const
{
    const std::optional<Millis> urgent = urgentSlack.shortest(spec.service, spec.priority, now);
    Millis maxWait = slack;
    if (urgent && m_options.urgentSlackPercent > 0)
        maxWait = std::min(slack, *urgent * m_options.urgentSlackPercent / wholePercent);
    return maxWait * m_options.admissionSlackPercent / wholePercent;
}

// Load pattern: a partition moves under load, and its new owner connects to the agents only then. For some
// milliseconds it knows few of them, and would reject jobs for want of capacity that exists.
bool JobScheduler::lacksCapacityView(const Partition &partition, Millis now) const
{
    if (now - partition.loadedAt >= m_options.capacityViewTimeout)
        return false;
    const auto known = std::count_if(partition.expected.begin(), partition.expected.end(),
                                     [&](AgentNumber agent) { return m_pool.find(agent) != nullptr; });
    return static_cast<size_t>(known) * 2 < partition.expected.size();
}

JobScheduler::Admission JobScheduler::checkAdmission(const JobSpec &spec, const std::string &zone, Millis now)
{
    JobReply reply{.status = fleet::CallStatus::Refused, .retryAfter = minRetryAfter};
    reply.reason = unsupportedFeature(spec);
    if (!reply.reason.empty())
        return {.rejection = reply};
    for (const auto &step : spec.steps) {
        const PlacementNeeds needs{.service = spec.service,
                                   .size = {step->cpu_milli, step->memory_mb, step->accelerators},
                                   .requiredLabel = step->required_label};
        if (!m_pool.canEverFit(needs)) {
            reply.reason = "no worker can hold a task of this size";
            return {.rejection = reply};
        }
    }
    if (m_admission)
        return checkForecast(spec, zone, now);
    int64_t longestStep = 0;
    for (const auto &step : spec.steps)
        longestStep = std::max<int64_t>(longestStep, m_runTimes.estimateMs(spec.queue, step->estimate_ms));
    const Millis slack = objective(spec) - Millis{longestStep} - dispatchOverhead;
    const Millis wait = predictedWait(spec, queueKey(now + slack, now), Millis{longestStep});
    const Millis allowed = allowedWait(spec, slack, now);
    const bool inTime = wait <= allowed;
    if (inTime && (wait.count == 0 || isWithinShares(spec, zone, slack, now))) {
        if (m_shares)
            m_shares->admitted(spec.queue, zone, largestStepMilli(spec));
        return {};
    }
    recordRejected(spec, zone, now);
    if (inTime)
        m_log.count("jobs_rejected_total", shareUsedUp);
    reply.reason = std::string(inTime ? shareUsedUp : "the waiting work would make the job late");
    reply.retryAfter = std::max(minRetryAfter, wait);
    m_log.write(now, "job_refused",
                {{"job", jobIdText(spec.id)},
                 {"queue", spec.queue},
                 {"reason", reply.reason},
                 {"wait_ms", wait},
                 {"slack_ms", slack},
                 {"allowed_ms", allowed},
                 {"waiting_cpu_milli", m_waitingCpuMilli},
                 {"peers_waiting_cpu_milli", m_peersWaitingCpuMilli},
                 {"turnover_ms", m_runTimes.turnover(spec.service, Millis{longestStep})}});
    return {.rejection = reply};
}

AdmissionExplanation JobScheduler::explainAdmission(const JobSpec &spec, Millis now) const
{
    AdmissionExplanation result;
    result.reason = unsupportedFeature(spec);
    int64_t longestStep = 0;
    for (const auto &step : spec.steps) {
        const PlacementNeeds needs{.service = spec.service,
                                   .size = {step->cpu_milli, step->memory_mb, step->accelerators},
                                   .requiredLabel = step->required_label};
        if (result.reason.empty() && !m_pool.canEverFit(needs))
            result.reason = "no worker can hold a task of this size";
        longestStep = std::max<int64_t>(longestStep, m_runTimes.estimateMs(spec.queue, step->estimate_ms));
    }
    if (!result.reason.empty())
        return result;
    result.slack = objective(spec) - Millis{longestStep} - dispatchOverhead;
    result.predictedWait = predictedWait(spec, queueKey(now + result.slack, now), Millis{longestStep});
    UrgentSlack observed = m_urgentSlack;
    observed.observe(spec.service, spec.priority, result.slack, now);
    result.allowedWait = allowedWait(spec, result.slack, observed, now);
    if (result.predictedWait > result.allowedWait) {
        result.reason = "the waiting work would make the job late";
        result.retryAfter = std::max(minRetryAfter, result.predictedWait);
    }
    return result;
}

// Tasks whose memory the job takes: a job and a step take about that of four tasks and one, and a text that
// of one for each 256 bytes.
static size_t taskUnits(const JobSpec &spec)
{
    constexpr size_t unitsPerJob = 4;
    constexpr size_t textBytesPerUnit = 256;
    size_t units = unitsPerJob + spec.steps.size();
    size_t textBytes = spec.payload.size();
    for (const auto &step : spec.steps) {
        units += step->count;
        textBytes += step->required_label.size() + step->data_rack.size() + step->image.size()
            + step->after.size() * sizeof(step->after[0]);
    }
    return units + textBytes / textBytesPerUnit;
}

JobScheduler::Job &JobScheduler::addJob(JobSpec spec, uint32_t partition, Millis now)
{
    const JobId id = spec.id;
    Job &job = m_jobs[id];
    job.serial = ++m_lastSerial;
    job.spec = std::move(spec);
    job.partition = partition;
    job.acceptedAt = now;
    job.dueAt = now + objective(job.spec);
    job.heldTasks = Share(m_heldTasks, taskUnits(job.spec));
    for (uint32_t number = 0; number < job.spec.steps.size(); ++number) {
        job.stepFirst.push_back(static_cast<uint32_t>(job.tasks.size()));
        const uint32_t count = job.spec.steps[number]->count;
        job.stepRemaining.push_back(count);
        for (uint32_t index = 0; index < count; ++index)
            job.tasks.push_back({.step = number, .index = index});
    }
    return job;
}

// Answer to a submission whose job has ended.
static JobReply endedReply(bool isBestEffort, JobPhase phase)
{
    if (isBestEffort && phase == JobPhase::Cancelled)
        return {.status = fleet::CallStatus::NotKnown, .reason = "the job was cancelled"};
    return {.status = fleet::CallStatus::Done, .phase = phase};
}

void JobScheduler::submit(JobSpec spec, const CallOptions &options, Millis now, JobReplyHandler onDone)
{
    const uint32_t partition = partitionOf(spec.id, m_options.partitions);
    if (!isServing(partition)) {
        onDone(
            {.status = fleet::CallStatus::NotReady, .retryAfter = minRetryAfter, .reason = "not the owner"});
        return;
    }
    if (const auto ended = m_ended.find(spec.id); ended != m_ended.end()) {
        onDone(endedReply(spec.best_effort, ended->second.phase));
        return;
    }
    if (m_unknownCancelled.contains(spec.id)) {
        // A job that has to be kept has never been accepted, or it would be known.
        onDone(spec.best_effort ? endedReply(true, JobPhase::Cancelled)
                                : JobReply{.status = fleet::CallStatus::Refused,
                                           .retryAfter = minRetryAfter,
                                           .reason = "the job was cancelled before it was submitted"});
        return;
    }
    if (Job *known = findJob(spec.id)) {
        if (known->accepted && !known->spec.best_effort)
            onDone({.status = fleet::CallStatus::Done, .running = known->anyStarted});
        else
            known->submitters.add(options.caller, now + options.wait, std::move(onDone), now);
        known->expiresAt = std::max(known->expiresAt, now + options.wait);
        return;
    }
    if (lacksCapacityView(m_partitions.at(partition), now)) {
        onDone({.status = fleet::CallStatus::NotReady,
                .retryAfter = minRetryAfter,
                .reason = "the agents have not reported to the new owner yet"});
        return;
    }
    // A single job is accepted whatever its size.
    if (m_options.maxHeldTasks > 0 && m_heldTasks > 0
        && m_heldTasks + taskUnits(spec) > m_options.maxHeldTasks) {
        m_effects.inputRejected("held_tasks");
        onDone({.status = fleet::CallStatus::Refused,
                .retryAfter = minRetryAfter,
                .reason = "too many tasks are held"});
        return;
    }
    if (m_options.maxKnownJobs > 0 && m_jobs.size() + m_ended.size() >= m_options.maxKnownJobs) {
        m_effects.inputRejected("known_jobs");
        onDone({.status = fleet::CallStatus::Refused,
                .retryAfter = minRetryAfter,
                .reason = "too many ended jobs are kept"});
        return;
    }
    Admission admission = checkAdmission(spec, options.zone, now);
    if (admission.rejection) {
        onDone(std::move(*admission.rejection));
        return;
    }
    Job &job = addJob(std::move(spec), partition, now);
    job.expectedLate = admission.isLate;
    job.zone = options.zone;
    if (job.spec.best_effort) {
        acceptBestEffort(job, options, now, std::move(onDone));
        return;
    }
    job.runNumbers = RunNumbers::forNewJob(m_partitions.at(partition).epoch, m_options.runsPerEpoch);
    job.submitters.add(options.caller, now + options.wait, std::move(onDone), now);
    writeRecord(job);
}

size_t JobScheduler::unreportedAgents(const Partition &partition)
{
    const auto hasNotReported = [&](AgentNumber agent) { return !partition.reported.contains(agent); };
    return static_cast<size_t>(
        std::count_if(partition.expected.begin(), partition.expected.end(), hasNotReported));
}

void JobScheduler::acceptBestEffort(Job &job, const CallOptions &options, Millis now, JobReplyHandler onDone)
{
    const JobId id = job.spec.id;
    job.submitters.add(options.caller, now + options.wait, std::move(onDone), now);
    job.accepted = true;
    job.expiresAt = now + options.wait;
    const Partition &partition = m_partitions.at(job.partition);
    job.runNumbers = RunNumbers::forKnownJob(partition.epoch, 0, m_options.runsPerEpoch);
    // Late reports on the runs of a submission that was given up must not be taken for the present runs.
    if (const auto givenUp = m_givenUp.find(id); givenUp != m_givenUp.end()) {
        job.runNumbers.raiseBase(givenUp->second.lastRun);
        for (Task &task : job.tasks)
            task.notBefore = givenUp->second.notBefore;
    }
    m_log.write(now, "job_accepted",
                {{"job", jobIdText(id)},
                 {"queue", job.spec.queue},
                 {"tasks", job.tasks.size()},
                 {"best_effort", true},
                 {"located", partition.reconciled},
                 {"unreported_agents", unreportedAgents(partition)},
                 {"due_in_ms", job.dueAt - now}});
    job.mayHaveFormerRuns = !partition.reconciled;
    openReadySteps(job);
    adoptOrphans(job, now);
}

JobReply JobScheduler::query(JobId id) const
{
    if (!isServing(partitionOf(id, m_options.partitions)))
        return {
            .status = fleet::CallStatus::NotReady, .retryAfter = minRetryAfter, .reason = "not the owner"};
    if (const auto ended = m_ended.find(id); ended != m_ended.end())
        return {.status = fleet::CallStatus::Done, .phase = ended->second.phase};
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end() || !found->second.accepted) {
        if (!m_partitions.at(partitionOf(id, m_options.partitions)).isConfirmed)
            return {.status = fleet::CallStatus::NotReady,
                    .retryAfter = minRetryAfter,
                    .reason = "the ownership is being confirmed"};
        return {.status = fleet::CallStatus::NotKnown};
    }
    return {
        .status = fleet::CallStatus::Done, .phase = JobPhase::Active, .running = found->second.anyStarted};
}

std::map<std::string, uint32_t> JobScheduler::pendingByQueue() const
{
    std::map<std::string, uint32_t> result;
    for (const auto &[id, job] : m_jobs) {
        if (job.accepted && !job.anyStarted && job.phase == JobPhase::Active)
            ++result[job.spec.queue];
    }
    return result;
}

void JobScheduler::writeRecord(Job &job)
{
    if (job.recordInFlight) {
        job.recordDirty = true;
        return;
    }
    job.recordInFlight = true;
    job.recordDirty = false;
    job.recorded = true;
    JobRecord record;
    record.phase = job.phase;
    record.queue = job.spec.queue;
    record.repeated_runs = job.hasRepeatedRuns;
    if (job.phase == JobPhase::Active) {
        record.spec = std::make_unique<JobSpec>(job.spec);
        record.failed_runs = job.failedRuns;
        record.run_limit = job.runNumbers.limitToRecord();
        for (uint32_t number = 0; number < job.tasks.size(); ++number) {
            if (job.tasks[number].phase == TaskPhase::Done)
                record.done_tasks.push_back(number);
            if (job.tasks[number].isRepeated)
                record.repeated_tasks.push_back(number);
        }
    }
    RecordWrite write{.job = job.spec.id,
                      .serial = job.serial,
                      .partition = job.partition,
                      .epoch = m_partitions.at(job.partition).epoch,
                      .phase = job.phase,
                      .ends = std::exchange(job.unstoredEnds, {}),
                      .repeatedTasks = record.repeated_tasks,
                      .runLimit = record.run_limit};
    m_effects.store(job.partition, job.spec.id, encodeJobRecord(record), !job.accepted,
                    [this, write = std::move(write)](StoreOutcome outcome, Millis doneAt) {
                        recordStored(write, outcome, doneAt);
                    });
}

void JobScheduler::deleteRecord(uint32_t partition, JobId id)
{
    m_effects.store(partition, id, {}, true, [](StoreOutcome, Millis) {});
}

void JobScheduler::recordStored(const RecordWrite &write, StoreOutcome outcome, Millis now)
{
    // After a change of ownership the job has been removed and its callers have been answered.
    if (epochOf(write.partition) != write.epoch || outcome == StoreOutcome::Superseded)
        return;
    const JobId id = write.job;
    Job *job = findJob(id);
    if (!job || job->serial != write.serial)
        return;
    job->recordInFlight = false;
    if (outcome == StoreOutcome::Stored) {
        for (const UnstoredEnd &end : write.ends)
            m_effects.endStored(end.agent, end.run);
        for (const uint32_t number : write.repeatedTasks)
            job->tasks[number].awaitsRecord = false;
        job->runNumbers.limitRecorded(write.runLimit);
    }
    if (!job->accepted) {
        finishAcceptance(*job, outcome, now);
        job = findJob(id);
        if (!job)
            return;
    }
    if (write.phase != JobPhase::Active) {
        retire(id, now);
        return;
    }
    if (job->recordDirty)
        writeRecord(*job);
}

void JobScheduler::finishAcceptance(Job &job, StoreOutcome outcome, Millis now)
{
    if (outcome != StoreOutcome::Stored) {
        m_log.write(now, "job_not_stored", {{"job", jobIdText(job.spec.id)}, {"queue", job.spec.queue}});
        job.submitters.take(std::move(job.cancellers));
        const std::vector<JobReplyHandler> submitters = job.submitters.takeAll();
        m_jobs.erase(job.spec.id);
        for (const JobReplyHandler &submitter : submitters) {
            submitter({.status = fleet::CallStatus::Refused,
                       .retryAfter = minRetryAfter,
                       .reason = "the store cannot be reached"});
        }
        return;
    }
    job.accepted = true;
    m_log.write(now, "job_accepted",
                {{"job", jobIdText(job.spec.id)},
                 {"queue", job.spec.queue},
                 {"tasks", job.tasks.size()},
                 {"store_ms", now - job.acceptedAt},
                 {"due_in_ms", job.dueAt - now}});
    if (!job.spec.best_effort) {
        for (const JobReplyHandler &submitter : job.submitters.takeAll())
            submitter({.status = fleet::CallStatus::Done});
    }
    if (job.phase == JobPhase::Active)
        openReadySteps(job);
}

void JobScheduler::retire(JobId id, Millis now)
{
    Job &job = m_jobs.at(id);
    m_log.write(now, "job_ended",
                {{"job", jobIdText(id)},
                 {"queue", job.spec.queue},
                 {"phase", fleet::EnumNameJobPhase(job.phase)},
                 {"took_ms", now - job.acceptedAt},
                 {"late", now > job.dueAt}});
    m_log.observe("job_ms", now - job.acceptedAt);
    stopRuns(job);
    for (const UnstoredEnd &end : job.unstoredEnds)
        m_effects.endStored(end.agent, end.run);
    const JobReply reply = job.abandoned
        ? JobReply{.status = fleet::CallStatus::Unknown, .reason = "not done in time"}
        : JobReply{.status = fleet::CallStatus::Done, .phase = job.phase};
    if (job.abandoned) {
        recordGivenUp(job, now);
        // A new submission of the job must wait until these runs have ended.
        for (const Task &task : job.tasks) {
            if (task.phase == TaskPhase::Ordered || task.phase == TaskPhase::Running)
                m_orphans[runId(job, task)] = {.agent = task.agent, .stopAt = now, .stopped = true};
        }
    } else {
        m_ended[id] = {.phase = job.phase,
                       .evictAt = now + m_options.retention,
                       .partition = job.partition,
                       .recorded = job.recorded,
                       .hasRepeatedRuns = job.hasRepeatedRuns};
        m_endedOrder.push_back(id);
    }
    const JobReply submitterReply = job.abandoned ? reply : endedReply(job.spec.best_effort, job.phase);
    const std::vector<JobReplyHandler> cancellers = job.cancellers.takeAll();
    const std::vector<JobReplyHandler> submitters = job.submitters.takeAll();
    dequeue(job);
    m_jobs.erase(id);
    for (const JobReplyHandler &canceller : cancellers)
        canceller(reply);
    for (const JobReplyHandler &submitter : submitters)
        submitter(submitterReply);
}

void JobScheduler::recordGivenUp(const Job &job, Millis now)
{
    GivenUpJob &givenUp = m_givenUp[job.spec.id];
    givenUp.lastRun = std::max(givenUp.lastRun, job.runNumbers.base());
    for (const Task &task : job.tasks) {
        givenUp.lastRun = std::max(givenUp.lastRun, task.run);
        givenUp.notBefore = std::max(givenUp.notBefore, task.notBefore);
    }
    givenUp.partition = job.partition;
    givenUp.evictAt = now + m_options.retention;
}

void JobScheduler::retireFinished(Millis now)
{
    const std::vector<JobId> finished = std::exchange(m_finished, {});
    for (const JobId id : finished) {
        if (findJob(id))
            retire(id, now);
    }
}

} // namespace turmericwell
