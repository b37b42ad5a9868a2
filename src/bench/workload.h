// Synthetic arrivals for load experiments, and response times of an ideal dispatcher as the baseline.
#pragma once

#include <cstdint>
#include <span>
#include <vector>

namespace turmericwell {

struct WorkloadOptions
{
    uint64_t seed = 1;
    // Offered load as a fraction of the capacity of all slots.
    double load = 0.8;
    uint32_t slots = 88;
    int64_t durationMs = 20'000;
    // Fraction of submissions that are jobs, and the number of tasks per job.
    double jobShare = 0;
    uint32_t jobTasks = 8;
};

// One submission. A request has one task; a job has WorkloadOptions::jobTasks tasks.
struct Arrival
{
    int64_t atMicros = 0;
    std::vector<uint32_t> runMs;

    // Run time of the longest task, which is a lower bound of the response time.
    uint32_t longestMs() const;
};

// Poisson arrivals. 98% of the run times are log-normal with a median of 250 ms, clamped to 50 ms to 1 s; 2%
// are uniform between 2 and 5 s. Equal options give equal arrivals.
std::vector<Arrival> makeArrivals(const WorkloadOptions &options);

// Response times in ms of an ideal dispatcher: one FIFO queue that feeds all slots without delay.
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
