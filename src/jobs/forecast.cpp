// Forecast: a fluid simulation of the next seconds in steps, and comparisons of its curves.
#include "jobs/forecast.h"

#include <algorithm>
#include <cmath>

namespace turmericwell {

// A job is taken as on time from this probability on. A job that ends late has used resources that another
// one could have had, so the threshold is above one half.
constexpr double leastOnTimeProbability = 0.7;
// Window of the arrival rates. Bursts last seconds, and the rate has to follow them within their first one.
constexpr double rateWindowMs = 500;
// Most of the room that is kept for arrivals of more urgent jobs, so that these cannot starve the others.
constexpr double mostUrgentPart = 0.3;
constexpr double mostPromisedPart = 0.25;
// Error of the expected time that running work takes, common to all runs.
constexpr double turnoverError = 0.1;
// The waiting work that a peer reports is replaced by new work at about the rate at which it is started.
constexpr double peerReportHalfLifeMs = 150;
// Time in which orders of other owners arrive at workers before the workers' reports show it. Without it,
// several owners give the same free resources away.
constexpr double reportDelayMs = 8;
constexpr double leastOwnFraction = 0.02;
// A run beyond its expected end is expected to take this part of the mean time longer.
constexpr int64_t overduePart = 4;

constexpr int64_t fineStepMs = 10;
constexpr int64_t middleStepMs = 40;
constexpr int64_t coarseStepMs = 100;
constexpr int64_t fineSteps = 40;
constexpr int64_t middleSteps = 30;
constexpr int64_t middleFromMs = fineSteps * fineStepMs;
constexpr int64_t coarseFromMs = middleFromMs + middleSteps * middleStepMs;

static double normalDistribution(double x)
{
    return 0.5 * std::erfc(-x / std::sqrt(2.0));
}

std::string_view forecastReasonText(ForecastReason reason)
{
    switch (reason) {
    case ForecastReason::FreeNow:
        return "resources are free";
    case ForecastReason::RoomInTime:
        return "room in time";
    case ForecastReason::SpareRoom:
        return "late, from spare room";
    case ForecastReason::NoReachableWorker:
        return "no worker for the job is in reach";
    case ForecastReason::NoRoomInTime:
        return "no room before the job's latest start";
    case ForecastReason::DelaysOthers:
        return "the job would make admitted jobs late";
    }
    return {};
}

size_t ArrivalRates::classOf(uint32_t priority)
{
    return std::min<size_t>(priority, priorities - 1);
}

void ArrivalRates::observe(uint32_t priority, int64_t cpuMilli, Millis slack, Millis now)
{
    constexpr double smoothingFactor = 0.05;
    Class &arrivals = m_classes[classOf(priority)];
    const double slackMs = static_cast<double>(slack.count);
    arrivals.slackMs =
        arrivals.cpuMilli > 0 ? arrivals.slackMs + smoothingFactor * (slackMs - arrivals.slackMs) : slackMs;
    arrivals.cpuMilli = rate(classOf(priority), now) * rateWindowMs + static_cast<double>(cpuMilli);
    arrivals.updatedAt = now;
}

double ArrivalRates::rate(size_t priority, Millis now) const
{
    const Class &arrivals = m_classes[priority];
    const auto age = static_cast<double>(std::max<int64_t>(0, (now - arrivals.updatedAt).count));
    return arrivals.cpuMilli * std::exp(-age / rateWindowMs) / rateWindowMs;
}

size_t Forecast::stepOf(Millis time)
{
    const int64_t ms = std::clamp<int64_t>(time.count, 0, horizon.count - 1);
    if (ms < middleFromMs)
        return static_cast<size_t>(ms / fineStepMs);
    if (ms < coarseFromMs)
        return static_cast<size_t>(fineSteps + (ms - middleFromMs) / middleStepMs);
    return static_cast<size_t>(fineSteps + middleSteps + (ms - coarseFromMs) / coarseStepMs);
}

Millis Forecast::stepEnd(size_t step)
{
    const auto count = static_cast<int64_t>(step) + 1;
    if (count <= fineSteps)
        return {count * fineStepMs};
    if (count <= fineSteps + middleSteps)
        return {middleFromMs + (count - fineSteps) * middleStepMs};
    return {coarseFromMs + (count - fineSteps - middleSteps) * coarseStepMs};
}

Forecast::Forecast(const Options &options, Millis now)
    : m_options(options)
    , m_madeAt(now)
{ }

void Forecast::addRunning(Millis endsIn, int64_t cpuMilli)
{
    const Millis overdue = std::max(m_options.turnover / overduePart, Millis{1});
    m_releases[stepOf(endsIn.count > 0 ? endsIn : overdue)] += static_cast<double>(cpuMilli);
    m_ownRunning += static_cast<double>(cpuMilli);
}

void Forecast::addWaiting(Millis latestStart, int64_t cpuMilli, Millis runTime)
{
    const auto amount = static_cast<double>(cpuMilli);
    m_demand[stepOf(latestStart)] += amount;
    m_ownWaiting += amount;
    m_waitingRunTime += amount * static_cast<double>(runTime.count);
}

void Forecast::addPeer(const PeerWaiting &waiting)
{
    m_peersReported += static_cast<double>(waiting.cpuMilli);
    m_peersReportWeight +=
        std::exp2(-static_cast<double>(std::max<int64_t>(0, waiting.age.count)) / peerReportHalfLifeMs);
    ++m_peers;
}

void Forecast::build(const ArrivalRates &rates)
{
    const double ownFraction = std::clamp(m_options.ownFraction, leastOwnFraction, 1.0);
    for (size_t priority = 0; priority < m_rates.size(); ++priority) {
        m_rates[priority] = rates.rate(priority, m_madeAt) / ownFraction;
        m_slacks[priority] = rates.slack(priority);
    }
    double arriving = 0;
    for (const double rate : m_rates)
        arriving += rate;
    // No more can be started than running work makes room for.
    const double startRate = static_cast<double>(m_options.resources.capacityMilli)
        / static_cast<double>(std::max<int64_t>(1, m_options.turnover.count));
    m_unseen = std::min(arriving, startRate) * (1 - ownFraction) * reportDelayMs;
    // Jobs are spread over the owners by a hash, so the own queue is an estimate of the others' that is never
    // old. It replaces their reports as these age.
    if (m_peers > 0) {
        const double weight = m_peersReportWeight / m_peers;
        const double likeOwn = m_ownWaiting * (1 / ownFraction - 1);
        m_peersWaiting = weight * m_peersReported + (1 - weight) * std::min(likeOwn, m_peersReported);
    }
    // The peers' waiting work is taken to have latest starts like the own, or to come first if there is none.
    const double scale = m_ownWaiting > 0 ? 1 + m_peersWaiting / m_ownWaiting : 1;
    double total = m_ownWaiting > 0 ? 0 : m_peersWaiting;
    total += static_cast<double>(m_options.resources.queuedMilli) + m_unseen;
    for (double &demand : m_demand) {
        total += demand * scale;
        demand = total;
    }
    simulate();
}

// Waiting work starts as soon as processors are free, and releases them after its run time.
void Forecast::simulate()
{
    const double view = 1 / std::clamp(m_options.knownFraction, 0.1, 1.0);
    const ReachableResources &resources = m_options.resources;
    const double capacity = static_cast<double>(resources.capacityMilli) * view;
    double available = static_cast<double>(resources.freeMilli) * view;
    const double othersRunning = std::max(0.0, capacity - available - m_ownRunning);
    const auto turnover = static_cast<double>(std::max<int64_t>(1, m_options.turnover.count));
    const double meanRunTime = m_ownWaiting > 0 ? m_waitingRunTime / m_ownWaiting : turnover;
    const Millis runTime = {std::max<int64_t>(1, std::llround(meanRunTime))};
    // Released by work that starts within the horizon.
    Curve later{};
    double backlog = m_demand.back();
    double started = 0;
    double begin = 0;
    for (size_t step = 0; step < steps; ++step) {
        const auto end = static_cast<double>(stepEnd(step).count);
        const double othersEnd = othersRunning * std::max(0.0, std::min(end, turnover) - begin) / turnover;
        available += m_releases[step] + later[step] + othersEnd;
        const double starting = std::min(available, backlog);
        available -= starting;
        backlog -= starting;
        started += starting;
        // Never released within the step, in which it would be counted as started a second time.
        const size_t release = std::max(step + 1, stepOf(stepEnd(step) + runTime));
        if (release < steps)
            later[release] += starting;
        m_room[step] = started + available;
        begin = end;
    }
}

double Forecast::deviation(size_t step) const
{
    const double released = std::max(0.0, m_room[step] - m_room[0]);
    const double peers = 0.25 * m_peersWaiting;
    const double view = (1 - m_options.knownFraction) * 0.25 * m_room[step];
    return std::hypot(turnoverError * released, std::hypot(peers, view)) + 1;
}

double Forecast::expectedUrgent(size_t step, uint32_t priority) const
{
    double expected = 0;
    for (size_t other = 0; other < ArrivalRates::classOf(priority); ++other)
        expected += m_rates[other]
            * static_cast<double>(std::max<int64_t>(0, (stepEnd(step) - m_slacks[other]).count));
    return std::min(expected, mostUrgentPart * m_room[step]);
}

double Forecast::onTimeProbability(size_t step, const ForecastNeed &need) const
{
    const double promised =
        std::min(static_cast<double>(need.promisedMilli), mostPromisedPart * m_room[step]);
    const double kept = expectedUrgent(step, need.priority) + promised;
    const double left = m_room[step] - m_demand[step] - kept - static_cast<double>(need.cpuMilli);
    return normalDistribution(left / deviation(step));
}

double Forecast::spare(size_t step) const
{
    double expected = 0;
    for (const double rate : m_rates)
        expected += rate * static_cast<double>(stepEnd(step).count);
    return m_room[step] - m_demand.back() - m_late - expected;
}

double Forecast::offeredLoad() const
{
    double rate = 0;
    for (const double arriving : m_rates)
        rate += arriving;
    const auto capacity = static_cast<double>(std::max<int64_t>(1, m_options.resources.capacityMilli));
    return rate * static_cast<double>(m_options.turnover.count) / capacity;
}

ForecastResult Forecast::assess(const ForecastNeed &need, Millis now) const
{
    const Millis since = now - m_madeAt;
    const auto size = static_cast<double>(need.cpuMilli);
    ForecastResult result{.roomIn = horizon};
    if (m_options.resources.workers == 0)
        return result;
    const auto placed = [&](ForecastVerdict verdict, ForecastReason reason, Millis start) {
        result.verdict = verdict;
        result.reason = reason;
        result.start = std::max(Millis{0}, start - since);
        result.end = result.start + need.runTime;
        result.roomIn = result.start;
        return result;
    };
    // Free resources are seen, not predicted, and are newer than any report of waiting work elsewhere.
    const double freeNow =
        static_cast<double>(m_options.resources.freeMilli) - m_ownWaiting - m_late - m_unseen;
    if (freeNow >= size && need.latestStart.count >= 0) {
        result.onTimeProbability = 1;
        return placed(ForecastVerdict::OnTime, ForecastReason::FreeNow, {0});
    }
    const size_t due = stepOf(need.latestStart + since);
    result.onTimeProbability = need.latestStart.count < 0 ? 0 : onTimeProbability(due, need);
    bool delaysOthers = false;
    // A step that is infeasible already is not made so by this job.
    for (size_t step = due + 1; step < steps && !delaysOthers; ++step) {
        const double left = m_room[step] - m_demand[step];
        delaysOthers = left > 0 && left < size;
    }
    size_t first = 0;
    while (first + 1 < steps && m_room[first] - m_demand[std::min(first, due)] < size)
        ++first;
    if (result.onTimeProbability >= leastOnTimeProbability && !delaysOthers)
        return placed(ForecastVerdict::OnTime, ForecastReason::RoomInTime,
                      first == 0 ? Millis{0} : stepEnd(std::min(first, due)));
    result.reason = delaysOthers && result.onTimeProbability >= leastOnTimeProbability
        ? ForecastReason::DelaysOthers
        : ForecastReason::NoRoomInTime;
    for (size_t step = 0; step < steps; ++step) {
        if (spare(step) < size)
            continue;
        if (stepEnd(step) <= need.lastUsefulStart + since)
            return placed(ForecastVerdict::Late, ForecastReason::SpareRoom, stepEnd(step));
        result.roomIn = stepEnd(step);
        break;
    }
    return result;
}

void Forecast::admit(const ForecastNeed &need, const ForecastResult &result, Millis now)
{
    const auto amount = static_cast<double>(need.cpuMilli);
    if (result.verdict == ForecastVerdict::Late) {
        m_late += amount;
        return;
    }
    m_ownWaiting += amount;
    // A job for which resources are free starts at once, before more urgent ones that come later.
    const bool startsNow = result.reason == ForecastReason::FreeNow;
    size_t step = startsNow ? 0 : stepOf(need.latestStart + (now - m_madeAt));
    for (; step < steps; ++step)
        m_demand[step] += amount;
}

} // namespace turmericwell
