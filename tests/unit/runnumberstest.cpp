// Run numbers over several owners of a partition: an end of a former owner's run is recognized as such
// however often its task was ordered.
#include "unit/jobschedulerfixture.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

namespace turmericwell {

struct RunNumbersFixture : JobSchedulerFixture
{
    // The task's order is returned for want of room this many times, and then stands.
    void orderRepeatedly(uint32_t returned)
    {
        for (uint32_t count = 0; count < returned; ++count) {
            const RecordedEffects::Start start = effects.starts.back();
            scheduler.runRejected(start.agent, start.run, RejectReason::NoRoom, now);
            now += Millis{50};
            reportRoom(start.agent);
            scheduler.advance(now);
            storeLatest();
            BOOST_TEST_REQUIRE(effects.starts.size() == count + 2U);
        }
    }

    // The agent has received all orders and has room for the task.
    void reportRoom(AgentNumber agent)
    {
        WorkerState state = workerWith(4'000);
        const auto isOfAgent = [&](const RecordedEffects::Start &start) { return start.agent == agent; };
        state.ordersReceived =
            static_cast<uint64_t>(std::count_if(effects.starts.begin(), effects.starts.end(), isOfAgent));
        pool.report(agent, std::move(state), now);
    }

    void storeLatest()
    {
        if (!effects.records.empty())
            stored = effects.records.back().value;
        storeAll();
    }

    // The newest record of the job.
    std::string stored;
};

BOOST_AUTO_TEST_SUITE(runNumbers)

// Guards against a run of a former owner that counts as the newest one because its task had been ordered more
// than 1,000 times in one epoch: its end was confirmed although the task was run again (review/11).
BOOST_FIXTURE_TEST_CASE(endOfAFormerRunIsDisputedHoweverOftenItsTaskWasOrdered, RunNumbersFixture)
{
    load();
    submit(job(1, 1, false));
    storeLatest();
    orderRepeatedly(2'100);
    const RecordedEffects::Start former = effects.starts.back();
    scheduler.runStarted(former.agent, former.run, now);
    JobSchedulerFixture next(2);
    next.now = now;
    next.scheduler.loadRecord(0, 1, stored, next.now);
    next.load();
    // The record of the second run, and that of the higher limit.
    next.storeAll();
    next.storeAll();
    BOOST_TEST_REQUIRE(next.effects.starts.size() == 1U);
    BOOST_TEST(next.effects.starts[0].run.number > former.run.number);
    next.end(former, EndKind::Done);
    BOOST_TEST_REQUIRE(next.effects.disputed.size() == 1U);
    BOOST_TEST((next.effects.disputed[0] == former.run));
}

// Guards against numbers beyond the recorded limit: the next owner would use them as well.
BOOST_FIXTURE_TEST_CASE(taskIsNotOrderedBeyondTheLimitBeforeThatIsStored, RunNumbersFixture)
{
    load();
    submit(job(1, 1, false));
    storeLatest();
    // The range of epoch 1 ends with 2,000.
    orderRepeatedly(1'999);
    BOOST_TEST(effects.starts.back().run.number == 2'000U);
    scheduler.runRejected(effects.starts.back().agent, effects.starts.back().run, RejectReason::NoRoom, now);
    reportRoom(effects.starts.back().agent);
    now += Millis{50};
    scheduler.advance(now);
    BOOST_TEST(effects.starts.size() == 2'000U);
    BOOST_TEST_REQUIRE(effects.records.size() == 1U);
    storeAll();
    BOOST_TEST_REQUIRE(effects.starts.size() == 2'001U);
    BOOST_TEST(effects.starts.back().run.number == 2'001U);
}

// Guards against numbers of a former owner that are used again two owners later: an owner that starts above
// its own range records a higher limit before its first order.
BOOST_AUTO_TEST_CASE(ownerAboveItsRangeExtendsItFirst)
{
    RunNumbers numbers = RunNumbers::forKnownJob(3, 9'000);
    BOOST_TEST(numbers.isOfFormerOwner(9'000));
    BOOST_TEST(!numbers.hasNext(0));
    BOOST_TEST(numbers.extend());
    BOOST_TEST(!numbers.extend());
    BOOST_TEST(!numbers.hasNext(0));
    BOOST_TEST(numbers.limitToRecord() == 10'000U);
    numbers.limitRecorded(10'000);
    BOOST_TEST(numbers.hasNext(0));
    BOOST_TEST(numbers.next(0) == 9'001U);
    BOOST_TEST(!numbers.hasNext(10'000));
    const RunNumbers next = RunNumbers::forKnownJob(4, numbers.limitToRecord());
    BOOST_TEST(next.isOfFormerOwner(10'000));
}

// Guards against run numbers that overflow with a high epoch or after many orders.
BOOST_AUTO_TEST_CASE(numbersStayInTheirRangeAtItsEnds)
{
    const uint64_t lastEpoch = UINT32_MAX / RunNumbers::defaultRangeSize - 1;
    RunNumbers numbers = RunNumbers::forKnownJob(lastEpoch, 0);
    BOOST_TEST(numbers.base() == 4'294'966'000U);
    numbers.limitRecorded(UINT32_MAX);
    BOOST_TEST(!numbers.hasNext(UINT32_MAX));
    BOOST_TEST(!numbers.extend());
    // The limit in the record holds also where the range of the epoch begins again.
    BOOST_TEST(RunNumbers::forKnownJob(lastEpoch + 1, 0).base() == 0U);
    BOOST_TEST(RunNumbers::forKnownJob(lastEpoch + 1, 4'294'967'000).base() == 4'294'967'000U);
}

// Guards against a record of a former version that cannot be read: it has no limit.
BOOST_AUTO_TEST_CASE(recordOfAnEarlierVersionStartsAtTheRangeOfTheEpoch)
{
    const RunNumbers numbers = RunNumbers::forKnownJob(9, 0);
    BOOST_TEST(numbers.base() == 9'000U);
    BOOST_TEST(numbers.hasNext(9'999));
    BOOST_TEST(!numbers.hasNext(10'000));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace turmericwell
