// Tests the assignment, handover and release of partitions.
#include "fleet/partitionowner.h"

#include "jobschedulerfixture.h"
#include "net/eventqueue.h"

#include <boost/test/unit_test.hpp>

namespace turmericwell {

namespace {

// Answers each call at once, except for appends while withholdsAppends is set: these are never answered.
class StubStore : public StoreApi
{
public:
    void append(const AppendCall &call, Millis, std::function<void(AppendAnswer)> onDone) override
    {
        // Opening a partition appends nothing.
        if (withholdsAppends && !call.records.empty())
            return;
        onDone(statusOf(call));
    }
    void read(const ReadCall &, Millis, std::function<void(ReadAnswer)> onDone) override
    {
        onDone({.status = StoreStatus::Done});
    }
    void newest(const NewestCall &, Millis, std::function<void(NewestAnswer)> onDone) override
    {
        ++pages;
        onDone({.status = StoreStatus::Done, .records = records, .end = pageEnd});
    }
    void join(const JoinCall &, Millis, std::function<void(JoinAnswer)> onDone) override
    {
        ++joins;
        if (refusesJoins) {
            onDone({.status = StoreStatus::Refused});
            return;
        }
        onDone({.status = StoreStatus::Done, .generation = generation, .partitions = assigned});
    }
    void leave(const LeaveCall &call, Millis, std::function<void(StoreStatus)> onDone) override
    {
        if (leaveStatus == StoreStatus::Done && call.member == "entry-1" && isMember)
            ++generation;
        onDone(leaveStatus);
    }

    uint64_t generation = 1;
    std::vector<uint32_t> assigned = {0, 1};
    // Newest records of each partition.
    std::vector<StoreRecord> records;
    bool withholdsAppends = false;
    // Appends with a lower epoch are fenced.
    uint64_t fencedBelow = 0;
    // Epoch that a former process has used.
    uint64_t usedEpoch = 0;
    StoreStatus leaveStatus = StoreStatus::Done;
    bool refusesJoins = false;
    // The generation increases when the entry leaves.
    bool isMember = false;
    uint32_t joins = 0;
    // End of the partitions as the answers to pages and appends tell it.
    uint64_t pageEnd = 0;
    uint64_t end = 0;
    uint32_t pages = 0;

private:
    AppendAnswer statusOf(const AppendCall &call) const
    {
        if (call.epoch < fencedBelow)
            return {.status = StoreStatus::Fenced};
        if (call.epoch == usedEpoch)
            return {.status = StoreStatus::WrongSequence, .expectedSequence = 5};
        return {.status = StoreStatus::Done, .end = end};
    }
};

struct OwnerFixture
{
    explicit OwnerFixture(bool servesUntilTakenValue = false)
        : servesUntilTaken(servesUntilTakenValue)
    { }

