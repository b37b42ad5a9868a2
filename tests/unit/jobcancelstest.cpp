// Cancels that hold for later owners of the partition as well.
#include "unit/jobschedulerfixture.h"

#include <boost/test/unit_test.hpp>

namespace turmericwell {

struct JobCancelsFixture : JobSchedulerFixture
{
    JobCancelsFixture() { load(); }

    void cancel(JobId id)
    {
        scheduler.cancel(id, {.wait = {10'000}}, now,
                         [this](const JobReply &reply) { cancelled.push_back(reply.status); });
        scheduler.advance(now);
    }

    std::vector<fleet::CallStatus> cancelled;
};

// The next owner, which has loaded these records.
struct NextOwner : JobSchedulerFixture
{
    explicit NextOwner(const std::vector<RecordedWrite> &records)
        : JobSchedulerFixture(2)
    {
        for (const RecordedWrite &record : records)
            scheduler.loadRecord(0, record.job, record.value, now);
        load();
    }

    // Submits job 1, which must not run, and returns the answer.
    JobReply submitJob(bool bestEffort)
    {
        submit(job(1, 1, bestEffort));
        storeAll();
        BOOST_TEST(effects.starts.empty());
        BOOST_TEST_REQUIRE(replies.size() == 1U);
        return replies[0];
    }
};

BOOST_AUTO_TEST_SUITE(jobCancels)

// Guards against a job that runs after its cancel was answered: the owner that had answered was gone when the
// submission arrived, and the next one did not know of the cancel (review/12).
BOOST_FIXTURE_TEST_CASE(cancelOfAnUnknownJobHoldsForTheNextOwner, JobCancelsFixture)
{
    cancel(1);
    // The cancel is not acknowledged before it is stored.
    BOOST_TEST(cancelled.empty());
    BOOST_TEST_REQUIRE(effects.records.size() == 1U);
    NextOwner next(effects.records);
    BOOST_TEST((next.submitJob(true).status == fleet::CallStatus::NotKnown));
    // Nobody had submitted the job before its cancel.
    BOOST_TEST((next.scheduler.query(1).status == fleet::CallStatus::NotKnown));
    BOOST_TEST((NextOwner(effects.records).submitJob(false).status == fleet::CallStatus::Refused));
    storeAll();
    BOOST_TEST_REQUIRE(cancelled.size() == 1U);
    BOOST_TEST((cancelled[0] == fleet::CallStatus::NotKnown));
    // Once it is stored, a repeated cancel is answered at once.
    cancel(1);
    BOOST_TEST(cancelled.size() == 2U);
    BOOST_TEST(effects.records.empty());
}

// Guards against the same for a best-effort job that the owner knows: such jobs are not stored, and neither
// was their cancel.
BOOST_FIXTURE_TEST_CASE(cancelOfABestEffortJobHoldsForTheNextOwner, JobCancelsFixture)
{
    submit(job(1, 1, true));
    cancel(1);
    BOOST_TEST(cancelled.empty());
    BOOST_TEST_REQUIRE(effects.records.size() == 1U);
    BOOST_TEST((NextOwner(effects.records).submitJob(true).status == fleet::CallStatus::NotKnown));
    storeAll();
    BOOST_TEST(cancelled.size() == 1U);
}

// Guards against the same for a best-effort job that has ended before its cancel: a submission that waits at
// another entry would make the next owner run it again (day 970039 of tests/process/test_emulation.py).
BOOST_FIXTURE_TEST_CASE(cancelOfAnEndedBestEffortJobHoldsForTheNextOwner, JobCancelsFixture)
{
    submit(job(1, 1, true));
    startAll();
    end(effects.starts[0], EndKind::Done);
    BOOST_TEST_REQUIRE(effects.records.empty());
    cancel(1);
    BOOST_TEST(cancelled.empty());
    BOOST_TEST_REQUIRE(effects.records.size() == 1U);
    BOOST_TEST((NextOwner(effects.records).submitJob(true).phase == JobPhase::Completed));
    storeAll();
    BOOST_TEST_REQUIRE(cancelled.size() == 1U);
    BOOST_TEST((cancelled[0] == fleet::CallStatus::Done));
}

// Guards against runs of a cancelled job that go on while its cancel cannot be stored.
BOOST_FIXTURE_TEST_CASE(runsOfABestEffortJobAreStoppedBeforeItsCancelIsStored, JobCancelsFixture)
{
    submit(job(1, 1, true));
    startAll();
    cancel(1);
    BOOST_TEST(effects.stops.size() == 1U);
}

// Guards against an acknowledged cancel that is forgotten: a cancel that the store did not take is refused,
// and one that comes again is stored anew.
BOOST_FIXTURE_TEST_CASE(cancelThatCannotBeStoredIsRefused, JobCancelsFixture)
{
    cancel(1);
    BOOST_TEST_REQUIRE(effects.records.size() == 1U);
    BOOST_TEST(effects.records[0].mayDrop);
    storeAll(StoreOutcome::NotStored);
    BOOST_TEST_REQUIRE(cancelled.size() == 1U);
    BOOST_TEST((cancelled[0] == fleet::CallStatus::Refused));
    cancel(1);
    BOOST_TEST(cancelled.size() == 1U);
    storeAll();
    BOOST_TEST_REQUIRE(cancelled.size() == 2U);
    BOOST_TEST((cancelled[1] == fleet::CallStatus::NotKnown));
}

// Guards against a caller that gets no answer because the partition moves while its cancel is being stored.
BOOST_FIXTURE_TEST_CASE(cancelIsAnsweredWhenThePartitionMoves, JobCancelsFixture)
{
    cancel(1);
    scheduler.closePartition(0, now);
    BOOST_TEST_REQUIRE(cancelled.size() == 1U);
    BOOST_TEST((cancelled[0] == fleet::CallStatus::Unknown));
}

// Guards against records of cancels that stay in the store for good.
BOOST_FIXTURE_TEST_CASE(recordOfACancelIsDeletedAfterTheRetention, JobCancelsFixture)
{
    cancel(1);
    storeAll();
    now += JobSchedulerOptions().retention + Millis{1'000};
    scheduler.advance(now);
    BOOST_TEST_REQUIRE(effects.records.size() == 1U);
    BOOST_TEST(effects.records[0].value.empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace turmericwell
