// Tests of the causes that an emulated day names for jobs that were not served.
#include "emulator/unservedjobs.h"

#include <boost/test/unit_test.hpp>

namespace turmericwell {

namespace {

// One worker of two processors, and jobs of one task that need one each. Job 1 is kept and never runs.
struct UnservedFixture
{
    UnservedFixture()
    {
        options.size.agents = 1;
        options.workerCapacity = {2'000, 2'000, 0};
        options.traffic.kinds = {{.queue = "q", .tasks = 1, .meanRunTime = {100}, .cpuMilli = 1'000}};
        record.end = Millis{10'000};
        record.jobs = {{.job = 1, .isKept = true, .onlyRefused = false, .acceptedAt = Millis{100}}};
    }

    void run(JobId job, int64_t from, int64_t to, RunEventKind end, uint32_t number = 1)
    {
        const RunId id{.task = {.job = job}, .number = number};
        record.runs.push_back({.at = {from}, .kind = RunEventKind::Started, .run = id});
        record.runs.push_back({.at = {to}, .kind = end, .run = id});
    }

    // Adds jobs that together use the worker from `from` to `to`.
    void useWorker(int64_t from, int64_t to)
    {
        for (const JobId job : {8, 9}) {
            record.jobs.push_back({.job = job, .onlyRefused = false, .completedAt = Millis{to}});
            run(job, from, to, RunEventKind::Done);
        }
    }

    UnservedCounts count() const { return countUnserved(record, options); }

    EmulationOptions options;
    EmulationRecord record;
};

} // namespace

BOOST_AUTO_TEST_SUITE(UnservedJobsTest)

// Guards against a served or cancelled job that is counted as unserved.
BOOST_FIXTURE_TEST_CASE(completedAndCancelledJobsAreNotCounted, UnservedFixture)
{
    run(1, 200, 300, RunEventKind::Done);
    record.jobs.push_back({.job = 2, .isKept = true, .acceptedAt = Millis{100}, .cancelSent = true});
    BOOST_TEST((count() == UnservedCounts{}));
}

// Guards against a job that stands still beside free workers and is taken for one that waits for capacity.
BOOST_FIXTURE_TEST_CASE(jobBesideFreeWorkersStandsStill, UnservedFixture)
{
    BOOST_TEST((count() == UnservedCounts{.standingStill = 1, .exampleOfStandingStill = 1}));
    useWorker(2'400, 7'600);
    BOOST_TEST((count() == UnservedCounts{.withoutCapacity = 1}));
}

// Guards against a job that counts as standing still while a trouble keeps it from running.
BOOST_FIXTURE_TEST_CASE(jobThatWaitsDuringATroubleDoesNotStandStill, UnservedFixture)
{
    options.plan = {{Millis{2'900}, Millis{4'200}, CrashWorker{}}};
    BOOST_TEST((count() == UnservedCounts{.duringTrouble = 1}));
}

// Guards against a job that ran, and whose answer was lost, that is taken for one that waited.
BOOST_FIXTURE_TEST_CASE(jobWhoseAnswerIsLostIsNamedAsSuch, UnservedFixture)
{
    record.jobs[0] = {.job = 1, .onlyRefused = false};
    run(1, 100, 5'900, RunEventKind::Done);
    BOOST_TEST((count() == UnservedCounts{.withoutAnswer = 1}));
}

// Guards against failed and refused jobs that count as standing still.
BOOST_FIXTURE_TEST_CASE(refusedAndFailedJobsAreNamedAsSuch, UnservedFixture)
{
    for (uint32_t number = 1; number <= failedRunsAllowed; ++number)
        run(1, number * 100, number * 100 + 50, RunEventKind::Failed, number);
    record.jobs.push_back({.job = 2, .onlyRefused = true});
    BOOST_TEST((count() == UnservedCounts{.refused = 1, .failed = 1}));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace turmericwell
