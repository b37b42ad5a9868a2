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
        onDone({.status = call.epoch < fencedBelow ? StoreStatus::Fenced : StoreStatus::Done});
    }
    void read(const ReadCall &, Millis, std::function<void(ReadAnswer)> onDone) override
    {
        onDone({.status = StoreStatus::Done});
    }
    void newest(const NewestCall &, Millis, std::function<void(NewestAnswer)> onDone) override
    {
        onDone({.status = StoreStatus::Done, .records = records});
    }
    void join(const JoinCall &, Millis, std::function<void(JoinAnswer)> onDone) override
    {
        onDone({.status = StoreStatus::Done, .generation = generation, .partitions = assigned});
    }
    void leave(const LeaveCall &, Millis, std::function<void(StoreStatus)> onDone) override
    {
        onDone(StoreStatus::Done);
    }

    uint64_t generation = 1;
    std::vector<uint32_t> assigned = {0, 1};
    // Newest records of each partition.
    std::vector<StoreRecord> records;
    bool withholdsAppends = false;
    // Appends with a lower epoch are fenced.
    uint64_t fencedBelow = 0;
};

struct PartitionOwnerFixture
{
    PartitionOwnerFixture()
    {
        owner.start();
        owner.setMemberships(1);
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

    EventQueue events{{100'000}, 1};
    IoContext io{1};
    StructuredLog log;
    StubStore store;
    WorkerPool pool;
    RecordedEffects effects;
    JobScheduler scheduler{{.partitions = 2}, pool, effects, log};
    std::vector<uint32_t> closed;
    std::vector<std::optional<uint32_t>> levels;
    PartitionOwner owner{
        {.member = "entry-1"},
        store,
        io,
        log,
        scheduler,
        {.onOpening = [](uint32_t) {},
         .onLoaded = [this](uint32_t, std::optional<uint32_t> level) { levels.push_back(level); },
         .onClosed = [this](uint32_t partition, uint64_t) { closed.push_back(partition); }}};
};

} // namespace

BOOST_AUTO_TEST_SUITE(PartitionOwnerTest)

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
    owner.release([&released] { released = true; });
    pass({700});
    BOOST_TEST(released);
    BOOST_TEST(closed.size() == 2U);
    BOOST_TEST(scheduler.owned().empty());
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

BOOST_AUTO_TEST_SUITE_END()

} // namespace turmericwell
