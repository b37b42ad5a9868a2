// Estimate of a worker's speed from its ended runs: the ratio of expected to actual run time.
//
// Load pattern: workers of lasting different speeds, estimates of run times that are off by tens of percent,
// and a few percent of tasks with several times the usual work. The estimate is the median of the logarithms
// of the ratios, which single long tasks hardly move. Samples decay with time, so that a lasting change of
// the speed is learned, while a slow phase of some seconds changes the estimate little.
#pragma once

#include "turmericwell/millis.h"

#include <array>
#include <cstdint>

namespace turmericwell {

struct SpeedEstimate
{
    // 1 is the speed that the expected run times assume; 0 if unknown.
    double speed = 0;
    // Number of ended runs that count, after decay.
    double samples = 0;
    // Standard error of the speed's natural logarithm.
    double uncertainty = 0;
};

class SpeedEstimator
{
public:
    // Weight of a sample halves in this time.
    static constexpr Millis halfLife = {15'000};
    // With fewer samples the speed is unknown.
    static constexpr double minSamples = 5;

    // Records a run that completed. Runs that failed, were stopped, or whose start this process did not see
    // must not be passed. Runs too short to be measured in whole milliseconds are ignored.
    void runCompleted(Millis expected, Millis actual, Millis now);
    SpeedEstimate estimate(Millis now) const;
    // Forgets all samples, for another incarnation of the worker.
    void reset();

private:
    static constexpr int binsPerOctave = 16;
    // Ratios from 2^-octaves to 2^octaves; others count in the outermost bins.
    static constexpr int octaves = 5;
    static constexpr int binCount = 2 * octaves * binsPerOctave;

    // Ratio below which the given share of the samples lies, as a binary logarithm.
    double quantile(double share) const;
    double decay(Millis now) const;

    // Weights of the samples by the binary logarithm of their ratio, as of m_decayedAt.
    std::array<double, binCount> m_bins{};
    double m_total = 0;
    Millis m_decayedAt;
};

} // namespace turmericwell
