// Forecast of the resources that waiting and new jobs will find, and the decision whether a new job is taken.
//
// Load pattern: bursts of one kind at 1.4 to 2.5 times its usual rate. A single predicted wait for all kinds
// rejects jobs while workers are free, and admits jobs that are rejected only after they have waited.
//
// Model: waiting work is started in the order of its latest starts, as fast as running work ends; started
// work occupies its processors for its expected run time. The result is the amount that can have been started
// by each time (room), which is compared with the amount that must have been started by then (demand). A job
// is on time if room exceeds demand by the job's size at its latest start. It delays no admitted job if that
// also holds at all later times. Only part of the future is known, so the comparison yields a probability.
#pragma once

#include "turmericwell/millis.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace turmericwell {

// Resources on the workers that one class of tasks can use, in thousandths of a core. A worker counts only
// with the whole tasks that fit on it.
struct ReachableResources
{
    int64_t capacityMilli = 0;
    int64_t freeMilli = 0;
    // Requested by orders that wait at the workers' agents.
    int64_t queuedMilli = 0;
    uint32_t workers = 0;
};

// Work that waits at the other owners, as last reported by one of them.
struct PeerWaiting
{
    int64_t cpuMilli = 0;
    // Time since the report was received.
    Millis age;
};

// Rate and usual slack of the recent arrivals of each priority at this owner. Bounded: priorities from
// lastPriority on are counted together.
class ArrivalRates
{
public:
    static constexpr size_t priorities = 8;

    void observe(uint32_t priority, int64_t cpuMilli, Millis slack, Millis now);
    // Thousandths of a core that arrive per millisecond.
    double rate(size_t priority, Millis now) const;
    Millis slack(size_t priority) const { return {static_cast<int64_t>(m_classes[priority].slackMs)}; }
    static size_t classOf(uint32_t priority);

private:
    struct Class
    {
        // Arrived amount, decayed with rateWindow.
        double cpuMilli = 0;
        double slackMs = 0;
        Millis updatedAt;
    };

    std::array<Class, priorities> m_classes;
};

enum class ForecastVerdict : uint8_t { OnTime, Late, Rejected };

// Why a job is rejected or taken; the texts are part of the log and of the metrics.
enum class ForecastReason : uint8_t {
    // Resources for the whole job are free now.
    FreeNow,
    RoomInTime,
    // Late, from room that no job in time is expected to need.
    SpareRoom,
    NoReachableWorker,
    // The room before the job's latest start is needed by admitted or more urgent work.
    NoRoomInTime,
    // The job would make admitted jobs late.
    DelaysOthers,
};
std::string_view forecastReasonText(ForecastReason reason);

// A job that is to be decided about. Times are relative to the decision.
struct ForecastNeed
{
    // Processors of its largest step.
    int64_t cpuMilli = 0;
    uint32_t priority = 0;
    Millis latestStart;
    // Latest start with which the job is still worth something although it is late.
    Millis lastUsefulStart;
    // Expected time from its first start to its end.
    Millis runTime;
    // Room that was promised to jobs that were rejected earlier and return before the latest start. At most
    // a quarter of the room is kept for them, since not all come back.
    int64_t promisedMilli = 0;
};

struct ForecastResult
{
    ForecastVerdict verdict = ForecastVerdict::Rejected;
    ForecastReason reason = ForecastReason::NoReachableWorker;
    Millis start;
    Millis end;
    double onTimeProbability = 0;
    // Time until room for the job is expected, whatever its deadline; the horizon if there is none before.
    Millis roomIn;
};

// One class of tasks at one time. Built from a walk over the waiting and running work; decisions then take
// constant time and allocate nothing.
class Forecast
{
public:
    static constexpr Millis horizon = {4'000};

    struct Options
    {
        ReachableResources resources;
        // Mean time that a processor stays occupied.
        Millis turnover = {1};
        // Part of the running work that this owner has ordered; its arrivals and waiting work divided by this
        // estimate those of all owners.
        double ownFraction = 1;
        // Part of the workers in reach that have reported. The others are assumed to be like these.
        double knownFraction = 1;
    };

    explicit Forecast(const Options &options, Millis now);
    // Own work that runs and is expected to end after the given time.
    void addRunning(Millis endsIn, int64_t cpuMilli);
    // Own work that waits.
    void addWaiting(Millis latestStart, int64_t cpuMilli, Millis runTime);
    // Own work that waits although it will be late.
    void addLate(int64_t cpuMilli) { m_late += static_cast<double>(cpuMilli); }
    void addPeer(const PeerWaiting &waiting);
    // To be called after the last add function. The rates are read at the time of the forecast.
    void build(const ArrivalRates &rates);

    ForecastResult assess(const ForecastNeed &need, Millis now) const;
    // Counts a job that was admitted after the forecast was built, so that its room is not given twice.
    void admit(const ForecastNeed &need, const ForecastResult &result, Millis now);

    Millis madeAt() const { return m_madeAt; }
    const Options &options() const { return m_options; }
    // Thousandths of a core that wait at other owners, as estimated now.
    int64_t peersWaitingMilli() const { return static_cast<int64_t>(m_peersWaiting); }
    // Part of the capacity that arrivals of all kinds and owners ask for; above 1 under overload.
    double offeredLoad() const;

private:
    // Finer steps in the near future: 40 of 10 ms, 30 of 40 ms, 24 of 100 ms.
    static constexpr size_t steps = 94;
    using Curve = std::array<double, steps>;

    static size_t stepOf(Millis time);
    static Millis stepEnd(size_t step);
    // Standard deviation of the room at the end of the step.
    double deviation(size_t step) const;
    double onTimeProbability(size_t step, const ForecastNeed &need) const;
    // Amount that work more urgent than the priority is expected to ask for by the end of the step.
    double expectedUrgent(size_t step, uint32_t priority) const;
    double spare(size_t step) const;
    void simulate();

    const Options m_options;
    const Millis m_madeAt;
    // Released by running work in each step.
    Curve m_releases{};
    // Own waiting work by latest start, later the demand of all owners by the end of the step.
    Curve m_demand{};
    // Amount that can have been started by the end of the step.
    Curve m_room{};
    double m_ownRunning = 0;
    double m_ownWaiting = 0;
    double m_peersReported = 0;
    double m_peersReportWeight = 0;
    uint32_t m_peers = 0;
    double m_peersWaiting = 0;
    double m_waitingRunTime = 0;
    // Ordered by other owners and not shown by the workers' reports yet.
    double m_unseen = 0;
    // Demand of jobs that are admitted although they will be late.
    double m_late = 0;
    std::array<double, ArrivalRates::priorities> m_rates{};
    std::array<Millis, ArrivalRates::priorities> m_slacks{};
};

} // namespace turmericwell
