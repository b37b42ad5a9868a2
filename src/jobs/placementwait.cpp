// Expected gain of a wait for resources near a task's data.
#include "jobs/placementwait.h"
#include "core/overloaded.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <numbers>

namespace turmericwell {

// A released amount counts half as much after this time. Loads change within seconds.
constexpr Millis releaseHalfLife = {700};
// With a smaller weight of observed releases, the wait counts as unknown.
constexpr double minReleases = 4;
// Declared run times are off by about 40 percent. The deviation is learned from this number of runs on.
constexpr double initialDeviation = 0.4;
constexpr uint32_t minRunSamples = 20;
constexpr double deviationSmoothing = 0.02;
// Tasks of one step differ by about 15 percent, so no smaller deviation is assumed.
constexpr double minDeviation = 0.15;
// Deviation of a run's time that does not come from its work, such as other runs on the worker.
constexpr double runNoise = 0.05;
// A task with several times the usual work has a deadline to match, and says nothing about the usual error.
constexpr double maxRunError = 1;
// A placement far from the data counts as on time with this probability or more. A wait does not lower it
// below that.
constexpr double onTimeProbability = 0.9;
// 90 percent of a normal distribution lie below the mean plus this number of standard deviations.
constexpr double onTimeDeviations = 1.2816;
// Worth of a late job, as a share of the worth of one on time.
constexpr double lateWorth = 0.2;
// A job is worth something until its deadline is exceeded by this number of its limits.
constexpr double worthlessAfterLimits = 2;
// Processor time is scarce if a smaller share of it is free.
constexpr double scarceShare = 0.1;
// Price of processor time that is not scarce, relative to scarce one: bursts begin without notice.
constexpr double basePrice = 0.05;
// Waiting tasks are looked at every few milliseconds. A wait ends early enough for a placement before the
// job counts as late.
constexpr double passMarginMs = 10;
// Means of the eight equally probable parts of the standard normal distribution, approximately.
constexpr std::array normalQuantiles = {-1.534, -0.887, -0.489, -0.157, 0.157, 0.489, 0.887, 1.534};

static double normalProbability(double deviations)
{
    return 0.5 * std::erfc(-deviations / std::numbers::sqrt2);
}

// Value of a gamma distribution at the given number of standard deviations of the normal distribution, by the
// approximation of Wilson and Hilferty.
static double gammaQuantile(const RackWait &wait, double deviations)
{
    const double ninth = wait.deviation * wait.deviation / 9;
    const double root = 1 - ninth + deviations * std::sqrt(ninth);
    return wait.meanMs * std::max(0.0, root * root * root);
}

namespace {

// The worth and cost of one task's run, relative to the worth of the task on time and to the processor time
// of a run near the data.
struct TaskGain
{
    double nearMs = 0;
    double farFactor = 1;
    double deviation = 0;
    double stretch = 1;
    double deadlineMs = 0;
    double worthlessMs = 0;
    double price = 0;
    bool isRejectedIfLate = false;

    TaskGain(const PlacementQuestion &question, double relativeDeviation)
        : nearMs(std::max(1.0, static_cast<double>(question.expectedNear.count)))
        , farFactor(std::max(1.0, question.farFactor))
        , deviation(relativeDeviation)
        , stretch(std::max(1.0, question.stretch))
        , deadlineMs(nearMs + static_cast<double>(question.slack.count))
        , worthlessMs(deadlineMs + worthlessAfterLimits * static_cast<double>(question.limit.count))
        , price(std::max(basePrice, scarcity(question.freeShare)))
        , isRejectedIfLate(question.isRejectedIfLate)
    { }

    static double scarcity(double freeShare) { return std::clamp(1 - freeShare / scarceShare, 0.0, 1.0); }

    double endsBy(double startMs, double factor, double limitMs) const
    {
        return normalProbability((limitMs - startMs - nearMs * factor) / deviationMs(factor));
    }
    // Deviation of the time between the end and the deadline. A task with more work than expected has a later
    // deadline, so only the difference between the two counts.
    double deviationMs(double factor) const
    {
        return nearMs * std::hypot(deviation * (factor - stretch), runNoise * factor);
    }
    double onTime(double startMs, double factor) const { return endsBy(startMs, factor, deadlineMs); }
    double worth(double startMs, double factor) const
    {
        const double inTime = onTime(startMs, factor);
        return inTime + lateWorth * std::max(0.0, endsBy(startMs, factor, worthlessMs) - inTime);
    }
    double gain(double startMs, double factor) const { return worth(startMs, factor) - price * factor; }

