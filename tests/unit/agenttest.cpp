// Tests of the agent's state machine with a controlled clock.
#include "agent/agentcore.h"

#include <boost/test/unit_test.hpp>
#include <random>

using namespace turmericwell;
using namespace turmericwell::literals;

namespace {

const ProcessId entryA = {.name = "entry-a", .incarnation = 1};
const ProcessId entryB = {.name = "entry-b", .incarnation = 1};

TaskStart makeStart(uint32_t index, bool usesCredit = true)
{
    return {.task = {.submission = {.high = 1, .low = 2}, .index = index},
            .service = "kiosk",
            .budget = {10'000},
            .usesCredit = usesCredit};
}

template <typename Action>
std::vector<Action> actionsOf(const AgentActions &actions)
{
    std::vector<Action> result;
    for (const AgentAction &action : actions) {
        if (const auto *found = std::get_if<Action>(&action))
            result.push_back(*found);
    }
    return result;
}

uint32_t creditsIn(const AgentActions &actions)
{
    uint32_t total = 0;
    for (const SendCredits &grant : actionsOf<SendCredits>(actions))
        total += grant.credits;
    return total;
}

// An agent with two slots, fresh evidence at time 0 and one connected entry.
struct Fixture
{
    Fixture()
        : core({.freshness = 3'000_ms, .dedupWindow = 60'000_ms, .returnRamp = 1'000_ms, .maxQueued = 2})
    {
        core.targetAnnounced({.name = "t", .service = "kiosk", .slots = 2, .connections = 64}, false, 0_ms);
        core.recordEvidence(0_ms);
        core.entryConnected(entryA, 0_ms);
    }

    AgentActions finish(uint32_t index, Millis now)
    {
        return core.taskEnded({.task = makeStart(index).task, .outcome = Outcome::Complete, .answer = "x"},
                              now);
    }

    // Renews the target's lease.
    void announce(Millis now)
    {
        core.targetAnnounced({.name = "t", .service = "kiosk", .slots = 2, .connections = 64}, false, now);
    }

    AgentCore core;
};

std::string rejectionIn(const AgentActions &actions)
{
    const std::vector<SendResult> results = actionsOf<SendResult>(actions);
    BOOST_REQUIRE_EQUAL(results.size(), 1U);
    BOOST_TEST((results.front().result.outcome == Outcome::NotRun));
    return results.front().result.reason;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(agent, Fixture)

// Guards against a task that is started twice when an entry sends the same attempt again (G1).
BOOST_AUTO_TEST_CASE(duplicateStartRunsOnce)
{
    BOOST_TEST(actionsOf<RunOnTarget>(core.start(entryA, makeStart(0), 1_ms)).size() == 1);
    BOOST_TEST(core.start(entryA, makeStart(0), 2_ms).empty());
    finish(0, 3_ms);
    const AgentActions again = core.start(entryA, makeStart(0), 4_ms);
    BOOST_TEST(actionsOf<RunOnTarget>(again).empty());
    BOOST_TEST(actionsOf<SendResult>(again).size() == 1);
}

// Guards against more running tasks than the target has slots when entries send starts without credits.
BOOST_AUTO_TEST_CASE(slotsAndQueueAreBounded)
{
    size_t started = 0;
    for (uint32_t i = 0; i < 4; ++i)
        started += actionsOf<RunOnTarget>(core.start(entryA, makeStart(i, false), 1_ms)).size();
    BOOST_TEST(started == 2);
    BOOST_TEST(rejectionIn(core.start(entryA, makeStart(4, false), 1_ms)) == reason::busy);
    BOOST_TEST(actionsOf<RunOnTarget>(finish(0, 2_ms)).size() == 1);
}

// Guards against starts by an agent that was paused or disconnected for longer than the freshness bound (G3).
BOOST_AUTO_TEST_CASE(staleEvidenceRejectsStartsAndQueue)
{
    core.start(entryA, makeStart(0), 1_ms);
    core.start(entryA, makeStart(1), 1_ms);
    core.start(entryA, makeStart(2, false), 1_ms);
    announce(2'500_ms);
    BOOST_TEST(rejectionIn(core.tick(3'001_ms)) == reason::stale);
    BOOST_TEST(rejectionIn(core.start(entryA, makeStart(3), 3'002_ms)) == reason::stale);
    // Evidence from before the pause that is read after it is not fresh.
    core.recordEvidence(1_ms);
    BOOST_TEST(rejectionIn(core.start(entryA, makeStart(4), 3'003_ms)) == reason::stale);
    BOOST_TEST(!core.mayStillStart(3'003_ms));
}

// Guards against queued tasks that start after their zone was withdrawn (G3).
BOOST_AUTO_TEST_CASE(withdrawalRejectsQueuedTasks)
{
    for (uint32_t i = 0; i < 3; ++i)
        core.start(entryA, makeStart(i, false), 1_ms);
    const AgentActions actions = core.applySlice({.configVersion = 2, .zoneWithdrawn = true}, 2_ms);
    BOOST_TEST(rejectionIn(actions) == reason::zoneWithdrawn);
    BOOST_TEST(actionsOf<RunOnTarget>(finish(0, 3_ms)).empty());
}

// Guards against an older configuration that arrives late and returns a withdrawn zone to service (G9).
BOOST_AUTO_TEST_CASE(olderSliceIsIgnored)
{
    core.applySlice({.configVersion = 3, .zoneWithdrawn = true}, 1_ms);
    core.applySlice({.configVersion = 2, .zoneWithdrawn = false}, 2_ms);
    BOOST_TEST(rejectionIn(core.start(entryA, makeStart(0), 3_ms)) == reason::zoneWithdrawn);
}

// Guards against new tasks on a leaving target (G7) and against stopping its running task (G8).
BOOST_AUTO_TEST_CASE(leavingTargetOnlyFinishesRunningTasks)
{
    core.start(entryA, makeStart(0), 1_ms);
    core.targetAnnounced({.name = "t", .service = "kiosk", .slots = 2}, true, 2_ms);
    BOOST_TEST(rejectionIn(core.start(entryA, makeStart(1), 3_ms)) == reason::targetLeaving);
    BOOST_TEST(core.running() == 1);
    BOOST_TEST(actionsOf<SendResult>(finish(0, 4_ms)).size() == 1);
}

// Guards against running a start that arrives after its revocation was acknowledged (G5).
BOOST_AUTO_TEST_CASE(revocationHoldsForLateStarts)
{
    const auto acks = actionsOf<SendRevokeAck>(core.revoke(entryA, makeStart(0).task, 1_ms));
    BOOST_REQUIRE_EQUAL(acks.size(), 1U);
    BOOST_TEST((acks.front().state == RevokeState::Revoked));
    BOOST_TEST(rejectionIn(core.start(entryA, makeStart(0), 2_ms)) == reason::revoked);
}

// Guards against reporting "not run" for a task that is running or has finished (G5).
BOOST_AUTO_TEST_CASE(revocationOfStartedTaskReportsItsState)
{
    core.start(entryA, makeStart(0), 1_ms);
    BOOST_TEST((actionsOf<SendRevokeAck>(core.revoke(entryA, makeStart(0).task, 2_ms)).front().state
                == RevokeState::Running));
    finish(0, 3_ms);
    const auto ack = actionsOf<SendRevokeAck>(core.revoke(entryA, makeStart(0).task, 4_ms)).front();
    BOOST_TEST((ack.state == RevokeState::Finished));
    BOOST_TEST(ack.result.answer == "x");
}

// Guards against losing the result of a task that ended while its entry was disconnected.
BOOST_AUTO_TEST_CASE(resultIsDeliveredAfterReconnection)
{
    core.start(entryA, makeStart(0), 1_ms);
    core.entryDisconnected(entryA, 2_ms);
    BOOST_TEST(actionsOf<SendResult>(finish(0, 3_ms)).empty());
    BOOST_TEST(core.undeliveredCount() == 1);
    BOOST_TEST(actionsOf<SendResult>(core.entryConnected(entryA, 4_ms)).size() == 1);
    BOOST_TEST(core.undeliveredCount() == 0);
}

// Guards against starts by an entry that was declared dead but still runs, and against losing the results of
// its tasks.
BOOST_AUTO_TEST_CASE(fencedEntryStartsNothingAndItsResultsGoToTheSuccessor)
{
    core.entryConnected(entryB, 0_ms);
    core.start(entryA, makeStart(0), 1_ms);
    core.fence(entryA, entryB, 2_ms);
    const std::vector<StartedTask> started = core.startedBy(entryA, 3_ms);
    BOOST_REQUIRE_EQUAL(started.size(), 1U);
    BOOST_TEST(started.front().running);
    BOOST_TEST(rejectionIn(core.start(entryA, makeStart(1), 3_ms)) == reason::entryFenced);
    core.entryDisconnected(entryA, 4_ms);
    const auto results = actionsOf<SendResult>(finish(0, 5_ms));
    BOOST_REQUIRE_EQUAL(results.size(), 1U);
    BOOST_TEST((results.front().entry == entryB));
    const ProcessId restarted = {.name = entryA.name, .incarnation = 2};
    core.entryConnected(restarted, 6_ms);
    BOOST_TEST(actionsOf<RunOnTarget>(core.start(restarted, makeStart(2), 7_ms)).size() == 1);
}

// Guards against credits that leak or multiply over random connects, disconnects, starts and ends of tasks.
BOOST_AUTO_TEST_CASE(creditsAddUpToTheSlots)
{
    std::mt19937 random(20261204); // fixed seed
    AgentCore agentCore({.freshness = 3'000'000_ms, .dedupWindow = 60'000_ms, .maxQueued = 8});
    constexpr uint32_t slots = 8;
    agentCore.targetAnnounced({.name = "t", .service = "kiosk", .slots = slots}, false, 0_ms);
    agentCore.recordEvidence(0_ms);
    std::map<ProcessId, uint32_t> idle;
    std::vector<TaskRef> running;
    std::map<TaskRef, ProcessId> owners;
    uint32_t epoch = agentCore.creditEpoch();
    uint32_t next = 0;
    const auto applyActions = [&](const AgentActions &actions) {
        if (agentCore.creditEpoch() != epoch) {
            epoch = agentCore.creditEpoch();
            for (auto &[entry, credits] : idle)
                credits = 0;
        }
        for (const SendCredits &grant : actionsOf<SendCredits>(actions))
            idle[grant.entry] += grant.credits;
        for (const SendResult &result : actionsOf<SendResult>(actions))
            idle[result.entry] += result.result.returnsCredit ? 1 : 0;
        for (const RunOnTarget &run : actionsOf<RunOnTarget>(actions))
            running.push_back(run.start.task);
    };
    const std::vector<ProcessId> entries = {entryA, entryB, {.name = "entry-c", .incarnation = 1}};
    for (int step = 0; step < 5'000; ++step) {
        const Millis now = {step / 10};
        const ProcessId &entry = entries[random() % entries.size()];
        switch (random() % 6) {
        case 0:
            if (idle.try_emplace(entry, 0).second)
                applyActions(agentCore.entryConnected(entry, now));
            break;
        case 1:
            if (random() % 20 == 0 && idle.erase(entry) > 0)
                applyActions(agentCore.entryDisconnected(entry, now));
            break;
        case 2:
        case 3:
            if (idle.contains(entry) && idle[entry] > 0) {
                --idle[entry];
                applyActions(agentCore.start(entry, makeStart(next++), now));
            }
            break;
        default:
            if (!running.empty()) {
                const size_t index = random() % running.size();
                const TaskRef task = running[index];
                running.erase(running.begin() + static_cast<std::ptrdiff_t>(index));
                applyActions(agentCore.taskEnded({.task = task, .outcome = Outcome::Complete}, now));
            }
        }
        uint32_t total = agentCore.running() + agentCore.queued();
        for (const auto &[name, credits] : idle)
            total += credits;
        BOOST_REQUIRE(idle.empty() || total == slots);
        BOOST_REQUIRE(running.size() <= slots);
    }
}

// Guards against surplus credits from starts that were in transit when a new credit epoch began.
BOOST_AUTO_TEST_CASE(startWithVoidCreditAddsNoCredit)
{
    // Entry A has two idle credits and sends two starts. Before they arrive, the agent begins a new epoch and
    // grants its credits again.
    core.entryConnected(entryB, 1_ms);
    core.start(entryA, makeStart(0), 2_ms);
    core.start(entryA, makeStart(1), 2_ms);
    core.start(entryB, makeStart(2), 2_ms);
    uint32_t returned = 0;
    for (uint32_t i = 0; i < 3; ++i) {
        for (const SendResult &result : actionsOf<SendResult>(finish(i, 3_ms)))
            returned += result.result.returnsCredit ? 1 : 0;
    }
    BOOST_TEST(returned == 2);
}

// Guards against a burst of starts on a zone that has just returned to service.
BOOST_AUTO_TEST_CASE(creditsRampUpAfterReturn)
{
    core.applySlice({.configVersion = 2, .zoneWithdrawn = true}, 1_ms);
    BOOST_TEST(creditsIn(core.applySlice({.configVersion = 3}, 10_ms)) == 0);
    announce(500_ms);
    BOOST_TEST(creditsIn(core.tick(510_ms)) == 1);
    BOOST_TEST(creditsIn(core.tick(1'010_ms)) == 1);
}

// Guards against unbounded memory for answers. An evicted answer must be reported as unknown, not as empty.
BOOST_AUTO_TEST_CASE(oldestAnswersAreEvicted)
{
    AgentCore small({.maxAnswerBytes = 10});
    small.targetAnnounced({.name = "t", .service = "kiosk", .slots = 2}, false, 0_ms);
    small.recordEvidence(0_ms);
    small.entryConnected(entryA, 0_ms);
    for (uint32_t i = 0; i < 2; ++i) {
        small.start(entryA, makeStart(i), 1_ms);
        small.taskEnded({.task = makeStart(i).task, .outcome = Outcome::Complete, .answer = "12345678"},
                        2_ms);
    }
    BOOST_TEST(small.answerBytes() <= 10);
    for (const StartedTask &started : small.startedBy(entryA, 3_ms)) {
        if (started.task.index == 0)
            BOOST_TEST((started.result.outcome == Outcome::Unknown));
    }
}

// Guards against a task that starts after the deadline of its caller.
BOOST_AUTO_TEST_CASE(expiredQueuedTaskIsRejected)
{
    core.start(entryA, makeStart(0), 1_ms);
    core.start(entryA, makeStart(1), 1_ms);
    TaskStart late = makeStart(2, false);
    late.budget = 100_ms;
    core.start(entryA, late, 1_ms);
    const AgentActions actions = finish(0, 200_ms);
    BOOST_TEST(actionsOf<RunOnTarget>(actions).empty());
    BOOST_TEST(actionsOf<SendResult>(actions).size() == 2);
}

BOOST_AUTO_TEST_SUITE_END()