    // One other entry, which last answered a ping at the given time.
    static EntryPresence otherHeardAt(Millis time)
    {
        EntryPresence entries({1'500});
        entries.registered("entry-2", {0});
        entries.answered("entry-2", time);
        return entries;
    }

    void pass(Millis time)
    {
        const Millis end = events.now() + time;
        while (events.now() < end) {
            events.runNext(end);
            io.restart();
            io.poll();
        }
    }

    const bool servesUntilTaken;
    EventQueue events{{100'000}, 1};
    IoContext io{1};
    StructuredLog log;
    StubStore store;
    WorkerPool pool;
    RecordedEffects effects;
    JobScheduler scheduler{{.partitions = 2}, pool, effects, log};
    std::vector<uint32_t> closed;
    std::vector<uint32_t> suspended;
    std::vector<uint32_t> resumed;
    std::vector<std::optional<uint32_t>> levels;
    PartitionOwner owner{
        {.member = "entry-1", .servesUntilTaken = servesUntilTaken},
        store,
        io,
        log,
        scheduler,
        {.onOpening = [](uint32_t) {},
         .onLoaded = [this](uint32_t, std::optional<uint32_t> level) { levels.push_back(level); },
         .onClosed = [this](uint32_t partition, uint64_t) { closed.push_back(partition); },
         .onSuspended = [this](uint32_t partition, uint64_t) { suspended.push_back(partition); },
         .onResumed = [this](uint32_t partition) { resumed.push_back(partition); }}};
};

// Goes on serving partitions that are given up.
struct ServingOwnerFixture : OwnerFixture
{
    ServingOwnerFixture()
        : OwnerFixture(true)
    {
        owner.start();
        owner.setMemberships(1);
        pass({20});
    }

    void revoke(uint32_t partition)
    {
        ++store.generation;
        std::erase(store.assigned, partition);
        pass({300});
    }
};

struct PartitionOwnerFixture : OwnerFixture
{
    PartitionOwnerFixture()
    {
        owner.start();
        owner.setMemberships(1);
    }
};

// The former process is still a member, and the store cannot be reached.
struct RestartedOwnerFixture : OwnerFixture
{
    RestartedOwnerFixture()
    {
        store.leaveStatus = StoreStatus::Refused;
        store.isMember = true;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(PartitionOwnerTest)

// Guards against accepted jobs that are not stored: an entry that restarted while the store was down opened
// its partitions with the epoch of its former process, and the store took its appends for repeats.
BOOST_FIXTURE_TEST_CASE(entryJoinsOnlyAfterItsFormerMembershipHasEnded, RestartedOwnerFixture)
{
    owner.start();
    owner.setMemberships(1);
    pass({4'500});
    BOOST_TEST(store.joins == 0U);
    store.leaveStatus = StoreStatus::Done;
    pass({400});
    BOOST_TEST(store.joins > 0U);
    BOOST_TEST(scheduler.epochOf(0).value_or(0) == 2U);
}

// Guards against accepted jobs that are not stored: an epoch that another process has used is given up, and
// the partition is served with a new one.
BOOST_FIXTURE_TEST_CASE(epochOfAnotherProcessIsReplaced, RestartedOwnerFixture)
{
    store.leaveStatus = StoreStatus::Done;
    store.isMember = false;
    store.usedEpoch = 1;
    owner.start();
    pass({10});
    store.isMember = true;
    owner.setMemberships(1);
    pass({400});
    BOOST_TEST(scheduler.isServing(0));
    BOOST_TEST(scheduler.epochOf(0).value_or(0) > 1U);
    BOOST_TEST(!closed.empty());
}

// Guards against a crash during a planned stop: a partition that was already being handed over was closed
// while release iterated over the partitions.
BOOST_FIXTURE_TEST_CASE(releaseDuringAHandOverClosesAllPartitions, PartitionOwnerFixture)
{
    pass({100});
    BOOST_TEST_REQUIRE(scheduler.owned().size() == 2U);
    store.withholdsAppends = true;
    owner.store(1, 7, "record", false, [](StoreOutcome, Millis) {});
    pass({20});
    // The second partition is assigned to another entry; its unstored record keeps it open for half a second.
    store.generation = 2;
    store.assigned = {0};
    owner.joinNow();
    pass({400});
    BOOST_TEST(closed.empty());
    const Millis overdue = events.now() + Millis{110};
    while (events.now() < overdue)
        events.runNext(overdue);
    bool released = false;
    owner.release(false, [&released] { released = true; });
    pass({700});
    BOOST_TEST(released);
    BOOST_TEST(closed.size() == 2U);
    BOOST_TEST(scheduler.owned().empty());
}

// Guards against a partition that nobody serves while its next owner opens and loads it with a slow store.
BOOST_FIXTURE_TEST_CASE(givenUpPartitionIsServedUntilItIsTaken, ServingOwnerFixture)
{
    revoke(0);
    BOOST_TEST(scheduler.isServing(0));
    BOOST_TEST(closed.empty());
    BOOST_TEST(owner.nextOwnerLoads(0));
    BOOST_TEST(owner.isBeingTaken(0));
    BOOST_TEST(!owner.nextOwnerLoads(1));
    BOOST_TEST(scheduler.isServing(0));
    owner.superseded(0, 1);
    BOOST_TEST((closed == std::vector<uint32_t>{0}));
}

// Guards against a former owner that goes on although the next one may not reach it: it needs the evidence of
// an owner whose membership has lapsed, from the moment at which it has given the partition up.
BOOST_FIXTURE_TEST_CASE(givenUpPartitionIsSuspendedWithoutEvidence, ServingOwnerFixture)
{
    revoke(0);
    owner.checkMemberships(otherHeardAt(events.now() - Millis{100}), events.now());
    BOOST_TEST(suspended.empty());
    owner.checkMemberships(otherHeardAt(events.now() - Millis{1'001}), events.now());
    BOOST_TEST((suspended == std::vector<uint32_t>{0}));
    BOOST_TEST(!scheduler.isServing(0));
    BOOST_TEST(scheduler.isServing(1));
}

// Guards against a given-up partition that is served without a limit, since later joins of the entry say
// nothing about it.
BOOST_FIXTURE_TEST_CASE(givenUpPartitionIsServedForTwentySecondsAtMost, ServingOwnerFixture)
{
    revoke(0);
    pass({20'000});
    owner.checkMemberships(otherHeardAt(events.now()), events.now());
    BOOST_TEST((suspended == std::vector<uint32_t>{0}));
}

// Guards against an owner that goes on with an epoch which another entry has replaced, after the partition
// came back.
BOOST_FIXTURE_TEST_CASE(partitionThatWasBeingTakenIsOpenedAgain, ServingOwnerFixture)
{
    revoke(0);
    BOOST_TEST(owner.nextOwnerLoads(0));
    store.generation = 9;
    store.assigned = {0, 1};
    pass({600});
    BOOST_TEST((closed == std::vector<uint32_t>{0}));
    BOOST_TEST(scheduler.epochOf(0).value_or(0) == 9U);
}

// Guards against an entry that ends its stop, or closes its partitions, before they are taken.
BOOST_FIXTURE_TEST_CASE(releaseWithASuccessorEndsWhenAllPartitionsAreTaken, ServingOwnerFixture)
{
    bool released = false;
    owner.release(true, [&released] { released = true; });
    pass({100});
    BOOST_TEST(!released);
    BOOST_TEST(scheduler.isServing(0));
    owner.superseded(0, 1);
    owner.superseded(1, 1);
    pass({10});
    BOOST_TEST(released);
}

// Guards against accepted jobs that a new owner does not know: a page that was read before the epoch was set
// may lack records of the former owner, unless the end of the partition shows that there are none.
BOOST_FIXTURE_TEST_CASE(earlyPageIsUsedOnlyIfItIsComplete, ServingOwnerFixture)
{
    const auto pagesToOpenAgain = [&](uint64_t end, uint64_t pageEnd) {
        store.end = end;
        store.pageEnd = pageEnd;
        const uint32_t before = store.pages;
        owner.superseded(0, store.generation);
        ++store.generation;
        pass({400});
        BOOST_TEST(scheduler.isServing(0));
        return store.pages - before;
    };
    BOOST_TEST(pagesToOpenAgain(7, 6) == 2U);
    BOOST_TEST(pagesToOpenAgain(7, 7) == 1U);
    BOOST_TEST(pagesToOpenAgain(7, 8) == 1U);
    // The store has not told the end.
    BOOST_TEST(pagesToOpenAgain(0, 0) == 2U);
}

// Guards against a partition that stays open here after the store assigned it to another entry.
BOOST_FIXTURE_TEST_CASE(revokedPartitionIsClosedOnce, PartitionOwnerFixture)
{
    pass({100});
    store.generation = 2;
    store.assigned = {1};
    owner.joinNow();
    pass({200});
    BOOST_TEST((closed == std::vector<uint32_t>{0}));
    BOOST_TEST(scheduler.owned().size() == 1U);
}

// Guards against an entry that answers "no such job" for a job that another owner accepted: the partition was
// assigned to the other entry and back between two joins of this one.
BOOST_FIXTURE_TEST_CASE(partitionThatWasOwnedElsewhereMeanwhileIsOpenedAgain, PartitionOwnerFixture)
{
    pass({100});
    BOOST_TEST_REQUIRE(scheduler.epochOf(0).value_or(0) == 1U);
    store.generation = 3;
    store.fencedBelow = 2;
    owner.joinNow();
    pass({300});
    BOOST_TEST((std::count(closed.begin(), closed.end(), 0U) == 1));
    BOOST_TEST(scheduler.epochOf(0).value_or(0) == 3U);
    BOOST_TEST((scheduler.query(1).status == fleet::CallStatus::NotKnown));
}

// Guards against needless handovers: nobody else has opened the partition in the missed generations.
BOOST_FIXTURE_TEST_CASE(partitionThatNobodyElseOpenedIsRetained, PartitionOwnerFixture)
{
    pass({100});
    store.generation = 3;
    owner.joinNow();
    pass({300});
    BOOST_TEST(closed.empty());
    BOOST_TEST(scheduler.epochOf(0).value_or(0) == 1U);
}

// Guards against a process that was paused and answers on the ownership that it had before.
BOOST_FIXTURE_TEST_CASE(unknownJobIsNotDeniedWhileTheOwnershipIsUnconfirmed, PartitionOwnerFixture)
{
    pass({100});
    BOOST_TEST((scheduler.query(1).status == fleet::CallStatus::NotKnown));
    owner.confirmOwnership();
    BOOST_TEST((scheduler.query(1).status == fleet::CallStatus::NotReady));
    pass({100});
    BOOST_TEST((scheduler.query(1).status == fleet::CallStatus::NotKnown));
}

// Guards against an entry that is cut off and denies a job that the next owner has accepted: the store may
// have given its partitions to another entry, and nothing has told it so.
BOOST_FIXTURE_TEST_CASE(unknownJobIsNotDeniedAfterTheMembershipMayHaveEnded, PartitionOwnerFixture)
{
    pass({300});
    store.refusesJoins = true;
    const Millis lastJoin = owner.lastJoinSentAt();
    const EntryPresence heard = otherHeardAt(lastJoin + Millis{1'499});
    owner.checkMemberships(heard, lastJoin + Millis{1'499});
    BOOST_TEST((scheduler.query(1).status == fleet::CallStatus::NotKnown));
    owner.checkMemberships(heard, lastJoin + Millis{1'500});
    BOOST_TEST((scheduler.query(1).status == fleet::CallStatus::NotReady));
    // An append that is accepted does not show that the partition is still assigned to this entry a moment
    // later.
    owner.confirmOwnership();
    pass({300});
    BOOST_TEST((scheduler.query(1).status == fleet::CallStatus::NotReady));
    store.refusesJoins = false;
    pass({700});
    BOOST_TEST((scheduler.query(1).status == fleet::CallStatus::NotKnown));
}

// Guards against two runs of a task at the same time: an entry that was cut off from the store and the other
// entries, but not from its agents, went on accepting and ordering jobs of partitions that had a new owner.
BOOST_FIXTURE_TEST_CASE(entryThatMayHaveASuccessorServesNothing, PartitionOwnerFixture)
{
    const uint32_t partition = partitionOf(1, 2);
    pass({300});
    store.refusesJoins = true;
    const Millis lastJoin = owner.lastJoinSentAt();
    const EntryPresence unheard = otherHeardAt(lastJoin);
    owner.checkMemberships(unheard, lastJoin + Millis{1'499});
    BOOST_TEST(scheduler.isServing(partition));
    owner.checkMemberships(unheard, lastJoin + Millis{1'500});
    BOOST_TEST(!scheduler.isServing(partition));
    BOOST_TEST(!suspended.empty());
    // Neither contact with the others nor an answer of the store to an append is enough: another entry may
    // have owned the partition meanwhile.
    owner.checkMemberships(otherHeardAt(lastJoin + Millis{1'600}), lastJoin + Millis{1'600});
    owner.confirmOwnership();
    pass({300});
    BOOST_TEST(!scheduler.isServing(partition));
    BOOST_TEST(resumed.empty());
    store.refusesJoins = false;
    pass({700});
    BOOST_TEST(scheduler.isServing(partition));
    BOOST_TEST(resumed == suspended);
    BOOST_TEST(closed.empty());
}

// Guards against an outage of the store that stops the service: entries that still reach each other have no
// successor.
BOOST_FIXTURE_TEST_CASE(entryWithoutASuccessorServesThroughAnOutage, PartitionOwnerFixture)
{
    pass({300});
    store.refusesJoins = true;
    const Millis later = owner.lastJoinSentAt() + Millis{10'000};
    owner.checkMemberships(otherHeardAt(later), later);
    BOOST_TEST(scheduler.isServing(0));
    BOOST_TEST(suspended.empty());
}

// Guards against two runs of a task at the same time: an entry that has started since the last join, and that
// this one has not heard of, may own the partition. It waits for as long as a former owner may go on.
BOOST_FIXTURE_TEST_CASE(entryWithoutTheStoreGivesUpInTheEnd, PartitionOwnerFixture)
{
    pass({300});
    store.refusesJoins = true;
    const Millis limit = owner.lastJoinSentAt() + EntryPresence::withoutStoreLimit;
    owner.checkMemberships(otherHeardAt(limit), limit - Millis{1});
    BOOST_TEST(scheduler.isServing(0));
    owner.checkMemberships(otherHeardAt(limit), limit);
    BOOST_TEST(!scheduler.isServing(0));
}

// Guards against a second run of a task: a level that cannot be read must not count as "no orders were
// placed".
BOOST_FIXTURE_TEST_CASE(unreadableSubsetLevelCoversAllAgents, PartitionOwnerFixture)
{
    for (const std::string text : {"", "x", "-1", "2x", "17", "40", "4294967296"}) {
        BOOST_TEST_CONTEXT(text)
        store.records = {{}, {.key = "agent-subset-level", .value = text}};
        store.generation += 2;
        store.fencedBelow = store.generation;
        owner.joinNow();
        pass({400});
        BOOST_TEST_REQUIRE(!levels.empty());
        BOOST_TEST(levels.back().value_or(9) == 0U);
    }
    store.records = {{.key = "agent-subset-level", .value = "2"}};
    store.generation += 2;
    store.fencedBelow = store.generation;
    owner.joinNow();
    pass({400});
    BOOST_TEST(levels.back().value_or(9) == 2U);
}

// Guards against a subset level that goes back because the store returns an older record after the newest
// one.
BOOST_FIXTURE_TEST_CASE(olderSubsetLevelChangesNothing, PartitionOwnerFixture)
{
    store.records = {{.key = "agent-subset-level", .value = "1", .offset = 7},
                     {.key = "agent-subset-level", .value = "3", .offset = 5}};
    store.generation += 2;
    store.fencedBelow = store.generation;
    owner.joinNow();
    pass({400});
    BOOST_TEST_REQUIRE(!levels.empty());
    BOOST_TEST(levels.back().value_or(9) == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace turmericwell
