// Histogram on a logarithmic scale, and the shares derived from it.
#include "jobs/runratios.h"

#include <algorithm>
#include <cmath>

namespace turmericwell {

constexpr double binsPerOctave = 4;
// Binary logarithm of the least ratio of the first bin. The last bin ends at 2^7.
constexpr double firstOctave = -3;
constexpr double maxWeight = 2'000;
// Until a queue has its own samples: a logarithmic normal distribution of as many samples, as wide as the
// errors of declared run times.
constexpr double initialWeight = 30;
constexpr double initialDeviation = 0.45;
// Until long tasks have ended, a few percent of the runs are assumed to have several times the usual work.
constexpr double initialLongWeight = 1.5;
constexpr double longFrom = 4;
constexpr double longTo = 11;
// Runs longer than any of the samples are possible, but ever less likely.
constexpr double unseenWeight = 0.5;
constexpr double unseenFrom = 4;

static double upperTail(double standardDeviations)
{
    return std::erfc(standardDeviations / std::sqrt(2.0)) / 2;
}

RunRatios::RunRatios()
{
    const double step = std::log(2.0) / binsPerOctave / initialDeviation;
    const double first = std::log(2.0) * firstOctave / initialDeviation;
    for (size_t bin = 0; bin < binCount; ++bin) {
        const double from = first + step * static_cast<double>(bin);
        m_bins.at(bin) = initialWeight * (upperTail(from) - upperTail(from + step));
        if (ratioOf(bin) > longFrom && ratioOf(bin) < longTo)
            m_bins.at(bin) += initialLongWeight / std::log2(longTo / longFrom) / binsPerOctave;
    }
    updateAbove();
}

void RunRatios::observe(double ratio)
{
    const double position = (std::log2(std::max(ratio, 1e-6)) - firstOctave) * binsPerOctave;
    const double last = static_cast<double>(binCount) - 1;
    m_bins.at(static_cast<size_t>(std::clamp(position, 0.0, last))) += 1;
    if (m_total > maxWeight) {
        for (double &weight : m_bins)
            weight /= 2;
    }
    updateAbove();
}

void RunRatios::updateAbove()
{
    for (size_t bin = binCount; bin > 0; --bin)
        m_above.at(bin - 1) = m_above.at(bin) + m_bins.at(bin - 1);
    m_total = m_above[0];
}

double RunRatios::ratioOf(size_t bin)
{
    static const std::array<double, binCount> ratios = [] {
        std::array<double, binCount> result{};
        for (size_t number = 0; number < binCount; ++number)
            result.at(number) = std::exp2(firstOctave + (static_cast<double>(number) + 0.5) / binsPerOctave);
        return result;
    }();
    return ratios.at(bin);
}

double RunRatios::shareAbove(double ratio) const
{
    if (ratio <= 0)
        return 1;
    const double position = (std::log2(ratio) - firstOctave) * binsPerOctave;
    double weight = m_total;
    if (position >= static_cast<double>(binCount)) {
        weight = 0;
    } else if (position > 0) {
        const auto bin = static_cast<size_t>(position);
        weight = m_above.at(bin) - (position - static_cast<double>(bin)) * m_bins.at(bin);
    }
    const double beyond = std::min(1.0, unseenFrom / ratio);
    return (weight + unseenWeight * beyond * beyond * beyond) / (m_total + unseenWeight);
}

} // namespace turmericwell
