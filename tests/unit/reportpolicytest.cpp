// Tests of ReportPolicy: which changes of a worker are reported at once, and which are batched.
#include "worker/reportpolicy.h"

#include <boost/test/unit_test.hpp>

namespace turmericwell {

static fleet::WorkerReportT reportWithFree(int32_t freeMilli)
{
    fleet::WorkerReportT report;
    report.usable = true;
    report.worker = "w";
    report.cpu_milli = 32'000;
    report.free_cpu_milli = freeMilli;
    return report;
}

BOOST_AUTO_TEST_SUITE(ReportPolicyTest)

// Guards against one report to all entries for each start and end while most of the worker is free.
BOOST_AUTO_TEST_CASE(changesOfAmpleResourcesAreBatched)
{
    ReportPolicy policy;
    policy.markChanged();
    BOOST_TEST(policy.isDue(reportWithFree(32'000), {1'000}));
    policy.markChanged();
    BOOST_TEST(!policy.isDue(reportWithFree(20'000), {1'010}));
    policy.markChanged();
    BOOST_TEST(!policy.isDue(reportWithFree(20'000), {1'049}));
    policy.markChanged();
    BOOST_TEST(policy.isDue(reportWithFree(20'000), {1'050}));
}

// Guards against freed resources of a full worker that stay unused because the report is delayed, and against
// orders for a worker that has just become full.
BOOST_AUTO_TEST_CASE(scarceResourcesAreReportedAtOnce)
{
    ReportPolicy policy;
    policy.markChanged();
    BOOST_TEST(policy.isDue(reportWithFree(1'000), {1'000}));
    policy.markChanged();
    BOOST_TEST(policy.isDue(reportWithFree(4'000), {1'010}));
    policy.markChanged();
    BOOST_TEST(policy.isDue(reportWithFree(20'000), {1'020}));
    policy.markChanged();
    BOOST_TEST(policy.isDue(reportWithFree(2'000), {1'030}));
    policy.markChanged();
    BOOST_TEST(!policy.isDue(reportWithFree(1'500), {1'040}));
}

// Guards against orders to a worker that is draining or has restarted.
BOOST_AUTO_TEST_CASE(changeOfStateIsReportedAtOnce)
{
    ReportPolicy policy;
    policy.markChanged();
    BOOST_TEST(policy.isDue(reportWithFree(32'000), {1'000}));
    fleet::WorkerReportT draining = reportWithFree(32'000);
    draining.draining = true;
    policy.markChanged();
    BOOST_TEST(policy.isDue(draining, {1'001}));
    draining.born = 7;
    policy.markChanged();
    BOOST_TEST(policy.isDue(draining, {1'002}));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace turmericwell
