// Tests of the submission table: idempotency, outcomes that claim only what is proved, bounded memory.
#include "submission/submissiontable.h"

#include "submission/keytime.h"

#include <boost/test/unit_test.hpp>

using namespace turmericwell;
using namespace turmericwell::literals;

namespace {

constexpr Millis wallStart = {1'700'000'000'000};
constexpr Millis window = {600'000};
const CallDeclaration nonRepeatable;

CallDeclaration repeatable(uint32_t maxStarts)
{
    return {.repeatable = true, .maxStarts = maxStarts};
}

SubmissionRequest request(const std::string &key, size_t tasks = 1, uint64_t bodyHash = 7)
{
    return {.kind = tasks > 1 ? SubmissionKind::Job : SubmissionKind::Request,
            .key = Fingerprint::ofKey("s", key),
            .keyText = key,
            .bodyHash = bodyHash,
            .service = "s",
            .call = "c",
            .tasks = std::vector<std::string>(tasks, "null"),
            .budget = 10'000_ms};
}

TaskResult resultOf(const SubmissionRequest &request, Outcome outcome, uint32_t index = 0,
                    uint32_t attempt = 0)
{
    return {.task = {.submission = request.key, .index = index, .attempt = attempt},
            .outcome = outcome,
            .reason = outcome == Outcome::Complete ? "" : "why",
            .answer = outcome == Outcome::Complete ? "a" + std::to_string(index) : ""};
}

// Returns the answer among the actions; fails the test if there is none.
Answer answerIn(const SubmissionActions &actions)
{
    for (const SubmissionAction &action : actions) {
        if (const auto *answer = std::get_if<AnswerWaiter>(&action))
            return answer->answer;
    }
    BOOST_TEST(false, "no answer among " << actions.size() << " actions");
    return {};
}

template <typename Action>
size_t countOf(const SubmissionActions &actions)
{
    size_t count = 0;
    for (const SubmissionAction &action : actions)
        count += std::holds_alternative<Action>(action) ? 1 : 0;
    return count;
}

std::string timedKey(Millis wall)
{
    return std::to_string(wall.count) + "-k";
}

// A table whose monotonic clock starts at zero.
struct Fixture
{
    explicit Fixture(SubmissionTableOptions options = {})
        : table(std::move(options))
    {
        table.setWallClock(wallStart, 0_ms);
    }

    SubmissionActions submit(const SubmissionRequest &what, Millis now = 0_ms,
                             const CallDeclaration &call = nonRepeatable)
    {
        return table.submit(what, call, ++waiter, now);
    }

    SubmissionTable table;
    WaiterId waiter = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(submission)

// Guards against keys that only resemble the forms with a creation time and are rejected because of their
// supposed age.
BOOST_AUTO_TEST_CASE(onlyTheTwoTimedFormsCarryATime)
{
    BOOST_TEST((creationTimeOfKey("1700000000000-x") == Millis{1'700'000'000'000}));
    BOOST_TEST((creationTimeOfKey("018bcfe5-6800-7000-8000-000000000000") == Millis{1'700'000'000'000}));
    BOOST_TEST(!creationTimeOfKey("1700000000000").has_value());
    BOOST_TEST(!creationTimeOfKey("170000000000-x").has_value());
    BOOST_TEST(!creationTimeOfKey("+700000000000-x").has_value());
    BOOST_TEST(!creationTimeOfKey("018bcfe5-6800-4000-8000-000000000000").has_value());
    BOOST_TEST(!creationTimeOfKey("018bcfe5-6800-7000-0000-000000000000").has_value());
    BOOST_TEST(!creationTimeOfKey("018bcfe5-6800-7000-8000-00000000000g").has_value());
    BOOST_TEST(!creationTimeOfKey("").has_value());
}

// Guards against a second run when the caller resubmits during or after the first run.
BOOST_AUTO_TEST_CASE(aResubmissionNeverStartsAgain)
{
    Fixture f;
    const SubmissionRequest what = request("k");
    BOOST_TEST(countOf<EnqueueTasks>(f.submit(what)) == 1U);
    BOOST_TEST(f.submit(what).empty());
    const SubmissionActions ended = f.table.taskEnded(resultOf(what, Outcome::Complete), 5_ms);
    BOOST_TEST(countOf<AnswerWaiter>(ended) == 2U);
    const SubmissionActions again = f.submit(what, 6_ms);
    BOOST_TEST(countOf<EnqueueTasks>(again) == 0U);
    BOOST_TEST(answerIn(again).answers.at(0) == "a0");
}

BOOST_AUTO_TEST_CASE(anotherBodyUnderTheSameKeyIsAConflict)
{
    Fixture f;
    f.submit(request("k"));
    const Answer answer = answerIn(f.submit(request("k", 1, 8)));
    BOOST_TEST(answer.status == 409);
    BOOST_TEST((answer.outcome == Outcome::NotRun));
}

// Guards against a second run after the record of a key without a creation time has been removed.
BOOST_AUTO_TEST_CASE(aTombstoneRejectsAnUntimedKey)
{
    Fixture f;
    const SubmissionRequest what = request("k");
    f.submit(what);
    f.table.taskEnded(resultOf(what, Outcome::Complete), 5_ms);
    const Millis late = window * 2;
    f.table.tick(late);
    BOOST_TEST(f.table.size() == 0U);
    const Answer answer = answerIn(f.submit(what, late));
    BOOST_TEST(answer.status == 410);
    BOOST_TEST((answer.outcome == Outcome::Unknown));
    BOOST_TEST(answer.reason == reason::windowPassed);
}

// Guards against tombstones that grow without bound or are evicted without being counted.
BOOST_AUTO_TEST_CASE(tombstonesAreBoundedAndCounted)
{
    Fixture f({.tombstoneCapacity = 16});
    for (int i = 0; i < 1'000; ++i) {
        const SubmissionRequest what = request(std::to_string(i));
        f.submit(what);
        f.table.taskEnded(resultOf(what, Outcome::Complete), 0_ms);
    }
    f.table.tick(window * 2);
    const SubmissionCounters counters = f.table.counters();
    BOOST_TEST(counters.tombstones <= 32U);
    BOOST_TEST(counters.tombstones + counters.tombstonesDropped == 1'000U);
}

// Guards against a key with a creation time that runs again between the removal of its record and its
// rejection by age, also if the caller's clock is ahead.
BOOST_AUTO_TEST_CASE(aTimedKeyIsRejectedForEver)
{
    for (const Millis skew : {0_ms, 4'000_ms}) {
        Fixture f;
        const SubmissionRequest what = request(timedKey(wallStart + skew));
        f.submit(what);
        f.table.taskEnded(resultOf(what, Outcome::Complete), 5_ms);
        for (Millis now = {0}; now < window * 2; now += 500_ms) {
            f.table.tick(now);
            BOOST_REQUIRE(countOf<EnqueueTasks>(f.submit(what, now)) == 0U);
        }
        BOOST_TEST(f.table.counters().tombstones == 0U);
        BOOST_TEST(answerIn(f.submit(what, window * 2)).status == 410);
    }
}

// Guards against a start of a key created before the window, at an entry that has no state.
BOOST_AUTO_TEST_CASE(anOldTimedKeyIsRejectedWithoutState)
{
    Fixture f;
    const Answer answer = answerIn(f.submit(request(timedKey(wallStart - window - 1_ms))));
    BOOST_TEST(answer.status == 410);
    BOOST_TEST(countOf<EnqueueTasks>(f.submit(request(timedKey(wallStart - window)))) == 1U);
}

// Guards against a second run of a submission that the dead owner may have run.
BOOST_AUTO_TEST_CASE(anIncompleteTakeoverAnswersUnknown)
{
    Fixture f;
    f.table.setIncompleteTakeover({.at = wallStart, .until = window});
    const Answer answer = answerIn(f.submit(request("untimed"), 10'000_ms));
    BOOST_TEST((answer.outcome == Outcome::Unknown));
    BOOST_TEST(answer.reason == reason::incompleteTakeover);
    BOOST_TEST(
        (answerIn(f.submit(request(timedKey(wallStart - 1_ms)), 10'000_ms)).outcome == Outcome::Unknown));
    BOOST_TEST(countOf<EnqueueTasks>(f.submit(request(timedKey(wallStart + 9'000_ms)), 10'000_ms)) == 1U);
    BOOST_TEST(countOf<EnqueueTasks>(f.submit(request("repeatable"), 10'000_ms, repeatable(2))) == 1U);
    BOOST_TEST(countOf<EnqueueTasks>(f.submit(request("untimed"), window)) == 1U);
}

// Guards against unbounded memory for answers, and against a partial answer after one was evicted.
BOOST_AUTO_TEST_CASE(oldAnswersAreDroppedButNeverRunAgain)
{
    Fixture f({.answerBytes = 16 * 1'000});
    std::vector<SubmissionRequest> all;
    for (int i = 0; i < 200; ++i) {
        all.push_back(request(std::to_string(i)));
        f.submit(all.back());
        TaskResult result = resultOf(all.back(), Outcome::Complete);
        result.answer = std::string(400, 'x');
        f.table.taskEnded(result, 0_ms);
    }
    BOOST_TEST(f.table.counters().answerBytes <= 16'000U);
    BOOST_TEST(f.table.counters().answersDropped > 0U);
    for (const SubmissionRequest &what : all) {
        const Answer answer = answerIn(f.submit(what));
        BOOST_TEST(
            (answer.status == 410 ? answer.reason == reason::answerDropped : answer.answers.size() == 1));
    }
    f.table.tick(window * 2);
    BOOST_TEST(f.table.counters().answerBytes == 0U);
}

// Guards against a lost record: a full table rejects new keys and evicts no record.
BOOST_AUTO_TEST_CASE(aFullTableRejectsNewKeys)
{
    Fixture f({.maxRecords = 16});
    size_t rejected = 0;
    for (int i = 0; i < 100; ++i) {
        const SubmissionActions actions = f.submit(request(std::to_string(i)));
        rejected += countOf<AnswerWaiter>(actions) > 0 && answerIn(actions).status == 429 ? 1 : 0;
    }
    BOOST_TEST(f.table.size() + rejected == 100U);
    BOOST_TEST(f.table.size() <= 32U);
}

// --- outcomes ---

// Guards against a second start of a call that must not be repeated.
BOOST_AUTO_TEST_CASE(anUnknownStartIsRetriedOnlyAsDeclared)
{
    Fixture f;
    const SubmissionRequest permit = request("permit");
    f.submit(permit);
    const SubmissionActions ended = f.table.taskEnded(resultOf(permit, Outcome::Unknown), 1_ms);
    BOOST_TEST(countOf<EnqueueTasks>(ended) == 0U);
    BOOST_TEST((answerIn(ended).outcome == Outcome::Unknown));

    const SubmissionRequest lookup = request("lookup");
    f.submit(lookup, 0_ms, repeatable(2));
    BOOST_TEST(countOf<EnqueueTasks>(f.table.taskEnded(resultOf(lookup, Outcome::Failed), 1_ms)) == 1U);
    const SubmissionActions last = f.table.taskEnded(resultOf(lookup, Outcome::Failed, 0, 1), 2_ms);
    BOOST_TEST((answerIn(last).outcome == Outcome::Failed));
}

// Guards against retries beyond the retry budget.
BOOST_AUTO_TEST_CASE(anEmptyRetryBudgetEndsTheTask)
{
    Fixture f({.mayRetry = [] { return false; }});
    const SubmissionRequest what = request("k");
    f.submit(what, 0_ms, repeatable(3));
    BOOST_TEST(
        (answerIn(f.table.taskEnded(resultOf(what, Outcome::Failed), 1_ms)).outcome == Outcome::Failed));
}

// Guards against `not_run` after a start whose outcome is unknown.
BOOST_AUTO_TEST_CASE(aRejectedRetryDoesNotHideTheFirstStart)
{
    Fixture f;
    const SubmissionRequest what = request("k");
    f.submit(what, 0_ms, repeatable(2));
    f.table.taskEnded(resultOf(what, Outcome::Unknown), 1_ms);
    f.table.tick(10'000_ms);
    const Answer answer = answerIn(f.table.taskEnded(resultOf(what, Outcome::NotRun, 0, 1), 10'001_ms));
    BOOST_TEST((answer.outcome == Outcome::Unknown));
}

// Guards against rejected tasks that are resent immediately: 110,000 rejections were observed at a start-up.
BOOST_AUTO_TEST_CASE(aRejectedTaskWaitsLongerEachTime)
{
    Fixture f;
    const SubmissionRequest what = request("k");
    f.submit(what);
    Millis last;
    for (uint32_t attempt = 0; attempt < 12; ++attempt) {
        const SubmissionActions actions =
            f.table.taskEnded(resultOf(what, Outcome::NotRun, 0, attempt), 0_ms);
        BOOST_REQUIRE(countOf<EnqueueTasks>(actions) == 1U);
        const Millis notBefore = std::get<EnqueueTasks>(actions.front()).notBefore;
        BOOST_TEST((notBefore >= last && notBefore >= 10_ms && notBefore <= 1'000_ms));
        last = notBefore;
    }
    BOOST_TEST(last.count == 1'000);
}

// Guards against a stored `unknown` that a late result does not update, and against late results that change
// a final answer.
BOOST_AUTO_TEST_CASE(aLateResultUpdatesUnknownOnly)
{
    Fixture f;
    const SubmissionRequest what = request("k");
    f.submit(what);
    f.table.taskEnded(resultOf(what, Outcome::Unknown), 1_ms);
    BOOST_TEST(f.table.taskEnded(resultOf(what, Outcome::Complete), 2_ms).empty());
    BOOST_TEST((answerIn(f.submit(what, 3_ms)).outcome == Outcome::Complete));
    f.table.taskEnded(resultOf(what, Outcome::Failed), 4_ms);
    BOOST_TEST((answerIn(f.submit(what, 5_ms)).outcome == Outcome::Complete));

    const SubmissionRequest rejected = request("refused");
    f.submit(rejected);
    f.table.taskEnded(resultOf(rejected, Outcome::Unknown), 1_ms);
    f.table.taskEnded(resultOf(rejected, Outcome::NotRun), 2_ms);
    BOOST_TEST((answerIn(f.submit(rejected, 3_ms)).outcome == Outcome::NotRun));
}

// Guards against a partial answer when one task of 420 is lost.
BOOST_AUTO_TEST_CASE(aJobWithOneLostTaskFails)
{
    Fixture f;
    const SubmissionRequest job = request("job", 420);
    f.submit(job);
    for (uint32_t i = 0; i < 419; ++i)
        BOOST_REQUIRE(f.table.taskEnded(resultOf(job, Outcome::Complete, i), 1_ms).empty());
    const Answer answer = answerIn(f.table.taskEnded(resultOf(job, Outcome::Unknown, 419), 2_ms));
    BOOST_TEST((answer.outcome == Outcome::Failed));
    BOOST_TEST(answer.answers.empty());
}

// Guards against duplicate and out-of-order results that are counted twice.
BOOST_AUTO_TEST_CASE(duplicatedResultsDoNotCompleteAJob)
{
    Fixture f;
    const SubmissionRequest job = request("job", 2);
    f.submit(job);
    f.table.taskEnded(resultOf(job, Outcome::Complete, 0), 1_ms);
    BOOST_TEST(f.table.taskEnded(resultOf(job, Outcome::Complete, 0), 1_ms).empty());
    BOOST_TEST(f.table.taskEnded(resultOf(job, Outcome::Complete, 7), 1_ms).empty());
    BOOST_TEST(f.table.taskEnded(resultOf(job, Outcome::Complete, 1, 3), 1_ms).empty());
    const Answer answer = answerIn(f.table.taskEnded(resultOf(job, Outcome::Complete, 1), 2_ms));
    BOOST_TEST(answer.answers.at(0) == "a0");
    BOOST_TEST(answer.answers.at(1) == "a1");
}

// Guards against a cancelled job that is reported as not run although one of its tasks ran.
BOOST_AUTO_TEST_CASE(cancellationIsTruthful)
{
    Fixture f;
    const SubmissionRequest job = request("job", 3);
    f.submit(job);
    BOOST_TEST(countOf<CancelTask>(f.table.cancel(job.key, 1_ms)) == 3U);
    BOOST_TEST(f.table.cancel(job.key, 1_ms).empty());
    f.table.taskEnded(resultOf(job, Outcome::NotRun, 0), 2_ms);
    f.table.taskEnded(resultOf(job, Outcome::Failed, 1), 2_ms);
    const Answer ran = answerIn(f.table.taskEnded(resultOf(job, Outcome::NotRun, 2), 2_ms));
    BOOST_TEST((ran.outcome == Outcome::Failed));
    BOOST_TEST(ran.reason == reason::cancelled);

    const SubmissionRequest queued = request("queued", 2);
    f.submit(queued);
    f.table.cancel(queued.key, 1_ms);
    f.table.taskEnded(resultOf(queued, Outcome::NotRun, 0), 2_ms);
    const Answer none = answerIn(f.table.taskEnded(resultOf(queued, Outcome::NotRun, 1), 2_ms));
    BOOST_TEST((none.outcome == Outcome::NotRun));
}

// Guards against a request that is reported as failed because of its deadline although its result arrived.
BOOST_AUTO_TEST_CASE(aResultThatCrossesTheDeadlineCompletes)
{
    Fixture f;
    const SubmissionRequest what = request("k");
    f.submit(what);
    BOOST_TEST(countOf<CancelTask>(f.table.tick(10'000_ms)) == 1U);
    BOOST_TEST((answerIn(f.table.taskEnded(resultOf(what, Outcome::Complete), 10'001_ms)).outcome
                == Outcome::Complete));
}

// --- change of ownership ---

// Guards against a second run at the new owner of a key, and against an answer that is lost in the transfer.
BOOST_AUTO_TEST_CASE(handedOverKeysAreAnsweredByTheNewOwner)
{
    Fixture from;
    const SubmissionRequest done = request("done");
    const SubmissionRequest running = request("running");
    from.submit(done);
    from.submit(running);
    from.table.taskEnded(resultOf(done, Outcome::Complete), 1_ms);
    const auto all = [](const Fingerprint &) { return true; };

    Fixture to;
    to.table.importRecords(from.table.exportRecords(all, {.name = "e1", .incarnation = 3}, 2_ms), 2_ms);
    BOOST_TEST(answerIn(to.submit(done, 3_ms)).answers.at(0) == "a0");
    const SubmissionActions held = to.submit(running, 3_ms);
    BOOST_TEST(countOf<EnqueueTasks>(held) == 0U);
    BOOST_REQUIRE(countOf<AskHolder>(held) == 1U);
    BOOST_TEST(std::get<AskHolder>(held.front()).holder.name == "e1");
    BOOST_TEST(answerIn(to.submit(request("running", 1, 9), 3_ms)).status == 409);
    BOOST_TEST(to.table.holderAnswered(running.key, *from.table.lookup(running.key), 4_ms).empty());
    BOOST_TEST(countOf<AskHolder>(to.table.tick(2'000_ms)) == 1U);
    from.table.taskEnded(resultOf(running, Outcome::Complete), 5_ms);
    const SubmissionActions answered =
        to.table.holderAnswered(running.key, *from.table.lookup(running.key), 6_ms);
    BOOST_TEST((answerIn(answered).outcome == Outcome::Complete));
}

// Guards against a second run when the holder was restarted and has no record of the key.
BOOST_AUTO_TEST_CASE(aHolderWithoutARecordMeansUnknown)
{
    Fixture f;
    const SubmissionRequest what = request("k");
    f.table.importRecords(
        std::vector<KeyRecord>{{.key = what.key, .bodyHash = 7, .holder = {.name = "e1", .incarnation = 3}}},
        0_ms);
    f.submit(what);
    const Answer answer = answerIn(f.table.holderAnswered(what.key, {.status = 404}, 1_ms));
    BOOST_TEST((answer.outcome == Outcome::Unknown));
}

// Guards against tombstones that are lost when a key is transferred.
BOOST_AUTO_TEST_CASE(tombstonesMoveWithTheirKeys)
{
    Fixture f;
    const SubmissionRequest what = request("k");
    f.table.importTombstones(std::vector<Fingerprint>{what.key});
    BOOST_TEST(answerIn(f.submit(what)).status == 410);
    BOOST_TEST(f.table.exportTombstones([](const Fingerprint &) { return true; }).size() == 1U);
}

static AgentRecord agentRecord(const SubmissionRequest &what, Outcome outcome, uint32_t index = 0,
                               uint32_t attempt = 0)
{
    return {.task = {.submission = what.key, .index = index, .attempt = attempt},
            .taskCount = static_cast<uint32_t>(what.tasks.size()),
            .bodyHash = what.bodyHash,
            .result = resultOf(what, outcome, index, attempt)};
}

// Guards against a second run of submissions that a dead entry ran, and against a partial answer to a job.
BOOST_AUTO_TEST_CASE(aTakeoverAnswersFromAgentRecords)
{
    Fixture f;
    const SubmissionRequest done = request("done");
    const SubmissionRequest whole = request("whole", 2);
    const SubmissionRequest partial = request("partial", 2);
    f.table.importAgentRecords(std::vector<AgentRecord>{agentRecord(done, Outcome::NotRun, 0, 0),
                                                        agentRecord(done, Outcome::Complete, 0, 1),
                                                        agentRecord(whole, Outcome::Complete, 1),
                                                        agentRecord(whole, Outcome::Complete, 0),
                                                        agentRecord(partial, Outcome::Complete, 0)},
                               0_ms);
    BOOST_TEST(f.submit(done).empty());
    // A takeover of other keys settles none of these submissions.
    BOOST_TEST(f.table.finishTakeover(true, [](const Fingerprint &) { return false; }).empty());
    f.table.finishTakeover(true, {});
    BOOST_TEST((answerIn(f.submit(done, 2_ms)).outcome == Outcome::Complete));
    BOOST_TEST(answerIn(f.submit(whole, 2_ms)).answers.size() == 2U);
    const Answer lost = answerIn(f.submit(partial, 2_ms));
    BOOST_TEST((lost.outcome == Outcome::Failed));
    BOOST_TEST(lost.reason == reason::entryLost);
    BOOST_TEST(answerIn(f.submit(request("done", 1, 8), 2_ms)).status == 409);
}

// Guards against `not_run` for a request of which another agent may have started an attempt.
BOOST_AUTO_TEST_CASE(aRejectionProvesNothingAfterAnIncompleteTakeover)
{
    Fixture f;
    const SubmissionRequest what = request("k");
    f.table.importAgentRecords(std::vector<AgentRecord>{agentRecord(what, Outcome::NotRun)}, 0_ms);
    f.table.finishTakeover(false, {});
    BOOST_TEST((answerIn(f.submit(what, 2_ms)).outcome == Outcome::Unknown));
    // A record that arrives late replaces the unknown outcome.
    f.table.importAgentRecords(std::vector<AgentRecord>{agentRecord(what, Outcome::Complete, 0, 1)}, 3_ms);
    f.table.finishTakeover(false, {});
    BOOST_TEST((answerIn(f.submit(what, 4_ms)).outcome == Outcome::Complete));
}

// Guards against a second run of a submission of which only the claim in the log remains.
BOOST_AUTO_TEST_CASE(aClaimedKeyIsUnknownUntilAnAgentKnowsMore)
{
    Fixture f;
    const SubmissionRequest what = request("k");
    const SubmissionRequest job = request("job", 2);
    f.table.importClaims(std::vector<Fingerprint>{what.key, job.key}, 0_ms);
    f.table.finishTakeover(false, {});
    BOOST_TEST((answerIn(f.submit(what, 2_ms)).outcome == Outcome::Unknown));
    f.table.importAgentRecords(std::vector<AgentRecord>{agentRecord(job, Outcome::Complete, 0),
                                                        agentRecord(job, Outcome::Complete, 1)},
                               3_ms);
    f.table.finishTakeover(false, {});
    BOOST_TEST((answerIn(f.submit(job, 4_ms)).outcome == Outcome::Complete));
    BOOST_TEST(answerIn(f.submit(request("job", 2, 9), 4_ms)).status == 409);
}

// Guards against an answer before a task that is still running has ended.
BOOST_AUTO_TEST_CASE(aRunningImportedTaskIsWaitedFor)
{
    Fixture f;
    const SubmissionRequest what = request("k");
    AgentRecord running = agentRecord(what, Outcome::Unknown);
    running.running = true;
    f.table.importAgentRecords(std::vector<AgentRecord>{running}, 0_ms);
    f.table.finishTakeover(true, {});
    BOOST_TEST(f.submit(what, 2_ms).empty());
    BOOST_TEST(
        (answerIn(f.table.taskEnded(resultOf(what, Outcome::Complete), 3_ms)).outcome == Outcome::Complete));
}

BOOST_AUTO_TEST_SUITE_END()
