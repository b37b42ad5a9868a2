// Tests of key ownership, takeover of a dead entry, and merging of records, with a controlled clock.
#include "entry/claimslog.h"
#include "membership/ownership.h"
#include "membership/submissionrecordstore.h"
#include "membership/takeover.h"

#include <boost/test/unit_test.hpp>

using namespace turmericwell;
using namespace turmericwell::literals;

static EntryMember memberOf(int number, uint64_t incarnation = 1)
{
    return {.id = {.name = "entry-" + std::to_string(number), .incarnation = incarnation}};
}

static const std::vector<EntryMember> two = {memberOf(1), memberOf(2)};
static const std::vector<EntryMember> three = {memberOf(1), memberOf(2), memberOf(3)};

// Returns a key that entry `firstOwner` owns among the members `first`, and entry `secondOwner` among the
// members `second`.
static Fingerprint keyThatMoves(const std::vector<EntryMember> &first, int firstOwner,
                                const std::vector<EntryMember> &second, int secondOwner)
{
    for (int i = 0;; ++i) {
        const Fingerprint key = Fingerprint::ofKey("kiosk", std::to_string(i));
        if (ownerOf(first, key)->id.name == memberOf(firstOwner).id.name
            && ownerOf(second, key)->id.name == memberOf(secondOwner).id.name)
            return key;
    }
}

BOOST_AUTO_TEST_SUITE(membershipownership)

// Guards against a second run of a key at its new owner before the records of the previous owner arrive (G1).
BOOST_AUTO_TEST_CASE(movedKeysWaitForTheHandover)
{
    Ownership ownership(memberOf(3).id);
    ownership.viewChanged(3, two, three);
    const Fingerprint fromOne = keyThatMoves(two, 1, three, 3);
    const Fingerprint fromTwo = keyThatMoves(two, 2, three, 3);
    BOOST_TEST(!ownership.ownershipOf(fromOne, 0_ms).owner.has_value());
    ownership.recordHandover(memberOf(1).id, 3, false, std::nullopt);
    BOOST_TEST((ownership.ownershipOf(fromOne, 0_ms).owner == memberOf(3).id));
    BOOST_TEST(!ownership.ownershipOf(fromTwo, 0_ms).owner.has_value());
    BOOST_TEST((ownership.ownershipOf(keyThatMoves(two, 1, three, 1), 0_ms).owner == memberOf(1).id));
}

// Guards against losing a handover that arrives before the receiver has read its own join.
BOOST_AUTO_TEST_CASE(handoverBeforeTheOwnJoinCounts)
{
    Ownership ownership(memberOf(3).id);
    ownership.recordHandover(memberOf(1).id, 3, false, std::nullopt);
    ownership.viewChanged(3, two, three);
    BOOST_TEST((ownership.ownershipOf(keyThatMoves(two, 1, three, 3), 0_ms).owner == memberOf(3).id));
    BOOST_TEST(ownership.isPending());
}

// Guards against keys that remain pending forever when their previous owner dies before it hands over.
BOOST_AUTO_TEST_CASE(sourceThatDiesIsTakenOver)
{
    Ownership ownership(memberOf(3).id);
    ownership.viewChanged(3, two, three);
    const OwnershipActions actions = ownership.viewChanged(4, three, {memberOf(2), memberOf(3)});
    BOOST_TEST((std::count(actions.takeOver.begin(), actions.takeOver.end(), memberOf(1).id) >= 1));
    const Fingerprint key = keyThatMoves(two, 1, three, 3);
    BOOST_TEST(!ownership.ownershipOf(key, 0_ms).owner.has_value());
    ownership.recordTakeover(memberOf(1).id, 700_ms);
    BOOST_TEST((ownership.ownershipOf(key, 699_ms).owner == memberOf(3).id));
    BOOST_TEST(ownership.ownershipOf(key, 699_ms).incomplete);
    BOOST_TEST(!ownership.ownershipOf(key, 700_ms).incomplete);
}

