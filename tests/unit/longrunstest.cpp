// Tests of the decision to leave or to move a run that takes long, and of both rules on the same arrivals.
#include "jobs/longruns.h"
#include "schedulersimulation.h"

#include <boost/test/unit_test.hpp>

namespace turmericwell {

namespace {

// 3% of the runs have 7 times the usual work, the others are within 40% of the estimate.
RunRatios heavyTailed()
{
    RunRatios ratios;
    std::minstd_rand random(1);
    std::normal_distribution<double> spread(0, 0.4);
    std::uniform_real_distribution<double> any(0, 1);
    for (int run = 0; run < 1'500; ++run)
        ratios.observe((any(random) < 0.03 ? 7 : 1) * std::exp(spread(random)));
    return ratios;
}

LongRun longRun(double estimateMs, Millis elapsed)
{
    const Millis limit = {std::llround(1.6 * estimateMs) + 60};
    return {.elapsed = elapsed,
            .estimateMs = estimateMs,
            .expectedHereMs = estimateMs,
            .expectedElsewhereMs = estimateMs,
            .stretch = 1.6,
            .limit = limit,
            .untilDue = limit - elapsed,
            .tasks = 4};
}

const WorkerEvidence soundWorker = {.otherRuns = 5, .quiet = {10}, .meanRunTime = {160}};
const WorkerEvidence stalledWorker = {.otherRuns = 5, .quiet = {600}, .meanRunTime = {160}};

SimulationOptions present(uint32_t seed)
{
    return {.seed = seed};
}

SimulationOptions withBoth(SimulationOptions options)
{
    options.learnsSpeeds = true;
    options.policy = MoveByEvidence{};
    return options;
}

// Runs both rules on the same arrivals and prints what they gave.
std::pair<SimulationResult, SimulationResult> compare(const SimulationOptions &options, const char *name)
{
    const SimulationResult before = SchedulerSimulation(options).run();
    const SimulationResult after = SchedulerSimulation(withBoth(options)).run();
    for (const auto &[rule, result] : {std::pair{"present", &before}, std::pair{"new", &after}}) {
        BOOST_TEST_MESSAGE(name << " " << rule << ": jobs " << result->jobs << ", on time " << result->onTime
                                << ", late " << result->late << ", rejected " << result->rejected
                                << ", stopped " << result->stopped << ", discarded core-seconds "
                                << result->discarded);
    }
    return {before, after};
}

} // namespace

BOOST_AUTO_TEST_SUITE(LongRunsTest)

// Guards against work that is discarded because a task is inherently long: it would take as long elsewhere.
BOOST_AUTO_TEST_CASE(longTaskStaysOnASoundWorker)
{
    const RunRatios ratios = heavyTailed();
    for (const double estimate : {51.0, 170.0, 760.0}) {
        for (const double ratio : {1.0, 2.0, 3.0, 5.0, 7.0}) {
            const Millis elapsed = {std::llround(ratio * estimate)};
            BOOST_TEST((decideLongRun(longRun(estimate, elapsed), soundWorker, ratios).action
                        == LongRunAction::Leave),
                       "estimate " << estimate << ", ratio " << ratio);
        }
    }
}

// Guards against runs that stay on a stalled worker until their job is late: a run of 760 ms can still end
// on time elsewhere if it is moved within its first half.
BOOST_AUTO_TEST_CASE(runOnAStalledWorkerIsMovedInTime)
{
    const RunRatios ratios = heavyTailed();
    const LongRunDecision decision = decideLongRun(longRun(760, {400}), stalledWorker, ratios);
    BOOST_TEST((decision.action == LongRunAction::Move));
    BOOST_TEST(decision.gain > 0.3);
}

// Guards against runs of a worker that has turned slow that are left although another worker is faster.
BOOST_AUTO_TEST_CASE(runOnASlowWorkerIsMovedWhileThatIsOfUse)
{
    const RunRatios ratios = heavyTailed();
    WorkerEvidence slow = soundWorker;
    slow.slowness = 4;
    BOOST_TEST((decideLongRun(longRun(760, {350}), slow, ratios).action == LongRunAction::Move));
    // Late in either case, and no earlier use of the resources.
    BOOST_TEST((decideLongRun(longRun(760, {900}), slow, ratios).action == LongRunAction::Leave));
    // An hour's delay cannot be made up for, but a hanging run has to end some time.
    BOOST_TEST((decideLongRun(longRun(51, {3'600'000}), soundWorker, ratios).action == LongRunAction::Move));
}

// Guards against a job that never completes: a task hangs on an otherwise sound worker, in a queue of which
// nothing is known.
BOOST_AUTO_TEST_CASE(hangingRunIsMovedAtLast)
{
    const RunRatios unknown;
    LongRun run = longRun(100, {10'000});
    BOOST_TEST((decideLongRun(run, soundWorker, unknown).action == LongRunAction::Move));
    run = longRun(100, {30'000});
    run.moves = 2;
    BOOST_TEST((decideLongRun(run, soundWorker, unknown).action == LongRunAction::Move));
}

// Guards against accepted jobs that never end (emulated seeds 46001 to 46040): a run hangs beside runs that
// end, and its job is so late that a move gains its caller nothing.
BOOST_AUTO_TEST_CASE(endlessRunOfAWorthlessJobIsMoved)
{
    const auto actionAt = [](const RunRatios &ratios, Millis elapsed, uint32_t moves) {
        LongRun run = longRun(100, elapsed);
        run.untilDue = Millis{-60'000};
        run.moves = moves;
        return decideLongRun(run, soundWorker, ratios).action;
    };
    RunRatios even;
    for (int run = 0; run < 1'500; ++run)
        even.observe(1);
    BOOST_TEST((actionAt(even, {700}, 0) == LongRunAction::Move));
    BOOST_TEST((actionAt(even, {700}, 1) == LongRunAction::Leave));
    BOOST_TEST((actionAt(even, {1'400}, 1) == LongRunAction::Move));
    // A new owner knows nothing of the queue (emulated seed 47014).
    LongRun kept = longRun(100, {700});
    kept.untilDue = Millis{-60'000};
    kept.mustComplete = true;
    BOOST_TEST((decideLongRun(kept, soundWorker, RunRatios()).action == LongRunAction::Move));
    // Tasks of this queue may take that long.
    BOOST_TEST((actionAt(heavyTailed(), {700}, 0) == LongRunAction::Leave));
    BOOST_TEST((actionAt(heavyTailed(), {1'700}, 0) == LongRunAction::Move));
}

// Guards against lost jobs and discarded work on workers of different speeds with 3% of long tasks: fewer
// runs are stopped, less work is discarded, and no fewer jobs are on time than with the present rule.
BOOST_AUTO_TEST_CASE(heavyTailedTasksOnMixedSpeeds)
{
    for (const uint32_t seed : {1U, 2U}) {
        const auto [before, after] = compare(present(seed), "mixed speeds");
        BOOST_TEST(after.stopped < before.stopped);
        BOOST_TEST(after.discarded < before.discarded);
        BOOST_TEST(after.onTime >= before.onTime);
    }
}

// Guards against the same losses if tasks off their data's rack take three times as long.
BOOST_AUTO_TEST_CASE(tasksWithRemoteData)
{
    SimulationOptions options = present(3);
    options.farFactor = 3;
    const auto [before, after] = compare(options, "remote data");
    BOOST_TEST(after.stopped < before.stopped);
    BOOST_TEST(after.onTime >= before.onTime);
}

// Guards against a stalled worker that is noticed later than by the present rule.
BOOST_AUTO_TEST_CASE(workersThatStall)
{
    SimulationOptions options = present(4);
    for (const AgentNumber agent : {4U, 11U, 20U})
        options.troubles.push_back({.agent = agent, .from = {4'000}, .until = {7'000}, .slowness = 0});
    const auto [before, after] = compare(options, "stalled");
    BOOST_TEST(after.onTime >= before.onTime);
}

// Guards against a worker that turns slow for some seconds and is noticed later than by the present rule.
BOOST_AUTO_TEST_CASE(workerThatTurnsSlow)
{
    SimulationOptions options = present(5);
    for (const AgentNumber agent : {4U, 11U, 20U})
        options.troubles.push_back({.agent = agent, .from = {4'000}, .until = {7'000}, .slowness = 4});
    const auto [before, after] = compare(options, "slow");
    BOOST_TEST(after.onTime >= before.onTime);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace turmericwell
