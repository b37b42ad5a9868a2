// JobScheduler: admission by forecast.
#include "jobs/jobscheduler.h"

#include <algorithm>

namespace turmericwell {

// A job that ends within this multiple of its limit is late, and still worth a part of its value.
constexpr int64_t lateLimitFactor = 3;
// A late job is worth this part of one in time.
constexpr size_t lateValueDivisor = 5;
// For this long after it is loaded, a partition's agents may be unknown to a new owner.
constexpr Millis newOwnerView = {1'000};

// The step that uses the most processors decides which workers the job needs.
static const StepSpec &largestStep(const JobSpec &spec)
{
    const auto size = [](const auto &step) { return uint64_t{step->cpu_milli} * step->count; };
    return **std::max_element(spec.steps.begin(), spec.steps.end(),
                              [&](const auto &a, const auto &b) { return size(a) < size(b); });
}

static ForecastNeed needOf(const JobSpec &spec, Millis path, Millis limit, Millis elapsed)
{
    const StepSpec &largest = largestStep(spec);
    return {.cpuMilli = int64_t{largest.cpu_milli} * largest.count,
            .priority = spec.priority,
            .latestStart = limit - path - dispatchOverhead - elapsed,
            .lastUsefulStart = limit * lateLimitFactor - path - dispatchOverhead - elapsed,
            .runTime = path};
}

void JobScheduler::useForecast()
{
    m_admission = std::make_unique<AdmissionControl>(
        [this](const TaskClass &taskClass, Millis now) { return describeClass(taskClass, now); },
        [this](const TaskClass &taskClass, Forecast &forecast, Millis now) {
            addOwnWork(taskClass, forecast, now);
        });
}

void JobScheduler::setPeerReports(std::vector<PeerReport> reports)
{
    if (m_admission)
        m_admission->setPeerReports(std::move(reports));
}

Millis JobScheduler::criticalPath(const JobSpec &spec) const
{
    int64_t path = 0;
    for (const auto &step : spec.steps) {
        const int64_t estimate = m_runTimes.estimateMs(spec.queue, step->estimate_ms);
        path = step->after.empty() ? std::max(path, estimate) : path + estimate;
    }
    return {path};
}

double JobScheduler::ownFraction(std::string_view service, const ReachableResources &resources) const
{
    int64_t running = 0;
    for (const auto &[id, job] : m_jobs) {
        if (job.spec.service != service)
            continue;
        for (const Task &task : job.tasks) {
            if (task.phase == TaskPhase::Ordered || task.phase == TaskPhase::Running)
                running += job.spec.steps[task.step]->cpu_milli;
        }
    }
    // Jobs are spread evenly over the partitions, which decides while little runs.
    const auto serving = std::count_if(m_partitions.begin(), m_partitions.end(),
                                       [&](const auto &item) { return isServing(item.first); });
    const double usual = static_cast<double>(serving) / m_options.partitions;
    const auto capacity = static_cast<double>(resources.capacityMilli);
    const double busy = std::max(0.0, capacity - static_cast<double>(resources.freeMilli));
    const double usualWeight = 0.05 * capacity + 1;
    const double now = (static_cast<double>(running) + usual * usualWeight) / (busy + usualWeight);
    // An owner that rejects much runs little. If the arrivals elsewhere were estimated from that alone, it
    // would go on rejecting.
    return std::clamp(now, usual / 2, 1.0);
}

double JobScheduler::knownAgentsFraction(Millis now) const
{
    double least = 1;
    for (const auto &[number, partition] : m_partitions) {
        if (!partition.loaded || partition.expected.empty() || now - partition.loadedAt > newOwnerView)
            continue;
        const auto known = std::count_if(partition.expected.begin(), partition.expected.end(),
                                         [&](AgentNumber agent) { return m_pool.find(agent) != nullptr; });
        const auto expected = static_cast<double>(partition.expected.size());
        least = std::min(least, static_cast<double>(known) / expected);
    }
    return least;
}

Forecast::Options JobScheduler::describeClass(const TaskClass &taskClass, Millis now) const
{
    constexpr Millis defaultTurnover = {200};
    const ReachableResources resources = m_pool.reachable(
        {.service = taskClass.service, .size = taskClass.size, .requiredLabel = taskClass.requiredLabel});
    return {.resources = resources,
            .turnover = std::max(Millis{1}, m_runTimes.turnover(taskClass.service, defaultTurnover)),
            .ownFraction = ownFraction(taskClass.service, resources),
            .knownFraction = knownAgentsFraction(now)};
}

void JobScheduler::addOwnWork(const TaskClass &taskClass, Forecast &forecast, Millis now) const
{
    for (const auto &[id, job] : m_jobs) {
        if (job.spec.service != taskClass.service || job.phase != JobPhase::Active)
            continue;
        for (const Task &task : job.tasks) {
            const StepSpec &step = *job.spec.steps[task.step];
            if (!taskClass.requiredLabel.empty() && step.required_label != taskClass.requiredLabel)
                continue;
            const Millis estimate = {m_runTimes.estimateMs(job.spec.queue, step.estimate_ms)};
            if (task.phase == TaskPhase::Ordered)
                forecast.addRunning(estimate, step.cpu_milli);
            else if (task.phase == TaskPhase::Running)
                forecast.addRunning(task.startedAt + estimate - now, step.cpu_milli);
            else if (task.phase == TaskPhase::Waiting && job.expectedLate)
                forecast.addLate(step.cpu_milli);
            else if (task.phase == TaskPhase::Waiting && job.queued)
                forecast.addWaiting(job.latestStart - now, step.cpu_milli, estimate);
        }
    }
}

std::vector<OwnWork> JobScheduler::ownWork() const
{
    std::map<std::pair<std::string_view, std::string_view>, OwnWork> work;
    for (const auto &[id, job] : m_jobs) {
        if (job.phase != JobPhase::Active)
            continue;
        OwnWork &item = work[{job.spec.queue, job.zone}];
        item.service = job.spec.service;
        item.priority = job.spec.priority;
        for (const Task &task : job.tasks) {
            const int64_t amount = job.spec.steps[task.step]->cpu_milli;
            if (task.phase == TaskPhase::Ordered || task.phase == TaskPhase::Running)
                item.runningMilli += amount;
            else if (task.phase == TaskPhase::Waiting)
                item.waitingMilli += amount;
        }
    }
    std::vector<OwnWork> result;
    for (auto &[key, item] : work) {
        item.queue = key.first;
        item.zone = key.second;
        result.push_back(std::move(item));
    }
    return result;
}

std::vector<QueueDemand> JobScheduler::shareDemands(Millis now) const
{
    return m_shares ? m_shares->ownDemands(ownWork(), now) : std::vector<QueueDemand>{};
}

void JobScheduler::recordRejected(const JobSpec &spec, const std::string &zone, Millis now)
{
    if (!m_shares)
        return;
    double work = 0;
    for (const auto &step : spec.steps) {
        const double estimate = m_runTimes.estimateMs(spec.queue, step->estimate_ms);
        work += estimate * step->cpu_milli * step->count;
    }
    m_shares->recordRejected(spec.service, spec.queue, zone, work, now);
}

// Load pattern: a burst of one kind takes the room that others need. A share bounds running and waiting work
// together, so it is raised by the waiting that half of the slack allows.
bool JobScheduler::isWithinShares(const JobSpec &spec, const std::string &zone, Millis slack, Millis now)
{
    if (!m_shares)
        return true;
    if (m_shares->isOutdated(spec.service, now))
        m_shares->update(spec.service, ownWork(), m_pool.capacityMilli(spec.service), now);
    const auto runMs = static_cast<double>(std::max<int64_t>(1, criticalPath(spec).count));
    const auto slackMs = static_cast<double>(std::max<int64_t>(0, slack.count));
    return m_shares->allows(spec.queue, zone, largestStepMilli(spec), 1 + slackMs / (2 * runMs));
}

// Free resources are lent whatever the shares, except for those that were freed within the last milliseconds:
// under scarcity the next job that waits within its share uses them.
bool JobScheduler::isLent(const TaskClass &taskClass, const ForecastNeed &need,
                          const ForecastResult &forecast, Millis now)
{
    constexpr int64_t inMotionPart = 20;
    const ReachableResources &resources = m_admission->forecast(taskClass, now).options().resources;
    return forecast.reason == ForecastReason::FreeNow
        && resources.freeMilli - need.cpuMilli >= resources.capacityMilli / inMotionPart;
}

JobScheduler::Admission JobScheduler::checkForecast(const JobSpec &spec, const std::string &zone, Millis now)
{
    if (spec.steps.empty())
        return {};
    const TaskClass taskClass = TaskClass::of(spec, largestStep(spec));
    ForecastNeed need = needOf(spec, criticalPath(spec), objective(spec), {0});
    ReturnSchedule &returns = m_admission->returns();
    const bool isReturning = returns.isReturning(spec.id, now);
    // The room that was promised to the other returning jobs is not kept from this one.
    need.promisedMilli = isReturning ? 0 : returns.promisedMilli(need.latestStart, now);
    m_admission->observeArrival(spec.service, need, now);
    const ForecastResult forecast = m_admission->assess(taskClass, need, now);
    const bool withinShares = forecast.verdict == ForecastVerdict::Rejected
        || isLent(taskClass, need, forecast, now) || isWithinShares(spec, zone, need.latestStart, now);
    if (forecast.verdict != ForecastVerdict::Rejected && withinShares) {
        if (m_shares)
            m_shares->admitted(spec.queue, zone, need.cpuMilli);
        m_admission->admitted(taskClass, need, forecast, now);
        returns.release(spec.id);
        m_log.count("jobs_admitted_total", forecastReasonText(forecast.reason));
        return {.isLate = forecast.verdict == ForecastVerdict::Late};
    }
    recordRejected(spec, zone, now);
    JobReply reply{.status = fleet::CallStatus::Refused,
                   .retryAfter = m_admission->bookReturn(taskClass, spec.id, need, forecast.roomIn, now),
                   .reason = std::string(withinShares ? forecastReasonText(forecast.reason) : shareUsedUp)};
    m_log.count("jobs_rejected_total", reply.reason);
    const Forecast &known = m_admission->forecast(taskClass, now);
    m_log.write(now, "job_refused",
                {{"job", jobIdText(spec.id)},
                 {"queue", spec.queue},
                 {"zone", zone},
                 {"reason", reply.reason},
                 {"share_cpu_milli", m_shares ? m_shares->ownShare(spec.queue) : 0},
                 {"slack_ms", need.latestStart},
                 {"on_time_probability", forecast.onTimeProbability},
                 {"room_in_ms", forecast.roomIn},
                 {"retry_after_ms", reply.retryAfter},
                 {"rejections", returns.rejections(spec.id)},
                 {"promised_cpu_milli", need.promisedMilli},
                 {"free_cpu_milli", known.options().resources.freeMilli},
                 {"capacity_cpu_milli", known.options().resources.capacityMilli},
                 {"waiting_cpu_milli", m_waitingCpuMilli},
                 {"peers_waiting_cpu_milli", known.peersWaitingMilli()},
                 {"own_fraction", known.options().ownFraction},
                 {"offered_load", known.offeredLoad()},
                 {"turnover_ms", known.options().turnover}});
    return {.rejection = std::move(reply)};
}

Millis JobScheduler::lastUsefulStart(const Job &job) const
{
    return job.acceptedAt + (job.dueAt - job.acceptedAt) * lateLimitFactor - remainingCriticalPath(job)
        - dispatchOverhead;
}

// A late job is worth a part of one in time, so finishing it pays if less than this part of its work is left.
bool JobScheduler::isWorthFinishing(const Job &job, Millis now) const
{
    const auto waiting = std::count_if(job.tasks.begin(), job.tasks.end(), [](const Task &task) {
        return task.phase == TaskPhase::Waiting || task.phase == TaskPhase::Blocked;
    });
    return static_cast<size_t>(waiting) * lateValueDivisor <= job.tasks.size() && lastUsefulStart(job) > now;
}

bool JobScheduler::isWorthWaiting(const Job &job, Millis now)
{
    ForecastNeed need =
        needOf(job.spec, remainingCriticalPath(job), job.dueAt - job.acceptedAt, now - job.acceptedAt);
    // The forecast contains the job's demand already.
    need.cpuMilli = 0;
    if (need.lastUsefulStart.count < 0)
        return false;
    const TaskClass taskClass = TaskClass::of(job.spec, largestStep(job.spec));
    return m_admission->assess(taskClass, need, now).verdict != ForecastVerdict::Rejected;
}

Millis JobScheduler::retryAfterWaiting(const Job &job, Millis now)
{
    constexpr std::string_view reason = "after waiting";
    m_log.count("jobs_rejected_total", reason);
    const ForecastNeed need = needOf(job.spec, criticalPath(job.spec), job.dueAt - job.acceptedAt, Millis{0});
    return m_admission->bookReturn(TaskClass::of(job.spec, largestStep(job.spec)), job.spec.id, need, {0},
                                   now);
}

} // namespace turmericwell
