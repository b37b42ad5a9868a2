// Tests of the queue, the selection of targets and the balance of credits.
#include "routing/router.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace turmericwell;
using namespace turmericwell::literals;

namespace {

struct TaskSpec
{
    uint32_t index = 0;
    std::string team;
    uint32_t accelerators = 0;
    Millis deadline = 1'000_ms;
};

QueuedTask makeTask(const TaskSpec &spec)
{
    return {.start = {.task = {.submission = {.high = 1, .low = 2}, .index = spec.index},
                      .service = "kiosk",
                      .team = spec.team},
            .needs = {.accelerators = spec.accelerators},
            .deadline = spec.deadline};
}

TargetInfo makeTarget(const std::string &zone, uint32_t accelerators = 0)
{
    return {.service = "kiosk", .zone = zone, .slots = 8, .cores = 16, .accelerators = accelerators};
}

std::string agentName(size_t index)
{
    return "agent-" + std::to_string(index);
}

// A router with targets in one zone, each with the given credits.
Router makeRouter(size_t targets, uint32_t credits, std::string_view policy = "credits")
{
    Router router({.zone = "thamel", .policy = *makePolicy(policy, 7)});
    for (size_t i = 0; i < targets; ++i) {
        router.agentUp(agentName(i), makeTarget("thamel"));
        router.grant(agentName(i), credits, 1);
    }
    return router;
}

void enqueueTasks(Router &router, uint32_t first, uint32_t count, const std::string &team = "")
{
    for (uint32_t i = 0; i < count; ++i)
        router.enqueue(makeTask({.index = first + i, .team = team}));
}

uint32_t sumOf(const std::vector<CreditAmount> &amounts)
{
    uint32_t total = 0;
    for (const CreditAmount &amount : amounts)
        total += amount.credits;
    return total;
}

} // namespace

BOOST_AUTO_TEST_SUITE(routing)

// Guards against credits that are used twice or lost.
BOOST_AUTO_TEST_CASE(eachCreditStartsOneTask)
{
    Router router = makeRouter(3, 2);
    enqueueTasks(router, 0, 10);
    BOOST_TEST(router.assign().size() == 6);
    BOOST_TEST(router.idleCredits() == 0);
    BOOST_TEST(router.queued() == 4);
    router.creditReturned("agent-1", 1);
    const std::vector<Assignment> next = router.assign();
    BOOST_REQUIRE(next.size() == 1);
    BOOST_TEST(next.front().agent == "agent-1");
    BOOST_TEST(next.front().task.start.usesCredit);
}

// Guards against the use of credits from an epoch that the agent has ended.
BOOST_AUTO_TEST_CASE(creditsOfAnOlderEpochAreVoid)
{
    Router router = makeRouter(1, 3);
    router.grant("agent-0", 2, 2);
    BOOST_TEST(router.idleCredits() == 2);
    router.creditReturned("agent-0", 1);
    BOOST_TEST(router.idleCredits() == 2);
}

BOOST_AUTO_TEST_CASE(lowerLatencyComesBeforeMoreCredits)
{
    Router router({.zone = "thamel"});
    router.setLatencies({{"patan", 1.5}, {"far", 9}});
    router.agentUp("far", makeTarget("far"));
    router.agentUp("patan", makeTarget("patan"));
    router.agentUp("own", makeTarget("thamel"));
    router.grant("far", 8, 1);
    router.grant("patan", 3, 1);
    router.grant("own", 1, 1);
    enqueueTasks(router, 0, 5);
    const std::vector<Assignment> assigned = router.assign();
    BOOST_REQUIRE(assigned.size() == 5);
    BOOST_TEST(assigned[0].agent == "own");
    BOOST_TEST(assigned[1].agent == "patan");
    BOOST_TEST(assigned[3].agent == "patan");
    BOOST_TEST(assigned[4].agent == "far");
}

