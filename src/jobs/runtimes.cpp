// Exponential averages of run times.
#include "jobs/runtimes.h"

#include <algorithm>
#include <cmath>

namespace turmericwell {

// With fewer ended tasks than this, only the declared run time or the default is used.
constexpr uint32_t minSamples = 20;
constexpr double smoothingFactor = 0.02;
constexpr double minRatio = 0.25;
constexpr double maxRatio = 4;

void RunTimes::observe(std::string_view queue, uint32_t declaredMs, Millis actual)
{
    if (declaredMs == 0 || actual.count <= 0)
        return;
    auto found = m_averages.find(queue);
    if (found == m_averages.end())
        found = m_averages.emplace(std::string(queue), Average{}).first;
    Average &average = found->second;
    ++average.samples;
    const double weight = std::max(smoothingFactor, 1.0 / average.samples);
    const auto actualMs = static_cast<double>(actual.count);
    const double ratio = std::clamp(actualMs / declaredMs, minRatio, maxRatio);
    average.actualMs += weight * (actualMs - average.actualMs);
    average.ratio += weight * (ratio - average.ratio);
}

void RunTimes::observeTurnover(std::string_view service, uint32_t cpuMilli, Millis actual)
{
    auto found = m_turnovers.find(service);
    if (found == m_turnovers.end())
        found = m_turnovers.emplace(std::string(service), Turnover{}).first;
    Turnover &turnover = found->second;
    ++turnover.samples;
    turnover.cpuMilli += cpuMilli - turnover.cpuMilli * smoothingFactor;
    turnover.cpuMs += static_cast<double>(cpuMilli * actual.count) - turnover.cpuMs * smoothingFactor;
}

Millis RunTimes::turnover(std::string_view service, Millis defaultValue) const
{
    const auto found = m_turnovers.find(service);
    if (found == m_turnovers.end() || found->second.samples < minSamples || found->second.cpuMilli <= 0)
        return defaultValue;
    return {std::llround(found->second.cpuMs / found->second.cpuMilli)};
}

uint32_t RunTimes::estimateMs(std::string_view queue, uint32_t declaredMs) const
{
    const auto found = m_averages.find(queue);
    if (found == m_averages.end() || found->second.samples < minSamples)
        return declaredMs;
    const Average &average = found->second;
    return static_cast<uint32_t>((declaredMs * average.ratio + average.actualMs) / 2);
}

} // namespace turmericwell