// Guards against an incomplete handover when a key moves twice and the second owner still waits for the
// records of the first one.
BOOST_AUTO_TEST_CASE(handoverWaitsForOwnPendingSourcesOfEarlierViews)
{
    Ownership ownership(memberOf(1).id);
    ownership.viewChanged(2, two, two);
    BOOST_TEST((ownership.viewChanged(3, two, {memberOf(1)}).takeOver == std::vector{memberOf(2).id}));
    const OwnershipActions actions = ownership.viewChanged(4, {memberOf(1)}, {memberOf(1), memberOf(3)});
    BOOST_REQUIRE(actions.handOverTo.size() == 1U);
    BOOST_TEST(!ownership.mayHandOver(4));
    ownership.recordTakeover(memberOf(2).id, std::nullopt);
    BOOST_TEST(ownership.mayHandOver(4));
}

// Guards against a planned stop that depends on the log: the final handover is sufficient to move the keys.
BOOST_AUTO_TEST_CASE(finalHandoverMovesTheKeysWithoutALeave)
{
    Ownership ownership(memberOf(1).id);
    ownership.viewChanged(3, three, three);
    const Fingerprint key = keyThatMoves(three, 3, two, 1);
    BOOST_TEST((ownership.ownershipOf(key, 0_ms).owner == memberOf(3).id));
    ownership.recordHandover(memberOf(3).id, 3, true, std::nullopt);
    BOOST_TEST((ownership.ownershipOf(key, 0_ms).owner == memberOf(1).id));
    BOOST_TEST(ownership.viewChanged(4, three, two).takeOver.empty());
    BOOST_TEST(!ownership.isPending());
}

// Guards against an entry that restarts without a leave of its previous incarnation and serves keys whose
// tasks that incarnation has started.
BOOST_AUTO_TEST_CASE(restartedEntryTakesOverItsEarlierIncarnation)
{
    const std::vector<EntryMember> after = {memberOf(1, 2), memberOf(2)};
    Ownership ownership(memberOf(1, 2).id);
    const OwnershipActions actions = ownership.viewChanged(3, two, after);
    BOOST_TEST((actions.takeOver == std::vector{memberOf(1).id}));
    const Fingerprint key = keyThatMoves(two, 1, after, 1);
    BOOST_TEST(!ownership.ownershipOf(key, 0_ms).owner.has_value());
    ownership.recordTakeover(memberOf(1).id, std::nullopt);
    BOOST_TEST((ownership.ownershipOf(key, 0_ms).owner == memberOf(1, 2).id));
}

