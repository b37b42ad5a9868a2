// Tests of the generated arrivals and of the shared queue that is the baseline of the benchmarks.
#include "bench/workload.h"

#include <boost/test/unit_test.hpp>

using namespace turmericwell;

BOOST_AUTO_TEST_SUITE(workload)

BOOST_AUTO_TEST_CASE(offeredWorkMatchesTheLoad)
{
    const std::vector<Arrival> arrivals =
        makeArrivals({.seed = 5, .load = 0.8, .slots = 88, .durationMs = 200'000, .jobShare = 0.1});
    double work = 0;
    for (const Arrival &arrival : arrivals) {
        for (const uint32_t run : arrival.runMs) {
            BOOST_TEST((run >= 50 && run <= 5'000));
            work += run;
        }
    }
    BOOST_TEST(work / (88.0 * 200'000) == 0.8, boost::test_tools::tolerance(0.05));
}

// Guards against a baseline that is slower than one shared queue, which would make the system look better
// than it is.
BOOST_AUTO_TEST_CASE(sharedQueueStartsInOrderOfArrival)
{
    const std::vector<Arrival> arrivals = {{.atMicros = 0, .runMs = {100, 300}},
                                           {.atMicros = 50'000, .runMs = {10}},
                                           {.atMicros = 60'000, .runMs = {10}},
                                           {.atMicros = 500'000, .runMs = {10}}};
    const std::vector<double> expected = {300, 60, 60, 10};
    const std::vector<double> responses = sharedQueueResponses(arrivals, 2);
    BOOST_TEST(responses == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(quantilesOfKnownValues)
{
    std::vector<double> values;
    for (int i = 100; i > 0; --i)
        values.push_back(i);
    const Quantiles quantiles = quantilesOf(values);
    BOOST_TEST(quantiles.p50 == 50);
    BOOST_TEST(quantiles.p99 == 99);
    BOOST_TEST(quantiles.most == 100);
}

BOOST_AUTO_TEST_SUITE_END()