// Guards against starts at a withdrawn target for which the entry still has credits, and against the loss of
// those credits.
BOOST_AUTO_TEST_CASE(creditsOfUnusableTargetsAreSetAside)
{
    Router router = makeRouter(2, 2);
    router.setUsable("agent-0", false);
    BOOST_TEST(router.idleCredits() == 2);
    enqueueTasks(router, 0, 3);
    BOOST_TEST(router.assign().size() == 2);
    router.setUsable("agent-0", true);
    BOOST_TEST(router.assign().size() == 1);
    BOOST_TEST(router.idleCredits() == 1);
}

// Guards against a queue that is blocked by a task which only targets without a credit can run.
BOOST_AUTO_TEST_CASE(aTaskWithRareNeedsDoesNotBlockOthers)
{
    Router router = makeRouter(1, 2);
    router.agentUp("gpu", makeTarget("thamel", 4));
    router.enqueue(makeTask({.index = 0, .accelerators = 4}));
    router.enqueue(makeTask({.index = 1}));
    const std::vector<Assignment> assigned = router.assign();
    BOOST_REQUIRE(assigned.size() == 1);
    BOOST_TEST(assigned.front().task.start.task.index == 1U);
    router.grant("gpu", 1, 1);
    const std::vector<Assignment> later = router.assign();
    BOOST_REQUIRE(later.size() == 1);
    BOOST_TEST(later.front().agent == "gpu");
    BOOST_TEST(!router.canEverRun("kiosk", {.accelerators = 5}));
}

