// Tests of the dispatcher: lost agents, cancellation, backoff and limits.
#include "dispatch/dispatcher.h"

#include <boost/test/unit_test.hpp>

using namespace turmericwell;
using namespace turmericwell::literals;

namespace {

template <typename Action>
std::vector<Action> actionsOf(const DispatchActions &actions)
{
    std::vector<Action> result;
    for (const DispatchAction &action : actions) {
        if (const auto *one = std::get_if<Action>(&action))
            result.push_back(*one);
    }
    return result;
}

size_t tasksSent(const DispatchActions &actions)
{
    size_t count = 0;
    for (const SendTasks &batch : actionsOf<SendTasks>(actions))
        count += batch.tasks.size();
    return count;
}

// One agent "a" with ten slots, and a service with one call that must not be repeated and one that may be.
struct Fixture
{
    explicit Fixture(uint32_t teamMaxRunning = 0)
        : dispatcher({.reconnect = 3'000_ms, .answerGrace = 2'000_ms})
    {
        Config config;
        config.declarations.services.push_back(
            {.name = "s",
             .calls = {{.name = "permit"}, {.name = "lookup", .repeatable = true, .maxStarts = 3}}});
        config.declarations.teams.push_back({.name = "t", .maxRunning = teamMaxRunning});
        dispatcher.setConfig(std::make_shared<Config>(std::move(config)));
        dispatcher.setMayStart(true);
        agentUp(1, 0_ms);
        dispatcher.creditsGranted("a", 10, 1, 0_ms);
    }

    DispatchActions agentUp(uint64_t incarnation, Millis now)
    {
        return dispatcher.agentUp({.name = "a", .incarnation = incarnation},
                                  {.name = "a", .service = "s", .slots = 10}, false, now);
    }

