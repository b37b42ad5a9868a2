// Checks the promises of the system against what clients and workers have seen, and measures how clients were
// served. Uses nothing of the decisions that it checks.
#pragma once

#include "emulator/emulation.h"

#include <span>

namespace turmericwell {

enum class Promise : uint8_t {
    // No two runs of a task at the same time, and no start after a confirmed end.
    NotTwice,
    // No worker runs more than it has room for.
    Resources,
    // A job of which all tries were refused never runs.
    RefusedNeverRuns,
    // An accepted job is completed.
    AcceptedCompletes,
    // No entry denies an accepted job.
    AcceptedIsKnown,
    // A step starts after the steps that it depends on.
    StepsInOrder,
    // A cancelled job starts nothing more.
    CancelledStops,
    // Clients are served again soon after the last trouble.
    Recovers,
    // An answer names a state that the call may return.
    AnswersFitCalls,
    // No task of a kept job starts after as many confirmed failures as it has attempts.
    Attempts,
};

std::string_view promiseName(Promise promise);

struct BrokenPromise
{
    Promise promise = Promise::NotTwice;
    std::string what;
};

std::vector<BrokenPromise> checkPromises(const EmulationRecord &record, const EmulationOptions &options);

struct KindService
{
    uint32_t asked = 0;
    uint32_t inTime = 0;
    uint32_t late = 0;
    // Not completed, among them those of which all tries were refused.
    uint32_t notServed = 0;
    uint32_t refused = 0;
};

struct EmulationService
{
    std::vector<KindService> kinds;
    // Processor time of the jobs in time, over that of all jobs.
    double workInTime = 0;
    // The same for an ideal dispatcher; see workBound.
    double workBound = 0;
    // Time over that of the longest task, of the completed jobs.
    double medianRatio = 0;
    double p99Ratio = 0;
    // Processor time of runs that did not end as done, over all.
    double wasted = 0;
    // Milliseconds from the crash of a worker to the next start of each task that it ran, unless the task
    // never starts again.
    std::vector<int64_t> restartDelays;

    KindService total() const;
};

// Share of the work that can be done in time at most, whatever the dispatcher does: all processors of all
// workers are one, a job may use all of them and be interrupted, nothing takes time but the work, and work
// that is done in time counts although its job is late. The earliest deadline goes first, which is optimal
// under these rules.
double workBound(const EmulationRecord &record, const EmulationOptions &options);

enum class JobResult : uint8_t { InTime, Late, Refused, NotServed };

// What became of each job of the record, in the record's order.
std::vector<JobResult> jobResults(const EmulationRecord &record, const EmulationOptions &options);

EmulationService measureService(const EmulationRecord &record, const EmulationOptions &options);

} // namespace turmericwell
