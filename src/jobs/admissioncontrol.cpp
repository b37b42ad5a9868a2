// AdmissionControl: cache of the forecasts.
#include "jobs/admissioncontrol.h"

#include <algorithm>

namespace turmericwell {

constexpr int64_t sizeStepMilli = 250;
// Part of the capacity that is offered to returning jobs even if the arrivals ask for all of it: some of the
// jobs that arrive are rejected as well.
constexpr double leastSparePart = 0.1;

TaskClass TaskClass::of(const JobSpec &spec, const StepSpec &step)
{
    const int64_t rounded = (step.cpu_milli + sizeStepMilli - 1) / sizeStepMilli * sizeStepMilli;
    // A rounded size may exceed the only workers that hold the task.
    return {.service = spec.service,
            .requiredLabel = step.required_label,
            .size = {rounded > sizeStepMilli * 2 ? rounded : int64_t{step.cpu_milli}, step.memory_mb,
                     step.accelerators}};
}

void AdmissionControl::observeArrival(const std::string &service, const ForecastNeed &need, Millis now)
{
    m_arrivals[service].observe(need.priority, need.cpuMilli, need.latestStart, now);
}

Forecast &AdmissionControl::current(const TaskClass &taskClass, Millis now)
{
    const auto found = m_forecasts.find(taskClass);
    if (found != m_forecasts.end() && now - found->second.madeAt() < refreshInterval)
        return found->second;
    if (found != m_forecasts.end()) {
        m_forecasts.erase(found);
    } else if (m_forecasts.size() >= mostClasses) {
        m_forecasts.erase(
            std::min_element(m_forecasts.begin(), m_forecasts.end(), [](const auto &a, const auto &b) {
                return a.second.madeAt() < b.second.madeAt();
            }));
    }
    Forecast &forecast =
        m_forecasts.emplace(taskClass, Forecast(m_describe(taskClass, now), now)).first->second;
    m_addWork(taskClass, forecast, now);
    for (const PeerReport &report : m_peerReports)
        forecast.addPeer({.cpuMilli = report.waitingMilli, .age = now - report.receivedAt});
    forecast.build(m_arrivals[taskClass.service]);
    return forecast;
}

const Forecast &AdmissionControl::forecast(const TaskClass &taskClass, Millis now)
{
    return current(taskClass, now);
}

ForecastResult AdmissionControl::assess(const TaskClass &taskClass, const ForecastNeed &need, Millis now)
{
    return current(taskClass, now).assess(need, now);
}

void AdmissionControl::admitted(const TaskClass &taskClass, const ForecastNeed &need,
                                const ForecastResult &result, Millis now)
{
    // The job competes with tasks of all classes of the service.
    for (auto &[other, forecast] : m_forecasts) {
        if (other.service == taskClass.service)
            forecast.admit(need, result, now);
    }
}

Millis AdmissionControl::bookReturn(const TaskClass &taskClass, JobId job, const ForecastNeed &need,
                                    Millis roomIn, Millis now)
{
    const Forecast &known = current(taskClass, now);
    const auto &options = known.options();
    const double spare = std::max(leastSparePart, 1 - known.offeredLoad());
    const double rate =
        static_cast<double>(options.resources.capacityMilli) * spare * std::min(1.0, options.ownFraction);
    return m_returns.book({.job = job,
                           .work = static_cast<double>(need.cpuMilli)
                               * static_cast<double>(std::max<int64_t>(1, need.runTime.count)),
                           .cpuMilli = need.cpuMilli,
                           .spareRate = rate,
                           .roomIn = roomIn},
                          now);
}

} // namespace turmericwell