    DispatchActions submit(const std::string &key, Millis now, size_t tasks = 1,
                           const std::string &call = "permit")
    {
        return dispatcher.submit({.kind = tasks > 1 ? SubmissionKind::Job : SubmissionKind::Request,
                                  .key = Fingerprint::ofKey("s", key),
                                  .keyText = key,
                                  .service = "s",
                                  .call = call,
                                  .team = "t",
                                  .tasks = std::vector<std::string>(tasks, "null"),
                                  .budget = 10'000_ms},
                                 1, now);
    }

    DispatchActions report(const TaskRef &task, Outcome outcome, Millis now)
    {
        return dispatcher.report(
            {.agent = "a",
             .results = {{.task = task, .outcome = outcome, .reason = "stale", .returnsCredit = true}},
             .creditEpoch = 1},
            now);
    }

    Dispatcher dispatcher;
};

TaskRef refOf(const std::string &key, uint32_t attempt = 0)
{
    return {.submission = Fingerprint::ofKey("s", key), .attempt = attempt};
}

} // namespace

BOOST_AUTO_TEST_SUITE(dispatch)

// Guards against an outcome that is assumed when a connection is interrupted briefly.
BOOST_AUTO_TEST_CASE(aReconnectedAgentDeterminesTheStateOfItsTasks)
{
    Fixture f;
    for (const char *key : {"revoked", "running", "finished"})
        BOOST_TEST(tasksSent(f.submit(key, 0_ms)) == 1U);
    BOOST_TEST(f.dispatcher.agentLost("a", 100_ms).empty());
    BOOST_TEST(actionsOf<AnswerWaiter>(f.dispatcher.tick(3'000_ms)).empty());
    BOOST_TEST(actionsOf<SendRevoke>(f.agentUp(1, 3'050_ms)).size() == 3U);
    f.dispatcher.creditsGranted("a", 10, 2, 3'050_ms);

    DispatchActions actions =
        f.dispatcher.revokeAnswered({.agent = "a", .task = refOf("running"), .running = true}, 3'060_ms);
    BOOST_TEST(actions.empty());
    actions = f.dispatcher.revokeAnswered(
        {.agent = "a",
         .task = refOf("finished"),
         .result = {.task = refOf("finished"), .outcome = Outcome::Complete, .answer = "1"}},
        3'060_ms);
    BOOST_TEST((actionsOf<AnswerWaiter>(actions).at(0).answer.outcome == Outcome::Complete));
    f.dispatcher.revokeAnswered(
        {.agent = "a",
         .task = refOf("revoked"),
         .result = {.task = refOf("revoked"), .outcome = Outcome::NotRun, .reason = "revoked"}},
        3'060_ms);
    BOOST_TEST(actionsOf<SendTasks>(f.dispatcher.tick(3'100_ms)).at(0).tasks.at(0).task.attempt == 1U);
}

// Guards against `not_run` or a second start for tasks whose agent does not reconnect, and against a caller
// that is never answered.
BOOST_AUTO_TEST_CASE(tasksAreLostIfTheAgentDoesNotReconnect)
{
    Fixture f;
    f.submit("permit", 0_ms);
    f.submit("lookup", 0_ms, 1, "lookup");
    f.dispatcher.agentLost("a", 100_ms);
    const std::vector<AnswerWaiter> answers = actionsOf<AnswerWaiter>(f.dispatcher.tick(3'100_ms));
    BOOST_REQUIRE(answers.size() == 1U);
    BOOST_TEST((answers.at(0).answer.outcome == Outcome::Unknown));
    BOOST_TEST(answers.at(0).answer.reason == reason::agentLost);
    BOOST_TEST(f.dispatcher.queued() == 1U);
    // The same incarnation reconnects after all: its results still update the stored answer.
    BOOST_TEST(actionsOf<SendRevoke>(f.agentUp(1, 5'000_ms)).size() == 2U);
    f.dispatcher.revokeAnswered(
        {.agent = "a",
         .task = refOf("permit"),
         .result = {.task = refOf("permit"), .outcome = Outcome::Complete, .answer = "1"}},
        5'010_ms);
    BOOST_TEST((f.dispatcher.lookup(refOf("permit").submission)->outcome == Outcome::Complete));
}

BOOST_AUTO_TEST_CASE(anotherIncarnationLosesTheTasksAtOnce)
{
    Fixture f;
    f.submit("permit", 0_ms);
    f.dispatcher.agentLost("a", 100_ms);
    const DispatchActions actions = f.agentUp(2, 200_ms);
    BOOST_TEST(actionsOf<SendRevoke>(actions).empty());
    BOOST_TEST((actionsOf<AnswerWaiter>(actions).at(0).answer.outcome == Outcome::Unknown));
    BOOST_TEST(f.dispatcher.tasksInFlight() == 0U);
}

// Guards against a caller that is never answered because an agent is unresponsive, and against a credit that
// is lost with the late result.
BOOST_AUTO_TEST_CASE(anUnresponsiveAgentMakesTheTaskUnknown)
{
    Fixture f;
    f.submit("k", 0_ms);
    BOOST_TEST(actionsOf<SendRevoke>(f.dispatcher.tick(10'000_ms)).size() == 1U);
    BOOST_TEST(actionsOf<AnswerWaiter>(f.dispatcher.tick(11'900_ms)).empty());
    const std::vector<AnswerWaiter> answers = actionsOf<AnswerWaiter>(f.dispatcher.tick(12'000_ms));
    BOOST_TEST((answers.at(0).answer.outcome == Outcome::Unknown));
    BOOST_TEST(f.dispatcher.idleCredits() == 9U);
    f.report(refOf("k"), Outcome::Complete, 13'000_ms);
    BOOST_TEST(f.dispatcher.idleCredits() == 10U);
    BOOST_TEST((f.dispatcher.lookup(refOf("k").submission)->outcome == Outcome::Complete));
}

// Guards against a credit that is lost or returned twice after a revocation: the agent reports the rejected
// task, with the credit, before it answers the revocation.
BOOST_AUTO_TEST_CASE(aRevokedTaskReturnsItsCreditOnce)
{
    Fixture f;
    f.submit("k", 0_ms);
    f.dispatcher.cancel(refOf("k").submission, 1_ms);
    const DispatchActions actions = f.report(refOf("k"), Outcome::NotRun, 2_ms);
    BOOST_TEST((actionsOf<AnswerWaiter>(actions).at(0).answer.outcome == Outcome::NotRun));
    const TaskResult revoked{.task = refOf("k"), .outcome = Outcome::NotRun, .returnsCredit = true};
    BOOST_TEST(
        f.dispatcher.revokeAnswered({.agent = "a", .task = refOf("k"), .result = revoked}, 2_ms).empty());
    f.report(refOf("k"), Outcome::NotRun, 3_ms);
    BOOST_TEST(f.dispatcher.idleCredits() == 10U);
    BOOST_TEST(f.dispatcher.tasksInFlight() == 0U);
}

// Guards against a cancelled task that still starts.
BOOST_AUTO_TEST_CASE(aCancellationWaveEndsQueuedAndStopsRunningTasks)
{
    Fixture f;
    BOOST_TEST(tasksSent(f.submit("job", 0_ms, 420)) == 10U);
    const DispatchActions actions = f.dispatcher.cancel(refOf("job").submission, 1_ms);
    BOOST_TEST(actionsOf<SendRevoke>(actions).size() == 10U);
    BOOST_TEST(tasksSent(actions) == 0U);
    BOOST_TEST(f.dispatcher.queued() == 0U);
    const DispatchActions stop =
        f.dispatcher.revokeAnswered({.agent = "a", .task = refOf("job"), .running = true}, 2_ms);
    BOOST_TEST(actionsOf<SendStop>(stop).size() == 1U);
}

// Guards against rejected tasks that are resent in a loop.
BOOST_AUTO_TEST_CASE(aRejectedTaskIsNotResentAtOnce)
{
    Fixture f;
    f.submit("k", 0_ms);
    BOOST_TEST(tasksSent(f.report(refOf("k"), Outcome::NotRun, 1_ms)) == 0U);
    BOOST_TEST(f.dispatcher.limitCounters().tasksParked == 1U);
    BOOST_TEST(tasksSent(f.dispatcher.tick(10_ms)) == 0U);
    BOOST_TEST(tasksSent(f.dispatcher.tick(11_ms)) == 1U);
    BOOST_TEST(tasksSent(f.report(refOf("k", 1), Outcome::NotRun, 12_ms)) == 0U);
    // Cancellation and the deadline also apply to a task during its backoff.
    const DispatchActions cancelled = f.dispatcher.cancel(refOf("k").submission, 13_ms);
    BOOST_TEST((actionsOf<AnswerWaiter>(cancelled).at(0).answer.outcome == Outcome::NotRun));
    BOOST_TEST(f.dispatcher.limitCounters().tasksParked == 0U);
}

// Guards against a team that exceeds its quota of running tasks, and against throttled tasks that are never
// released.
BOOST_AUTO_TEST_CASE(aTeamRunsAtMostItsQuota)
{
    Fixture f(2);
    DispatchActions actions = f.submit("job", 0_ms, 7);
    size_t sent = 0;
    std::vector<AnswerWaiter> answers;
    while (answers.empty() && sent < 100) {
        BOOST_REQUIRE(f.dispatcher.tasksInFlight() <= 2U);
        DispatchActions next;
        for (const SendTasks &batch : actionsOf<SendTasks>(actions)) {
            for (const TaskStart &start : batch.tasks) {
                ++sent;
                DispatchActions more = f.report(start.task, Outcome::Complete, 1_ms);
                std::move(more.begin(), more.end(), std::back_inserter(next));
            }
        }
        actions = std::move(next);
        answers = actionsOf<AnswerWaiter>(actions);
    }
    BOOST_TEST(sent == 7U);
    BOOST_REQUIRE(answers.size() == 1U);
    BOOST_TEST((answers.at(0).answer.outcome == Outcome::Complete));
}

// Guards against `not_run` for a key whose submission is running, when the limits reject new work.
BOOST_AUTO_TEST_CASE(aKnownKeyIsNotRejectedByLimits)
{
    Fixture f;
    f.submit("k", 0_ms);
    f.submit("fill", 0_ms, 9'995);
    BOOST_TEST(actionsOf<AnswerWaiter>(f.submit("new", 1_ms, 20)).at(0).answer.status == 429);
    BOOST_TEST(actionsOf<AnswerWaiter>(f.submit("k", 1_ms)).empty());
}

// Guards against rejection as impossible while the only suitable agent is disconnected briefly.
BOOST_AUTO_TEST_CASE(aDisconnectedAgentDoesNotMakeTasksImpossible)
{
    Fixture f;
    f.dispatcher.agentLost("a", 1_ms);
    BOOST_TEST(actionsOf<AnswerWaiter>(f.submit("k", 2_ms)).empty());
}

BOOST_AUTO_TEST_SUITE_END()
