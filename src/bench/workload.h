// Arrivals for load experiments, and the ideal dispatcher that they are compared with.
#pragma once

#include <cstdint>
#include <span>
#include <vector>

namespace turmericwell {

struct WorkloadOptions
{
    uint64_t seed = 1;
    // Offered work over the work that all slots can do.
    double load = 0.8;
    uint32_t slots = 88;
    int64_t durationMs = 20'000;
    // Share of submissions that are jobs, and the number of tasks of a job.
    double jobShare = 0;
    uint32_t jobTasks = 8;
};

// One submission: a request has one task, a job has several.
struct Arrival
{
    int64_t atMicros = 0;
    std::vector<uint32_t> runMs;

    // Run time of the longest task: the time that the submission needs at least.
    uint32_t longestMs() const;
};

// Poisson arrivals. Most run times are 50 ms to 1 s (log-normal, median 250 ms), 2% are 2 to 5 s. Equal
// options give equal arrivals.
std::vector<Arrival> makeArrivals(const WorkloadOptions &options);

// Response times, in ms, of one first-in-first-out queue that feeds all slots without any delay.
std::vector<double> sharedQueueResponses(std::span<const Arrival> arrivals, uint32_t slots);

struct Quantiles
{
    double p50 = 0;
    double p90 = 0;
    double p99 = 0;
    double most = 0;
};

Quantiles quantilesOf(std::span<const double> values);

} // namespace turmericwell
