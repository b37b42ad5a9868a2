// Tests of the number of runs that a worker takes at a time: small tasks leave slots to the others.
#include "jobs/runslots.h"

#include <boost/test/unit_test.hpp>

namespace turmericwell {

namespace {

WorkerState workerWithSlots(uint32_t freeRuns)
{
    return {.usable = true,
            .worker = "w",
            .service = "kiosk",
            .zone = "patan",
            .capacity = {16'000, 8'000, 0},
            .free = {16'000, 8'000, 0},
            .freeRuns = freeRuns};
}

std::optional<AgentNumber> choose(WorkerPool &pool, int64_t cpuMilli)
{
    return pool.choose({.service = "kiosk", .size = {cpuMilli, 1, 0}}, Millis{1});
}

} // namespace

BOOST_AUTO_TEST_SUITE(RunSlotsTest)

// Guards against tasks of no size that take all slots of a worker, so that no other job can start there.
BOOST_AUTO_TEST_CASE(smallTasksLeaveHalfOfTheSlots)
{
    WorkerPool pool;
    pool.report(1, workerWithSlots(mostRunsOfWorker));
    uint32_t small = 0;
    while (small <= mostRunsOfWorker && choose(pool, 0)) {
        pool.orderSent(1, {0, 1, 0});
        ++small;
    }
    BOOST_TEST(small == mostSmallRunsOfWorker);
    BOOST_TEST(choose(pool, 1'000).has_value());
}

// Guards against a limit that tasks of ordinary size meet, and against one that holds for agents of an
// earlier version, which report no slots.
BOOST_AUTO_TEST_CASE(ordinaryTasksAreBoundedByTheirResources)
{
    BOOST_TEST(!isSmallTask({250, 64, 0}, {16'000, 8'000, 0}));
    BOOST_TEST(!isSmallTask({64, 64, 0}, {16'000, 8'000, 0}));
    BOOST_TEST(isSmallTask({63, 64, 0}, {16'000, 8'000, 0}));
    WorkerPool pool;
    pool.report(1, workerWithSlots(0));
    for (uint32_t sent = 0; sent < mostRunsOfWorker; ++sent)
        pool.orderSent(1, {0, 1, 0});
    BOOST_TEST(choose(pool, 0).has_value());
}

// Guards against an ended run whose slot is not used before the agent's next report.
BOOST_AUTO_TEST_CASE(endedRunFreesItsSlot)
{
    WorkerPool pool;
    pool.report(1, workerWithSlots(mostRunsOfWorker - mostSmallRunsOfWorker));
    BOOST_TEST(!choose(pool, 0).has_value());
    pool.runEnded(1, {0, 1, 0});
    BOOST_TEST(choose(pool, 0).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace turmericwell
