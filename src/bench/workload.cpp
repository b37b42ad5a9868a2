// Generates arrivals, simulates the shared queue and computes quantiles.
#include "bench/workload.h"

#include <algorithm>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/tail_quantile.hpp>
#include <cmath>
#include <functional>
#include <queue>
#include <random>

namespace turmericwell {

namespace accumulators = boost::accumulators;

uint32_t Arrival::longestMs() const
{
    return runMs.empty() ? 0 : *std::max_element(runMs.begin(), runMs.end());
}

static uint32_t drawRunMs(std::mt19937_64 &random)
{
    constexpr double longShare = 0.02;
    if (std::bernoulli_distribution(longShare)(random))
        return std::uniform_int_distribution<uint32_t>(2'000, 5'000)(random);
    const double drawn = std::lognormal_distribution<double>(std::log(250.0), 0.8)(random);
    return static_cast<uint32_t>(std::clamp(drawn, 50.0, 1'000.0));
}

// Estimated from random draws with a fixed seed, so the result is the same on every call.
static double meanRunMs()
{
    constexpr int draws = 200'000;
    std::mt19937_64 random(1);
    double sum = 0;
    for (int i = 0; i < draws; ++i)
        sum += drawRunMs(random);
    return sum / draws;
}

std::vector<Arrival> makeArrivals(const WorkloadOptions &options)
{
    std::mt19937_64 random(options.seed);
    const double tasksPerSubmission = 1 + options.jobShare * (options.jobTasks - 1.0);
    const double arrivalsPerMicrosecond =
        options.load * options.slots / (meanRunMs() * 1'000 * tasksPerSubmission);
    std::exponential_distribution<double> gap(arrivalsPerMicrosecond);
    std::bernoulli_distribution isJob(options.jobShare);
    std::vector<Arrival> arrivals;
    for (double at = gap(random); at < static_cast<double>(options.durationMs) * 1'000; at += gap(random)) {
        Arrival arrival{.atMicros = static_cast<int64_t>(at)};
        const uint32_t tasks = isJob(random) ? options.jobTasks : 1;
        for (uint32_t i = 0; i < tasks; ++i)
            arrival.runMs.push_back(drawRunMs(random));
        arrivals.push_back(std::move(arrival));
    }
    return arrivals;
}

std::vector<double> sharedQueueResponses(std::span<const Arrival> arrivals, uint32_t slots)
{
    std::priority_queue<double, std::vector<double>, std::greater<>> freeAt;
    for (uint32_t i = 0; i < slots; ++i)
        freeAt.push(0);
    std::vector<double> responses;
    responses.reserve(arrivals.size());
    for (const Arrival &arrival : arrivals) {
        const double at = static_cast<double>(arrival.atMicros) / 1'000;
        double end = at;
        for (const uint32_t run : arrival.runMs) {
            const double start = std::max(at, freeAt.top());
            freeAt.pop();
            freeAt.push(start + run);
            end = std::max(end, start + run);
        }
        responses.push_back(end - at);
    }
    return responses;
}

Quantiles quantilesOf(std::span<const double> values)
{
    if (values.empty())
        return {};
    using Tail = accumulators::tag::tail_quantile<accumulators::left>;
    accumulators::accumulator_set<double, accumulators::stats<Tail>> tail(
        accumulators::tag::tail<accumulators::left>::cache_size = values.size());
    for (const double value : values)
        tail(value);
    const auto at = [&](double probability) {
        return accumulators::quantile(tail, accumulators::quantile_probability = probability);
    };
    return {.p50 = at(0.5),
            .p90 = at(0.9),
            .p99 = at(0.99),
            .most = *std::max_element(values.begin(), values.end())};
}

} // namespace turmericwell
