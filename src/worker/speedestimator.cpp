// Decaying histogram of the logarithms of run time ratios.
#include "worker/speedestimator.h"

#include <algorithm>
#include <cmath>

namespace turmericwell {

// Starts and ends are seen with a delay of a few milliseconds.
constexpr Millis minExpected = {10};
// Interval of the decay of all bins; between two of them the weights are exact to half a percent.
constexpr Millis decayInterval = {100};
constexpr double lowerQuartile = 0.25;
constexpr double upperQuartile = 0.75;
// Distance between the quartiles of a normal distribution, in standard deviations.
constexpr double quartileDistance = 1.349;
// The standard error of a median exceeds that of a mean by this factor.
constexpr double medianErrorFactor = 1.253;
// Estimates of run times are off by tens of percent, whatever the samples happen to show.
constexpr double minDeviation = 0.15;

double SpeedEstimator::decay(Millis now) const
{
    const double age = static_cast<double>(std::max<int64_t>(0, (now - m_decayedAt).count));
    return std::exp2(-age / static_cast<double>(halfLife.count));
}

void SpeedEstimator::runCompleted(Millis expected, Millis actual, Millis now)
{
    if (expected < minExpected || actual.count <= 0)
        return;
    if (now - m_decayedAt >= decayInterval) {
        const double factor = decay(now);
        for (double &weight : m_bins)
            weight *= factor;
        m_total *= factor;
        m_decayedAt = now;
    }
    const double ratio = std::log2(static_cast<double>(expected.count) / static_cast<double>(actual.count));
    const auto bin = static_cast<int>(std::floor((ratio + octaves) * binsPerOctave));
    m_bins.at(static_cast<size_t>(std::clamp(bin, 0, binCount - 1))) += 1;
    m_total += 1;
}

double SpeedEstimator::quantile(double share) const
{
    double left = m_total * share;
    for (int bin = 0; bin < binCount; ++bin) {
        const double weight = m_bins.at(static_cast<size_t>(bin));
        if (weight > 0 && left <= weight)
            return (bin + left / weight) / binsPerOctave - octaves;
        left -= weight;
    }
    return octaves;
}

SpeedEstimate SpeedEstimator::estimate(Millis now) const
{
    const double samples = m_total * decay(now);
    if (samples < minSamples)
        return {.samples = samples};
    const double deviation =
        (quantile(upperQuartile) - quantile(lowerQuartile)) * std::log(2.0) / quartileDistance;
    return {.speed = std::exp2(quantile(0.5)),
            .samples = samples,
            .uncertainty = medianErrorFactor * std::max(minDeviation, deviation) / std::sqrt(samples)};
}

void SpeedEstimator::reset()
{
    m_bins = {};
    m_total = 0;
    m_decayedAt = {};
}

} // namespace turmericwell