// Guards against a team that floods the queue and starves others.
BOOST_AUTO_TEST_CASE(teamsShareByWeight)
{
    Router router = makeRouter(1, 40);
    router.setTeamWeights({{"kiosks", 4}, {"ledger", 1}});
    enqueueTasks(router, 0, 200, "ledger");
    enqueueTasks(router, 1'000, 200, "kiosks");
    size_t kiosks = 0;
    for (const Assignment &assignment : router.assign())
        kiosks += assignment.task.start.team == "kiosks" ? 1 : 0;
    BOOST_TEST(kiosks == 32);
}

// Guards against a team that loses its turn when another team is removed from the ring.
BOOST_AUTO_TEST_CASE(noTeamIsSkippedWhenOthersEmpty)
{
    Router router = makeRouter(1, 100);
    for (uint32_t team = 0; team < 5; ++team)
        enqueueTasks(router, team * 100, team + 1, "team-" + std::to_string(team));
    BOOST_TEST(router.removeQueued({.submission = {.high = 1, .low = 2}, .index = 200}).has_value());
    BOOST_TEST(!router.removeQueued({.submission = {.high = 1, .low = 2}, .index = 200}).has_value());
    BOOST_TEST(router.assign().size() == 14);
    BOOST_TEST(router.queued() == 0);
}

BOOST_AUTO_TEST_CASE(expiredTasksLeaveTheQueue)
{
    Router router = makeRouter(0, 0);
    router.enqueue(makeTask({.index = 0, .deadline = 100_ms}));
    router.enqueue(makeTask({.index = 1, .deadline = 300_ms}));
    BOOST_TEST(router.removeExpired(99_ms).empty());
    BOOST_TEST(router.removeExpired(100_ms).size() == 1);
    BOOST_TEST(router.removeExpired(300_ms).size() == 1);
    BOOST_TEST(router.queued() == 0);
}

// Guards against a loop of starts and rejections between an entry and a busy agent.
BOOST_AUTO_TEST_CASE(aBusyAgentGetsNoStartUntilItReports)
{
    Router router = makeRouter(1, 4);
    router.startRejectedAsBusy("agent-0");
    enqueueTasks(router, 0, 2);
    BOOST_TEST(router.assign().empty());
    router.loadReported("agent-0", 3);
    BOOST_TEST(router.assign().size() == 2);
}

// Guards against a target that fails immediately and therefore attracts all load.
BOOST_AUTO_TEST_CASE(anEjectedTargetGetsNoTasks)
{
    Router router = makeRouter(3, 8);
    for (int i = 0; i < 4; ++i)
        BOOST_TEST(!router.targetAnswered("agent-0", true, 0_ms));
    BOOST_TEST(router.targetAnswered("agent-0", true, 0_ms));
    BOOST_TEST(router.idleCredits() == 16);
    enqueueTasks(router, 0, 20);
    for (const Assignment &assignment : router.assign())
        BOOST_TEST(assignment.agent != "agent-0");
    BOOST_TEST(router.tick(4'999_ms).empty());
    BOOST_TEST(router.tick(5'000_ms).size() == 1);
    BOOST_TEST(router.assign().size() == 4);
}

BOOST_AUTO_TEST_CASE(powerOfTwoAvoidsTheLoadedTarget)
{
    Router router = makeRouter(10, 0, "powerOfTwo");
    router.loadReported("agent-3", 1'000);
    enqueueTasks(router, 0, 500);
    std::map<std::string, size_t> tasks;
    for (const Assignment &assignment : router.assign())
        ++tasks[assignment.agent];
    // agent-3 is chosen only if both random draws select it: 1 in 100.
    BOOST_TEST(tasks["agent-3"] < 20);
    BOOST_TEST(tasks["agent-0"] > 30);
}

BOOST_AUTO_TEST_CASE(randomUsesNoCreditsAndAllOpenTargets)
{
    Router router = makeRouter(4, 0, "random");
    router.setUsable("agent-2", false);
    enqueueTasks(router, 0, 300);
    std::map<std::string, size_t> tasks;
    for (const Assignment &assignment : router.assign()) {
        BOOST_TEST(!assignment.task.start.usesCredit);
        ++tasks[assignment.agent];
    }
    BOOST_TEST(tasks.size() == 3);
    BOOST_TEST(tasks["agent-0"] > 60);
}

// Guards against credits that are created or lost during a transfer, and against an entry that accumulates
// them.
BOOST_AUTO_TEST_CASE(idleCreditsEvenOutBetweenEntries)
{
    Router router = makeRouter(11, 2);
    BOOST_TEST(sumOf(router.takeSurplusCredits(2, 0)) == 10);
    BOOST_TEST(router.idleCredits() == 12);
    BOOST_TEST(router.takeSurplusCredits(12, 0).empty());
    BOOST_TEST(sumOf(router.takeSurplusCredits(0, 100)) == 6);
    BOOST_TEST(router.idleCredits() == 6);
}

// Guards against a task that is never started because a peer has all credits of the kind it needs, while its
// own entry has as many idle credits of another kind.
BOOST_AUTO_TEST_CASE(aWaitingPeerGetsCreditsOfEachKind)
{
    Router router = makeRouter(4, 2);
    router.agentUp("gpu", makeTarget("thamel", 4));
    router.grant("gpu", 1, 1);
    const std::vector<CreditAmount> moved = router.takeSurplusCredits(9, 2);
    BOOST_TEST(sumOf(moved) == 2);
    BOOST_TEST(std::any_of(moved.begin(), moved.end(),
                           [](const CreditAmount &credit) { return credit.agent == "gpu"; }));
}

// Guards against an entry that retains credits which its queued tasks cannot use.
BOOST_AUTO_TEST_CASE(anEntryWithAQueueSharesCreditsThatItCannotUse)
{
    Router router = makeRouter(2, 4);
    router.agentUp("gpu", makeTarget("thamel", 4));
    router.enqueue(makeTask({.index = 0, .accelerators = 4}));
    BOOST_TEST(router.assign().empty());
    BOOST_TEST(sumOf(router.takeSurplusCredits(0, 0)) == 4);
}

// Guards against tasks that stay queued while another entry has the last idle credit.
BOOST_AUTO_TEST_CASE(theLastIdleCreditGoesToAWaitingPeer)
{
    Router router = makeRouter(1, 1);
    BOOST_TEST(router.takeSurplusCredits(0, 0).empty());
    BOOST_TEST(sumOf(router.takeSurplusCredits(0, 3)) == 1);
}

BOOST_AUTO_TEST_SUITE_END()
