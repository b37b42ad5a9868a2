// Tests of JobScheduler: durability before answers, ends of runs, failures, handover and recovery.
#include "unit/jobschedulerfixture.h"

#include "observe/metrics.h"

#include <array>
#include <boost/test/unit_test.hpp>

namespace turmericwell {

BOOST_AUTO_TEST_SUITE(JobSchedulerTest)

// Guards against the loss of an accepted job when the machines lose power right after the answer.
BOOST_FIXTURE_TEST_CASE(jobIsAnsweredAndStartedOnlyOnceStored, JobSchedulerFixture)
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

// Guards against a rejected job that is stored later: after the rejection its record must never be stored.
BOOST_FIXTURE_TEST_CASE(jobThatCannotBeStoredIsRejectedAndNeverRuns, JobSchedulerFixture)
{
    load();
    submit(job(1, 2, false));
    BOOST_TEST(effects.records[0].mayDrop);
    storeAll(StoreOutcome::NotStored);
    BOOST_TEST_REQUIRE(replies.size() == 1U);
    BOOST_TEST((replies[0].status == fleet::CallStatus::Refused));
    BOOST_TEST(effects.starts.empty());
    BOOST_TEST((scheduler.query(1).status == fleet::CallStatus::NotKnown));
}

// Guards against two jobs with the same identifier.
BOOST_FIXTURE_TEST_CASE(resubmissionIsTheSameJob, JobSchedulerFixture)
{
    load();
    submit(job(1, 2, false));
    submit(job(1, 2, false));
    storeAll();
    submit(job(1, 2, false));
    BOOST_TEST(replies.size() == 3U);
    BOOST_TEST(effects.starts.size() == 2U);
}

// Guards against a worker that discards an end before a record of it is stored, and against a job that is
// reported as completed before then.
BOOST_FIXTURE_TEST_CASE(endIsConfirmedAndShownOnlyOnceStored, JobSchedulerFixture)
{
    load();
    submitAndStart(1, 1);
    end(effects.starts[0], EndKind::Done);
    BOOST_TEST(effects.confirmed.empty());
    BOOST_TEST((scheduler.query(1).phase == JobPhase::Active));
    storeAll();
    BOOST_TEST(effects.confirmed.size() == 1U);
    BOOST_TEST((scheduler.query(1).phase == JobPhase::Completed));
}

// Guards against a task that becomes done through a superseded run (soak seed 1): the owner lost contact to
// the agent, did not learn of the run's end and ordered the task again at another agent.
BOOST_FIXTURE_TEST_CASE(endOfARunThatWasOrderedAgainIsDisputed, JobSchedulerFixture)
{
    load();
    submitAndStart(1, 1);
    const RecordedEffects::Start first = effects.starts[0];
    scheduler.agentGone(first.agent, now);
    scheduler.advance(now);
    storeAll();
    BOOST_TEST_REQUIRE(effects.starts.size() == 2U);
    const std::vector<AgentEnd> listed = {{.run = first.run, .kind = EndKind::Done}};
    scheduler.claimReport(first.agent, 0, *scheduler.epochOf(0), {}, listed, now);
    // The end must be disputed before it is stored, since the next owner cannot know of the dispute (soak
    // seed 3201).
    BOOST_TEST_REQUIRE(effects.disputed.size() == 1U);
    BOOST_TEST((effects.disputed[0] == first.run));
}

// Guards against an undisputed end of a superseded run if the second run completes the job before that end is
// reported.
BOOST_FIXTURE_TEST_CASE(endOfARunThatWasOrderedAgainIsDisputedAfterTheJob, JobSchedulerFixture)
{
    load();
    submitAndStart(1, 1);
    const RecordedEffects::Start first = effects.starts[0];
    scheduler.agentGone(first.agent, now);
    scheduler.advance(now);
    storeAll();
    startAll();
    end(effects.starts.back(), EndKind::Done);
    storeAll();
    BOOST_TEST(effects.disputed.empty());
    end(first, EndKind::Done);
    BOOST_TEST(effects.disputed.size() == 1U);
}

// Guards against a start after the last allowed attempt (review/7): the only allowed run failed while its
// agent was cut off, the task was ordered again, and the failed end was confirmed later. It arrives while the
// second run is at work, after the job, or at the next owner.
BOOST_FIXTURE_TEST_CASE(failedEndOfARunThatWasOrderedAgainIsDisputed, JobSchedulerFixture)
{
    load();
    JobSpec spec = job(1, 1, false);
    spec.attempts = 1;
    submit(std::move(spec));
    storeAll();
    startAll();
    const RecordedEffects::Start first = effects.starts[0];
    scheduler.agentGone(first.agent, now);
    scheduler.advance(now);
    const std::string record = effects.records.back().value;
    storeAll();
    BOOST_TEST_REQUIRE(effects.starts.size() == 2U);
    JobSchedulerFixture next(2);
    next.scheduler.loadRecord(0, 1, record, next.now);
    next.load(false);
    next.end(first, EndKind::Failed);
    BOOST_TEST(next.effects.disputed.size() == 1U);
    end(first, EndKind::Failed);
    BOOST_TEST_REQUIRE(effects.disputed.size() == 1U);
    BOOST_TEST((effects.disputed[0] == first.run));
}

BOOST_FIXTURE_TEST_CASE(failedEndOfARunThatWasOrderedAgainIsDisputedAfterTheJob, JobSchedulerFixture)
{
    load();
    submitAndStart(1, 1);
    const RecordedEffects::Start first = effects.starts[0];
    scheduler.agentGone(first.agent, now);
    scheduler.advance(now);
    storeAll();
    startAll();
    end(effects.starts.back(), EndKind::Done);
    storeAll();
    end(first, EndKind::Failed);
    BOOST_TEST(effects.disputed.size() == 1U);
}

// Guards against lapses of leases that nobody needs: a failed end that is the task's present run is
// confirmed.
BOOST_FIXTURE_TEST_CASE(failedEndOfThePresentRunIsNotDisputed, JobSchedulerFixture)
{
    load();
    submitAndStart(1, 1);
    end(effects.starts[0], EndKind::Failed);
    BOOST_TEST(effects.disputed.empty());
}

// Guards against an undisputed end of a superseded run after a change of owner: the new owner knows of the
// second run only from the stored record.
BOOST_FIXTURE_TEST_CASE(nextOwnerDisputesAnEndAfterTheJob, JobSchedulerFixture)
{
    load();
    submitAndStart(1, 1);
    const RecordedEffects::Start first = effects.starts[0];
    scheduler.agentGone(first.agent, now);
    scheduler.advance(now);
    storeAll();
    startAll();
    end(effects.starts.back(), EndKind::Done);
    BOOST_TEST_REQUIRE(effects.records.size() == 1U);
    JobSchedulerFixture next(2);
    next.scheduler.loadRecord(0, 1, effects.records[0].value, next.now);
    next.load();
    next.end(first, EndKind::Done);
    BOOST_TEST(next.effects.disputed.size() == 1U);
}

// Guards against an undisputed end of a superseded run after a change of owner while the job is unfinished.
// Also guards against disputed ends of the job's other tasks, which delay all later ends of their workers.
BOOST_FIXTURE_TEST_CASE(nextOwnerDisputesAnEndOfAnUnfinishedJob, JobSchedulerFixture)
{
    load();
    submitAndStart(1, 2);
    BOOST_TEST_REQUIRE(effects.starts.size() == 2U);
    const RecordedEffects::Start first = effects.starts[0];
    const RecordedEffects::Start second = effects.starts[1];
    BOOST_TEST_REQUIRE(first.agent != second.agent);
    scheduler.agentGone(first.agent, now);
    scheduler.advance(now);
    BOOST_TEST_REQUIRE(effects.records.size() == 1U);
    const std::string record = effects.records[0].value;
    storeAll();
    BOOST_TEST_REQUIRE(effects.starts.size() == 3U);
    JobSchedulerFixture next(2);
    next.scheduler.loadRecord(0, 1, record, next.now);
    next.load(false);
    next.end(second, EndKind::Done);
    BOOST_TEST(next.effects.disputed.empty());
    next.end(first, EndKind::Done);
    BOOST_TEST_REQUIRE(next.effects.disputed.size() == 1U);
    BOOST_TEST((next.effects.disputed[0] == first.run));
}

// Guards against a task that runs again under a new owner: a reconnected agent lists an end that the owner
// knows but has not stored yet, and that must not be confirmed as stored.
BOOST_FIXTURE_TEST_CASE(endThatIsListedAgainIsNotConfirmedBeforeItIsStored, JobSchedulerFixture)
{
    load();
    submitAndStart(1, 2);
    const RecordedEffects::Start first = effects.starts[0];
    end(first, EndKind::Done);
    scheduler.agentDisconnected(first.agent);
    const std::vector<AgentEnd> listed = {{.run = first.run, .kind = EndKind::Done}};
    scheduler.claimReport(first.agent, 0, *scheduler.epochOf(0), {}, listed, now);
    BOOST_TEST(effects.confirmed.empty());
    now += Millis{1'100};
    scheduler.advance(now);
    storeAll();
    BOOST_TEST_REQUIRE(!effects.confirmed.empty());
    BOOST_TEST((effects.confirmed[0] == first.run));
}

// Guards against ends of unfinished jobs that are never confirmed.
BOOST_FIXTURE_TEST_CASE(progressOfAnUnfinishedJobIsStoredAfterTheDelay, JobSchedulerFixture)
{
    load();
    submitAndStart(1, 2);
    end(effects.starts[0], EndKind::Done);
    BOOST_TEST(effects.records.empty());
    now += Millis{1'100};
    scheduler.advance(now);
    storeAll();
    BOOST_TEST(effects.confirmed.size() == 1U);
}

// Guards against more failed runs than the queue allows.
BOOST_FIXTURE_TEST_CASE(jobFailsAfterTheAllowedAttempts, JobSchedulerFixture)
{
    load();
    submitAndStart(1, 1);
    end(effects.starts[0], EndKind::Failed);
    BOOST_TEST_REQUIRE(effects.starts.size() == 2U);
    BOOST_TEST(effects.starts[1].run.number == 2U);
    end(effects.starts[1], EndKind::Failed);
    storeAll();
    BOOST_TEST(effects.starts.size() == 2U);
    BOOST_TEST((scheduler.query(1).phase == JobPhase::Failed));
}

// Guards against a job that uses up its attempts on one faulty worker: a worker that fails runs quickly has
// the most free resources and would be chosen for the next attempt.
BOOST_FIXTURE_TEST_CASE(failedTaskIsTriedOnAnotherWorker, JobSchedulerFixture)
{
    load();
    // The second worker has no free processors at first.
    pool.report(2, workerWith(0));
    submitAndStart(1, 1);
    BOOST_TEST_REQUIRE(effects.starts.size() == 1U);
    BOOST_TEST(effects.starts[0].agent == 1U);
    end(effects.starts[0], EndKind::Failed);
    BOOST_TEST(effects.starts.size() == 1U);
    pool.report(2, workerWith(4'000));
    now += Millis{10};
    scheduler.advance(now);
    BOOST_TEST_REQUIRE(effects.starts.size() == 2U);
    BOOST_TEST(effects.starts[1].agent == 2U);
}

// Guards against a task that waits too long or forever for another worker although there is none.
BOOST_FIXTURE_TEST_CASE(failedTaskIsTriedOnTheSameWorkerIfThereIsNoOther, JobSchedulerFixture)
{
    load();
    pool.remove(2);
    submitAndStart(1, 1);
    end(effects.starts[0], EndKind::Failed);
    BOOST_TEST(effects.starts.size() == 2U);
}

// Guards against a late task that waits for a worker that has no free resources.
BOOST_FIXTURE_TEST_CASE(lateTaskIsTriedOnAnyWorkerWithFreeResources, JobSchedulerFixture)
{
    load();
    pool.report(2, workerWith(0));
    submitAndStart(1, 1);
    end(effects.starts[0], EndKind::Failed);
    BOOST_TEST(effects.starts.size() == 1U);
    now += Millis{1'000};
    scheduler.advance(now);
    BOOST_TEST(effects.starts.size() == 2U);
}

// Guards against a failure that is counted twice because its agent reports it again, for example after a
// restart.
BOOST_FIXTURE_TEST_CASE(failureThatIsReportedAgainCountsOnce, JobSchedulerFixture)
{
    load();
    submitAndStart(1, 1);
    const auto first = effects.starts[0];
    end(first, EndKind::Failed);
    end(first, EndKind::Failed);
    BOOST_TEST((scheduler.query(1).phase == JobPhase::Active));
    BOOST_TEST(effects.starts.size() == 2U);
}

// Guards against a cancellation that is acknowledged before it is stored, and against runs that continue
// after it.
BOOST_FIXTURE_TEST_CASE(cancelIsStoredThenStopsTheRuns, JobSchedulerFixture)
{
    load();
    submitAndStart(1, 2);
    replies.clear();
    scheduler.cancel(1, {.wait = Millis{10'000}}, now,
                     [this](JobReply reply) { replies.push_back(std::move(reply)); });
    BOOST_TEST(replies.empty());
    storeAll();
    BOOST_TEST_REQUIRE(replies.size() == 1U);
    BOOST_TEST((replies[0].phase == JobPhase::Cancelled));
    BOOST_TEST(effects.stops.size() == 2U);
}

// Guards against a second run of a task that is still running at an agent that has not yet reported to the
// new owner.
BOOST_FIXTURE_TEST_CASE(loadedJobWaitsForTheReportsOfAllAgents, JobSchedulerFixture)
{
    JobRecord record;
    record.spec = std::make_unique<JobSpec>(job(1, 2, false));
    scheduler.loadRecord(0, 1, encodeJobRecord(record), now);
    load(false);
    BOOST_TEST(effects.starts.empty());
    const RunId running{.task = {.job = 1, .index = 0}, .number = 1};
    scheduler.claimReport(1, 0, 1, std::span(&running, 1), {}, now);
    scheduler.advance(now);
    BOOST_TEST(effects.starts.empty());
    scheduler.claimReport(2, 0, 1, {}, {}, now);
    scheduler.advance(now);
    storeAll();
    BOOST_TEST_REQUIRE(effects.starts.size() == 1U);
    BOOST_TEST(effects.starts[0].run.task.index == 1U);
    BOOST_TEST(effects.sized.size() == 1U);
}

// Guards against a second run of a task: the report of a failed run, which the new owner receives first, does
// not prove that no later run exists (turmericwell emulate --first-seed 2152 --troubles 14 --kept-share 0.5).
BOOST_FIXTURE_TEST_CASE(failureOfAFormerRunDoesNotReconcileItsTask, JobSchedulerFixture)
{
    JobRecord record;
    record.spec = std::make_unique<JobSpec>(job(1, 1, false));
    scheduler.loadRecord(0, 1, encodeJobRecord(record), now);
    load(false);
    const TaskId task{.job = 1};
    const std::vector<AgentEnd> failed = {{.run = {.task = task, .number = 1}, .kind = EndKind::Failed}};
    scheduler.claimReport(1, 0, 1, {}, failed, now);
    scheduler.advance(now);
    BOOST_TEST(effects.starts.empty());
    // The former owner had ordered the task again at the other agent.
    const RunId running{.task = task, .number = 2};
    scheduler.claimReport(2, 0, 1, std::span(&running, 1), {}, now);
    scheduler.advance(now);
    BOOST_TEST(effects.starts.empty());
    BOOST_TEST(effects.stops.empty());
}

// Guards against an endless wait for an agent that does not return.
BOOST_FIXTURE_TEST_CASE(loadedJobStartsWhenNoFormerRunCanExist, JobSchedulerFixture)
{
    JobRecord record;
    record.spec = std::make_unique<JobSpec>(job(1, 1, false));
    scheduler.loadRecord(0, 1, encodeJobRecord(record), now);
    load(false);
    scheduler.claimReport(1, 0, 1, {}, {}, now);
    now += Millis{2'499};
    scheduler.advance(now);
    BOOST_TEST(effects.starts.empty());
    now += Millis{1};
    scheduler.advance(now);
    storeAll();
    BOOST_TEST(effects.starts.size() == 1U);
}

// Guards against run numbers that do not increase after a power loss of all machines.
BOOST_AUTO_TEST_CASE(runNumbersRiseOverOwners)
{
    JobSchedulerFixture first(1);
    first.load();
    first.submit(JobSchedulerFixture::job(1, 1, false));
    first.storeAll();
    JobSchedulerFixture second(7);
    JobRecord record;
    record.spec = std::make_unique<JobSpec>(JobSchedulerFixture::job(1, 1, false));
    second.scheduler.loadRecord(0, 1, encodeJobRecord(record), second.now);
    second.load();
    second.storeAll();
    BOOST_TEST_REQUIRE(second.effects.starts.size() == 1U);
    BOOST_TEST(second.effects.starts[0].run.number > first.effects.starts[0].run.number);
}

// Guards against a second run of a best-effort job that is resubmitted to the next owner.
BOOST_FIXTURE_TEST_CASE(resubmittedBestEffortJobAdoptsItsRuns, JobSchedulerFixture)
{
    scheduler.loaded(0, now);
    scheduler.setExpectedAgents(0, {1, 2}, true);
    const RunId running{.task = {.job = 1, .index = 0}, .number = 1};
    scheduler.claimReport(1, 0, 1, std::span(&running, 1), {}, now);
    submit(job(1, 2, true));
    BOOST_TEST(effects.starts.empty());
    scheduler.claimReport(2, 0, 1, {}, {}, now);
    scheduler.advance(now);
    BOOST_TEST_REQUIRE(effects.starts.size() == 1U);
    BOOST_TEST(effects.starts[0].run.task.index == 1U);
    BOOST_TEST(effects.stops.empty());
}

// Guards against a run that continues untracked: its job was rejected for lack of free resources for its
// other tasks, submitted again and started from the beginning (turmericwell emulate --site qalhat
// --first-seed 1132 --troubles 14).
BOOST_FIXTURE_TEST_CASE(jobThatAdoptedARunIsNotRejected, JobSchedulerFixture)
{
    scheduler.loaded(0, now);
    scheduler.setExpectedAgents(0, {1, 2}, true);
    const RunId running{.task = {.job = 1, .index = 0}, .number = 1};
    scheduler.claimReport(1, 0, 1, std::span(&running, 1), {}, now);
    submit(job(1, 2, true));
    now += Millis{500};
    scheduler.advance(now);
    BOOST_TEST(replies.empty());
    scheduler.claimReport(2, 0, 1, {}, {}, now);
    scheduler.advance(now);
    BOOST_TEST_REQUIRE(effects.starts.size() == 1U);
    BOOST_TEST(effects.starts[0].run.task.index == 1U);
}

// Guards against two runs of a task at the same time: a new owner ordered a short best-effort job at once
// because its estimate and its client's wait suggested that a former run had ended (emulate --site qalhat,
// seed 440038).
BOOST_FIXTURE_TEST_CASE(shortJobWaitsForTheAgentThatMayHoldItsRun, JobSchedulerFixture)
{
    scheduler.loaded(0, now);
    scheduler.setExpectedAgents(0, {1, 2}, true);
    scheduler.claimReport(1, 0, 1, {}, {}, now);
    JobSpec spec = job(1, 1, true);
    spec.steps[0]->estimate_ms = 1;
    submit(std::move(spec));
    BOOST_TEST(effects.starts.empty());
    const RunId running{.task = {.job = 1}, .number = 1};
    scheduler.claimReport(2, 0, 1, std::span(&running, 1), {}, now);
    scheduler.advance(now);
    BOOST_TEST(effects.starts.empty());
    BOOST_TEST(effects.stops.empty());
    end({.agent = 2, .run = running}, EndKind::Done);
    scheduler.advance(now);
    BOOST_TEST_REQUIRE(replies.size() == 1U);
    BOOST_TEST((replies[0].phase == JobPhase::Completed));
}

// Guards against an outage of the partition while one agent is unreachable after a change of owner: jobs
// start once the runs of the former owner have provably ended, and not before.
BOOST_FIXTURE_TEST_CASE(bestEffortJobsStartWhenNoFormerRunCanExist, JobSchedulerFixture)
{
    scheduler.loaded(0, now);
    scheduler.setExpectedAgents(0, {1, 2}, true);
    scheduler.claimReport(1, 0, 1, {}, {}, now);
    now += Millis{2'450};
    submit(job(1, 1, true));
    now += Millis{49};
    scheduler.advance(now);
    BOOST_TEST(effects.starts.empty());
    now += Millis{1};
    scheduler.advance(now);
    BOOST_TEST_REQUIRE(effects.starts.size() == 1U);
    BOOST_TEST(effects.starts[0].agent == 1U);
}

// Guards against a refusal that is not true: a late job that an agent may be running for a former owner was
// refused as not run.
BOOST_FIXTURE_TEST_CASE(lateJobIsNotRefusedBeforeItsFormerRunsAreKnown, JobSchedulerFixture)
{
    scheduler.loaded(0, now);
    scheduler.setExpectedAgents(0, {1, 2}, true);
    scheduler.claimReport(1, 0, 1, {}, {}, now);
    submit(job(1, 1, true));
    now += Millis{500};
    scheduler.advance(now);
    scheduler.advance(now);
    BOOST_TEST(replies.empty());
    scheduler.claimReport(2, 0, 1, {}, {}, now);
    scheduler.advance(now);
    BOOST_TEST(replies.size() + effects.starts.size() == 1U);
}

// Guards against orphaned runs that continue although their job is not submitted again.
BOOST_FIXTURE_TEST_CASE(runOfAnUnknownJobIsStoppedWhenNobodySubmitsItAgain, JobSchedulerFixture)
{
    load();
    const RunId running{.task = {.job = 1, .index = 0}, .number = 1};
    scheduler.claimReport(1, 0, 1, std::span(&running, 1), {}, now);
    scheduler.advance(now);
    BOOST_TEST(effects.stops.empty());
    now += Millis{700};
    scheduler.advance(now);
    BOOST_TEST(effects.stops.size() == 1U);
    // A late resubmission still has to wait for the end of the run that is being stopped.
    submit(job(1, 1, true));
    BOOST_TEST(effects.starts.empty());
    end({.agent = 1, .run = running}, EndKind::Stopped);
    BOOST_TEST(effects.starts.size() == 1U);
}

// Guards against the loss of best-effort jobs in a planned handover of their partition.
BOOST_FIXTURE_TEST_CASE(handOverStoresBestEffortJobs, JobSchedulerFixture)
{
    load();
    submit(job(1, 2, true));
    BOOST_TEST(effects.records.empty());
    startAll();
    end(effects.starts[0], EndKind::Done);
    scheduler.freezePartition(0, now);
    BOOST_TEST_REQUIRE(effects.records.size() == 1U);
    const std::optional<JobRecord> record = decodeJobRecord(effects.records[0].value);
    BOOST_TEST_REQUIRE(record.has_value());
    BOOST_TEST(record->done_tasks.size() == 1U);
    scheduler.closePartition(0, now);
    BOOST_TEST_REQUIRE(replies.size() == 1U);
    BOOST_TEST((replies[0].status == fleet::CallStatus::Unknown));
}

// Guards against work for callers that no longer wait, which uses resources that other jobs need.
BOOST_FIXTURE_TEST_CASE(bestEffortJobEndsWithItsLastCaller, JobSchedulerFixture)
{
    load();
    submit(job(1, 1, true));
    startAll();
    now += Millis{2'100};
    scheduler.advance(now);
    scheduler.advance(now);
    BOOST_TEST(effects.stops.size() >= 1U);
    BOOST_TEST(scheduler.activeJobs() == 0U);
}

// Guards against repeated orders to an agent that knows another owner and therefore rejects each of them.
BOOST_FIXTURE_TEST_CASE(supersededOwnerOrdersNothingMore, JobSchedulerFixture)
{
    load();
    submit(job(1, 1, true));
    BOOST_TEST_REQUIRE(effects.starts.size() == 1U);
    const auto first = effects.starts[0];
    scheduler.runRejected(first.agent, first.run, RejectReason::Superseded, now);
    scheduler.advance(now);
    BOOST_TEST_REQUIRE(effects.starts.size() == 2U);
    BOOST_TEST(effects.starts[1].agent != first.agent);
    scheduler.runRejected(effects.starts[1].agent, effects.starts[1].run, RejectReason::Superseded, now);
    scheduler.advance(now);
    BOOST_TEST(effects.starts.size() == 2U);
}

// Guards against runs that stay on a worker that has become slow while another has free resources.
BOOST_FIXTURE_TEST_CASE(slowRunsAreMovedToASoundWorker, JobSchedulerFixture)
{
    load();
    pool.report(2, workerWith(0));
    submit(job(1, 2, true));
    startAll();
    BOOST_TEST_REQUIRE(effects.starts.size() == 2U);
    pool.report(2, workerWith(4'000));
    now += Millis{260};
    scheduler.advance(now);
    now += Millis{40};
    scheduler.advance(now);
    BOOST_TEST_REQUIRE(effects.stops.size() == 2U);
    BOOST_TEST(effects.starts.size() == 2U);
    end(effects.starts[0], EndKind::Stopped);
    BOOST_TEST_REQUIRE(effects.starts.size() == 3U);
    BOOST_TEST(effects.starts[2].agent == 2U);
}

// Guards against an accepted job that never completes: each time its task was restarted, only the worker on
// which it had stalled had free resources, until no move was left (turmericwell emulate --first-seed 60039
// --troubles 16).
BOOST_FIXTURE_TEST_CASE(stalledRunIsNotRestartedOnTheSameWorker, JobSchedulerFixture)
{
    load();
    submitAndStart(1, 1);
    const AgentNumber bad = effects.starts[0].agent;
    const AgentNumber good = 3 - bad;
    now += Millis{1'000};
    scheduler.advance(now);
    BOOST_TEST_REQUIRE(effects.stops.size() == 1U);
    pool.report(good, workerWith(0));
    end(effects.starts[0], EndKind::Stopped);
    BOOST_TEST(effects.starts.size() == 1U);
    pool.report(good, workerWith(4'000));
    now += Millis{10};
    scheduler.advance(now);
    BOOST_TEST_REQUIRE(effects.starts.size() == 2U);
    BOOST_TEST(effects.starts[1].agent == good);
}

// Guards against an accepted job that never completes: the stop of its stalled run was lost with the agent's
// process, and the run that the next process reported was neither stopped nor moved again. The emulated day
// 610002 of qalhat showed it.
BOOST_FIXTURE_TEST_CASE(stopOfAStalledRunIsRepeatedWhenTheAgentReportsTheRun, JobSchedulerFixture)
{
    load();
    submitAndStart(1, 1);
    const RecordedEffects::Start stalled = effects.starts[0];
    now += Millis{1'000};
    scheduler.advance(now);
    BOOST_TEST_REQUIRE(effects.stops.size() == 1U);
    scheduler.agentDisconnected(stalled.agent);
    scheduler.claimReport(stalled.agent, 0, *scheduler.epochOf(0), std::span(&stalled.run, 1), {}, now);
    BOOST_TEST_REQUIRE(effects.stops.size() == 2U);
    BOOST_TEST((effects.stops[1].run == stalled.run));
    end(stalled, EndKind::Stopped);
    BOOST_TEST(effects.starts.size() == 2U);
}

// Guards against work that is discarded because a task exceeds its declared run time.
BOOST_FIXTURE_TEST_CASE(longRunStaysOnASoundWorker, JobSchedulerFixture)
{
    load();
    submit(job(1, 1, true));
    startAll();
    now += Millis{500};
    scheduler.advance(now);
    BOOST_TEST(effects.stops.empty());
    now += Millis{110};
    scheduler.advance(now);
    BOOST_TEST(effects.stops.size() == 1U);
}

// Guards against jobs that are admitted under overload and end late: 60 jobs are submitted at once for a
// total of eight processors.
BOOST_FIXTURE_TEST_CASE(overloadRejectsJobsThatWouldBeLate, JobSchedulerFixture)
{
    load();
    for (JobId id = 1; id <= 60; ++id)
        submit(job(id, 4, true));
    const auto rejected = std::count_if(replies.begin(), replies.end(), [](const JobReply &reply) {
        return reply.status == fleet::CallStatus::Refused;
    });
    // Two jobs run at a time for 100 ms; the predicted wait may take 30% of the slack of 100 ms.
    BOOST_TEST(rejected >= 55);
    BOOST_TEST(rejected <= 57);
    BOOST_TEST(replies[0].retryAfter.count >= 1'000);
}

// Guards against rejections while workers are free, caused by work that waits for other reasons.
BOOST_FIXTURE_TEST_CASE(freeResourcesAdmitJobsDespiteWaitingWork, JobSchedulerFixture)
{
    load();
    scheduler.setPeersWaitingCpuMilli(100'000);
    submit(job(1, 4, true));
    BOOST_TEST(replies.empty());
    BOOST_TEST(effects.starts.size() == 4U);
}

// Guards against rejecting jobs for want of capacity that exists: a new owner connects to its agents only
// when the partition arrives, and knows none of their workers for some milliseconds.
BOOST_FIXTURE_TEST_CASE(newOwnerWaitsForItsAgentsBeforeItRejects, JobSchedulerFixture)
{
    pool.remove(1);
    pool.remove(2);
    scheduler.loaded(0, now);
    scheduler.setExpectedAgents(0, {1, 2}, true);
    submit(job(1, 1, true));
    BOOST_TEST_REQUIRE(replies.size() == 1U);
    BOOST_TEST((replies[0].status == fleet::CallStatus::NotReady));
    pool.report(1, workerWith(4'000));
    scheduler.claimReport(1, 0, 1, {}, {}, now);
    submit(job(2, 1, true));
    BOOST_TEST(replies.size() == 1U);
    // The job is accepted, and starts when no agent can hold a run of it.
    BOOST_TEST(effects.starts.empty());
    scheduler.claimReport(2, 0, 1, {}, {}, now);
    scheduler.advance(now);
    BOOST_TEST(effects.starts.size() == 1U);
}

// Guards against waiting for agents that are gone.
BOOST_FIXTURE_TEST_CASE(newOwnerRejectsWhenNoAgentReports, JobSchedulerFixture)
{
    pool.remove(1);
    pool.remove(2);
    scheduler.loaded(0, now);
    scheduler.setExpectedAgents(0, {1, 2}, true);
    now += Millis{200};
    submit(job(1, 1, true));
    BOOST_TEST_REQUIRE(replies.size() == 1U);
    BOOST_TEST((replies[0].status == fleet::CallStatus::Refused));
}

// Guards against orders to agents that a later owner does not ask for their runs.
BOOST_FIXTURE_TEST_CASE(excludedAgentsReceiveNoOrders, JobSchedulerFixture)
{
    load();
    scheduler.setPlacement(0, true, {1});
    submit(job(1, 3, true));
    BOOST_TEST(effects.starts.size() == 3U);
    for (const RecordedEffects::Start &start : effects.starts)
        BOOST_TEST(start.agent == 2U);
    BOOST_TEST(!scheduler.hasRunsOnExcludedAgents(0));
    scheduler.setPlacement(0, true, {2});
    BOOST_TEST(scheduler.hasRunsOnExcludedAgents(0));
    scheduler.setPlacement(0, false, {});
    submit(job(2, 1, true));
    BOOST_TEST(effects.starts.size() == 3U);
}

// The record of a job with two steps, of which the second depends on the first.
static std::string twoStepRecord(JobId id, uint32_t tasks)
{
    JobRecord record;
    record.spec = std::make_unique<JobSpec>(JobSchedulerFixture::job(id, tasks, false));
    auto second = std::make_unique<StepSpec>(*record.spec->steps[0]);
    second->after.push_back(0);
    record.spec->steps.push_back(std::move(second));
    return encodeJobRecord(record);
}

// Guards against a second run of a task after a change of owner: the step of the task was opened by the ends
// that the first agent reported, before the agent with the task's run had reported.
BOOST_FIXTURE_TEST_CASE(stepOpenedDuringATakeoverWaitsForTheReportsOfAllAgents, JobSchedulerFixture)
{
    scheduler.loadRecord(0, 1, twoStepRecord(1, 2), now);
    load(false);
    std::vector<AgentEnd> ended;
    for (uint32_t index = 0; index < 2; ++index)
        ended.push_back({.run = {.task = {.job = 1, .index = index}, .number = 1}, .kind = EndKind::Done});
    scheduler.claimReport(1, 0, 1, {}, ended, now);
    scheduler.advance(now);
    BOOST_TEST(effects.starts.empty());
    const RunId running{.task = {.job = 1, .step = 1, .index = 1}, .number = 1};
    scheduler.claimReport(2, 0, 1, std::span(&running, 1), {}, now);
    scheduler.advance(now);
    storeAll();
    BOOST_TEST(effects.stops.empty());
    BOOST_TEST_REQUIRE(effects.starts.size() == 1U);
    BOOST_TEST(effects.starts[0].run.task.step == 1U);
    BOOST_TEST(effects.starts[0].run.task.index == 0U);
}

// Guards against the same for a best-effort job that is submitted again to the next owner.
BOOST_FIXTURE_TEST_CASE(stepOfAResubmittedJobWaitsForTheReportsOfAllAgents, JobSchedulerFixture)
{
    load(false);
    JobSpec spec = job(1, 1, true);
    auto second = std::make_unique<StepSpec>(*spec.steps[0]);
    second->after.push_back(0);
    spec.steps.push_back(std::move(second));
    submit(std::move(spec));
    const std::vector<AgentEnd> ended = {{.run = {.task = {.job = 1}, .number = 1}, .kind = EndKind::Done}};
    scheduler.claimReport(1, 0, 1, {}, ended, now);
    scheduler.advance(now);
    BOOST_TEST(effects.starts.empty());
    scheduler.claimReport(2, 0, 1, {}, {}, now);
    scheduler.advance(now);
    BOOST_TEST(effects.starts.size() == 1U);
}

// Guards against jobs that stand still beside free workers: a pass over the queue ended after 24 jobs that
// could not be placed, and late jobs are ordered by age, so the same 24 came first in each pass.
BOOST_FIXTURE_TEST_CASE(lateJobsBehindJobsThatCannotBePlacedAreStarted, JobSchedulerFixture)
{
    load();
    WorkerState labelled = workerWith(0);
    labelled.labels = {"b"};
    pool.report(2, labelled);
    pool.report(1, workerWith(0));
    constexpr JobId jobsWithLabel = 60;
    for (JobId id = 1; id <= jobsWithLabel; ++id) {
        JobSpec spec = job(id, 1, false);
        spec.steps[0]->required_label = "b";
        spec.stretch = 1'000;
        submit(std::move(spec));
    }
    JobSpec spec = job(jobsWithLabel + 1, 1, false);
    spec.stretch = 1'000;
    submit(std::move(spec));
    storeAll();
    BOOST_TEST_REQUIRE(replies.size() == jobsWithLabel + 1);
    now += Millis{200'000};
    scheduler.advance(now);
    pool.remove(2);
    pool.report(1, workerWith(4'000));
    // Within a second, though 60 jobs that cannot be placed come first.
    for (int pass = 0; pass < 20; ++pass) {
        now += Millis{50};
        scheduler.advance(now);
    }
    BOOST_TEST_REQUIRE(effects.starts.size() == 1U);
    BOOST_TEST(effects.starts[0].run.task.job == jobsWithLabel + 1);
}

// Guards against the same in the queue of jobs that can still meet their deadline.
BOOST_FIXTURE_TEST_CASE(jobsInTimeBehindJobsThatCannotBePlacedAreStarted, JobSchedulerFixture)
{
    load();
    WorkerState labelled = workerWith(0);
    labelled.labels = {"b"};
    pool.report(2, labelled);
    pool.report(1, workerWith(0));
    constexpr JobId jobsWithLabel = 60;
    for (JobId id = 1; id <= jobsWithLabel + 1; ++id) {
        JobSpec spec = job(id, 1, false);
        spec.stretch = 1'000;
        if (id <= jobsWithLabel)
            spec.steps[0]->required_label = "b";
        submit(std::move(spec));
    }
    storeAll();
    pool.remove(2);
    pool.report(1, workerWith(4'000));
    // Within a second, though 60 jobs that cannot be placed come first.
    for (int pass = 0; pass < 20; ++pass) {
        now += Millis{50};
        scheduler.advance(now);
    }
    BOOST_TEST_REQUIRE(effects.starts.size() == 1U);
    BOOST_TEST(effects.starts[0].run.task.job == jobsWithLabel + 1);
}

// Guards against an answer that is not one for the call: a client that submits a best-effort job again reads
// how it ended, and "cancelled" is no such end unless a client has cancelled it. The former owner had given
// up the job because no caller waited for it.
BOOST_FIXTURE_TEST_CASE(jobThatAFormerOwnerGaveUpRunsWhenItIsSubmittedAgain, JobSchedulerFixture)
{
    load();
    submit(job(1, 1, true));
    scheduler.freezePartition(0, now);
    BOOST_TEST_REQUIRE(effects.records.size() == 1U);
    JobSchedulerFixture second(2);
    second.scheduler.loadRecord(0, 1, effects.records[0].value, second.now);
    second.load();
    second.now += Millis{2'100};
    second.scheduler.advance(second.now);
    second.scheduler.advance(second.now);
    BOOST_TEST(second.scheduler.activeJobs() == 0U);
    JobSchedulerFixture third(3);
    if (!second.effects.records.empty() && !second.effects.records.back().value.empty())
        third.scheduler.loadRecord(0, 1, second.effects.records.back().value, third.now);
    third.load();
    third.submit(job(1, 1, true));
    BOOST_TEST(third.replies.empty());
    BOOST_TEST(third.effects.starts.size() == 1U);
}

// Guards against an answer that says that a best-effort job is queued: the job was submitted again while the
// record of its first life was being stored, and the answer of the store ended its second life.
BOOST_FIXTURE_TEST_CASE(recordOfAFormerLifeDoesNotEndTheJob, JobSchedulerFixture)
{
    JobRecord record;
    record.spec = std::make_unique<JobSpec>(job(1, 1, true));
    scheduler.loadRecord(0, 1, encodeJobRecord(record), now);
    load();
    effects.starts.clear();
    now += Millis{2'100};
    scheduler.advance(now);
    scheduler.advance(now);
    BOOST_TEST_REQUIRE(scheduler.activeJobs() == 0U);
    submit(job(1, 1, true));
    BOOST_TEST(scheduler.activeJobs() == 1U);
    storeAll();
    BOOST_TEST(replies.empty());
    BOOST_TEST(scheduler.activeJobs() == 1U);
}

// Guards against an answer to the submission of a best-effort job that names no end of it.
BOOST_FIXTURE_TEST_CASE(submissionOfACancelledBestEffortJobIsAnsweredAsNotKnown, JobSchedulerFixture)
{
    load();
    submit(job(1, 1, true));
    scheduler.cancel(1, {.wait = Millis{10'000}}, now, [](const JobReply &) {});
    storeAll();
    BOOST_TEST_REQUIRE(replies.size() == 1U);
    BOOST_TEST((replies[0].status == fleet::CallStatus::NotKnown));
    submit(job(1, 1, true));
    BOOST_TEST_REQUIRE(replies.size() == 2U);
    BOOST_TEST((replies[1].status == fleet::CallStatus::NotKnown));
    BOOST_TEST(effects.starts.size() == 1U);
}

// Guards against a job that runs after its cancel was answered (review/8): the new owner of a partition does
// not know a best-effort job yet whose submission waits at another entry, and its runs may be reported before
// or after that.
BOOST_FIXTURE_TEST_CASE(jobThatWasCancelledBeforeItIsKnownDoesNotRun, JobSchedulerFixture)
{
    load(false);
    const RunId before{.task = {.job = 1, .index = 0}, .number = 1};
    const RunId after{.task = {.job = 1, .index = 1}, .number = 1};
    scheduler.claimReport(1, 0, 1, std::span(&before, 1), {}, now);
    std::vector<JobReply> cancelled;
    scheduler.cancel(1, {.wait = Millis{10'000}}, now,
                     [&](const JobReply &reply) { cancelled.push_back(reply); });
    storeAll();
    BOOST_TEST_REQUIRE(cancelled.size() == 1U);
    BOOST_TEST((cancelled[0].status == fleet::CallStatus::NotKnown));
    scheduler.claimReport(2, 0, 1, std::span(&after, 1), {}, now);
    submit(job(1, 3, true));
    BOOST_TEST_REQUIRE(replies.size() == 1U);
    BOOST_TEST((replies[0].status == fleet::CallStatus::NotKnown));
    BOOST_TEST(effects.starts.empty());
    BOOST_TEST_REQUIRE(effects.stops.size() == 2U);
    BOOST_TEST((effects.stops[0].run == before));
    BOOST_TEST((effects.stops[1].run == after));
    // Nobody has submitted the job, so it is not shown.
    BOOST_TEST((scheduler.query(1).status == fleet::CallStatus::NotKnown));
}

// Guards against ready tasks that stand still beside free workers (review/9): a step whose only workers are
// in an evacuated zone came before them in their job.
BOOST_FIXTURE_TEST_CASE(stepThatNoWorkerCanTakeHoldsBackNoOtherStep, JobSchedulerFixture)
{
    load();
    WorkerState special = workerWith(4'000);
    special.zone = "thamel";
    special.labels = {"b"};
    pool.report(2, special);
    JobSpec spec = job(1, 2, false);
    spec.steps.front()->required_label = "b";
    spec.steps.push_back(std::make_unique<StepSpec>(*job(2, 2, false).steps.front()));
    submit(std::move(spec));
    pool.setEvacuatedZones({"thamel"});
    storeAll();
    BOOST_TEST_REQUIRE(effects.starts.size() == 2U);
    for (const RecordedEffects::Start &start : effects.starts) {
        BOOST_TEST(start.run.task.step == 1U);
        BOOST_TEST(start.agent == 1U);
    }
    pool.setEvacuatedZones({});
    scheduler.advance(now);
    BOOST_TEST(effects.starts.size() == 4U);
}

// Guards against the same for a job that has to be kept: its submission may arrive after its cancel, and is
// told that it does not run.
BOOST_FIXTURE_TEST_CASE(keptJobThatWasCancelledBeforeItsSubmissionIsRefused, JobSchedulerFixture)
{
    load();
    scheduler.cancel(1, {.wait = Millis{10'000}}, now, [](const JobReply &) {});
    submit(job(1, 1, false));
    BOOST_TEST_REQUIRE(replies.size() == 1U);
    BOOST_TEST((replies[0].status == fleet::CallStatus::Refused));
    // Nothing but the cancel is stored.
    BOOST_TEST_REQUIRE(effects.records.size() == 1U);
    BOOST_TEST((decodeJobRecord(effects.records[0].value)->phase == JobPhase::Cancelled));
    BOOST_TEST(effects.starts.empty());
}

// Guards against a start beyond the allowed attempts: the failed runs of the second step were reported before
// the ends that open the step.
BOOST_FIXTURE_TEST_CASE(failuresOfAStepThatIsNotOpenYetCount, JobSchedulerFixture)
{
    scheduler.loadRecord(0, 1, twoStepRecord(1, 1), now);
    load(false);
    std::vector<AgentEnd> failed;
    for (uint32_t run = 1; run <= 2; ++run)
        failed.push_back({.run = {.task = {.job = 1, .step = 1}, .number = run}, .kind = EndKind::Failed});
    scheduler.claimReport(1, 0, 1, {}, failed, now);
    const std::vector<AgentEnd> done = {{.run = {.task = {.job = 1}, .number = 1}, .kind = EndKind::Done}};
    scheduler.claimReport(2, 0, 1, {}, done, now);
    scheduler.advance(now);
    storeAll();
    BOOST_TEST(effects.starts.empty());
    BOOST_TEST((scheduler.query(1).phase == JobPhase::Failed));
}

// Guards against an undisputed end of a superseded run after a change of owner (turmericwell emulate --site
// qalhat
// --first-seed 700076 --troubles 6 --isolations 4 --two-step-share 0.4 --asked-share 0.6 --kept-share 0.6):
// the former owner could not store that it had ordered the task again, and the reports show both runs.
BOOST_FIXTURE_TEST_CASE(endOfARunThatAFormerOwnerSupersededIsDisputed, JobSchedulerFixture)
{
    const RunId first{.task = {.job = 1}, .number = 1};
    const RunId second{.task = {.job = 1}, .number = 2};
    for (const bool laterRunFirst : {true, false}) {
        BOOST_TEST_CONTEXT(laterRunFirst)
        {
            JobSchedulerFixture next(2);
            JobRecord record;
            record.spec = std::make_unique<JobSpec>(job(1, 2, false));
            next.scheduler.loadRecord(0, 1, encodeJobRecord(record), next.now);
            next.load(false);
            next.end({.agent = 1, .run = laterRunFirst ? second : first}, EndKind::Done);
            next.end({.agent = 2, .run = laterRunFirst ? first : second}, EndKind::Done);
            BOOST_TEST_REQUIRE(next.effects.disputed.size() == 1U);
            BOOST_TEST((next.effects.disputed[0] == first));
        }
    }
}

// Guards against a start beyond the allowed attempts if the ends arrive in another order than the runs.
BOOST_FIXTURE_TEST_CASE(failureOfAnEarlierRunCountsAlsoAfterALaterOne, JobSchedulerFixture)
{
    load();
    submitAndStart(1, 1);
    const RecordedEffects::Start first = effects.starts[0];
    scheduler.agentGone(first.agent, now);
    scheduler.advance(now);
    storeAll();
    BOOST_TEST_REQUIRE(effects.starts.size() == 2U);
    startAll();
    end(effects.starts[1], EndKind::Failed);
    BOOST_TEST_REQUIRE(effects.starts.size() == 3U);
    end(first, EndKind::Failed);
    // The record of the repeated run is stored before that of the job's end.
    storeAll();
    storeAll();
    BOOST_TEST((scheduler.query(1).phase == JobPhase::Failed));
    BOOST_TEST(effects.starts.size() == 3U);
}

// Guards against two runs of a task at the same time: a best-effort job that was given up was submitted
// again, and a late end of its first submission's run, reported by an agent that had been cut off, was taken
// for the end of the present run.
BOOST_FIXTURE_TEST_CASE(endOfAFormerSubmissionsRunDoesNotRestartTheTask, JobSchedulerFixture)
{
    load();
    submit(job(1, 1, true));
    startAll();
    BOOST_TEST_REQUIRE(effects.starts.size() == 1U);
    const auto former = effects.starts[0];
    scheduler.agentDisconnected(former.agent);
    pool.remove(former.agent);
    now += Millis{2'100};
    scheduler.advance(now);
    scheduler.advance(now);
    BOOST_TEST_REQUIRE(scheduler.activeJobs() == 0U);
    now += Millis{400};
    scheduler.agentGone(former.agent, now);
    submit(job(1, 1, true));
    startAll();
    BOOST_TEST_REQUIRE(effects.starts.size() == 2U);
    const auto present = effects.starts[1];
    BOOST_TEST(present.agent != former.agent);

    pool.report(former.agent, workerWith(4'000));
    const AgentEnd end{.run = former.run, .kind = EndKind::Stopped};
    scheduler.claimReport(former.agent, 0, 1, {}, std::span(&end, 1), now);
    scheduler.advance(now);
    BOOST_TEST(effects.starts.size() == 2U);
    // Agents and workers tell the runs of the two submissions apart by their numbers.
    BOOST_TEST(present.run.number > former.run.number);
}

// Guards against a task that waits for a run that does not exist: the job was given up while its order was
// queued at the agent, which rejected the order later.
BOOST_FIXTURE_TEST_CASE(rejectedOrderOfAGivenUpJobIsNotTakenOver, JobSchedulerFixture)
{
    load();
    submit(job(1, 1, true));
    BOOST_TEST_REQUIRE(effects.starts.size() == 1U);
    const auto former = effects.starts[0];
    now += Millis{2'100};
    scheduler.advance(now);
    scheduler.advance(now);
    BOOST_TEST_REQUIRE(scheduler.activeJobs() == 0U);
    scheduler.runRejected(former.agent, former.run, RejectReason::NoRoom, now);
    submit(job(1, 1, true));
    BOOST_TEST(effects.starts.size() == 2U);
}

// Guards against the same if the job is submitted again before the order is rejected.
BOOST_FIXTURE_TEST_CASE(taskThatTookOverARejectedOrderIsOrderedAgain, JobSchedulerFixture)
{
    load();
    submit(job(1, 1, true));
    const auto former = effects.starts[0];
    now += Millis{2'100};
    scheduler.advance(now);
    scheduler.advance(now);
    submit(job(1, 1, true));
    BOOST_TEST_REQUIRE(effects.starts.size() == 1U);
    scheduler.runRejected(former.agent, former.run, RejectReason::NoRoom, now);
    scheduler.advance(now);
    BOOST_TEST_REQUIRE(effects.starts.size() == 2U);
    BOOST_TEST(effects.starts[1].run.number > former.run.number);
}

// Guards against an order that counts as lost because the agent had not received it yet: only a report on the
// newest claim shows all orders.
BOOST_FIXTURE_TEST_CASE(agentReceivesNoOrdersBeforeItHasReportedOnTheNewestClaim, JobSchedulerFixture)
{
    scheduler.loaded(0, now);
    scheduler.setExpectedAgents(0, {1}, true);
    const uint64_t first = scheduler.claimSent(1, 0);
    const uint64_t second = scheduler.claimSent(1, 0);
    BOOST_TEST(!scheduler.isNewestClaim(1, 0, first));
    BOOST_TEST(scheduler.isNewestClaim(1, 0, second));
    scheduler.claimReport(1, 0, 1, {}, {}, now);
    submit(job(1, 1, true));
    BOOST_TEST_REQUIRE(effects.starts.size() == 1U);
    // A further claim holds the orders back until the agent has reported on it.
    const uint64_t third = scheduler.claimSent(1, 0);
    submit(job(2, 1, true));
    BOOST_TEST(effects.starts.size() == 1U);
    BOOST_TEST(scheduler.isNewestClaim(1, 0, third));
    scheduler.agentDisconnected(1);
    BOOST_TEST(!scheduler.isNewestClaim(1, 0, third));
    BOOST_TEST(!scheduler.isNewestClaim(1, 5, third));
}

// Guards against a start after an end that is confirmed: an owner that had lost an agent ordered the task
// again while it could not reach the store, and the next owner, which did not know of that, confirmed the end
// of the first run (emulate --site qalhat, seed 410014).
BOOST_FIXTURE_TEST_CASE(taskIsOrderedAgainOnlyOnceThatIsStored, JobSchedulerFixture)
{
    load();
    submitAndStart(1, 2);
    BOOST_TEST_REQUIRE(effects.starts.size() == 2U);
    scheduler.agentGone(effects.starts[0].agent, now);
    scheduler.advance(now);
    BOOST_TEST(effects.starts.size() == 2U);
    storeAll();
    BOOST_TEST(effects.starts.size() == 3U);
    // The worker of a lost run may still list an end of it later.
    end(effects.starts[1], EndKind::Lost);
    BOOST_TEST(effects.starts.size() == 3U);
    storeAll();
    BOOST_TEST(effects.starts.size() == 4U);
}

// Guards against a run that counts as lost, and is ordered again, because a report that does not contain it
// is of another epoch or cannot be read.
BOOST_FIXTURE_TEST_CASE(rejectedClaimReportChangesNothing, JobSchedulerFixture)
{
    static constexpr std::array counters = {
        MetricDescription{"decisions_total", MetricKind::Counter, "Decisions by event.", "event"}};
    Metrics metrics(counters);
    log.setMetrics(&metrics);
    load();
    submitAndStart(1, 1);
    const RecordedEffects::Start start = effects.starts[0];
    const RunId unreadable;
    const std::vector<AgentEnd> endsWithoutRun = {{.kind = EndKind::Done}};
    const std::vector<AgentEnd> endsOfUnknownKind = {{.run = start.run, .kind = static_cast<EndKind>(99)}};
    scheduler.claimSent(start.agent, 0);
    scheduler.claimReport(start.agent, 0, 0, {}, {}, now);
    scheduler.claimReport(start.agent, 0, 2, {}, {}, now);
    scheduler.claimReport(start.agent, 5, 1, {}, {}, now);
    scheduler.claimReport(start.agent, 0, 1, std::span(&unreadable, 1), {}, now);
    scheduler.claimReport(start.agent, 0, 1, {}, endsWithoutRun, now);
    scheduler.claimReport(start.agent, 0, 1, {}, endsOfUnknownKind, now);
    scheduler.advance(now);
    storeAll();
    BOOST_TEST(!scheduler.hasReported(0, start.agent));
    BOOST_TEST(effects.starts.size() == 1U);
    BOOST_TEST(effects.confirmed.empty());
    BOOST_TEST(metrics.text().find("{event=\"claim_report_rejected\"} 6") != std::string::npos);
    scheduler.claimReport(start.agent, 0, 1, std::span(&start.run, 1), {}, now);
    BOOST_TEST(scheduler.hasReported(0, start.agent));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace turmericwell
