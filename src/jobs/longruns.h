// Decides whether a run that takes long stays on its worker or is moved to another one.
//
// Load pattern: a few percent of the tasks have several times the usual work. They take as long on any other
// worker, and their deadline grows with the work, so that moving them discards work and makes them late. The
// runs of a stalled or slow worker look the same at first, and have to be moved while that is of use. The
// decision weighs the queue's distribution of run times against what is known about the worker, and what the
// caller gains by a move against the work that it discards.
#pragma once

#include "jobs/runratios.h"
#include "turmericwell/millis.h"

#include <cstdint>

namespace turmericwell {

struct LongRun
{
    Millis elapsed;
    // Expected run time on a worker of speed 1 near the data, on this worker without its present slowness,
    // and on the worker to which the run would be moved.
    double estimateMs = 0;
    double expectedHereMs = 0;
    double expectedElsewhereMs = 0;
    // Factor of the critical path in the job's deadline, the time from the job's acceptance to its deadline
    // for a task of the estimated work, and the time until this task must end for the job to meet it.
    double stretch = 1;
    Millis limit;
    Millis untilDue;
    // Number of tasks of the job, and of earlier moves of this one.
    uint32_t tasks = 1;
    uint32_t moves = 0;
    // The job has to complete, however late. A best-effort job is given up once no caller waits for it.
    bool mustComplete = false;
};

// What the owner knows about a worker, apart from the run in question.
struct WorkerEvidence
{
    // Present multiple of the run times expected there; 1 if it is not slow.
    double slowness = 1;
    // Number of other runs on the worker, of all owners, and the time for which these have run without one
    // ending there.
    double otherRuns = 0;
    Millis quiet;
    // Mean run time of the service.
    Millis meanRunTime;
    // Probability that this owner's other runs there take as long as they do if the worker is sound.
    double otherRunsLikelihood = 1;
};

enum class LongRunAction : uint8_t { Leave, Move };

struct LongRunDecision
{
    LongRunAction action = LongRunAction::Leave;
    // Probability that the worker, and not the task, is the reason.
    double workerAtFault = 0;
    // Share of the queue's runs that take as long as this one on a sound worker.
    double queueShare = 1;
    // Expected gain of a move before its price, in jobs on time.
    double gain = 0;
};

// True if the run may have to be moved, so that the evidence is worth collecting.
bool isLongRun(Millis elapsed, double expectedMs);
LongRunDecision decideLongRun(const LongRun &run, const WorkerEvidence &worker, const RunRatios &ratios);

} // namespace turmericwell
