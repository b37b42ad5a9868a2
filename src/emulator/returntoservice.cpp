// Shares of jobs in time, by the time of their submission.
#include "emulator/returntoservice.h"

#include <algorithm>

namespace turmericwell {

constexpr Millis window = {200};
constexpr Millis windowStep = {20};
constexpr Millis longestReturn = {6'000};
// The first jobs of a day meet run times that are not known yet.
constexpr Millis firstCounted = {1'000};

static double shareInTime(const KindService &service)
{
    return service.asked > 0 ? static_cast<double>(service.inTime) / service.asked : 0;
}

static KindService countWithin(const EmulationRecord &record, const std::vector<JobResult> &results,
                               DaySpan span)
{
    KindService counts;
    for (size_t number = 0; number < results.size(); ++number) {
        const JobOutcome &job = record.jobs[number];
        const Millis sentAt = job.sentAt - record.begin;
        if (job.cancelSent || sentAt < span.begin || sentAt >= span.end)
            continue;
        ++counts.asked;
        counts.inTime += results[number] == JobResult::InTime ? 1 : 0;
        counts.late += results[number] == JobResult::Late ? 1 : 0;
        counts.refused += results[number] == JobResult::Refused ? 1 : 0;
    }
    counts.notServed = counts.asked - counts.inTime - counts.late;
    return counts;
}

KindService serviceWithin(const EmulationRecord &record, const EmulationOptions &options, DaySpan span)
{
    return countWithin(record, jobResults(record, options), span);
}

std::optional<Millis> timeUntilServed(const EmulationRecord &record, const EmulationOptions &options,
                                      Millis wasUntil, Millis startedAt, double share)
{
    const std::vector<JobResult> results = jobResults(record, options);
    const double wanted =
        share * shareInTime(countWithin(record, results, {.begin = firstCounted, .end = wasUntil}));
    const Millis traffic = options.length;
    std::optional<Millis> since;
    for (Millis after; after <= longestReturn && startedAt + after + window <= traffic; after += windowStep) {
        const Millis begin = startedAt + after;
        const KindService service = countWithin(record, results, {.begin = begin, .end = begin + window});
        if (service.asked == 0)
            continue;
        if (shareInTime(service) < wanted)
            since.reset();
        else if (!since)
            since = after;
    }
    return since;
}

} // namespace turmericwell
