// Tests of the workers' speeds: the agent's estimate, its report, and the choice of a worker by speed.
#include "fleet/fleetsettings.h"
#include "worker/speedestimator.h"
#include "workermanagerfixture.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cmath>
#include <random>

namespace turmericwell {

namespace {

// Runs on a worker: 3% of them have 7 times the work, and estimates are off by 40%.
class NoisyRuns
{
public:
    Millis actual(Millis expected, double speed)
    {
        const double work = m_any(m_random) < 0.03 ? 7 : 1;
        const double ms = static_cast<double>(expected.count) * work * std::exp(m_error(m_random)) / speed;
        return {std::llround(ms)};
    }

private:
    std::minstd_rand m_random{7};
    std::normal_distribution<double> m_error{0, 0.4};
    std::uniform_real_distribution<double> m_any{0, 1};
};

// Workers of one service with four processors each.
struct SpeedsFixture
{
    void report(AgentNumber agent, uint32_t permille, uint32_t samples = 200, std::string name = "w")
    {
        pool.report(agent,
                    {.usable = true,
                     .worker = std::move(name),
                     .service = "kiosk",
                     .capacity = {4'000, 1'000, 0},
                     .free = {4'000, 1'000, 0},
                     .speedPermille = permille,
                     .speedSamples = samples},
                    now);
    }

