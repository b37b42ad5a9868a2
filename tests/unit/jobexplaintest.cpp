// Tests of JobScheduler::explain: what would happen to a job, without a change of the state.
#include "unit/jobschedulerfixture.h"

#include <boost/test/unit_test.hpp>

namespace turmericwell {

namespace {

// The first worker is on the rack of the data, and the second is elsewhere.
struct ExplainFixture : JobSchedulerFixture
{
    ExplainFixture()
        : JobSchedulerFixture(1, {.partitions = 1, .placementWait = ExpectedGain{}, .farFactor = 3})
    {
        report(1, "rack-1", 4'000);
        report(2, "rack-2", 4'000);
        load();
    }

    void report(AgentNumber agent, const char *rack, int64_t freeMilli)
    {
        WorkerState state = workerWith(freeMilli);
        state.worker = "w" + std::to_string(agent);
        state.labels = {rack};
        pool.report(agent, state);
    }
    static JobSpec rackJob(JobId id, uint32_t tasks)
    {
        JobSpec spec = job(id, tasks, true);
        spec.steps[0]->data_rack = "rack-1";
        return spec;
    }
    StepExplanation firstStep(const JobSpec &spec) { return scheduler.explain(spec, now).steps.at(0); }
};

} // namespace

BOOST_AUTO_TEST_SUITE(JobExplainTest)

// Guards against an explanation that names another worker than the one that is chosen.
BOOST_FIXTURE_TEST_CASE(namesTheWorkerThatIsChosen, ExplainFixture)
{
    const StepExplanation step = firstStep(rackJob(1, 1));
    BOOST_TEST(step.choice == "near");
    BOOST_TEST_REQUIRE(step.best.size() == 2U);
    BOOST_TEST(!step.best[1].isNear);
    BOOST_TEST((step.expectedStart == Millis{0}));
    BOOST_TEST((step.expectedEnd == Millis{100}));
    submit(rackJob(1, 1));
    BOOST_TEST_REQUIRE(effects.starts.size() == 1U);
    BOOST_TEST(effects.starts[0].agent == step.best[0].agent);
}

// Guards against an explanation that differs from the decision on the wait for a rack.
BOOST_FIXTURE_TEST_CASE(tellsWaitAndFarPlacement, ExplainFixture)
{
    report(1, "rack-1", 0);
    const StepExplanation waits = firstStep(rackJob(1, 1));
    BOOST_TEST(waits.choice == "wait");
    BOOST_TEST((waits.longestWait > Millis{0}));
    BOOST_TEST(waits.excluded.at("not enough free resources") == 1U);
    submit(rackJob(1, 1));
    BOOST_TEST(effects.starts.empty());
    scheduler.setPlacement(0, true, {1});
    // The scheduler's view of a rack is at most 20 ms old.
    now += Millis{20};
    const StepExplanation far = firstStep(rackJob(2, 1));
    BOOST_TEST(far.choice == "far");
    BOOST_TEST((far.expectedEnd == Millis{300}));
    BOOST_TEST(far.excluded.at("the agent does not serve the partition") == 1U);
    submit(rackJob(2, 1));
    // Job 1 waits no longer either.
    BOOST_TEST_REQUIRE(effects.starts.size() == 2U);
    BOOST_TEST(effects.starts[0].agent == 2U);
    BOOST_TEST(effects.starts[1].agent == 2U);
}

// Guards against reasons that are missing or wrong.
BOOST_FIXTURE_TEST_CASE(tellsWhyWorkersAreExcluded, ExplainFixture)
{
    WorkerState draining = workerWith(4'000);
    draining.draining = true;
    pool.report(1, draining);
    pool.setEvacuatedZones({"thamel"});
    WorkerState withdrawn = workerWith(4'000);
    withdrawn.zone = "thamel";
    pool.report(2, withdrawn);
    pool.report(3, workerWith(4'000));
    const StepExplanation step = firstStep(rackJob(1, 1));
    BOOST_TEST(step.choice == "no room");
    BOOST_TEST(step.excluded.at("the worker drains") == 1U);
    BOOST_TEST(step.excluded.at("work is withdrawn from the zone") == 1U);
    BOOST_TEST(step.excluded.at("the agent has not reported to the owner") == 1U);
    BOOST_TEST(!step.expectedEnd.has_value());
}

// Guards against an explanation that differs from the admission.
BOOST_FIXTURE_TEST_CASE(tellsWhyAJobIsRejected, ExplainFixture)
{
    BOOST_TEST(scheduler.explain(job(9, 1, true), now).admission.reason.empty());
    JobSpec large = job(9, 1, true);
    large.steps[0]->cpu_milli = 5'000;
    BOOST_TEST(scheduler.explain(large, now).admission.reason == "no worker can hold a task of this size");
    const auto longJob = [](JobId id) {
        JobSpec spec = job(id, 4, true);
        spec.steps[0]->estimate_ms = 1'000;
        return spec;
    };
    JobId id = 1;
    while (replies.empty() && id < 20)
        submit(longJob(id++));
    replies.clear();
    const AdmissionExplanation explained = scheduler.explain(longJob(20), now).admission;
    BOOST_TEST(explained.predictedWait.count > explained.allowedWait.count);
    submit(longJob(20));
    BOOST_TEST_REQUIRE(replies.size() == 1U);
    BOOST_TEST((replies[0].status == fleet::CallStatus::Refused));
    BOOST_TEST(replies[0].reason == explained.reason);
    BOOST_TEST((replies[0].retryAfter == explained.retryAfter));
}

// Guards against an explanation that changes what it explains: a job that is only explained is not known, is
// not counted, and starts nothing.
BOOST_FIXTURE_TEST_CASE(changesNothing, ExplainFixture)
{
    for (uint32_t count = 0; count < 100; ++count)
        scheduler.explain(rackJob(1, 2), now);
    scheduler.advance(now);
    BOOST_TEST(effects.starts.empty());
    BOOST_TEST(scheduler.activeJobs() == 0U);
    BOOST_TEST(scheduler.waitingCpuMilli() == 0);
    BOOST_TEST((scheduler.query(1).status == fleet::CallStatus::NotKnown));
    BOOST_TEST(scheduler.explain(rackJob(1, 1), now).knownAs == "unknown");
    submit(rackJob(1, 1));
    BOOST_TEST(scheduler.explain(rackJob(1, 1), now).knownAs == "active");
}

// Guards against later steps that are expected to start before the steps they depend on have ended.
BOOST_FIXTURE_TEST_CASE(laterStepsStartAfterEarlierOnes, ExplainFixture)
{
    JobSpec spec = job(1, 1, true);
    spec.steps.push_back(std::make_unique<StepSpec>(*spec.steps[0]));
    spec.steps[1]->after = {0};
    const JobExplanation explained = scheduler.explain(spec, now);
    BOOST_TEST_REQUIRE(explained.steps.size() == 2U);
    BOOST_TEST((explained.steps[1].expectedStart == explained.steps[0].expectedEnd));
    BOOST_TEST((explained.steps[1].expectedEnd == Millis{200}));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace turmericwell
