// Expected values of leaving and of moving a run, under three explanations of why it takes long.
#include "jobs/longruns.h"

#include <algorithm>
#include <cmath>

namespace turmericwell {

constexpr Millis minElapsed = {80};
constexpr double minRatio = 0.4;
// Prior probabilities that a worker has stalled or is slow in a way that has not been noticed.
constexpr double stallPrior = 0.002;
constexpr double unseenSlownessPrior = 0.01;
constexpr double maxSlownessPrior = 0.5;
// Slowness that is taken for a fact; less may be an error of the estimates, and none is reported below.
constexpr double certainSlowness = 2.5;
constexpr double leastSlowness = 1.5;
constexpr double unseenSlowness = 3;
// Each move makes it less likely that a worker is at fault again.
constexpr double priorAfterMove = 0.1;
// Evidence about the worker counts at most this much: the run times of the others are not independent.
constexpr double maxEvidence = 1'000;
// Time from the stop of a run to the start of the next one.
constexpr double restartMs = 40;
// Value of a late job relative to one on time, and the multiple of the limit up to which it has that value.
constexpr double lateValue = 0.2;
constexpr double lateLimitFactor = 3;
// A move costs the messages for it, and discards work that others could have had.
constexpr double movePrice = 0.02;
constexpr double discardedWorkPrice = 0.25;
constexpr double maxDiscardedWorkPrice = 0.3;
// A run is moved if a fault of the worker is more likely than not, and, if that is of no use to the caller,
// only if it is nearly certain: the run holds resources and its job has to end.
constexpr double leastFault = 0.5;
constexpr double nearlyCertainFault = 0.9;
constexpr double noValue = 0.05;
// A run is moved in the end whatever a move gains: from this multiple of its expected time on if its job has
// to complete or if next to no run of the queue takes so long, and from the greater one in any case. Both
// double with each move, so that a task that is inherently long is not moved forever.
constexpr double leastEndlessRatio = 6;
constexpr double negligibleShare = 0.005;
constexpr double certainEndlessRatio = 16;
constexpr uint32_t maxMoveDoublings = 16;

bool isLongRun(Millis elapsed, double expectedMs)
{
    return elapsed >= minElapsed && static_cast<double>(elapsed.count) >= minRatio * expectedMs;
}

// Value of the job if the task has `ratio` times the estimated work and ends after `remainingMs`. The
// deadline grows with the work of the task.
static double valueOfEnd(const LongRun &run, double ratio, double remainingMs)
{
    const double more = run.stretch * (ratio - 1) * run.estimateMs;
    const double beyondDue = remainingMs - static_cast<double>(run.untilDue.count) - more;
    if (beyondDue <= 0)
        return 1;
    const double limit = std::max(0.0, static_cast<double>(run.limit.count) + more);
    return beyondDue <= (lateLimitFactor - 1) * limit ? lateValue : 0;
}

// Expected value over the runs with a ratio above `above`, which have a remaining run time of `perRatioMs`
// for each unit of the ratio beyond `from`, after `startMs`.
static double expectedValue(const LongRun &run, const RunRatios &ratios, double above, double from,
                            double perRatioMs, double startMs)
{
    double total = 0;
    double value = 0;
    for (size_t bin = 0; bin < RunRatios::binCount; ++bin) {
        const double ratio = RunRatios::ratioOf(bin);
        if (ratio <= above)
            continue;
        const double share = ratios.share(bin);
        total += share;
        value += share * valueOfEnd(run, ratio, startMs + (ratio - from) * perRatioMs);
    }
    constexpr double leastTotal = 1e-9;
    if (total > leastTotal)
        return value / total;
    // Longer than any run of the queue: as much work is assumed to be left as has been done.
    const double ratio = 2 * above;
    return valueOfEnd(run, ratio, startMs + (ratio - from) * perRatioMs);
}

// How much more likely the observations of the worker's other runs are if it has stalled. The remaining time
// of the runs on a sound worker has a heavy tail, since runs of all kinds and lengths share it.
static double evidenceOfStall(const WorkerEvidence &worker)
{
    const double mean = std::max(1.0, static_cast<double>(worker.meanRunTime.count));
    const double quiet = std::max(0.0, static_cast<double>(worker.quiet.count));
    const double byQuiet = std::pow(1 + quiet / mean, std::max(0.0, worker.otherRuns));
    // While runs end there, the worker as a whole has not stalled.
    const double byRuns =
        std::pow(1 / std::max(1 / maxEvidence, worker.otherRunsLikelihood), std::min(1.0, quiet / mean));
    return std::min(maxEvidence, std::max(byQuiet, byRuns));
}

static bool isEndless(const LongRun &run, double ratio, double queueShare)
{
    const double perMove = ratio / static_cast<double>(1U << std::min(run.moves, maxMoveDoublings));
    const bool isUnlikelyToEnd = run.mustComplete || queueShare < negligibleShare;
    return perMove >= certainEndlessRatio || (perMove >= leastEndlessRatio && isUnlikelyToEnd);
}

LongRunDecision decideLongRun(const LongRun &run, const WorkerEvidence &worker, const RunRatios &ratios)
{
    const auto elapsed = static_cast<double>(run.elapsed.count);
    const double here = std::max(1.0, run.expectedHereMs);
    const double ratio = elapsed / here;
    const bool isKnownSlow = worker.slowness > 1;
    const double slowness = isKnownSlow ? worker.slowness : unseenSlowness;
    const double ratioIfSlow = ratio / slowness;
    LongRunDecision decision{.queueShare = ratios.shareAbove(ratio)};

    const double stalled = stallPrior * std::pow(priorAfterMove, run.moves) * evidenceOfStall(worker);
    const double certainty =
        std::clamp((worker.slowness - leastSlowness) / (certainSlowness - leastSlowness), 0.0, 1.0);
    const double slownessPrior = std::max(unseenSlownessPrior, maxSlownessPrior * certainty);
    const double slow = slownessPrior * ratios.shareAbove(ratioIfSlow);
    const double sound = (1 - slownessPrior) * decision.queueShare;
    const double sum = stalled + slow + sound;
    decision.workerAtFault = (stalled + slow) / sum;
    if (isEndless(run, ratio, decision.queueShare)) {
        decision.action = LongRunAction::Move;
        return decision;
    }
    // Most runs are left, at the cost of a few look-ups.
    if (decision.workerAtFault < leastFault)
        return decision;

    const auto valueOfMove = [&](double above) {
        return expectedValue(run, ratios, above, 0, run.expectedElsewhereMs, restartMs);
    };
    const double stayIfSound = expectedValue(run, ratios, ratio, ratio, here, 0);
    const double stayIfSlow = expectedValue(run, ratios, ratioIfSlow, ratioIfSlow, here * slowness, 0);
    const double stay = (sound * stayIfSound + slow * stayIfSlow) / sum;
    const double move =
        (sound * valueOfMove(ratio) + slow * valueOfMove(ratioIfSlow) + stalled * valueOfMove(0)) / sum;
    decision.gain = move - stay;

    const double jobWork = std::max(1.0, run.estimateMs) * std::max(1U, run.tasks);
    const double price = movePrice + std::min(maxDiscardedWorkPrice, discardedWorkPrice * elapsed / jobWork);
    const bool isOfUse = decision.workerAtFault >= leastFault && decision.gain > price;
    // The work left if the worker is slow would otherwise be done there.
    const bool endsHangingRun = stalled / sum >= nearlyCertainFault && stay < noValue;
    if (isOfUse || endsHangingRun)
        decision.action = LongRunAction::Move;
    return decision;
}

} // namespace turmericwell
