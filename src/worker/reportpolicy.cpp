// Compares the current report on a worker with the one that was sent last.
#include "worker/reportpolicy.h"

#include <algorithm>
#include <cstdlib>
#include <tuple>

namespace turmericwell {

constexpr int64_t wholePercent = 100;

ReportPolicy::ReportPolicy(ReportPolicyOptions options)
    : m_options(options)
{ }

// Fields that change rarely and decide at once whether the worker can be used.
static auto urgentFields(const fleet::WorkerReportT &report)
{
    return std::tie(report.usable, report.draining, report.worker, report.born, report.service, report.zone,
                    report.labels, report.cpu_milli, report.memory_mb, report.accelerators);
}

bool ReportPolicy::isUrgent(const fleet::WorkerReportT &report) const
{
    if (urgentFields(report) != urgentFields(m_lastReport))
        return true;
    const int64_t change = std::abs(int64_t{report.free_cpu_milli} - m_lastReport.free_cpu_milli);
    const int64_t leastFree = std::min(report.free_cpu_milli, m_lastReport.free_cpu_milli);
    const int64_t capacity = report.cpu_milli;
    const bool isScarce = leastFree * wholePercent < capacity * m_options.scarcePercent;
    return isScarce && change * wholePercent >= capacity * m_options.minUrgentChangePercent;
}

bool ReportPolicy::isDue(const fleet::WorkerReportT &report, Millis now)
{
    if (!m_isPending)
        return false;
    if (m_hasSent && now - m_lastReportAt < m_options.maxDelay && !isUrgent(report))
        return false;
    m_isPending = false;
    m_hasSent = true;
    m_lastReport = report;
    m_lastReportAt = now;
    return true;
}

} // namespace turmericwell
