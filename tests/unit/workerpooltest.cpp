// Tests of WorkerPool: an entry's view of the workers' free resources.
#include "jobs/workerpool.h"

#include <boost/test/unit_test.hpp>

namespace turmericwell {

namespace {

struct WorkerPoolFixture
{
    WorkerPoolFixture() { report(4'000, 0); }

    void report(int64_t freeMilli, uint64_t ordersReceived)
    {
        pool.report(1,
                    {.usable = true,
                     .worker = "w",
                     .service = "kiosk",
                     .capacity = {4'000, 1'000, 0},
                     .free = {freeMilli, 1'000, 0},
                     .ordersReceived = ordersReceived});
    }
    std::optional<AgentNumber> choose(int64_t cpuMilli)
    {
        return pool.choose({.service = "kiosk", .size = {cpuMilli, 10, 0}}, now);
    }

    const Millis now = {1'000};
    WorkerPool pool;
};

} // namespace

BOOST_AUTO_TEST_SUITE(WorkerPoolTest)

// Guards against resources that are allocated twice before the agent has reported the first order.
BOOST_FIXTURE_TEST_CASE(ordersReserveResourcesUntilAReportIncludesThem, WorkerPoolFixture)
{
    BOOST_TEST(choose(3'000).has_value());
    pool.orderSent(1, {3'000, 10, 0});
    BOOST_TEST(!choose(3'000).has_value());
    report(4'000, 0);
    BOOST_TEST(!choose(3'000).has_value());
    report(4'000, 1);
    BOOST_TEST(choose(3'000).has_value());
}

// Guards against free resources that are not found because an unsuccessful search has lowered the bound.
BOOST_FIXTURE_TEST_CASE(releasedResourcesAreFoundAgain, WorkerPoolFixture)
{
    pool.orderSent(1, {3'000, 10, 0});
    BOOST_TEST(!choose(2'000).has_value());
    BOOST_TEST(choose(1'000).has_value());
    pool.runEnded(1, {3'000, 10, 0});
    BOOST_TEST(choose(2'000).has_value());
    report(500, 1);
    BOOST_TEST(!choose(2'000).has_value());
    report(3'000, 1);
    BOOST_TEST(choose(2'000).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace turmericwell
