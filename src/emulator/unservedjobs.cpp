// Compares the times at which a job had nothing running with the use of the workers and the troubles.
#include "emulator/unservedjobs.h"

#include <algorithm>
#include <map>
#include <set>

namespace turmericwell {

namespace {

struct Interval
{
    Millis begin;
    Millis end;

    Millis length() const { return std::max(Millis{0}, end - begin); }
};

Interval overlapOf(const Interval &a, const Interval &b)
{
    return {std::max(a.begin, b.begin), std::min(a.end, b.end)};
}

// The parts of `whole` that none of the parts covers, which must be sorted by their begin.
std::vector<Interval> gapsBetween(std::span<const Interval> parts, const Interval &whole)
{
    std::vector<Interval> gaps;
    Millis at = whole.begin;
    for (const Interval &part : parts) {
        if (part.begin > at)
            gaps.push_back({at, std::min(part.begin, whole.end)});
        at = std::max(at, part.end);
    }
    if (at < whole.end)
        gaps.push_back({at, whole.end});
    std::erase_if(gaps, [](const Interval &gap) { return gap.length().count == 0; });
    return gaps;
}

void sortByBegin(std::vector<Interval> &intervals)
{
    std::sort(intervals.begin(), intervals.end(),
              [](const Interval &a, const Interval &b) { return a.begin < b.begin; });
}

class UnservedCheck
{
public:
    UnservedCheck(const EmulationRecord &record, const EmulationOptions &options)
        : m_record(record)
        , m_options(options)
    {
        readRuns();
        findBusyTimes();
        for (const PlannedTrouble &planned : options.plan) {
            const Millis begin = record.begin + planned.at;
            m_disturbed.push_back({begin, begin + planned.length});
        }
        m_disturbed.insert(m_disturbed.end(), m_busy.begin(), m_busy.end());
        sortByBegin(m_disturbed);
    }

    UnservedCounts count()
    {
        UnservedCounts counts;
        for (const JobOutcome &job : m_record.jobs) {
            if (!job.cancelSent && !isServed(job))
                add(counts, job, causeOf(job));
        }
        return counts;
    }

private:
    static void add(UnservedCounts &counts, const JobOutcome &job, UnservedCause cause)
    {
        switch (cause) {
        case UnservedCause::Refused:
            ++counts.refused;
            break;
        case UnservedCause::Failed:
            ++counts.failed;
            break;
        case UnservedCause::StandingStill:
            ++counts.standingStill;
            counts.exampleOfStandingStill = job.job;
            break;
        case UnservedCause::WithoutCapacity:
            ++counts.withoutCapacity;
            break;
        case UnservedCause::DuringTrouble:
            ++counts.duringTrouble;
            break;
        case UnservedCause::WithoutAnswer:
            ++counts.withoutAnswer;
            break;
        }
    }

    void readRuns()
    {
        std::map<std::tuple<RunId, uint32_t, uint32_t>, Millis> started;
        std::map<TaskId, uint32_t> failures;
        for (const RunEvent &event : m_record.runs) {
            const std::tuple run{event.run, event.worker, event.life};
            if (event.kind == RunEventKind::Started)
                started[run] = event.at;
            else if (const auto begin = started.find(run); begin != started.end()) {
                m_runsOf[event.run.task.job].push_back({begin->second, event.at});
                started.erase(begin);
            }
            if (event.kind == RunEventKind::Done)
                m_done[event.run.task.job].insert(event.run.task);
            else if (event.kind == RunEventKind::Failed && ++failures[event.run.task] == failedRunsAllowed)
                m_failed.insert(event.run.task.job);
        }
        for (const auto &[run, begin] : started)
            m_runsOf[std::get<RunId>(run).task.job].push_back({begin, m_record.end});
        for (auto &[job, runs] : m_runsOf)
            sortByBegin(runs);
    }

    // The times at which more than half of the processors are in use.
    void findBusyTimes()
    {
        std::map<JobId, int64_t> cpuOf;
        for (const JobOutcome &job : m_record.jobs)
            cpuOf[job.job] = m_options.traffic.kinds[job.kind].cpuMilli;
        std::map<Millis, int64_t> changes;
        for (const auto &[job, runs] : m_runsOf) {
            for (const Interval &run : runs) {
                changes[run.begin] += cpuOf[job];
                changes[run.end] -= cpuOf[job];
            }
        }
        const int64_t half = m_options.workerCapacity.cpuMilli * m_options.size.agents / 2;
        int64_t used = 0;
        std::optional<Millis> busySince;
        for (const auto &[at, change] : changes) {
            used += change;
            if (used > half && !busySince)
                busySince = at;
            if (used <= half && busySince)
                m_busy.push_back({*std::exchange(busySince, std::nullopt), at});
        }
        if (busySince)
            m_busy.push_back({*busySince, m_record.end});
    }

    bool isServed(const JobOutcome &job) const
    {
        if (!job.isKept)
            return job.completedAt.has_value();
        const auto done = m_done.find(job.job);
        const size_t tasks = size_t{m_options.traffic.kinds[job.kind].tasks} * job.steps;
        return job.acceptedAt && done != m_done.end() && done->second.size() == tasks;
    }

    UnservedCause causeOf(const JobOutcome &job) const
    {
        if (job.onlyRefused)
            return UnservedCause::Refused;
        if (m_failed.contains(job.job))
            return UnservedCause::Failed;
        const Millis until = job.isKept && job.acceptedAt
            ? m_record.end
            : std::min(m_record.end, job.deadlineSince + m_options.traffic.deadline);
        const Interval wait{job.sentAt, until};
        const auto runs = m_runsOf.find(job.job);
        const std::vector<Interval> gaps =
            gapsBetween(runs == m_runsOf.end() ? std::vector<Interval>() : runs->second, wait);
        Millis idle;
        Millis idleWhileBusy;
        for (const Interval &gap : gaps) {
            idle += gap.length();
            for (const Interval &calm : gapsBetween(m_disturbed, gap)) {
                if (calm.length() >= standstillBound)
                    return UnservedCause::StandingStill;
            }
            for (const Interval &busy : m_busy)
                idleWhileBusy += overlapOf(gap, busy).length();
        }
        if (idle * 2 <= wait.length())
            return UnservedCause::WithoutAnswer;
        return idleWhileBusy * 2 > idle ? UnservedCause::WithoutCapacity : UnservedCause::DuringTrouble;
    }

    const EmulationRecord &m_record;
    const EmulationOptions &m_options;
    std::map<JobId, std::vector<Interval>> m_runsOf;
    std::map<JobId, std::set<TaskId>> m_done;
    std::set<JobId> m_failed;
    std::vector<Interval> m_busy;
    // Times of troubles and busy times, by their begin.
    std::vector<Interval> m_disturbed;
};

} // namespace

UnservedCounts countUnserved(const EmulationRecord &record, const EmulationOptions &options)
{
    return UnservedCheck(record, options).count();
}

} // namespace turmericwell
