// Promises and service, from the records of clients and workers.
#include "emulator/emulationcheck.h"

#include "bench/workload.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>

namespace turmericwell {

// A cancel is carried out within this time after its acknowledgement.
constexpr Millis cancelBound = {3'000};
// At least a quarter of the jobs that come later than this after the last trouble is served.
constexpr Millis recoveryBound = {12'000};
constexpr double servedAgain = 0.25;
constexpr uint32_t leastJobsForRecovery = 8;

std::string_view promiseName(Promise promise)
{
    switch (promise) {
    case Promise::NotTwice:
        return "not_twice";
    case Promise::Resources:
        return "room";
    case Promise::RefusedNeverRuns:
        return "refused_never_runs";
    case Promise::AcceptedCompletes:
        return "accepted_completes";
    case Promise::AcceptedIsKnown:
        return "accepted_is_known";
    case Promise::StepsInOrder:
        return "steps_in_order";
    case Promise::CancelledStops:
        return "cancelled_stops";
    case Promise::Recovers:
        return "recovers";
    case Promise::AnswersFitCalls:
        return "answers_fit_calls";
    case Promise::Attempts:
        break;
    }
    return "attempts";
}

namespace {

// What the workers saw of each task and job.
struct RunHistory
{
    explicit RunHistory(const EmulationRecord &record)
    {
        for (const RunEvent &event : record.runs) {
            if (event.kind == RunEventKind::Confirmed)
                confirmed.insert({event.run, event.worker, event.life});
        }
    }

    using RunAt = std::tuple<RunId, uint32_t, uint32_t>;
    std::set<RunAt> confirmed;
};

std::string runText(const RunEvent &event, Millis begin)
{
    return taskIdText(event.run.task) + " run " + std::to_string(event.run.number) + " on worker-"
        + std::to_string(event.worker) + " at " + std::to_string((event.at - begin).count) + " ms";
}

class PromiseCheck
{
public:
    PromiseCheck(const EmulationRecord &record, const EmulationOptions &options)
        : m_record(record)
        , m_options(options)
    {
        for (const JobOutcome &job : record.jobs)
            m_jobs[job.job] = &job;
    }

    std::vector<BrokenPromise> check()
    {
        checkRuns();
        if (m_record.mostOverfullMilli > 0)
            broken(Promise::Resources,
                   std::to_string(m_record.mostOverfullMilli) + " thousandths of a processor too many");
        checkJobs();
        checkRecovery();
        return std::move(m_broken);
    }

private:
    void broken(Promise promise, std::string what)
    {
        m_broken.push_back({.promise = promise, .what = std::move(what)});
    }

    void checkRuns()
    {
        const RunHistory history(m_record);
        std::map<TaskId, std::set<RunHistory::RunAt>> open;
        std::set<TaskId> done;
        std::set<TaskId> ended;
        std::map<TaskId, uint32_t> failures;
        for (const RunEvent &event : m_record.runs) {
            const RunHistory::RunAt run{event.run, event.worker, event.life};
            if (event.kind == RunEventKind::Confirmed)
                continue;
            if (event.kind != RunEventKind::Started) {
                open[event.run.task].erase(run);
                if (event.kind == RunEventKind::Done)
                    ended.insert(event.run.task);
                if (event.kind == RunEventKind::Done && history.confirmed.contains(run))
                    done.insert(event.run.task);
                if (event.kind == RunEventKind::Failed && history.confirmed.contains(run))
                    ++failures[event.run.task];
                continue;
            }
            checkStart(event, open[event.run.task], done.contains(event.run.task));
            checkOrder(event, ended);
            if (failures[event.run.task] >= failedRunsAllowed && m_jobs.at(event.run.task.job)->isKept)
                broken(Promise::Attempts, runText(event, m_record.begin) + " after its last attempt");
            open[event.run.task].insert(run);
            m_started.insert(event.run.task.job);
        }
        for (const RunEvent &event : m_record.runs) {
            if (event.kind == RunEventKind::Done)
                m_done[event.run.task.job][event.run.task] = event.at;
            else if (event.kind == RunEventKind::Failed && ++m_failures[event.run.task] == failedRunsAllowed)
                m_failed.insert(event.run.task.job);
        }
    }

    void checkStart(const RunEvent &event, const std::set<RunHistory::RunAt> &others, bool isDone)
    {
        const JobOutcome &job = *m_jobs.at(event.run.task.job);
        // A best-effort job may run again from the start.
        if (!others.empty())
            broken(Promise::NotTwice, runText(event, m_record.begin) + " beside another run");
        else if (isDone && job.isKept)
            broken(Promise::NotTwice, runText(event, m_record.begin) + " after a confirmed end");
        if (job.cancelledAt && event.at > *job.cancelledAt + cancelBound)
            broken(Promise::CancelledStops, runText(event, m_record.begin));
    }

    void checkOrder(const RunEvent &event, const std::set<TaskId> &ended)
    {
        if (event.run.task.step == 0)
            return;
        const JobOutcome &job = *m_jobs.at(event.run.task.job);
        TaskId earlier{.job = job.job, .step = event.run.task.step - 1};
        for (; earlier.index < m_options.traffic.kinds[job.kind].tasks; ++earlier.index) {
            if (!ended.contains(earlier))
                broken(Promise::StepsInOrder,
                       runText(event, m_record.begin) + " before the end of " + taskIdText(earlier));
        }
    }

    void checkJobs()
    {
        for (const JobOutcome &job : m_record.jobs) {
            if (job.unfitAnswer)
                broken(Promise::AnswersFitCalls,
                       "submission of best-effort job " + jobIdText(job.job) + " is answered with "
                           + fleet::EnumNameJobPhase(*job.unfitAnswer));
            if (job.onlyRefused && m_started.contains(job.job))
                broken(Promise::RefusedNeverRuns, "job " + jobIdText(job.job));
            if (!job.acceptedAt || job.cancelSent || m_failed.contains(job.job))
                continue;
            if (job.deniedAt)
                broken(Promise::AcceptedIsKnown,
                       "job " + jobIdText(job.job) + " at "
                           + std::to_string((*job.deniedAt - m_record.begin).count) + " ms");
            const uint32_t tasks = m_options.traffic.kinds[job.kind].tasks * job.steps;
            if (m_done[job.job].size() != tasks)
                broken(Promise::AcceptedCompletes,
                       "job " + jobIdText(job.job) + ": " + std::to_string(m_done[job.job].size()) + " of "
                           + std::to_string(tasks) + " tasks are done");
        }
    }

    void checkRecovery()
    {
        Millis last = m_record.begin;
        for (const PlannedTrouble &planned : m_options.plan)
            last = std::max(last, m_record.begin + planned.at + planned.length);
        uint32_t asked = 0;
        uint32_t served = 0;
        for (const JobOutcome &job : m_record.jobs) {
            if (job.sentAt < last + recoveryBound)
                continue;
            ++asked;
            served += job.acceptedAt || job.completedAt ? 1 : 0;
        }
        if (asked >= leastJobsForRecovery && served < servedAgain * asked)
            broken(Promise::Recovers,
                   std::to_string(served) + " of " + std::to_string(asked) + " late jobs are served");
    }

    const EmulationRecord &m_record;
    const EmulationOptions &m_options;
    std::map<JobId, const JobOutcome *> m_jobs;
    std::set<JobId> m_started;
    std::map<JobId, std::map<TaskId, Millis>> m_done;
    std::map<TaskId, uint32_t> m_failures;
    // Jobs with a task that has failed as often as is allowed.
    std::set<JobId> m_failed;
    std::vector<BrokenPromise> m_broken;
};

} // namespace

std::vector<BrokenPromise> checkPromises(const EmulationRecord &record, const EmulationOptions &options)
{
    return PromiseCheck(record, options).check();
}

KindService EmulationService::total() const
{
    KindService sum;
    for (const KindService &kind : kinds) {
        sum.asked += kind.asked;
        sum.inTime += kind.inTime;
        sum.late += kind.late;
        sum.notServed += kind.notServed;
        sum.refused += kind.refused;
    }
    return sum;
}

// When the job was completed: as its client was told, or as its last task has ended.
static std::optional<Millis> completionOf(const JobOutcome &job, const std::map<JobId, Millis> &lastEnds)
{
    if (!job.isKept)
        return job.completedAt;
    const auto found = lastEnds.find(job.job);
    if (!job.acceptedAt || job.cancelSent || found == lastEnds.end())
        return std::nullopt;
    return found->second;
}

static double wastedShare(const EmulationRecord &record)
{
    std::map<std::tuple<RunId, uint32_t, uint32_t>, Millis> started;
    double used = 0;
    double wasted = 0;
    for (const RunEvent &event : record.runs) {
        const std::tuple run{event.run, event.worker, event.life};
        if (event.kind == RunEventKind::Started) {
            started[run] = event.at;
        } else if (const auto begin = started.find(run); begin != started.end()) {
            const auto length = static_cast<double>((event.at - begin->second).count);
            used += length;
            wasted += event.kind == RunEventKind::Done ? 0 : length;
            started.erase(begin);
        }
    }
    return used > 0 ? wasted / used : 0;
}

static std::vector<int64_t> restartDelaysOf(const EmulationRecord &record)
{
    std::map<TaskId, Millis> lostAt;
    std::vector<int64_t> delays;
    for (const RunEvent &event : record.runs) {
        if (event.kind == RunEventKind::Lost) {
            lostAt[event.run.task] = event.at;
        } else if (event.kind == RunEventKind::Started) {
            if (const auto lost = lostAt.extract(event.run.task))
                delays.push_back((event.at - lost.mapped()).count);
        }
    }
    return delays;
}

static Millis objectiveOf(const JobOutcome &job, const EmulationOptions &options)
{
    const auto longest = static_cast<double>(job.longestTask.count);
    return Millis{std::llround(longest * options.traffic.stretch)} + options.traffic.targetLatency;
}

double workBound(const EmulationRecord &record, const EmulationOptions &options)
{
    std::vector<const JobOutcome *> arrivals;
    int64_t total = 0;
    for (const JobOutcome &job : record.jobs) {
        if (job.cancelSent)
            continue;
        arrivals.push_back(&job);
        total += job.work;
    }
    std::sort(arrivals.begin(), arrivals.end(),
              [](const auto *a, const auto *b) { return a->sentAt < b->sentAt; });
    const int64_t perMilli = options.workerCapacity.cpuMilli * options.size.agents;
    // Work that is left, by deadline.
    std::multimap<Millis, int64_t> waiting;
    auto next = arrivals.begin();
    int64_t done = 0;
    for (Millis now = record.begin; now < record.end; now += Millis{1}) {
        for (; next != arrivals.end() && (*next)->sentAt <= now; ++next)
            waiting.emplace((*next)->sentAt + objectiveOf(**next, options), (*next)->work);
        int64_t room = perMilli;
        while (room > 0 && !waiting.empty()) {
            const auto first = waiting.begin();
            const int64_t part = first->first <= now ? 0 : std::min(room, first->second);
            done += part;
            room -= part;
            first->second -= part;
            if (first->second == 0 || first->first <= now)
                waiting.erase(first);
        }
    }
    return total > 0 ? static_cast<double>(done) / static_cast<double>(total) : 0;
}

// How one job counts; nothing if it was not completed.
static std::optional<Millis> countJob(const JobOutcome &job, const std::map<JobId, Millis> &lastEnds,
                                      Millis objective, KindService &counts)
{
    ++counts.asked;
    const std::optional<Millis> completed = completionOf(job, lastEnds);
    if (!completed) {
        ++counts.notServed;
        counts.refused += job.onlyRefused ? 1 : 0;
        return std::nullopt;
    }
    const Millis took = *completed - job.sentAt;
    ++(took > objective ? counts.late : counts.inTime);
    return took;
}

std::vector<JobResult> jobResults(const EmulationRecord &record, const EmulationOptions &options)
{
    std::map<JobId, Millis> lastEnds;
    for (const RunEvent &event : record.runs) {
        if (event.kind == RunEventKind::Done)
            lastEnds[event.run.task.job] = event.at;
    }
    std::vector<JobResult> results;
    for (const JobOutcome &job : record.jobs) {
        KindService counts;
        countJob(job, lastEnds, objectiveOf(job, options), counts);
        if (counts.refused > 0)
            results.push_back(JobResult::Refused);
        else if (counts.notServed > 0)
            results.push_back(JobResult::NotServed);
        else
            results.push_back(counts.late > 0 ? JobResult::Late : JobResult::InTime);
    }
    return results;
}

EmulationService measureService(const EmulationRecord &record, const EmulationOptions &options)
{
    EmulationService service;
    service.kinds.resize(options.traffic.kinds.size());
    std::map<JobId, Millis> lastEnds;
    for (const RunEvent &event : record.runs) {
        if (event.kind == RunEventKind::Done)
            lastEnds[event.run.task.job] = event.at;
    }
    std::vector<double> ratios;
    double work = 0;
    double workInTime = 0;
    for (const JobOutcome &job : record.jobs) {
        if (job.cancelSent)
            continue;
        const Millis objective = objectiveOf(job, options);
        const std::optional<Millis> took = countJob(job, lastEnds, objective, service.kinds[job.kind]);
        work += static_cast<double>(job.work);
        if (!took)
            continue;
        ratios.push_back(static_cast<double>(took->count) / static_cast<double>(job.longestTask.count));
        if (*took <= objective)
            workInTime += static_cast<double>(job.work);
    }
    service.workInTime = work > 0 ? workInTime / work : 0;
    service.workBound = workBound(record, options);
    const Quantiles quantiles = quantilesOf(ratios);
    service.medianRatio = quantiles.p50;
    service.p99Ratio = quantiles.p99;
    service.wasted = wastedShare(record);
    service.restartDelays = restartDelaysOf(record);
    return service;
}

} // namespace turmericwell