    PlacementNeeds needs(int64_t expectedMs, Millis waited = {0}) const
    {
        const Millis untilDue = Millis{expectedMs * 16 / 10 + 60} - waited;
        return {.service = "kiosk",
                .size = {1'000, 10, 0},
                .estimate = {expectedMs},
                .slack = untilDue - Millis{expectedMs + 20},
                .expectedNear = {expectedMs},
                .untilDue = untilDue,
                .stretch = 1.6,
                .ratios = &ratios};
    }

    // How often each worker is chosen in 100 decisions.
    std::map<AgentNumber, int> choices(const PlacementNeeds &wanted)
    {
        std::map<AgentNumber, int> counts;
        for (int decision = 0; decision < 100; ++decision) {
            if (const auto agent = pool.choose(wanted, now))
                ++counts[*agent];
        }
        return counts;
    }

    RunRatios ratios;
    Millis now = {100'000};
    WorkerPool pool{{}, true};
};

// The manager of a worker whose speed is learned.
struct LearningManagerFixture : WorkerManagerFixture
{
    LearningManagerFixture()
    {
        learning.entryConnected(1, now);
        learning.announced(announcement(), now);
        learning.advance(now);
        answer({});
        learning.claim(1, 0, 5, now);
        learning.advance(now);
    }

    // All list polls in flight get the same answer.
    void answer(const WorkerLists &lists, int64_t born = 10)
    {
        if (calls.openListPolls.empty())
            pass({20});
        BOOST_TEST_REQUIRE(!calls.openListPolls.empty());
        for (const ListPollCall &poll : std::exchange(calls.openListPolls, {})) {
            now += Millis{1};
            WorkerLists answered = lists;
            answered.workerClock = now - workerStart;
            answered.born = born;
            learning.listPollAnswered(poll.number, OrderAnswer::Done, answered, now);
        }
    }

    void pass(Millis time)
    {
        for (const Millis end = now + time; now < end;) {
            now += Millis{20};
            learning.entryAnswered(1, now);
            learning.advance(now);
        }
    }

    // Orders a run of 100 ms, starts it, and lists its end after `actual`.
    void completeRun(JobId job, Millis actual, EndKind kind = EndKind::Done)
    {
        RunOrder ordered = order(job);
        ordered.expected = {100};
        learning.order(1, ordered, now);
        learning.startAnswered(ordered.run, OrderAnswer::Done, now - workerStart, now);
        pass(actual);
        answer({.ended = {{.number = ++lastEnd, .run = ordered.run, .kind = kind}}});
        learning.endStored(ordered.run);
        learning.advance(now);
    }

    uint64_t lastEnd = 0;
    RecordedWorkerEffects calls;
    WorkerManager learning{{.partitions = 1, .learnWorkerSpeeds = true}, 1, now, calls, log};
};

} // namespace

BOOST_AUTO_TEST_SUITE(WorkerSpeedsTest)

// Guards against speeds that long tasks or wrong estimates distort.
BOOST_AUTO_TEST_CASE(speedIsLearnedFromNoisyRuns)
{
    for (const double speed : {0.6, 1.0, 1.6}) {
        NoisyRuns runs;
        SpeedEstimator estimator;
        Millis now = {10'000};
        for (int run = 0; run < 100; ++run) {
            now += Millis{20};
            estimator.runCompleted({100}, runs.actual({100}, speed), now);
        }
        const SpeedEstimate estimate = estimator.estimate(now);
        BOOST_TEST(std::abs(std::log(estimate.speed / speed)) < 0.15,
                   "estimated " << estimate.speed << " for " << speed);
        BOOST_TEST(estimate.samples > 80);
        BOOST_TEST(estimate.uncertainty > 0.01);
        BOOST_TEST(estimate.uncertainty < 0.1);
    }
}

// Guards against a slow phase of seconds that is taken for the lasting speed, and against a lasting change
// that is never learned.
BOOST_AUTO_TEST_CASE(slowPhaseOfSecondsIsNoLastingSpeed)
{
    NoisyRuns runs;
    SpeedEstimator estimator;
    Millis now = {10'000};
    const auto runFor = [&](Millis time, double speed) {
        for (const Millis end = now + time; now < end; now += Millis{25})
            estimator.runCompleted({100}, runs.actual({100}, speed), now);
    };
    runFor({20'000}, 1);
    runFor({3'000}, 0.25);
    BOOST_TEST(estimator.estimate(now).speed > 0.8);
    runFor({40'000}, 0.25);
    BOOST_TEST(estimator.estimate(now).speed < 0.3);
}

// Guards against speeds that outlive their evidence, and against too few samples.
BOOST_AUTO_TEST_CASE(speedIsForgotten)
{
    SpeedEstimator estimator;
    Millis now = {10'000};
    for (int run = 0; run < 4; ++run)
        estimator.runCompleted({100}, {50}, now);
    BOOST_TEST(estimator.estimate(now).speed == 0);
    for (int run = 0; run < 40; ++run)
        estimator.runCompleted({100}, {50}, now);
    BOOST_TEST(estimator.estimate(now).speed > 1.8);
    BOOST_TEST(estimator.estimate(now + SpeedEstimator::halfLife * 5).speed == 0);
    estimator.reset();
    BOOST_TEST(estimator.estimate(now).speed == 0);
    // Runs that are too short to be measured.
    for (int run = 0; run < 40; ++run)
        estimator.runCompleted({3}, {9}, now);
    BOOST_TEST(estimator.estimate(now).speed == 0);
}

// Guards against runs that failed, were stopped or were adopted as samples, and against reports that a
// change of the speed causes.
BOOST_FIXTURE_TEST_CASE(agentReportsTheSpeedOfUndisturbedRuns, LearningManagerFixture)
{
    JobId job = 0;
    for (int run = 0; run < 8; ++run)
        completeRun(++job, {200}, EndKind::Failed);
    BOOST_TEST(learning.report().speed_permille == 0U);
    for (int run = 0; run < 8; ++run) {
        answer({.ended = {{.number = ++lastEnd, .run = order(1'000 + ++job).run}}});
        pass({20});
    }
    BOOST_TEST(learning.report().speed_permille == 0U);
    for (int run = 0; run < 8; ++run)
        completeRun(++job, {200});
    pass({20});
    const fleet::WorkerReportT report = learning.report();
    BOOST_TEST(report.speed_permille > 400U);
    BOOST_TEST(report.speed_permille < 560U);
    BOOST_TEST(report.speed_samples >= 7U);
    learning.takeReportChange();
    pass({2'000});
    BOOST_TEST(!learning.takeReportChange());
}

// Guards against a restarted worker that keeps the speed of its former life.
BOOST_FIXTURE_TEST_CASE(restartedWorkerHasNoSpeed, LearningManagerFixture)
{
    for (JobId job = 1; job <= 8; ++job)
        completeRun(job, {200});
    pass({20});
    BOOST_TEST(learning.report().speed_permille > 0U);
    learning.announced(announcement(11), now);
    pass({20});
    answer({}, 11);
    pass({40});
    BOOST_TEST(learning.report().speed_permille == 0U);
}

// Guards against an agent that learns although the setting is off.
BOOST_FIXTURE_TEST_CASE(speedIsNotReportedUnlessItIsLearned, WorkerManagerFixture)
{
    for (JobId job = 1; job <= 8; ++job) {
        RunOrder ordered = order(job);
        ordered.expected = {100};
        manager.order(1, ordered, now);
        manager.startAnswered(ordered.run, OrderAnswer::Done, now - workerStart, now);
        advanceTime({200});
        answerListPolls({.ended = {{.number = job, .run = ordered.run}}});
        manager.endStored(ordered.run);
    }
    advanceTime({20});
    BOOST_TEST(manager.report().speed_permille == 0U);
}

// Guards against late jobs on slow workers: 760 ms are hardly on time at a speed of 0.6, 51 ms are. Fast
// workers stay free for tasks that need them.
BOOST_FIXTURE_TEST_CASE(tasksAreMatchedToSpeeds, SpeedsFixture)
{
    report(1, 600);
    report(2, 1'000);
    report(3, 1'600);
    // No task of the queue has several times the usual work.
    std::normal_distribution<double> error(0, 0.4);
    std::minstd_rand random(1);
    for (int run = 0; run < 1'000; ++run)
        ratios.observe(std::exp(error(random)));
    const auto longTasks = choices(needs(760));
    BOOST_TEST(!longTasks.contains(1));
    const auto shortTasks = choices(needs(51));
    BOOST_TEST(!shortTasks.contains(3));
    BOOST_TEST(shortTasks.contains(1));
    // Late by 60 ms, the task needs a fast worker.
    const auto lateTasks = choices(needs(170, {120}));
    BOOST_TEST(lateTasks.contains(3));
    BOOST_TEST(lateTasks.size() == 1U);
}

// Guards against remote data that count less than the speed: the run takes three times as long there.
BOOST_FIXTURE_TEST_CASE(fastWorkerMakesUpForRemoteData, SpeedsFixture)
{
    report(1, 600);
    report(2, 1'000);
    report(3, 1'600);
    PlacementNeeds wanted = needs(100);
    wanted.dataRack = "elsewhere";
    wanted.farFactor = 3;
    const auto counts = choices(wanted);
    BOOST_TEST(counts.contains(3));
    BOOST_TEST(counts.size() == 1U);
}

// Guards against a choice that changes although no speed is known.
BOOST_FIXTURE_TEST_CASE(choiceIsAsBeforeWithoutSpeeds, SpeedsFixture)
{
    WorkerPool plain;
    for (AgentNumber agent = 1; agent <= 8; ++agent) {
        const WorkerState state{.usable = true,
                                .worker = "w",
                                .service = "kiosk",
                                .capacity = {4'000, 1'000, 0},
                                .free = {4'000 - agent % 2 * 1'000, 1'000, 0}};
        pool.report(agent, state, now);
        plain.report(agent, state);
    }
    for (int decision = 0; decision < 200; ++decision)
        BOOST_TEST((pool.choose(needs(100), now) == plain.choose(needs(100), now)));
}

// Guards against values from another process that are out of range: the old state stays in force.
BOOST_FIXTURE_TEST_CASE(speedsOutOfRangeAreIgnored, SpeedsFixture)
{
    for (AgentNumber agent = 1; agent <= 3; ++agent)
        report(agent, agent * 500);
    pool.choose(needs(100), now);
    BOOST_TEST(pool.relativeSpeed(1) < 0.6);
    for (const uint32_t wrong : {1U, 49U, 20'001U, UINT32_MAX}) {
        BOOST_TEST(!WorkerPool::isValidSpeed(wrong));
        report(1, wrong);
        now += Millis{1'000};
        pool.choose(needs(100), now);
        BOOST_TEST(pool.relativeSpeed(1) < 0.6);
        BOOST_TEST(pool.workersWithKnownSpeed() == 3U);
    }
    // Another worker at the same agent, and one that has restarted.
    report(1, 20'001, 200, "other");
    BOOST_TEST(pool.workersWithKnownSpeed() == 2U);
    report(2, 0, 0);
    BOOST_TEST(pool.workersWithKnownSpeed() == 1U);
    BOOST_TEST(pool.relativeSpeed(2) == 1);
}

// Guards against a worker that turns slow and is noticed late, and against one that a single long task makes
// look slow.
BOOST_FIXTURE_TEST_CASE(slowPhaseIsNoticedQuickly, SpeedsFixture)
{
    report(1, 600);
    report(2, 1'000);
    pool.recordTimeRatio(1, 1, now);
    pool.recordTimeRatio(1, 7, now);
    BOOST_TEST(pool.slowness(1, now) == 1);
    pool.recordTimeRatio(1, 1, now);
    BOOST_TEST(pool.slowness(1, now) == 1);
    pool.recordTimeRatio(2, 3, now);
    pool.recordTimeRatio(2, 3, now);
    BOOST_TEST(pool.slowness(2, now) > 1.5);
    BOOST_TEST(choices(needs(170)).size() == 1U);
    BOOST_TEST(pool.slowness(2, now + Millis{4'000}) == 1);
}

// Guards against wrong settings that are taken for others: each is reported with its key.
BOOST_AUTO_TEST_CASE(wrongSettingsAreReported)
{
    const std::string common =
        R"({"name": "n", "zone": "z", "store": "127.0.0.1:1", "peerListen": "127.0.0.1:2",
        "metricsListen": "127.0.0.1:3", "clientListen": "127.0.0.1:4", "readyListen": "127.0.0.1:5")";
    const auto parse = [&](const std::string &more, Problems &problems) {
        return parseFleetEntrySettings("entry.json", common + more + "}", problems);
    };
    Problems problems;
    FleetSettings settings = parse("", problems);
    BOOST_TEST(problems.empty());
    BOOST_TEST(!settings.learnWorkerSpeeds);
    BOOST_TEST(std::holds_alternative<MoveByRatio>(settings.moveLongRuns));
    settings =
        parse(R"(, "learnWorkerSpeeds": true, "moveLongRuns": "by-evidence", "farFactor": 3)", problems);
    BOOST_TEST(problems.empty());
    BOOST_TEST(settings.learnWorkerSpeeds);
    BOOST_TEST(std::holds_alternative<MoveByEvidence>(settings.moveLongRuns));
    BOOST_TEST(settings.farFactor == 3);
    for (const auto &[key, value] : {std::pair{"learnWorkerSpeeds", "1"},
                                     std::pair{"moveLongRuns", "\"never\""}, std::pair{"farFactor", "0.5"}}) {
        problems.clear();
        parse(std::string(", \"") + key + "\": " + value, problems);
        BOOST_TEST_REQUIRE(problems.size() == 1U);
        BOOST_TEST(problems[0].key == key);
    }
}

// Guards against workers that a search among many does not find: the only one with room, and the one on the
// rack with the data.
BOOST_FIXTURE_TEST_CASE(workerIsFoundAmongMany, SpeedsFixture)
{
    constexpr AgentNumber workers = 1'000;
    const auto stateOf = [](AgentNumber agent, int64_t freeMilli) {
        return WorkerState{.usable = true,
                           .worker = "w",
                           .service = "kiosk",
                           .labels = {"rack" + std::to_string(agent)},
                           .capacity = {4'000, 1'000, 0},
                           .free = {freeMilli, 1'000, 0},
                           .speedPermille = 1'000,
                           .speedSamples = 100};
    };
    for (AgentNumber agent = 1; agent <= workers; ++agent)
        pool.report(agent, stateOf(agent, agent == 700 ? 4'000 : 500), now);
    for (int decision = 0; decision < 20; ++decision)
        BOOST_TEST((pool.choose(needs(100), now) == AgentNumber{700}));
    for (AgentNumber agent = 1; agent <= workers; ++agent)
        pool.report(agent, stateOf(agent, 4'000), now);
    PlacementNeeds wanted = needs(100);
    wanted.dataRack = "rack321";
    wanted.farFactor = 3;
    BOOST_TEST((pool.choose(wanted, now) == AgentNumber{321}));
    pool.remove(321);
    BOOST_TEST(pool.choose(wanted, now).has_value());
}

// Guards against a stalled worker that seems active, and against an active one that seems stalled.
BOOST_FIXTURE_TEST_CASE(activityShowsEnds, SpeedsFixture)
{
    const auto reportFree = [&](int64_t cpuMilli, int64_t memoryMb) {
        pool.report(1,
                    {.usable = true,
                     .worker = "w",
                     .service = "kiosk",
                     .capacity = {4'000, 1'000, 0},
                     .free = {cpuMilli, memoryMb, 0}},
                    now);
    };
    reportFree(2'000, 800);
    now += Millis{100};
    BOOST_TEST(pool.activity(1, now).quietCpuMs == 200'000);
    // Another run starts; nothing ends.
    reportFree(0, 600);
    // Scarce processors are offered to this entry.
    reportFree(300, 600);
    now += Millis{100};
    BOOST_TEST(pool.activity(1, now).quietCpuMs > 500'000);
    reportFree(300, 700);
    BOOST_TEST(pool.activity(1, now).quietCpuMs == 0);
    // Runs without memory.
    reportFree(1'000, 1'000);
    now += Millis{100};
    reportFree(2'000, 1'000);
    BOOST_TEST(pool.activity(1, now).quietCpuMs == 0);
    now += Millis{100};
    BOOST_TEST(pool.activity(1, now).quietCpuMs > 0);
    pool.runEnded(1, {500, 0, 0}, now);
    BOOST_TEST(pool.activity(1, now).quietCpuMs == 0);
}

// Prints the time per decision. It has no bound here, since it depends on the machine.
BOOST_AUTO_TEST_CASE(timePerDecision)
{
    for (const AgentNumber workers : {60U, 300U, 5'300U}) {
        for (const bool learns : {false, true}) {
            SpeedsFixture fixture;
            WorkerPool pool({}, learns);
            for (AgentNumber agent = 1; agent <= workers; ++agent)
                pool.report(agent,
                            {.usable = true,
                             .worker = "w",
                             .service = "kiosk",
                             .labels = {"kiosk-image", "rack" + std::to_string(agent / 8)},
                             .capacity = {16'000, 1'000, 0},
                             .free = {16'000 - agent % 16 * 1'000, 1'000, 0},
                             .speedPermille = 600 + agent % 3 * 500,
                             .speedSamples = 100},
                            fixture.now);
            PlacementNeeds wanted = fixture.needs(170);
            wanted.dataRack = "rack3";
            constexpr int decisions = 200;
            int chosen = 0;
            std::vector<double> times;
            for (int decision = 0; decision < decisions; ++decision) {
                const auto start = std::chrono::steady_clock::now();
                chosen += pool.choose(wanted, fixture.now).has_value() ? 1 : 0;
                const std::chrono::duration<double, std::micro> took =
                    std::chrono::steady_clock::now() - start;
                times.push_back(took.count());
            }
            BOOST_TEST(chosen == decisions);
            std::sort(times.begin(), times.end());
            BOOST_TEST_MESSAGE(workers << " workers, speeds " << (learns ? "known" : "unused") << ": "
                                       << times[decisions / 2] << " us per decision (median)");
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace turmericwell