// Guards against serving keys while the dead entry may still start tasks: a majority of replies and the
// freshness wait are required first.
BOOST_AUTO_TEST_CASE(takeoverNeedsAMajorityAndTheFreshnessWait)
{
    Takeover takeover(memberOf(2).id, {"a", "b", "c"}, 0_ms, {});
    takeover.recordClaimsRead();
    takeover.answered("a", false, 100_ms);
    BOOST_TEST((takeover.state(60'000_ms) == TakeoverState::Waiting));
    takeover.answered("a", false, 60'000_ms);
    BOOST_TEST((takeover.state(90'000_ms) == TakeoverState::Waiting));
    takeover.answered("b", false, 100'000_ms);
    BOOST_TEST((takeover.state(102'999_ms) == TakeoverState::Waiting));
    BOOST_TEST((takeover.state(103'000_ms) == TakeoverState::Incomplete));
}

BOOST_AUTO_TEST_CASE(takeoverIsCompleteOnlyWithAllAgentsAndTheClaims)
{
    Takeover takeover(memberOf(2).id, {"a", "b"}, 0_ms, {});
    takeover.answered("a", false, 0_ms);
    takeover.answered("b", false, 0_ms);
    BOOST_TEST((takeover.state(3'000_ms) == TakeoverState::Waiting));
    takeover.recordClaimsRead();
    BOOST_TEST((takeover.state(2'999_ms) == TakeoverState::Waiting));
    BOOST_TEST((takeover.state(3'000_ms) == TakeoverState::Complete));
}

// Guards against a result that is never collected: an agent that still runs tasks is queried again.
BOOST_AUTO_TEST_CASE(agentsAreQueriedUntilTheyRunNoMoreTasks)
{
    Takeover takeover(memberOf(2).id, {"a"}, 0_ms, {});
    BOOST_TEST(takeover.agentsToQuery(0_ms).size() == 1U);
    BOOST_TEST(takeover.agentsToQuery(499_ms).empty());
    takeover.answered("a", true, 499_ms);
    BOOST_TEST(!takeover.hasAllReplies());
    BOOST_TEST(takeover.agentsToQuery(500_ms).size() == 1U);
    takeover.answered("a", false, 600_ms);
    BOOST_TEST(takeover.hasAllReplies());
    BOOST_TEST(takeover.agentsToQuery(2'000_ms).empty());
}

static RecoveredTask startedTask(uint32_t index, uint32_t count, bool running, Outcome outcome)
{
    const TaskRef task = {.submission = {.high = 1, .low = 2}, .index = index};
    return {.task = task,
            .taskCount = count,
            .bodyHash = 7,
            .running = running,
            .result = {.task = task, .outcome = outcome, .answer = std::to_string(index)}};
}

// Guards against a partial job answer (G2) and against reporting a job as lost when the agents have all
// results.
BOOST_AUTO_TEST_CASE(jobIsCompleteOnlyWithAllResults)
{
    const Fingerprint key = {.high = 1, .low = 2};
    SubmissionRecordStore store(600'000_ms);
    store.addStarted(startedTask(0, 2, false, Outcome::Complete), 0_ms);
    BOOST_TEST((store.find(key)->record.answer.outcome == Outcome::Failed));
    BOOST_TEST(store.find(key)->record.answer.answers.empty());
    store.addStarted(startedTask(1, 2, true, Outcome::Unknown), 0_ms);
    BOOST_TEST(store.find(key)->isTaskRunning);
    BOOST_TEST(!store.find(key)->record.answered);
    store.addStarted(startedTask(1, 2, false, Outcome::Complete), 0_ms);
    BOOST_TEST((store.find(key)->record.answer.outcome == Outcome::Complete));
    BOOST_TEST((store.find(key)->record.answer.answers == std::vector<std::string>{"0", "1"}));
}

// Guards against a second run of a key that has a claim but no record, and against a claim that replaces a
// record.
BOOST_AUTO_TEST_CASE(claimedKeyIsUnknownUnlessAnAgentKnowsIt)
{
    const Fingerprint key = {.high = 1, .low = 2};
    SubmissionRecordStore store(600'000_ms);
    store.addClaim(key, 0_ms);
    BOOST_TEST((store.find(key)->record.answer.outcome == Outcome::Unknown));
    store.addStarted(startedTask(0, 1, false, Outcome::Complete), 0_ms);
    BOOST_TEST((store.find(key)->record.answer.outcome == Outcome::Complete));
    store.addClaim(key, 0_ms);
    BOOST_TEST((store.find(key)->record.answer.outcome == Outcome::Complete));
    // An evicted key must be returned, since it could run again unless it becomes a tombstone.
    BOOST_TEST((store.evictExpired(600'001_ms) == std::vector<Fingerprint>{key}));
    BOOST_TEST(store.size() == 0U);
}

BOOST_AUTO_TEST_CASE(claimRecordRoundTrip)
{
    const std::vector<Fingerprint> keys = {Fingerprint::ofKey("a", "1"), Fingerprint::ofKey("a", "2")};
    const std::optional<ClaimBatch> batch = parseClaimRecord(claimRecord(memberOf(1).id, 3, keys));
    BOOST_REQUIRE(batch.has_value());
    BOOST_TEST((batch->entry == memberOf(1).id));
    BOOST_TEST((batch->keys == keys));
    BOOST_TEST(!parseClaimRecord("[]").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
