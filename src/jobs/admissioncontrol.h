// State of the forecast admission of an entry: forecasts by class of tasks, arrival rates, return times.
// JobScheduler supplies the work that it knows, and applies the decisions.
//
// A forecast is built on demand and reused for refreshInterval, so that the cost of a decision depends
// neither on the number of workers nor on the length of the queue. Jobs that are admitted meanwhile are
// added to it.
#pragma once

#include "jobs/forecast.h"
#include "jobs/returnschedule.h"
#include "jobs/workerpool.h"
#include "proto/fleetcodec.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace turmericwell {

// Class of tasks that fit on the same workers: their service, required label and size. Processors are rounded
// up, so that kinds of similar size share a forecast.
struct TaskClass
{
    std::string service;
    std::string requiredLabel;
    Resources size;

    static TaskClass of(const JobSpec &spec, const StepSpec &step);
    auto key() const
    {
        return std::tie(service, requiredLabel, size.cpuMilli, size.memoryMb, size.accelerators);
    }
    bool operator<(const TaskClass &other) const { return key() < other.key(); }
};

// How an owner of other partitions last described its waiting work.
struct PeerReport
{
    int64_t waitingMilli = 0;
    Millis receivedAt;
};

class AdmissionControl
{
public:
    // Shorter than the slack of the most urgent jobs, and longer than several decisions of a busy entry.
    static constexpr Millis refreshInterval = {10};
    // Classes beyond this number replace the one that was built first.
    static constexpr size_t mostClasses = 24;

    // Adds the running and waiting work of the class to the forecast.
    using AddWork = std::function<void(const TaskClass &taskClass, Forecast &forecast, Millis now)>;
    // Tells the resources of the class, its turnover, and how much of the view is known.
    using Describe = std::function<Forecast::Options(const TaskClass &taskClass, Millis now)>;

    AdmissionControl(Describe describe, AddWork addWork)
        : m_describe(std::move(describe))
        , m_addWork(std::move(addWork))
    { }

    void observeArrival(const std::string &service, const ForecastNeed &need, Millis now);
    const Forecast &forecast(const TaskClass &taskClass, Millis now);
    ForecastResult assess(const TaskClass &taskClass, const ForecastNeed &need, Millis now);
    void admitted(const TaskClass &taskClass, const ForecastNeed &need, const ForecastResult &result,
                  Millis now);
    // Books the return of a rejected job and returns the time after which it is to be submitted again.
    Millis bookReturn(const TaskClass &taskClass, JobId job, const ForecastNeed &need, Millis roomIn,
                      Millis now);
    void setPeerReports(std::vector<PeerReport> reports) { m_peerReports = std::move(reports); }
    ReturnSchedule &returns() { return m_returns; }

private:
    Forecast &current(const TaskClass &taskClass, Millis now);

    const Describe m_describe;
    const AddWork m_addWork;
    std::map<TaskClass, Forecast> m_forecasts;
    // By service. Services are those of the configured queues.
    std::map<std::string, ArrivalRates> m_arrivals;
    ReturnSchedule m_returns;
    std::vector<PeerReport> m_peerReports;
};

} // namespace turmericwell
