// Distribution of the ratio of run time to estimate in one queue, corrected by the speed of the worker.
//
// Load pattern: a few percent of the tasks of a queue have several times the usual work, and estimates are
// off by tens of percent. The share of runs that exceed a multiple of their estimate tells how likely a task
// ends in time, and whether a run that takes long can be an ordinary one.
#pragma once

#include <array>
#include <cstddef>

namespace turmericwell {

class RunRatios
{
public:
    static constexpr size_t binCount = 40;

    RunRatios();

    void observe(double ratio);
    // Share of runs with a greater ratio; never 0.
    double shareAbove(double ratio) const;
    // Share of runs in a bin, and the ratio that represents it.
    double share(size_t bin) const { return m_bins.at(bin) / m_total; }
    static double ratioOf(size_t bin);

private:
    void updateAbove();

    // Weights by the binary logarithm of the ratio. They are halved when their sum exceeds a limit, so that
    // old runs lose weight.
    std::array<double, binCount> m_bins{};
    // For each bin, the sum of the weights from it on.
    std::array<double, binCount + 1> m_above{};
    double m_total = 0;
};

} // namespace turmericwell
