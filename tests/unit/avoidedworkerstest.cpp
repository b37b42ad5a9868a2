// Workers on which a run of a task has failed: how long the task waits for another one.
#include "unit/jobschedulerfixture.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

namespace turmericwell {

struct AvoidedWorkersFixture : JobSchedulerFixture
{
    // One task of half a minute, so that it has 18 s until it would be late. Only the first worker has room.
    void startLongJob(uint32_t attempts)
    {
        load();
        pool.report(2, workerWith(0));
        JobSpec spec = job(1, 1, false);
        spec.attempts = attempts;
        spec.steps[0]->estimate_ms = 30'000;
        submit(std::move(spec));
        storeAll();
        startAll();
    }

    void failLatest()
    {
        const RecordedEffects::Start start = effects.starts.back();
        scheduler.runStarted(start.agent, start.run, now);
        end(start, EndKind::Failed);
        storeAll();
    }

    void pass(Millis time)
    {
        now += time;
        scheduler.advance(now);
    }

    size_t ordersTo(AgentNumber agent) const
    {
        const auto isToAgent = [&](const RecordedEffects::Start &start) { return start.agent == agent; };
        return static_cast<size_t>(std::count_if(effects.starts.begin(), effects.starts.end(), isToAgent));
    }
};

BOOST_AUTO_TEST_SUITE(avoidedWorkers)

// Guards against a job that stands still beside an idle worker until it is late, because its run has failed
// there and another worker, which has no room, could hold it if it were empty (review/13).
BOOST_FIXTURE_TEST_CASE(taskReturnsToAnIdleWorkerOnWhichItHasFailed, AvoidedWorkersFixture)
{
    startLongJob(4);
    BOOST_TEST_REQUIRE(effects.starts.size() == 1U);
    failLatest();
    pass({1'000});
    BOOST_TEST(effects.starts.size() == 1U);
    pass({1'900});
    BOOST_TEST(effects.starts.size() == 2U);
}

// Guards against a job that uses up its attempts on a worker that is at fault for some seconds.
BOOST_FIXTURE_TEST_CASE(waitForAnotherWorkerGrowsWithTheFailures, AvoidedWorkersFixture)
{
    startLongJob(4);
    std::vector<Millis> startedAfter;
    const Millis begin = now;
    for (int failure = 0; failure < 3; ++failure) {
        failLatest();
        const size_t starts = effects.starts.size();
        while (effects.starts.size() == starts && now - begin < Millis{30'000})
            pass({50});
        startedAfter.push_back(now - begin);
    }
    BOOST_TEST((startedAfter[1] - startedAfter[0] > startedAfter[0]));
    BOOST_TEST((startedAfter[2] - startedAfter[1] > startedAfter[1] - startedAfter[0]));
    BOOST_TEST((scheduler.query(1).phase == JobPhase::Active));
}

// Guards against the same where others seem to have room: their agents let orders wait for some milliseconds
// and return them, again and again, while the idle worker is left to the last (review/13).
BOOST_FIXTURE_TEST_CASE(taskReturnsToAnIdleWorkerIfTheOthersReturnItsOrders, AvoidedWorkersFixture)
{
    startLongJob(4);
    failLatest();
    for (Millis passed; passed < Millis{3'000} && ordersTo(1) == 1; passed += Millis{50}) {
        WorkerState queueOnly = workerWith(1'200);
        queueOnly.ordersReceived = ordersTo(2);
        pool.report(2, queueOnly, now);
        pass({10});
        now += Millis{40};
        if (effects.starts.back().agent == 2)
            scheduler.runRejected(2, effects.starts.back().run, RejectReason::NoRoom, now);
    }
    BOOST_TEST(ordersTo(2) > 1U);
    BOOST_TEST(ordersTo(1) == 2U);
}

// Guards against a return to the worker that failed while another one has room.
BOOST_FIXTURE_TEST_CASE(anotherWorkerIsPreferredAlsoAfterTheWait, AvoidedWorkersFixture)
{
    startLongJob(4);
    failLatest();
    pool.report(1, workerWith(0), now);
    pass({3'000});
    BOOST_TEST(effects.starts.size() == 1U);
    pool.report(1, workerWith(4'000), now);
    pool.report(2, workerWith(1'000), now);
    pass({10});
    BOOST_TEST_REQUIRE(effects.starts.size() == 2U);
    BOOST_TEST(effects.starts[1].agent == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace turmericwell
