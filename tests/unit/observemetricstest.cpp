// Tests of the metrics registry and its Prometheus output.
#include "observe/metrics.h"

#include <array>
#include <boost/test/unit_test.hpp>

using namespace turmericwell;

namespace {

constexpr std::array described = {
    MetricDescription{"busy", MetricKind::Gauge, "Busy slots."},
    MetricDescription{"refusals_total", MetricKind::Counter, "Refusals by reason.", "reason"},
    MetricDescription{"run_ms", MetricKind::Summary, "Run time in ms."},
};

// Value of the sample line that starts with the prefix.
double valueOf(const std::string &text, const std::string &prefix)
{
    const size_t at = text.find("\n" + prefix + " ");
    BOOST_REQUIRE_MESSAGE(at != std::string::npos, prefix << " is missing in " << text);
    return std::stod(text.substr(at + prefix.size() + 2));
}

} // namespace

BOOST_AUTO_TEST_SUITE(observeMetrics)

// Guards against output that a Prometheus scraper rejects.
BOOST_AUTO_TEST_CASE(textHasHelpTypeAndEscapedLabels)
{
    Metrics metrics(described);
    metrics.set("busy", 3);
    metrics.count("refusals_total", "stale");
    metrics.count("refusals_total", "stale", 2);
    metrics.count("refusals_total", "a\"b\n");
    BOOST_TEST(
        metrics.text()
        == "# HELP turmericwell_busy Busy slots.\n"
           "# TYPE turmericwell_busy gauge\n"
           "turmericwell_busy 3\n"
           "# HELP turmericwell_metrics_unknown_total Samples that were dropped because their metric has no "
           "description.\n"
           "# TYPE turmericwell_metrics_unknown_total counter\n"
           "turmericwell_metrics_unknown_total 0\n"
           "# HELP turmericwell_refusals_total Refusals by reason.\n"
           "# TYPE turmericwell_refusals_total counter\n"
           "turmericwell_refusals_total{reason=\"a\\\"b\\n\"} 1\n"
           "turmericwell_refusals_total{reason=\"stale\"} 3\n"
           "# HELP turmericwell_run_ms Run time in ms.\n"
           "# TYPE turmericwell_run_ms summary\n"
           "turmericwell_run_ms_sum 0\n"
           "turmericwell_run_ms_count 0\n");
}

// Guards against a process that terminates because a metric has no description.
BOOST_AUTO_TEST_CASE(unknownNamesAreCounted)
{
    Metrics metrics(described);
    metrics.set("other", 1);
    metrics.observe("other", 1);
    BOOST_TEST(valueOf(metrics.text(), "turmericwell_metrics_unknown_total") == 2.0);
}

// Guards against wrong quantiles, both for few samples, for which p-square has no estimate yet, and for many.
BOOST_AUTO_TEST_CASE(quantilesOfFewAndManySamples)
{
    Metrics few(described);
    for (const double value : {30.0, 10.0, 20.0})
        few.observe("run_ms", value);
    BOOST_TEST(valueOf(few.text(), "turmericwell_run_ms{quantile=\"0.5\"}") == 20.0);
    BOOST_TEST(valueOf(few.text(), "turmericwell_run_ms{quantile=\"0.99\"}") == 30.0);

    Metrics many(described);
    for (uint64_t i = 0; i < 100'000; ++i)
        many.observe("run_ms", static_cast<double>(i * 7'919 % 100'000));
    const std::string text = many.text();
    BOOST_TEST(valueOf(text, "turmericwell_run_ms{quantile=\"0.5\"}") == 50'000.0,
               boost::test_tools::tolerance(0.02));
    BOOST_TEST(valueOf(text, "turmericwell_run_ms{quantile=\"0.99\"}") == 99'000.0,
               boost::test_tools::tolerance(0.02));
    BOOST_TEST(valueOf(text, "turmericwell_run_ms_count") == 100'000.0);
}

BOOST_AUTO_TEST_SUITE_END()
