// Tests of the forecast, and of admission by forecast under the load patterns that it addresses.
#include "jobs/forecast.h"
#include "admissionsimulation.h"
#include "jobschedulerfixture.h"

#include <boost/test/unit_test.hpp>
#include <set>

namespace turmericwell {

BOOST_AUTO_TEST_SUITE(ForecastTest)

namespace {

constexpr Millis start = {50'000};

// 100 processors of which none is free; those of other owners are released evenly within 200 ms.
Forecast::Options busyWorkers()
{
    return {.resources = {.capacityMilli = 100'000, .workers = 10}, .turnover = {200}};
}

Forecast built(const Forecast::Options &options)
{
    Forecast forecast(options, start);
    forecast.build({});
    return forecast;
}

ForecastNeed need(int64_t cpuMilli, int64_t latestStartMs)
{
    return {.cpuMilli = cpuMilli,
            .latestStart = {latestStartMs},
            .lastUsefulStart = {latestStartMs * 3},
            .runTime = {100}};
}

AdmissionSimulationOptions baseLoad()
{
    AdmissionSimulationOptions options;
    // The kinds ask for about 28, 40 and 22 of 128 processors.
    options.workers = 8;
    options.kinds = {
        {.queue = "q0", .priority = 0, .tasks = 8, .runMs = 51, .cpuMilli = 1'400, .rate = 49},
        {.queue = "q1", .priority = 1, .tasks = 2, .runMs = 170, .cpuMilli = 1'400, .rate = 84},
        {.queue = "q2", .priority = 2, .tasks = 4, .runMs = 760, .cpuMilli = 1'400, .rate = 5.2}};
    return options;
}

void print(std::string_view policy, const SimulatedOutcome &o)
{
    BOOST_TEST_MESSAGE(policy << ": jobs " << o.jobs << ", on time " << o.onTime << ", late " << o.late
                              << ", worthless " << o.worthless << ", rejected at once " << o.rejectedAtOnce
                              << ", after waiting " << o.rejectedAfterWaiting << " (longest "
                              << o.longestWaitUntilRejected << " ms), beside free workers "
                              << o.rejectedBesideFree << ", on time after a return " << o.servedAfterReturn);
}

struct Comparison
{
    SimulatedOutcome slack;
    SimulatedOutcome forecast;
    std::vector<SimulatedOutcome> forecastByKind;
};

// Plays the same arrivals against the present rule and against the forecast.
Comparison compare(AdmissionSimulationOptions options)
{
    Comparison result;
    options.resubmissions = 1;
    AdmissionSimulation slack(options);
    slack.run();
    result.slack = slack.total();
    options.scheduler.admission = ForecastAdmission{};
    AdmissionSimulation forecast(options);
    result.forecastByKind = forecast.run();
    result.forecast = forecast.total();
    print("slack", result.slack);
    print("forecast", result.forecast);
    for (const SimulatedOutcome &kind : result.forecastByKind)
        print("  forecast, kind", kind);
    return result;
}

} // namespace

// Guards against a forecast that sees no room beside free workers.
BOOST_AUTO_TEST_CASE(freeResourcesAdmitAtOnce)
{
    Forecast::Options options = busyWorkers();
    options.resources.freeMilli = 8'000;
    Forecast forecast(options, start);
    // A peer's report of waiting work that is four seconds old says nothing about free workers.
    forecast.addPeer({.cpuMilli = 500'000, .age = {4'000}});
    forecast.build({});
    const ForecastResult result = forecast.assess(need(8'000, 50), start);
    BOOST_TEST((result.verdict == ForecastVerdict::OnTime));
    BOOST_TEST((result.reason == ForecastReason::FreeNow));
    BOOST_TEST((result.start == Millis{0}));
    BOOST_TEST((result.end == Millis{100}));
}

// Guards against a job that is admitted with a deadline before enough running work has ended.
BOOST_AUTO_TEST_CASE(roomAppearsAsRunningWorkEnds)
{
    const Forecast forecast = built(busyWorkers());
    // 500 thousandths of a core are released per millisecond.
    BOOST_TEST((forecast.assess(need(8'000, 60), start).verdict == ForecastVerdict::OnTime));
    const ForecastResult tooEarly = forecast.assess(need(40'000, 40), start);
    BOOST_TEST((tooEarly.verdict == ForecastVerdict::Late));
    BOOST_TEST((tooEarly.reason == ForecastReason::SpareRoom));
    BOOST_TEST(tooEarly.start.count >= 70);
    BOOST_TEST(tooEarly.start.count <= 100);
    const ForecastResult never = forecast.assess(need(90'000, 20), start);
    BOOST_TEST((never.verdict == ForecastVerdict::Rejected));
    BOOST_TEST((never.reason == ForecastReason::NoRoomInTime));
    BOOST_TEST(never.roomIn.count >= 180);
}

// Guards against room that is given to two jobs between two builds of the forecast.
BOOST_AUTO_TEST_CASE(admittedJobsUseUpTheRoom)
{
    Forecast forecast = built(busyWorkers());
    const ForecastNeed job = need(8'000, 60);
    uint32_t admitted = 0;
    for (ForecastResult result = forecast.assess(job, start);
         result.verdict == ForecastVerdict::OnTime && admitted < 100; result = forecast.assess(job, start)) {
        forecast.admit(job, result, start);
        ++admitted;
    }
    // 30,000 to 35,000 are released by the latest start.
    BOOST_TEST(admitted >= 3U);
    BOOST_TEST(admitted <= 4U);
}

// Guards against urgent jobs that push admitted jobs of other kinds over their latest start.
BOOST_AUTO_TEST_CASE(jobThatDelaysAdmittedOnesIsRejected)
{
    Forecast forecast(busyWorkers(), start);
    forecast.addWaiting({100}, 50'000, {200});
    forecast.build({});
    const ForecastResult result = forecast.assess(need(20'000, 60), start);
    BOOST_TEST((result.verdict != ForecastVerdict::OnTime));
    BOOST_TEST(result.onTimeProbability > 0.7);
}

// Guards against a new owner that judges the capacity by the few workers that it has reached.
BOOST_AUTO_TEST_CASE(unknownWorkersAreAssumedToBeLikeTheKnownOnes)
{
    Forecast::Options options = busyWorkers();
    const ForecastNeed job = need(45'000, 60);
    BOOST_TEST((built(options).assess(job, start).verdict != ForecastVerdict::OnTime));
    options.knownFraction = 0.25;
    BOOST_TEST((built(options).assess(job, start).verdict == ForecastVerdict::OnTime));
}

// Guards against a job that is admitted although no worker in reach can run it.
BOOST_AUTO_TEST_CASE(noReachableWorkerRejects)
{
    const ForecastResult result = built({.turnover = {100}}).assess(need(1'000, 60), start);
    BOOST_TEST((result.verdict == ForecastVerdict::Rejected));
    BOOST_TEST((result.reason == ForecastReason::NoReachableWorker));
}

// Guards against tolerant jobs that take all room from urgent ones, and against urgent ones that take it all.
BOOST_AUTO_TEST_CASE(roomIsKeptForExpectedUrgentJobs)
{
    ArrivalRates rates;
    for (int64_t ms = 0; ms < 2'000; ++ms)
        rates.observe(0, 10'000, {50}, start + Millis{ms - 2'000});
    Forecast forecast(busyWorkers(), start);
    forecast.build(rates);
    ForecastNeed urgent = need(120'000, 400);
    ForecastNeed tolerant = urgent;
    tolerant.priority = 2;
    BOOST_TEST(forecast.assess(urgent, start).onTimeProbability
               > forecast.assess(tolerant, start).onTimeProbability);
    tolerant.cpuMilli = 40'000;
    BOOST_TEST((forecast.assess(tolerant, start).verdict == ForecastVerdict::OnTime));
}

// Guards against sums of resources that differ from the workers after reports, orders, ends and losses.
BOOST_AUTO_TEST_CASE(keptSumsFollowTheWorkers)
{
    std::minstd_rand random(3);
    WorkerPool pool;
    const std::vector<PlacementNeeds> sizes = {
        {.service = "s", .size = {1'400, 10, 0}},
        {.service = "s", .size = {5'100, 10, 0}},
        {.service = "s", .size = {1'400, 10, 0}, .requiredLabel = "l"}};
    const auto change = [&](AgentNumber agent) {
        const uint32_t kind = random() % 10;
        if (kind == 0)
            pool.remove(agent);
        else if (kind == 1)
            pool.setEvacuatedZones(random() % 2 == 0 ? std::set<std::string>{"b"} : std::set<std::string>{});
        else if (kind < 5 && pool.find(agent))
            pool.orderSent(agent, {1'400, 10, 0});
        else if (kind < 7)
            pool.runEnded(agent, {1'400, 10, 0});
        else
            pool.report(agent,
                        {.usable = random() % 8 != 0,
                         .draining = random() % 8 == 0,
                         .service = random() % 8 == 0 ? "other" : "s",
                         .zone = random() % 2 == 0 ? "a" : "b",
                         .labels = {random() % 2 == 0 ? "l" : "m"},
                         .capacity = {16'000, 1'000, 0},
                         .free = {static_cast<int64_t>(random() % 16'000), 500, 0},
                         .queuedCpuMilli = static_cast<int64_t>(random() % 2'000)});
    };
    for (uint32_t round = 0; round < 3'000; ++round) {
        for (uint32_t changes = random() % (round % 100 == 0 ? 400 : 8); changes > 0; --changes)
            change(1 + random() % 40);
        const PlacementNeeds &needs = sizes[random() % sizes.size()];
        const ReachableResources kept = pool.reachable(needs);
        // A copy whose sums are dropped walks all workers.
        WorkerPool walked = pool;
        walked.setEvacuatedZones(pool.evacuatedZones());
        const ReachableResources expected = walked.reachable(needs);
        BOOST_TEST_REQUIRE(kept.capacityMilli == expected.capacityMilli);
        BOOST_TEST_REQUIRE(kept.freeMilli == expected.freeMilli);
        BOOST_TEST_REQUIRE(kept.queuedMilli == expected.queuedMilli);
        BOOST_TEST_REQUIRE(kept.workers == expected.workers);
    }
}

// Two workers of four processors, full with runs that have run for 1.5 s of the given time.
struct FullWorkersFixture : JobSchedulerFixture
{
    explicit FullWorkersFixture(uint32_t runMs = 1'900)
    {
        forecasting.openPartition(0, 1);
        forecasting.loaded(0, now);
        forecasting.setExpectedAgents(0, {1, 2}, true);
        for (AgentNumber agent = 1; agent <= 2; ++agent)
            forecasting.claimReport(agent, 0, 1, {}, {}, now);
        for (JobId id = 1; id <= 2; ++id) {
            JobSpec spec = job(id, 4, true);
            spec.steps[0]->estimate_ms = runMs;
            submitForecast(std::move(spec));
        }
        for (const auto &begun : effects.starts)
            forecasting.runStarted(begun.agent, begun.run, now);
        for (AgentNumber agent = 1; agent <= 2; ++agent) {
            WorkerState full = workerWith(0);
            full.ordersReceived = 4;
            pool.report(agent, full);
        }
        // The arrivals of these jobs are no longer expected to go on.
        now += Millis{1'500};
    }

    void submitForecast(JobSpec spec)
    {
        forecasting.submit(std::move(spec), {.wait = {5'000}}, now,
                           [this](JobReply reply) { replies.push_back(std::move(reply)); });
        forecasting.advance(now);
    }

    JobScheduler forecasting{{.partitions = 1, .admission = ForecastAdmission{}}, pool, effects, log};
};

// Guards against a late job that is rejected although it is worth waiting for, or that is not started.
BOOST_FIXTURE_TEST_CASE(lateJobWaitsForSpareRoom, FullWorkersFixture)
{
    // Its latest start is in 100 ms, and it is worth something if it starts within 540 ms.
    submitForecast(job(3, 2, true));
    BOOST_TEST(replies.empty());
    for (int64_t ms = 0; ms < 390; ms += 15) {
        now += Millis{15};
        forecasting.advance(now);
    }
    BOOST_TEST(replies.empty());
    BOOST_TEST_REQUIRE(effects.starts.size() == 8U);
    const std::vector<RecordedEffects::Start> started = effects.starts;
    for (const auto &begun : started)
        forecasting.runEnded(begun.agent, {.run = begun.run, .kind = EndKind::Done}, now);
    forecasting.advance(now);
    BOOST_TEST(effects.starts.size() == 10U);
}

// Guards against a late job that waits although the room that was expected for it did not appear.
BOOST_FIXTURE_TEST_CASE(lateJobIsRejectedOnceItIsWorthNothing, FullWorkersFixture)
{
    submitForecast(job(3, 2, true));
    BOOST_TEST(replies.empty());
    for (int64_t ms = 0; ms < 600 && replies.empty(); ms += 15) {
        now += Millis{15};
        forecasting.advance(now);
    }
    BOOST_TEST_REQUIRE(replies.size() == 1U);
    BOOST_TEST((replies[0].status == fleet::CallStatus::Refused));
    BOOST_TEST(replies[0].retryAfter.count >= 1'000);
    BOOST_TEST(replies[0].retryAfter.count % 1'000 == 0);
}

struct LongFullWorkersFixture : FullWorkersFixture
{
    LongFullWorkersFixture()
        : FullWorkersFixture(4'000)
    { }
};

// Guards against an answer that is known at once and that the client still has to wait for, and against
// clients that are all told the same time.
BOOST_FIXTURE_TEST_CASE(hopelessJobsAreRejectedAtOnceWithSpreadReturns, LongFullWorkersFixture)
{
    std::set<int64_t> waits;
    for (JobId id = 10; id < 40; ++id) {
        submitForecast(job(id, 4, true));
        BOOST_TEST_REQUIRE(replies.size() == id - 9);
        BOOST_TEST((replies.back().status == fleet::CallStatus::Refused));
        BOOST_TEST(replies.back().retryAfter.count % 1'000 == 0);
        waits.insert(replies.back().retryAfter.count);
    }
    BOOST_TEST(waits.size() >= 4U);
}

// Load pattern: usual load. Guards against rejections and late jobs that only the forecast causes.
BOOST_AUTO_TEST_CASE(usualLoadIsServedAsBefore)
{
    const Comparison outcome = compare(baseLoad());
    BOOST_TEST(outcome.forecast.onTimePart() >= 0.99);
    BOOST_TEST(outcome.forecast.onTime >= outcome.slack.onTime);
    BOOST_TEST(outcome.forecast.rejectedBesideFree == 0U);
}

// Load pattern: bursts of one kind at 1.4 and 2.5 times its rate. Guards against rejections beside free
// workers, jobs that wait and are then rejected, kinds that are starved, and clients that return in vain.
BOOST_AUTO_TEST_CASE(burstsOfOneKindAreServedBetterThanBefore)
{
    for (const double factor : {1.4, 2.5}) {
        for (size_t kind = 0; kind < 3; ++kind) {
            BOOST_TEST_CONTEXT("burst of kind " << kind << " at " << factor)
            {
                AdmissionSimulationOptions options = baseLoad();
                options.longTasks = 0.03;
                options.bursts = {{.kind = kind, .factor = factor, .fromMs = 3'000, .toMs = 8'000}};
                const Comparison outcome = compare(options);
                BOOST_TEST(outcome.forecast.value() >= 0.995 * outcome.slack.value());
                // Resources that are in motion between owners look free for some milliseconds.
                BOOST_TEST(outcome.forecast.rejectedBesideFree <= 0.005 * outcome.forecast.jobs);
                BOOST_TEST(outcome.forecast.rejectedAfterWaiting <= 0.01 * outcome.forecast.jobs);
                for (const SimulatedOutcome &other : outcome.forecastByKind)
                    BOOST_TEST(other.onTimePart() >= 0.5);
            }
        }
    }
}

// Load pattern: waves of 55% with a different phase in each zone, on top of a burst. Guards against arrival
// rates that follow the waves too slowly.
BOOST_AUTO_TEST_CASE(wavesByZoneAreServedBetterThanBefore)
{
    AdmissionSimulationOptions options = baseLoad();
    options.waves = 0.55;
    options.bursts = {{.kind = 1, .factor = 2, .fromMs = 2'000, .toMs = 10'000}};
    const Comparison outcome = compare(options);
    BOOST_TEST(outcome.forecast.value() >= 0.995 * outcome.slack.value());
    BOOST_TEST(outcome.forecast.rejectedAfterWaiting <= 0.01 * outcome.forecast.jobs);
}

// Load pattern: one owner has half of the demand. Guards against an owner that judges by its own queue only,
// or that takes the reports of the others for waiting work of now.
BOOST_AUTO_TEST_CASE(ownerWithHalfOfTheDemandServesLikeTheOthers)
{
    AdmissionSimulationOptions options = baseLoad();
    options.owners = {0.5, 0.125, 0.125, 0.25};
    options.bursts = {{.kind = 1, .factor = 2.5, .fromMs = 3'000, .toMs = 8'000}};
    const Comparison outcome = compare(options);
    BOOST_TEST(outcome.forecast.value() >= 0.995 * outcome.slack.value());
}

// Failure: the owner with most of the demand is cut off from the other owners in the middle of a burst, so
// that reports of waiting work stay at what they were.
BOOST_AUTO_TEST_CASE(isolatedOwnerGoesOnAdmitting)
{
    AdmissionSimulationOptions options = baseLoad();
    options.owners = {0.5, 0.25, 0.25};
    options.isolateOwnerAt = 4'000;
    options.bursts = {{.kind = 1, .factor = 2.5, .fromMs = 3'000, .toMs = 6'000}};
    const Comparison outcome = compare(options);
    BOOST_TEST(outcome.forecast.value() >= 0.995 * outcome.slack.value());
    BOOST_TEST(outcome.forecast.rejectedBesideFree <= 0.005 * outcome.forecast.jobs);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace turmericwell
