// Tests of PlacementWait: the decision, and its effect on the same arrivals as simpler policies.
#include "jobs/placementwait.h"
#include "fleet/fleetsettings.h"
#include "unit/jobschedulerfixture.h"
#include "unit/localitysimulation.h"

#include <array>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <ostream>

namespace turmericwell {

static std::ostream &operator<<(std::ostream &out, const LocalityResult &result)
{
    return out << "jobs " << result.jobs << ", on time " << result.onTime << ", late " << result.late
               << ", worthless " << result.worthless << ", rejected " << result.rejected
               << ", kind 0 on time " << result.urgentOnTime << " of " << result.urgentJobs << ", runs "
               << result.runs << ", far " << result.farRuns << ", processor seconds "
               << result.processorSeconds;
}

namespace {

// A rack whose workers give back one core at a constant interval, and a queue whose run times deviate by 15
// percent.
struct KnownRackFixture
{
    void learn(Millis interval, uint32_t releases = 200)
    {
        for (uint32_t run = 0; run < 50; ++run)
            wait.runObserved("unlock", run % 2 == 0 ? 0.85 : 1.15, now);
        ask({.hasNearRoom = true});
        for (uint32_t release = 0; release < releases; ++release) {
            now += interval;
            wait.processorsReleased("kiosk", "rack-1", 1'000, now);
        }
    }

    struct Circumstances
    {
        Millis expectedNear = {50};
        double farFactor = 3;
        Millis slack = {70};
        bool isRejectedIfLate = false;
        bool isRackUsable = true;
        bool hasNearRoom = false;
        double freeShare = 0.5;
        int64_t aheadCpuMilli = 0;
        Millis waited;
    };

    PlacementDecision ask(const Circumstances &with)
    {
        return wait.decide({.service = "kiosk",
                            .queue = "unlock",
                            .rack = "rack-1",
                            .cpuMilli = 1'000,
                            .expectedNear = with.expectedNear,
                            .farFactor = with.farFactor,
                            .slack = with.slack,
                            .limit = {140},
                            .isRejectedIfLate = with.isRejectedIfLate,
                            .isRackUsable = with.isRackUsable,
                            .hasNearRoom = with.hasNearRoom,
                            .hasFarRoom = true,
                            .freeShare = with.freeShare,
                            .aheadCpuMilli = with.aheadCpuMilli,
                            .waited = with.waited},
                           now);
    }
    PlacementChoice choice(const Circumstances &with) { return ask(with).choice; }

    Millis now = {10'000};
    PlacementWait wait{ExpectedGain{}};
};

// Both workers are on their own rack, runs far from the data take three times as long, and the first worker,
// on the rack of the data, has no free processors.
struct RackJobsFixture : JobSchedulerFixture
{
    RackJobsFixture()
        : JobSchedulerFixture(
            1, {.partitions = 1, .placementWait = ExpectedGain{}, .farFactor = 3, .mostRackWaits = 256})
    {
        pool.report(1, workerOn("rack-1", 0));
        pool.report(2, workerOn("rack-2", 4'000));
        load();
    }

    static WorkerState workerOn(const char *rack, int64_t freeMilli)
    {
        WorkerState state = workerWith(freeMilli);
        state.labels = {rack};
        return state;
    }
    static JobSpec rackJob(JobId id, uint32_t tasks)
    {
        JobSpec spec = job(id, tasks, true);
        spec.steps[0]->data_rack = "rack-1";
        return spec;
    }
    void pass(Millis time)
    {
        now += time;
        scheduler.advance(now);
    }
};

struct Comparison
{
    LocalityResult never;
    LocalityResult always;
    LocalityResult expected;
};

// Prints the figures of all policies (--log_level=message).
Comparison compare(const LocalityLoad &load)
{
    constexpr Millis duration = {4'000};
    constexpr std::array descriptions = {
        MetricDescription{"placement_waits_total", MetricKind::Counter, "Waits.", "outcome"},
        MetricDescription{"placement_wait_ms", MetricKind::Summary, "Time waited."},
    };
    Metrics metrics(descriptions);
    StructuredLog counted;
    counted.setMetrics(&metrics);
    StructuredLog silent;
    LocalityLoad unlimited = load;
    unlimited.mostRackWaits = 1'000'000;
    const Comparison result{
        .never = LocalitySimulation(load, NeverWait{}, silent).run(duration),
        .always = LocalitySimulation(unlimited, AlwaysWait{}, silent).run(duration),
        .expected = LocalitySimulation(load, ExpectedGain{}, counted).run(duration),
    };
    BOOST_TEST_MESSAGE("never wait:    " << result.never);
    BOOST_TEST_MESSAGE("always wait:   " << result.always);
    BOOST_TEST_MESSAGE("fixed 20 ms:   " << LocalitySimulation(load, FixedDelay{{20}}, silent).run(duration));
    BOOST_TEST_MESSAGE("expected gain: " << result.expected);
    BOOST_TEST_MESSAGE(metrics.text());
    return result;
}

// A late job is worth a fifth of one on time.
double worth(const LocalityResult &result)
{
    return result.onTime + 0.2 * result.late;
}

} // namespace

BOOST_AUTO_TEST_SUITE(PlacementWaitTest)

// Guards against a job that is late because of the wait: if the run far from the data would be on time, it
// still is after the longest wait, with the uncertainty of run times counted.
BOOST_FIXTURE_TEST_CASE(waitNeverMakesLateWhatIsOnTimeFarAway, KnownRackFixture)
{
    learn({2});
    uint32_t waits = 0;
    for (int64_t nearMs = 10; nearMs <= 400; nearMs += 10) {
        for (double factor = 1.1; factor <= 4; factor += 0.1) {
            for (int64_t slackMs = 0; slackMs <= 800; slackMs += 5) {
                const PlacementDecision decision =
                    ask({.expectedNear = {nearMs}, .farFactor = factor, .slack = {slackMs}});
                const double near = static_cast<double>(nearMs);
                const double spare = static_cast<double>(slackMs) - near * (factor - 1)
                    - 1.2816 * near * std::hypot(0.15 * (factor - 1), 0.05 * factor);
                if (spare < 0 || decision.choice != PlacementChoice::Wait)
                    continue;
                ++waits;
                if (static_cast<double>(decision.longestWait.count) > spare + 1)
                    BOOST_ERROR("wait of " << decision.longestWait.count << " ms with " << spare << " ms");
            }
        }
    }
    BOOST_TEST(waits > 0U);
}

// Guards against a wait for nothing: no worker of the rack is known, all of them drain or are excluded.
BOOST_FIXTURE_TEST_CASE(noWaitWithoutUsableWorkersOnTheRack, KnownRackFixture)
{
    learn({2});
    BOOST_TEST((choice({}) == PlacementChoice::Wait));
    BOOST_TEST((choice({.isRackUsable = false}) == PlacementChoice::Far));
    BOOST_TEST((choice({.hasNearRoom = true}) == PlacementChoice::Near));
}

// Guards against a wait that cannot pay off because runs take as long on any rack.
BOOST_FIXTURE_TEST_CASE(noWaitIfRunsTakeAsLongElsewhere, KnownRackFixture)
{
    learn({2});
    BOOST_TEST((choice({.farFactor = 1}) == PlacementChoice::Far));
}

// Guards against waits that depend on a rate that is not known: they are tried only where the job is late far
// from its data anyway.
BOOST_FIXTURE_TEST_CASE(unknownWaitIsTriedOnlyIfTheJobIsLateElsewhere, KnownRackFixture)
{
    BOOST_TEST(!ask({}).nearEnd.has_value());
    BOOST_TEST((choice({}) == PlacementChoice::Wait));
    BOOST_TEST((choice({.slack = {400}}) == PlacementChoice::Far));
}

// Guards against a rate that is used although the rack has given back nothing for seconds.
BOOST_FIXTURE_TEST_CASE(rateOfReleasesExpires, KnownRackFixture)
{
    learn({2});
    const std::optional<RackWait> known = wait.expectedWait("kiosk", "rack-1", 1'000, now);
    BOOST_TEST_REQUIRE(known.has_value());
    BOOST_TEST(known->meanMs > 1.5);
    BOOST_TEST(known->meanMs < 2.5);
    BOOST_TEST(!wait.expectedWait("kiosk", "rack-1", 1'000, now + Millis{5'000}).has_value());
}

// Guards against a wait behind so much work for the same rack that the job would be late there too.
BOOST_FIXTURE_TEST_CASE(workAheadLengthensTheWait, KnownRackFixture)
{
    learn({2});
    BOOST_TEST((choice({.aheadCpuMilli = 10'000}) == PlacementChoice::Wait));
    BOOST_TEST((choice({.aheadCpuMilli = 100'000}) == PlacementChoice::Far));
}

// Guards against a late task that waits longer for its rack than its run takes longer elsewhere.
BOOST_FIXTURE_TEST_CASE(smallerExpectedEndCountsIfBothAreLate, KnownRackFixture)
{
    learn({10});
    const auto late = [this](int64_t ahead, Millis waited) {
        return choice({.slack = {-20}, .aheadCpuMilli = ahead, .waited = waited});
    };
    BOOST_TEST((late(4'000, {0}) == PlacementChoice::Wait));
    BOOST_TEST((late(20'000, {0}) == PlacementChoice::Far));
    BOOST_TEST((late(4'000, {100}) == PlacementChoice::Far));
}

// Guards against runs that take three times as much processor time, without being on time, while others need
// it.
BOOST_FIXTURE_TEST_CASE(scarceProcessorTimeIsNotSpentOnLateRuns, KnownRackFixture)
{
    learn({10});
    BOOST_TEST((choice({.aheadCpuMilli = 20'000}) == PlacementChoice::Far));
    BOOST_TEST((choice({.freeShare = 0.01, .aheadCpuMilli = 20'000}) == PlacementChoice::Wait));
    // Such a job is rejected instead, and its client submits it again.
    BOOST_TEST((choice({.slack = {1}, .isRejectedIfLate = true}) == PlacementChoice::Far));
    BOOST_TEST(
        (choice({.slack = {1}, .isRejectedIfLate = true, .freeShare = 0.01}) == PlacementChoice::Wait));
}

// Guards against memory that grows with the names that clients send.
BOOST_AUTO_TEST_CASE(memoryIsBoundedAndExpires)
{
    PlacementWait wait{ExpectedGain{}};
    const Millis now = {10'000};
    for (uint32_t number = 0; number < 2'000; ++number) {
        const std::string name = "name-" + std::to_string(number);
        wait.runObserved(name, 1, now + Millis{number});
        wait.processorsReleased("kiosk", name, 1'000, now);
        wait.decide({.service = "kiosk",
                     .queue = name,
                     .rack = name,
                     .cpuMilli = 1'000,
                     .expectedNear = {50},
                     .farFactor = 3,
                     .isRackUsable = true},
                    now + Millis{number});
    }
    BOOST_TEST(wait.racks() == PlacementWait::mostRacks);
    BOOST_TEST(wait.queues() == PlacementWait::mostQueues);
    wait.purge(now + Millis{2'001} + PlacementWait::retention);
    BOOST_TEST(wait.racks() == 0U);
    BOOST_TEST(wait.queues() == 0U);
}

// Guards against tasks that stay far from their data although a run there ends in time, and against a wait
// that holds back other jobs.
BOOST_FIXTURE_TEST_CASE(taskWaitsForItsRackAndOthersDoNot, RackJobsFixture)
{
    submit(rackJob(1, 2));
    BOOST_TEST(effects.starts.empty());
    submit(job(2, 1, true));
    BOOST_TEST_REQUIRE(effects.starts.size() == 1U);
    BOOST_TEST((effects.starts[0].run.task.job == 2));
    pool.report(1, workerOn("rack-1", 4'000));
    pass({10});
    BOOST_TEST_REQUIRE(effects.starts.size() == 3U);
    BOOST_TEST(effects.starts[1].agent == 1U);
    BOOST_TEST(effects.starts[2].agent == 1U);
}

// Guards against a job that is rejected or late because it waited for its rack until the end of its slack.
BOOST_FIXTURE_TEST_CASE(waitEndsBeforeTheJobCountsAsLate, RackJobsFixture)
{
    submit(rackJob(1, 2));
    BOOST_TEST(effects.starts.empty());
    // The slack is 100 ms: 60% of the run time, and 60 ms less the overhead.
    for (uint32_t step = 0; step < 19; ++step)
        pass({5});
    BOOST_TEST(effects.starts.size() == 2U);
    BOOST_TEST(replies.empty());
}

// Guards against tasks that wait for a rack whose workers are lost, drain, or are in a zone from which work
// is withdrawn.
BOOST_FIXTURE_TEST_CASE(taskIsPlacedAtOnceWhenItsRackIsLost, RackJobsFixture)
{
    submit(rackJob(1, 1));
    pool.remove(1);
    scheduler.agentGone(1, now);
    pass({20});
    BOOST_TEST_REQUIRE(effects.starts.size() == 1U);
    BOOST_TEST(effects.starts[0].agent == 2U);
}

BOOST_FIXTURE_TEST_CASE(taskIsPlacedAtOnceWhenItsRackDrains, RackJobsFixture)
{
    submit(rackJob(1, 1));
    WorkerState draining = workerOn("rack-1", 0);
    draining.draining = true;
    pool.report(1, draining);
    pass({20});
    BOOST_TEST(effects.starts.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(taskIsPlacedAtOnceWhenItsZoneIsWithdrawn, RackJobsFixture)
{
    WorkerState elsewhere = workerOn("rack-1", 0);
    elsewhere.zone = "thamel";
    pool.report(1, elsewhere);
    submit(rackJob(1, 1));
    BOOST_TEST(effects.starts.empty());
    pool.setEvacuatedZones({"thamel"});
    pass({20});
    BOOST_TEST(effects.starts.size() == 1U);
}

// Guards against a wait that counts workers whose agents receive no orders of the partition.
BOOST_FIXTURE_TEST_CASE(taskDoesNotWaitForExcludedAgents, RackJobsFixture)
{
    scheduler.setPlacement(0, true, {1});
    submit(rackJob(1, 1));
    BOOST_TEST(effects.starts.size() == 1U);
}

// Guards against runs far from their data that count as slow: they are expected to take longer, must not be
// moved, and must not make their worker appear slow.
BOOST_FIXTURE_TEST_CASE(runFarFromItsDataIsNotSlow, RackJobsFixture)
{
    scheduler.setPlacement(0, true, {1});
    submit(rackJob(1, 1));
    BOOST_TEST_REQUIRE(effects.starts.size() == 1U);
    startAll();
    scheduler.setPlacement(0, true, {});
    pool.report(1, workerOn("rack-2", 4'000));
    pass({299});
    BOOST_TEST(effects.stops.empty());
    BOOST_TEST(pool.slowness(2, now) == 1);
    end(effects.starts[0], EndKind::Done);
    BOOST_TEST(pool.slowness(2, now) == 1);
}

// Guards against waits in a deployment that does not ask for them.
BOOST_FIXTURE_TEST_CASE(noWaitByDefault, JobSchedulerFixture)
{
    pool.report(1, RackJobsFixture::workerOn("rack-1", 0));
    pool.report(2, RackJobsFixture::workerOn("rack-2", 4'000));
    load();
    submit(RackJobsFixture::rackJob(1, 1));
    BOOST_TEST(effects.starts.size() == 1U);
}

// Guards against settings that are read with a wrong meaning.
BOOST_AUTO_TEST_CASE(settingsAreChecked)
{
    const auto parsed = [](const std::string &more, Problems &problems) {
        return parseFleetEntrySettings("entry.json",
                                       R"({"name": "e", "zone": "z", "store": "127.0.0.1:1",
            "peerListen": "127.0.0.1:2", "metricsListen": "127.0.0.1:3", "clientListen": "127.0.0.1:4",
            "readyListen": "127.0.0.1:5")" + more
                                           + "}",
                                       problems);
    };
    Problems none;
    const FleetSettings defaults = parsed("", none);
    BOOST_TEST(!defaults.placementWait);
    BOOST_TEST(defaults.farFactor == 1);
    const FleetSettings given = parsed(R"(, "placementWait": true, "farFactor": 1.5)", none);
    BOOST_TEST(none.empty());
    BOOST_TEST(given.placementWait);
    BOOST_TEST(given.farFactor == 1.5);
    for (const char *wrong : {R"(, "placementWait": 1)", R"(, "farFactor": 0.5)", R"(, "farFactor": 101)",
                              R"(, "farFactor": "3")"}) {
        Problems problems;
        parsed(wrong, problems);
        BOOST_TEST(problems.size() == 1U, wrong);
    }
}

BOOST_AUTO_TEST_SUITE_END()

// Each case replays the same arrivals under all policies.
BOOST_AUTO_TEST_SUITE(PlacementWaitLoadTest)

// Load pattern: the data is spread evenly. Guards against waits that cost more than they gain.
BOOST_AUTO_TEST_CASE(evenLoad)
{
    // Without long tasks, whose stopped and repeated runs differ by chance.
    const Comparison by = compare({.hotShare = 0, .urgentRate = 2, .otherRate = 2, .longTaskShare = 0});
    BOOST_TEST(by.expected.onTime >= by.never.onTime);
    BOOST_TEST(by.expected.processorSeconds <= by.never.processorSeconds);
}

// Load pattern: 63% of kind 0 has its data on one rack, and is late elsewhere.
BOOST_AUTO_TEST_CASE(mostDataOnOneRack)
{
    const Comparison by = compare({.hotShare = 0.63});
    BOOST_TEST(by.expected.onTime > by.never.onTime);
    BOOST_TEST(by.expected.processorSeconds < by.never.processorSeconds);
}

// Load pattern: the same with a burst beyond the capacity of that rack. Guards against a queue for the rack
// in which all jobs become late.
BOOST_AUTO_TEST_CASE(burstOnOneRack)
{
    const Comparison by = compare({.hotShare = 0.63, .urgentRate = 2.5});
    BOOST_TEST(by.expected.onTime > by.never.onTime);
    BOOST_TEST(worth(by.expected) > worth(by.always));
}

// Load pattern: the same where runs are on time on any rack. Guards against jobs that are late because of the
// wait.
BOOST_AUTO_TEST_CASE(burstOnOneRackWithTimeToSpare)
{
    const Comparison by =
        compare({.hotShare = 0.63, .farFactor = 1.5, .urgentRate = 2.5, .longTaskShare = 0});
    BOOST_TEST(by.expected.onTime >= by.never.onTime);
    BOOST_TEST(by.expected.onTime > by.always.onTime);
    BOOST_TEST(by.expected.processorSeconds < by.never.processorSeconds);
}

BOOST_AUTO_TEST_CASE(rackDrains)
{
    const Comparison by = compare({.hotShare = 0.63, .urgentRate = 1.5, .drainsAt = {2'000}});
    BOOST_TEST(by.expected.onTime > by.never.onTime);
    BOOST_TEST(by.expected.onTime > by.always.onTime);
}

BOOST_AUTO_TEST_CASE(rackIsLostDuringTheWait)
{
    const Comparison by = compare({.hotShare = 0.63, .urgentRate = 1.5, .lostAt = {2'000}});
    BOOST_TEST(by.expected.onTime > by.never.onTime);
    BOOST_TEST(by.expected.onTime > by.always.onTime);
}

// Load pattern: twice the capacity of all workers. Runs far from their data take processor time that jobs on
// time need.
BOOST_AUTO_TEST_CASE(allWorkersAreFull)
{
    const Comparison by = compare({.hotShare = 0.63, .urgentRate = 2, .otherRate = 2.5});
    BOOST_TEST(by.expected.onTime > by.never.onTime);
    BOOST_TEST(worth(by.expected) > worth(by.always));
}

// No worker has the label of the rack: nothing is waited for.
BOOST_AUTO_TEST_CASE(workersOfTheRackAreUnknown)
{
    const Comparison by = compare({.hotShare = 1, .isRackUnknown = true});
    BOOST_TEST(by.expected.onTime == by.never.onTime);
    BOOST_TEST(by.expected.rejected == by.never.rejected);
    BOOST_TEST(by.expected.processorSeconds == by.never.processorSeconds);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace turmericwell
