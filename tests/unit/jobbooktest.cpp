// Job book: durability before answers, ends, failures, hand-over and recovery.
#include "unit/jobbookfixture.h"

#include <boost/test/unit_test.hpp>

namespace turmericwell {

BOOST_AUTO_TEST_SUITE(JobBookTest)

// Guards against an accepted job that is lost when the machines lose power right after the answer.
BOOST_FIXTURE_TEST_CASE(jobIsAnsweredAndStartedOnlyOnceStored, JobBookFixture)
{
    load();
    submit(job(1, 2, false));
    BOOST_TEST(replies.empty());
    BOOST_TEST(effects.starts.empty());
    storeAll();
    BOOST_TEST_REQUIRE(replies.size() == 1U);
    BOOST_TEST((replies[0].status == fleet::CallStatus::Done));
    BOOST_TEST(effects.starts.size() == 2U);
}

// Guards against a refusal that is not true: the record must never be stored afterwards.
BOOST_FIXTURE_TEST_CASE(jobThatCannotBeStoredIsRefusedAndNeverRuns, JobBookFixture)
{
    load();
    submit(job(1, 2, false));
    BOOST_TEST(effects.records[0].mayDrop);
    storeAll(StoreOutcome::NotStored);
    BOOST_TEST_REQUIRE(replies.size() == 1U);
    BOOST_TEST((replies[0].status == fleet::CallStatus::Refused));
    BOOST_TEST(effects.starts.empty());
    BOOST_TEST((book.query(1).status == fleet::CallStatus::NotKnown));
}

// Guards against two jobs from one identifier.
BOOST_FIXTURE_TEST_CASE(resubmissionIsTheSameJob, JobBookFixture)
{
    load();
    submit(job(1, 2, false));
    submit(job(1, 2, false));
    storeAll();
    submit(job(1, 2, false));
    BOOST_TEST(replies.size() == 3U);
    BOOST_TEST(effects.starts.size() == 2U);
}

// Guards against an end that the worker forgets while no record of it is stored, and against a job that is
// shown as completed before that.
BOOST_FIXTURE_TEST_CASE(endIsConfirmedAndShownOnlyOnceStored, JobBookFixture)
{
    load();
    submitAndStart(1, 1);
    end(effects.starts[0], EndKind::Done);
    BOOST_TEST(effects.confirmed.empty());
    BOOST_TEST((book.query(1).phase == JobPhase::Active));
    storeAll();
    BOOST_TEST(effects.confirmed.size() == 1U);
    BOOST_TEST((book.query(1).phase == JobPhase::Completed));
}

// Guards against a task that counts as done by a run after which it was started again (soak seed 1): the end
// was not known to the owner, which was cut off from the agent and ordered the task elsewhere.
BOOST_FIXTURE_TEST_CASE(endOfARunThatWasOrderedAgainIsDisputed, JobBookFixture)
{
    load();
    submitAndStart(1, 1);
    const RecordedEffects::Start first = effects.starts[0];
    book.agentGone(first.agent, now);
    book.advance(now);
    BOOST_TEST_REQUIRE(effects.starts.size() == 2U);
    const std::vector<AgentEnd> listed = {{.run = first.run, .kind = EndKind::Done}};
    book.claimReport(first.agent, 0, *book.epochOf(0), {}, listed, now);
    // Before the end is stored: the next owner would not know that it is disputed (soak seed 3201).
    BOOST_TEST_REQUIRE(effects.disputed.size() == 1U);
    BOOST_TEST((effects.disputed[0] == first.run));
}

// Guards against the same when the second run has completed the job before the first end becomes known.
BOOST_FIXTURE_TEST_CASE(endOfARunThatWasOrderedAgainIsDisputedAfterTheJob, JobBookFixture)
{
    load();
    submitAndStart(1, 1);
    const RecordedEffects::Start first = effects.starts[0];
    book.agentGone(first.agent, now);
    book.advance(now);
    startAll();
    end(effects.starts.back(), EndKind::Done);
    storeAll();
    BOOST_TEST(effects.disputed.empty());
    end(first, EndKind::Done);
    BOOST_TEST(effects.disputed.size() == 1U);
}

// Guards against the same with a new owner in between, which knows of the second run only from the record.
BOOST_FIXTURE_TEST_CASE(nextOwnerDisputesAnEndAfterTheJob, JobBookFixture)
{
    load();
    submitAndStart(1, 1);
    const RecordedEffects::Start first = effects.starts[0];
    book.agentGone(first.agent, now);
    book.advance(now);
    startAll();
    storeAll();
    end(effects.starts.back(), EndKind::Done);
    BOOST_TEST_REQUIRE(effects.records.size() == 1U);
    JobBookFixture next(2);
    next.book.loadRecord(0, 1, effects.records[0].value, next.now);
    next.load();
    next.end(first, EndKind::Done);
    BOOST_TEST(next.effects.disputed.size() == 1U);
}

// Guards against the same while the job is not finished, and against disputing the ends of its other tasks,
// which keeps all later ends of their workers back.
BOOST_FIXTURE_TEST_CASE(nextOwnerDisputesAnEndOfAnUnfinishedJob, JobBookFixture)
{
    load();
    submitAndStart(1, 2);
    BOOST_TEST_REQUIRE(effects.starts.size() == 2U);
    const RecordedEffects::Start first = effects.starts[0];
    const RecordedEffects::Start second = effects.starts[1];
    BOOST_TEST_REQUIRE(first.agent != second.agent);
    book.agentGone(first.agent, now);
    book.advance(now);
    BOOST_TEST_REQUIRE(effects.starts.size() == 3U);
    BOOST_TEST_REQUIRE(effects.records.size() == 1U);
    JobBookFixture next(2);
    next.book.loadRecord(0, 1, effects.records[0].value, next.now);
    next.load(false);
    next.end(second, EndKind::Done);
    BOOST_TEST(next.effects.disputed.empty());
    next.end(first, EndKind::Done);
    BOOST_TEST_REQUIRE(next.effects.disputed.size() == 1U);
    BOOST_TEST((next.effects.disputed[0] == first.run));
}

// Guards against a task that runs again under a new owner: an agent that connects again lists an end that its
// owner knows and has not stored yet, and must not take it for stored.
BOOST_FIXTURE_TEST_CASE(endThatIsListedAgainIsNotConfirmedBeforeItIsStored, JobBookFixture)
{
    load();
    submitAndStart(1, 2);
    const RecordedEffects::Start first = effects.starts[0];
    end(first, EndKind::Done);
    book.agentDisconnected(first.agent);
    const std::vector<AgentEnd> listed = {{.run = first.run, .kind = EndKind::Done}};
    book.claimReport(first.agent, 0, *book.epochOf(0), {}, listed, now);
    BOOST_TEST(effects.confirmed.empty());
    now += Millis{1'100};
    book.advance(now);
    storeAll();
    BOOST_TEST_REQUIRE(!effects.confirmed.empty());
    BOOST_TEST((effects.confirmed[0] == first.run));
}

// Guards against ends of unfinished jobs that stay unconfirmed.
BOOST_FIXTURE_TEST_CASE(progressOfAnUnfinishedJobIsStoredAfterTheDelay, JobBookFixture)
{
    load();
    submitAndStart(1, 2);
    end(effects.starts[0], EndKind::Done);
    BOOST_TEST(effects.records.empty());
    now += Millis{1'100};
    book.advance(now);
    storeAll();
    BOOST_TEST(effects.confirmed.size() == 1U);
}

// Guards against more failed runs than the queue allows.
BOOST_FIXTURE_TEST_CASE(jobFailsAfterTheAllowedAttempts, JobBookFixture)
{
    load();
    submitAndStart(1, 1);
    end(effects.starts[0], EndKind::Failed);
    BOOST_TEST_REQUIRE(effects.starts.size() == 2U);
    BOOST_TEST(effects.starts[1].run.number == 2U);
    end(effects.starts[1], EndKind::Failed);
    storeAll();
    BOOST_TEST(effects.starts.size() == 2U);
    BOOST_TEST((book.query(1).phase == JobPhase::Failed));
}

// Guards against a job that fails for good on one bad worker: the room that its fast failures leave attracts
// the next try.
BOOST_FIXTURE_TEST_CASE(failedTaskIsTriedOnAnotherWorker, JobBookFixture)
{
    load();
    // The other worker is full until later.
    pool.report(2, workerWith(0));
    submitAndStart(1, 1);
    BOOST_TEST_REQUIRE(effects.starts.size() == 1U);
    BOOST_TEST(effects.starts[0].agent == 1U);
    end(effects.starts[0], EndKind::Failed);
    BOOST_TEST(effects.starts.size() == 1U);
    pool.report(2, workerWith(4'000));
    now += Millis{10};
    book.advance(now);
    BOOST_TEST_REQUIRE(effects.starts.size() == 2U);
    BOOST_TEST(effects.starts[1].agent == 2U);
}

// Guards against a task that waits for ever, or too long, for a worker that is not there.
BOOST_FIXTURE_TEST_CASE(failedTaskIsTriedOnTheSameWorkerIfThereIsNoOther, JobBookFixture)
{
    load();
    pool.remove(2);
    submitAndStart(1, 1);
    end(effects.starts[0], EndKind::Failed);
    BOOST_TEST(effects.starts.size() == 2U);
}

// Guards against a late task that waits for a worker that stays full.
BOOST_FIXTURE_TEST_CASE(lateTaskIsTriedWhereverThereIsRoom, JobBookFixture)
{
    load();
    pool.report(2, workerWith(0));
    submitAndStart(1, 1);
    end(effects.starts[0], EndKind::Failed);
    BOOST_TEST(effects.starts.size() == 1U);
    now += Millis{1'000};
    book.advance(now);
    BOOST_TEST(effects.starts.size() == 2U);
}

// Guards against an end that is listed again, as after a restart of its agent, and counts twice.
BOOST_FIXTURE_TEST_CASE(failureThatIsReportedAgainCountsOnce, JobBookFixture)
{
    load();
    submitAndStart(1, 1);
    const auto first = effects.starts[0];
    end(first, EndKind::Failed);
    end(first, EndKind::Failed);
    BOOST_TEST((book.query(1).phase == JobPhase::Active));
    BOOST_TEST(effects.starts.size() == 2U);
}

// Guards against a cancel that is acknowledged before it is stored, and against runs that go on after it.
BOOST_FIXTURE_TEST_CASE(cancelIsStoredThenStopsTheRuns, JobBookFixture)
{
    load();
    submitAndStart(1, 2);
    replies.clear();
    book.cancel(1, now, [this](JobReply reply) { replies.push_back(std::move(reply)); });
    BOOST_TEST(replies.empty());
    storeAll();
    BOOST_TEST_REQUIRE(replies.size() == 1U);
    BOOST_TEST((replies[0].phase == JobPhase::Cancelled));
    BOOST_TEST(effects.stops.size() == 2U);
}

// Guards against a second run of a task whose run goes on at an agent that the new owner has not heard of
// yet.
BOOST_FIXTURE_TEST_CASE(loadedJobWaitsForTheReportsOfAllAgents, JobBookFixture)
{
    JobRecord record;
    record.spec = std::make_unique<JobSpec>(job(1, 2, false));
    book.loadRecord(0, 1, encodeJobRecord(record), now);
    load(false);
    BOOST_TEST(effects.starts.empty());
    const RunId running{.task = {.job = 1, .index = 0}, .number = 1};
    book.claimReport(1, 0, 1, std::span(&running, 1), {}, now);
    book.advance(now);
    BOOST_TEST(effects.starts.empty());
    book.claimReport(2, 0, 1, {}, {}, now);
    book.advance(now);
    BOOST_TEST_REQUIRE(effects.starts.size() == 1U);
    BOOST_TEST(effects.starts[0].run.task.index == 1U);
    BOOST_TEST(effects.sized.size() == 1U);
}

// Guards against a second run of a task: the end of a failed run, which the next owner hears of first, says
// nothing of a later run (turmericwell emulate --first-seed 2152 --troubles 14 --kept-share 0.5).
BOOST_FIXTURE_TEST_CASE(failureOfAFormerRunDoesNotLocateItsTask, JobBookFixture)
{
    JobRecord record;
    record.spec = std::make_unique<JobSpec>(job(1, 1, false));
    book.loadRecord(0, 1, encodeJobRecord(record), now);
    load(false);
    const TaskId task{.job = 1};
    const std::vector<AgentEnd> failed = {{.run = {.task = task, .number = 1}, .kind = EndKind::Failed}};
    book.claimReport(1, 0, 1, {}, failed, now);
    book.advance(now);
    BOOST_TEST(effects.starts.empty());
    // The former owner had tried the task again at the other agent.
    const RunId running{.task = task, .number = 2};
    book.claimReport(2, 0, 1, std::span(&running, 1), {}, now);
    book.advance(now);
    BOOST_TEST(effects.starts.empty());
    BOOST_TEST(effects.stops.empty());
}

// Guards against a wait without end for an agent that is gone for good.
BOOST_FIXTURE_TEST_CASE(loadedJobStartsWhenNoFormerRunCanBeLeft, JobBookFixture)
{
    JobRecord record;
    record.spec = std::make_unique<JobSpec>(job(1, 1, false));
    book.loadRecord(0, 1, encodeJobRecord(record), now);
    load(false);
    book.claimReport(1, 0, 1, {}, {}, now);
    now += Millis{2'499};
    book.advance(now);
    BOOST_TEST(effects.starts.empty());
    now += Millis{1};
    book.advance(now);
    BOOST_TEST(effects.starts.size() == 1U);
}

// Guards against run numbers that do not rise after everything lost power.
BOOST_AUTO_TEST_CASE(runNumbersRiseOverOwners)
{
    JobBookFixture first(1);
    first.load();
    first.submit(JobBookFixture::job(1, 1, false));
    first.storeAll();
    JobBookFixture second(7);
    JobRecord record;
    record.spec = std::make_unique<JobSpec>(JobBookFixture::job(1, 1, false));
    second.book.loadRecord(0, 1, encodeJobRecord(record), second.now);
    second.load();
    BOOST_TEST_REQUIRE(second.effects.starts.size() == 1U);
    BOOST_TEST(second.effects.starts[0].run.number > first.effects.starts[0].run.number);
}

// Guards against a second run of a best-effort job that is submitted again to the owner's successor.
BOOST_FIXTURE_TEST_CASE(resubmittedBestEffortJobTakesOverItsRuns, JobBookFixture)
{
    book.loaded(0, now);
    book.setExpectedAgents({1, 2}, true);
    const RunId running{.task = {.job = 1, .index = 0}, .number = 1};
    book.claimReport(1, 0, 1, std::span(&running, 1), {}, now);
    submit(job(1, 2, true), true);
    BOOST_TEST(effects.starts.empty());
    book.claimReport(2, 0, 1, {}, {}, now);
    book.advance(now);
    BOOST_TEST_REQUIRE(effects.starts.size() == 1U);
    BOOST_TEST(effects.starts[0].run.task.index == 1U);
    BOOST_TEST(effects.stops.empty());
}

// Guards against a run that goes on unknown: its job was refused for want of room for the other tasks,
// submitted once more and started from the beginning (turmericwell emulate --site qalhat --first-seed 1132
// --troubles 14).
BOOST_FIXTURE_TEST_CASE(jobThatTookOverARunIsNotRefused, JobBookFixture)
{
    book.loaded(0, now);
    book.setExpectedAgents({1, 2}, true);
    const RunId running{.task = {.job = 1, .index = 0}, .number = 1};
    book.claimReport(1, 0, 1, std::span(&running, 1), {}, now);
    submit(job(1, 2, true), true);
    now += Millis{500};
    book.advance(now);
    BOOST_TEST(replies.empty());
    book.claimReport(2, 0, 1, {}, {}, now);
    book.advance(now);
    BOOST_TEST_REQUIRE(effects.starts.size() == 1U);
    BOOST_TEST(effects.starts[0].run.task.index == 1U);
}

// Guards against a stop of the whole service while one agent cannot be reached after a change of owner: a job
// that is new to the client's entry cannot have a run that still goes on, unless it is long.
BOOST_FIXTURE_TEST_CASE(newBestEffortJobsStartBeforeAllAgentsHaveReported, JobBookFixture)
{
    book.loaded(0, now);
    book.setExpectedAgents({1, 2}, true);
    book.claimReport(1, 0, 1, {}, {}, now);
    submit(job(1, 1, true));
    BOOST_TEST_REQUIRE(effects.starts.size() == 1U);
    BOOST_TEST(effects.starts[0].agent == 1U);
    submit(job(2, 1, true), true);
    JobSpec longJob = job(3, 1, true);
    longJob.steps[0]->estimate_ms = 900;
    submit(std::move(longJob));
    BOOST_TEST(effects.starts.size() == 1U);
    book.claimReport(2, 0, 1, {}, {}, now);
    book.advance(now);
    BOOST_TEST(effects.starts.size() == 3U);
}

// Guards against runs that nobody asks for any longer.
BOOST_FIXTURE_TEST_CASE(runOfAnUnknownJobIsStoppedWhenNobodySubmitsItAgain, JobBookFixture)
{
    load();
    const RunId running{.task = {.job = 1, .index = 0}, .number = 1};
    book.claimReport(1, 0, 1, std::span(&running, 1), {}, now);
    book.advance(now);
    BOOST_TEST(effects.stops.empty());
    now += Millis{700};
    book.advance(now);
    BOOST_TEST(effects.stops.size() == 1U);
    // A late submission still waits for the end of the run that is being stopped.
    submit(job(1, 1, true));
    BOOST_TEST(effects.starts.empty());
    end({.agent = 1, .run = running}, EndKind::Stopped);
    BOOST_TEST(effects.starts.size() == 1U);
}

// Guards against best-effort jobs that are lost when their partition is handed over as planned.
BOOST_FIXTURE_TEST_CASE(handOverStoresBestEffortJobs, JobBookFixture)
{
    load();
    submit(job(1, 2, true));
    BOOST_TEST(effects.records.empty());
    startAll();
    end(effects.starts[0], EndKind::Done);
    book.freezePartition(0, now);
    BOOST_TEST_REQUIRE(effects.records.size() == 1U);
    const std::optional<JobRecord> record = decodeJobRecord(effects.records[0].value);
    BOOST_TEST_REQUIRE(record.has_value());
    BOOST_TEST(record->done_tasks.size() == 1U);
    book.closePartition(0, now);
    BOOST_TEST_REQUIRE(replies.size() == 1U);
    BOOST_TEST((replies[0].status == fleet::CallStatus::Unknown));
}

// Guards against work for callers that have left, which takes the room of others.
BOOST_FIXTURE_TEST_CASE(bestEffortJobEndsWithItsLastCaller, JobBookFixture)
{
    load();
    submit(job(1, 1, true));
    startAll();
    now += Millis{2'100};
    book.advance(now);
    book.advance(now);
    BOOST_TEST(effects.stops.size() >= 1U);
    BOOST_TEST(book.activeJobs() == 0U);
}

// Guards against orders to an agent that knows another owner, which it rejects one after the other.
BOOST_FIXTURE_TEST_CASE(supersededOwnerOrdersNothingMore, JobBookFixture)
{
    load();
    submit(job(1, 1, true));
    BOOST_TEST_REQUIRE(effects.starts.size() == 1U);
    const auto first = effects.starts[0];
    book.runRejected(first.agent, first.run, RejectReason::Superseded, now);
    book.advance(now);
    BOOST_TEST_REQUIRE(effects.starts.size() == 2U);
    BOOST_TEST(effects.starts[1].agent != first.agent);
    book.runRejected(effects.starts[1].agent, effects.starts[1].run, RejectReason::Superseded, now);
    book.advance(now);
    BOOST_TEST(effects.starts.size() == 2U);
}

// Guards against jobs that stay on a worker that has turned slow while a sound one has room.
BOOST_FIXTURE_TEST_CASE(slowRunsAreMovedToASoundWorker, JobBookFixture)
{
    load();
    pool.report(2, workerWith(0));
    submit(job(1, 2, true));
    startAll();
    BOOST_TEST_REQUIRE(effects.starts.size() == 2U);
    pool.report(2, workerWith(4'000));
    now += Millis{260};
    book.advance(now);
    now += Millis{40};
    book.advance(now);
    BOOST_TEST_REQUIRE(effects.stops.size() == 2U);
    BOOST_TEST(effects.starts.size() == 2U);
    end(effects.starts[0], EndKind::Stopped);
    BOOST_TEST_REQUIRE(effects.starts.size() == 3U);
    BOOST_TEST(effects.starts[2].agent == 2U);
}

// Guards against an accepted job that never completes: the worker on which its task stood still had the only
// room when the task was started again, until no move was left (turmericwell emulate --first-seed 60039
// --troubles 16).
BOOST_FIXTURE_TEST_CASE(runThatStoodStillDoesNotGoBack, JobBookFixture)
{
    load();
    submitAndStart(1, 1);
    const AgentNumber bad = effects.starts[0].agent;
    const AgentNumber good = 3 - bad;
    now += Millis{1'000};
    book.advance(now);
    BOOST_TEST_REQUIRE(effects.stops.size() == 1U);
    pool.report(good, workerWith(0));
    end(effects.starts[0], EndKind::Stopped);
    BOOST_TEST(effects.starts.size() == 1U);
    pool.report(good, workerWith(4'000));
    now += Millis{10};
    book.advance(now);
    BOOST_TEST_REQUIRE(effects.starts.size() == 2U);
    BOOST_TEST(effects.starts[1].agent == good);
}

// Guards against work that is thrown away because one task takes longer than declared.
BOOST_FIXTURE_TEST_CASE(longRunStaysOnASoundWorker, JobBookFixture)
{
    load();
    submit(job(1, 1, true));
    startAll();
    now += Millis{500};
    book.advance(now);
    BOOST_TEST(effects.stops.empty());
    now += Millis{110};
    book.advance(now);
    BOOST_TEST(effects.stops.size() == 1U);
}

// Guards against jobs that are admitted under overload and end late: 60 jobs ask for eight processors at
// once.
BOOST_FIXTURE_TEST_CASE(overloadRefusesWhatWouldBeLate, JobBookFixture)
{
    load();
    for (JobId id = 1; id <= 60; ++id)
        submit(job(id, 4, true));
    const auto refused = std::count_if(replies.begin(), replies.end(), [](const JobReply &reply) {
        return reply.status == fleet::CallStatus::Refused;
    });
    // Two jobs run at once; 100 ms of work for each wave, and a slack of 100 ms of which 30% may be waited.
    BOOST_TEST(refused >= 55);
    BOOST_TEST(refused <= 57);
    BOOST_TEST(replies[0].retryAfter.count >= 1'000);
}

// Guards against refusals while workers are free, because of work that waits for other reasons.
BOOST_FIXTURE_TEST_CASE(freeRoomAdmitsWhateverWaits, JobBookFixture)
{
    load();
    book.setPeersWaitingCpuMilli(100'000);
    submit(job(1, 4, true));
    BOOST_TEST(replies.empty());
    BOOST_TEST(effects.starts.size() == 4U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace turmericwell
