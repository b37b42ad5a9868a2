// Tests of what an owner keeps for the callers of its jobs, and of callers that leave before their answer.
#include "jobschedulerfixture.h"

#include <boost/test/unit_test.hpp>
#include <memory>

namespace turmericwell {

namespace {

struct JobCallersFixture : JobSchedulerFixture
{
    // The handler holds a reference to `handlers`, whose count is the number of handlers that are kept.
    JobReplyHandler handler()
    {
        return [this, held = handlers](JobReply reply) { replies.push_back(std::move(reply)); };
    }
    size_t keptHandlers() const { return static_cast<size_t>(handlers.use_count()) - 1; }

    void submitAs(JobSpec spec, uint64_t call, Millis wait = {60'000})
    {
        scheduler.submit(std::move(spec), {.wait = wait, .caller = {.entry = "e", .call = call}}, now,
                         handler());
        scheduler.advance(now);
    }
    void leave(JobId id, uint64_t call) { scheduler.callerLeft(id, {.entry = "e", .call = call}, now); }
    void pass(Millis time)
    {
        const Millis end = now + time;
        while (now < end) {
            now = now + Millis{50};
            scheduler.advance(now);
        }
    }

    std::shared_ptr<int> handlers = std::make_shared<int>(0);
};

} // namespace

BOOST_AUTO_TEST_SUITE(JobCallersTest)

// Guards against a handler that is kept for each submission of the same job, until the job ends: a client can
// submit it again and again with a short deadline.
BOOST_FIXTURE_TEST_CASE(submissionsOfOneJobKeepNoMoreThanTheOpenCalls, JobCallersFixture)
{
    load();
    for (uint64_t call = 1; call <= 5'000; ++call) {
        submitAs(job(1, 1, true), call, Millis{100});
        now = now + Millis{10};
    }
    BOOST_TEST(keptHandlers() <= 12U);
}

// Guards against the same for cancels, while the store takes no record.
BOOST_FIXTURE_TEST_CASE(cancelsOfOneJobKeepNoMoreThanTheOpenCalls, JobCallersFixture)
{
    load();
    submitAs(job(1, 1, false), 1);
    storeAll();
    for (uint64_t call = 2; call <= 5'000; ++call) {
        scheduler.cancel(1, {.wait = Millis{100}, .caller = {.entry = "e", .call = call}}, now, handler());
        now = now + Millis{10};
    }
    BOOST_TEST(keptHandlers() <= 12U);
}

// Guards against two answers to a call that was sent again on a new connection.
BOOST_FIXTURE_TEST_CASE(laterAttemptReplacesTheEarlierOne, JobCallersFixture)
{
    load();
    submitAs(job(1, 1, true), 7);
    submitAs(job(1, 1, true), 7);
    submitAs(job(1, 1, true), 8);
    BOOST_TEST(keptHandlers() == 2U);
}

// Guards against waiting jobs of clients that have left: others are kept from the workers by them.
BOOST_FIXTURE_TEST_CASE(waitingJobIsGivenUpWithItsLastCaller, JobCallersFixture)
{
    load();
    submitAs(job(1, 8, true), 1);
    // It waits for a worker, and is not late meanwhile.
    JobSpec waiting = job(2, 1, true);
    waiting.target_latency_ms = 10'000;
    submitAs(JobSpec(waiting), 2);
    submitAs(std::move(waiting), 3);
    const size_t starts = effects.starts.size();
    leave(2, 2);
    pass({300});
    BOOST_TEST(scheduler.activeJobs() == 2U);
    leave(2, 3);
    pass({300});
    BOOST_TEST(scheduler.activeJobs() == 1U);
    BOOST_TEST(effects.starts.size() == starts);
}

// Guards against work that is thrown away although its client submits the job again after its connection has
// broken, and against runs that go on for a client that does not.
BOOST_FIXTURE_TEST_CASE(startedJobOutlivesItsCallerForAWhile, JobCallersFixture)
{
    load();
    submitAs(job(1, 1, true), 1);
    submitAs(job(2, 1, true), 2);
    BOOST_TEST_REQUIRE(effects.starts.size() == 2U);
    leave(1, 1);
    leave(2, 2);
    pass({1'500});
    BOOST_TEST(effects.stops.empty());
    submitAs(job(1, 1, true), 3);
    pass({3'000});
    BOOST_TEST_REQUIRE(effects.stops.size() == 1U);
    BOOST_TEST(effects.stops[0].run.task.job == 2U);
    BOOST_TEST(scheduler.activeJobs() == 1U);
}

// Guards against a durable job that is dropped with the connection of its client: it may have been accepted.
BOOST_FIXTURE_TEST_CASE(durableJobStaysWithoutACaller, JobCallersFixture)
{
    load();
    submitAs(job(1, 1, false), 1);
    leave(1, 1);
    storeAll();
    pass({5'000});
    BOOST_TEST(scheduler.activeJobs() == 1U);
    BOOST_TEST(replies.empty());
    BOOST_TEST(effects.stops.empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace turmericwell