    // Latest start far from the data that counts as on time.
    double latestFarStartMs() const
    {
        return deadlineMs - nearMs * farFactor - onTimeDeviations * deviationMs(farFactor);
    }
    // Gain of a task that gets no resources near its data within the longest wait: it is placed far from the
    // data, or while processor time is scarce it is rejected or waits on.
    double missedGain(double waitMs, double longestWaitMs) const
    {
        const double far = gain(longestWaitMs, farFactor);
        if (price <= basePrice)
            return far;
        return std::max(far, isRejectedIfLate ? 0 : gain(waitMs, 1));
    }
    // Gain of a wait of at most this time.
    double waitGain(const RackWait &wait, double longestWaitMs) const
    {
        double sum = 0;
        for (const double quantile : normalQuantiles) {
            const double waitMs = gammaQuantile(wait, quantile);
            sum += waitMs <= longestWaitMs ? gain(waitMs, 1) : missedGain(waitMs, longestWaitMs);
        }
        return sum / normalQuantiles.size();
    }
};

} // namespace

// Neither placement is on time any more: the smaller expected end counts, and processor time far from the
// data counts in proportion to its scarcity.
static bool isFarBetterWhenLate(const PlacementQuestion &question, const std::optional<RackWait> &wait,
                                const TaskGain &gain)
{
    const double scarcity = TaskGain::scarcity(question.freeShare);
    if (question.isRejectedIfLate)
        return gain.worth(0, gain.farFactor) > scarcity * gain.farFactor;
    if (!wait)
        return true;
    const double extraMs = gain.nearMs * (gain.farFactor - 1);
    // Jobs that are still on time are placed first, so a late task may wait longer than expected. It waits no
    // longer than its run would take longer far from the data.
    return extraMs * (1 + scarcity) <= wait->meanMs + static_cast<double>(question.waited.count);
}

static PlacementDecision decideByGain(const PlacementQuestion &question, const std::optional<RackWait> &wait,
                                      const TaskGain &gain, PlacementDecision decision)
{
    const auto waitFor = [&](double longestMs) {
        decision.choice = PlacementChoice::Wait;
        decision.longestWait = {std::max<int64_t>(1, std::llround(longestMs))};
        return decision;
    };
    const double latestNearMs = static_cast<double>(question.slack.count) - passMarginMs;
    const bool isFarOnTime = gain.onTime(0, gain.farFactor) >= onTimeProbability;
    if (latestNearMs <= 0)
        return isFarOnTime || isFarBetterWhenLate(question, wait, gain) ? decision : waitFor(gain.nearMs);
    // When resources are scarce, those far from the data may be in use by the end of the wait.
    if (isFarOnTime && (!wait || question.freeShare < scarceShare))
        return decision;
    const double longestMs = isFarOnTime ? std::min(latestNearMs, gain.latestFarStartMs()) : latestNearMs;
    if (longestMs < 1)
        return decision;
    // Nothing is lost by a try if the task is late far from its data: a wait of one run time is assumed.
    const RackWait assumed = wait.value_or(RackWait{.meanMs = gain.nearMs, .deviation = 1});
    return gain.waitGain(assumed, longestMs) > gain.gain(0, gain.farFactor) ? waitFor(longestMs) : decision;
}

PlacementDecision PlacementWait::decide(const PlacementQuestion &question, Millis now)
{
    // The rate of releases is also learned while there are free resources near the data.
    if (question.isRackUsable && question.farFactor > 1)
        markAsked(question.service, question.rack, now);
    return preview(question, now);
}

PlacementDecision PlacementWait::preview(const PlacementQuestion &question, Millis now) const
{
    PlacementDecision decision;
    const TaskGain gain(question, runTimeDeviation(question.queue));
    decision.farEnd = {std::llround(gain.nearMs * gain.farFactor)};
    if (question.hasNearRoom) {
        decision.choice = PlacementChoice::Near;
        decision.nearEnd = question.expectedNear;
        return decision;
    }
    if (!question.isRackUsable || question.farFactor <= 1)
        return decision;
    const std::optional<RackWait> wait =
        expectedWait(question.service, question.rack, question.aheadCpuMilli + question.cpuMilli, now);
    if (wait)
        decision.nearEnd = Millis{std::llround(wait->meanMs + gain.nearMs)};
    const auto waitUpTo = [&](Millis longest) {
        decision.choice = longest > Millis{0} ? PlacementChoice::Wait : PlacementChoice::Far;
        decision.longestWait = std::max(Millis{0}, longest);
        return decision;
    };
    if (!question.hasFarRoom)
        return waitUpTo({std::llround(gain.nearMs)});
    return std::visit(
        Overloaded{[&](const NeverWait &) { return decision; },
                   [&](const AlwaysWait &) { return waitUpTo(question.limit); },
                   [&](const FixedDelay &fixed) { return waitUpTo(fixed.delay - question.waited); },
                   [&](const ExpectedGain &) { return decideByGain(question, wait, gain, decision); }},
        m_policy);
}

static double decayed(double amount, Millis age)
{
    return amount * std::exp2(-static_cast<double>(age.count) / static_cast<double>(releaseHalfLife.count));
}

// Removes the least recently used entry of a map that is full.
template <typename Map>
static void makeRoom(Map &map, size_t most)
{
    if (map.size() < most)
        return;
    const auto isOlder = [](const auto &a, const auto &b) { return a.second.usedAt < b.second.usedAt; };
    map.erase(std::min_element(map.begin(), map.end(), isOlder));
}

void PlacementWait::markAsked(std::string_view service, std::string_view rack, Millis now)
{
    const auto found = m_racks.find(RackKeyView(service, rack));
    if (found != m_racks.end()) {
        found->second.usedAt = now;
        return;
    }
    makeRoom(m_racks, mostRacks);
    m_racks.emplace(RackKey(service, rack), Rack{.updatedAt = now, .firstAskedAt = now, .usedAt = now});
}

void PlacementWait::processorsReleased(std::string_view service, std::string_view label, int64_t cpuMilli,
                                       Millis now)
{
    const auto found = m_racks.find(RackKeyView(service, label));
    if (found == m_racks.end() || cpuMilli <= 0)
        return;
    Rack &rack = found->second;
    const Millis age = now - rack.updatedAt;
    rack.releases = decayed(rack.releases, age) + 1;
    rack.cpuMilli = decayed(rack.cpuMilli, age) + static_cast<double>(cpuMilli);
    rack.updatedAt = now;
}

std::optional<RackWait> PlacementWait::expectedWait(std::string_view service, std::string_view label,
                                                    int64_t cpuMilli, Millis now) const
{
    const auto found = m_racks.find(RackKeyView(service, label));
    if (found == m_racks.end())
        return std::nullopt;
    const Rack &rack = found->second;
    const double releases = decayed(rack.releases, now - rack.updatedAt);
    if (releases < minReleases)
        return std::nullopt;
    const double meanCpu = rack.cpuMilli / rack.releases;
    // The weights of a steady rate add up to the rate times the half-life divided by ln 2, or to less while
    // the rack has been observed for a short time.
    const double observed = 1 - decayed(1, now - rack.firstAskedAt);
    const double windowMs =
        std::max(1.0, static_cast<double>(releaseHalfLife.count) / std::numbers::ln2 * observed);
    const double needed = std::max(1.0, static_cast<double>(cpuMilli) / meanCpu);
    // The releases form a Poisson process, whose rate is known from a limited number of them.
    return RackWait{.meanMs = needed * windowMs / releases,
                    .deviation = std::sqrt(1 / needed + 1 / releases)};
}

void PlacementWait::runObserved(std::string_view queue, double ratio, Millis now)
{
    auto found = m_queues.find(queue);
    if (found == m_queues.end()) {
        makeRoom(m_queues, mostQueues);
        found = m_queues.emplace(std::string(queue), Queue{}).first;
    }
    Queue &known = found->second;
    ++known.samples;
    known.usedAt = now;
    const double error = std::min(std::abs(ratio - 1), maxRunError);
    const double weight = std::max(deviationSmoothing, 1.0 / known.samples);
    known.meanSquare += weight * (error * error - known.meanSquare);
}

double PlacementWait::runTimeDeviation(std::string_view queue) const
{
    const auto found = m_queues.find(queue);
    if (found == m_queues.end() || found->second.samples < minRunSamples)
        return initialDeviation;
    return std::max(minDeviation, std::sqrt(found->second.meanSquare));
}

void PlacementWait::purge(Millis now)
{
    const auto isExpired = [now](const auto &item) { return now - item.second.usedAt > retention; };
    std::erase_if(m_racks, isExpired);
    std::erase_if(m_queues, isExpired);
}

} // namespace turmericwell
