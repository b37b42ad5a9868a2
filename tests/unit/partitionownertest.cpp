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
        onDone({.status = StoreStatus::Done});
    }
    void read(const ReadCall &, Millis, std::function<void(ReadAnswer)> onDone) override
    {
        onDone({.status = StoreStatus::Done});
    }
    void newest(const NewestCall &, Millis, std::function<void(NewestAnswer)> onDone) override
    {
        onDone({.status = StoreStatus::Done});
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
    bool withholdsAppends = false;
};

struct PartitionOwnerFixture
{
    PartitionOwnerFixture() { owner.start(); }

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
    PartitionOwner owner{{.member = "entry-1"},
                         store,
                         io,
                         log,
                         scheduler,
                         {.onLoaded = [](uint32_t) {},
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

BOOST_AUTO_TEST_SUITE_END()

} // namespace turmericwell
