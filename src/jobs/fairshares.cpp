// FairShares: progressive filling of the claims, and the demands of all owners.
#include "jobs/fairshares.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace turmericwell {

constexpr double rejectedWindowMs = 1'000;
// Less than a thousandth of the work is left after this time.
constexpr Millis rejectedMemory = {7'000};
// More than any deployment has, and small enough for sums over all owners.
constexpr int64_t mostMilli = 1'000'000'000'000;
// Demand beyond this part of the capacity is scarcity: tasks do not fill the workers to the last processor.
constexpr double fullPart = 0.95;
constexpr uint32_t lowestPriority = 7;

std::string_view demandOutcomeText(DemandOutcome outcome)
{
    switch (outcome) {
    case DemandOutcome::Taken:
        return "taken";
    case DemandOutcome::OlderIncarnation:
        return "an older incarnation";
    case DemandOutcome::OwnsNothing:
        return "the sender owns no partition";
    case DemandOutcome::OutOfRange:
        return "a value is out of range";
    }
    return {};
}

std::vector<double> maxMinShares(std::span<const ShareClaim> claims, double capacity)
{
    std::vector<double> shares(claims.size(), 0);
    double left = std::max(0.0, capacity);
    for (size_t number = 0; number < claims.size(); ++number) {
        shares[number] = std::min({claims[number].guaranteed, claims[number].demand, left});
        left -= shares[number];
    }
    // A claim whose demand is the smallest in relation to its weight is satisfied first.
    std::vector<size_t> order(claims.size());
    std::iota(order.begin(), order.end(), size_t{0});
    const auto rest = [&](size_t number) { return claims[number].demand - shares[number]; };
    std::sort(order.begin(), order.end(),
              [&](size_t a, size_t b) { return rest(a) * claims[b].weight < rest(b) * claims[a].weight; });
    double weight = 0;
    for (const ShareClaim &claim : claims)
        weight += claim.weight;
    for (const size_t number : order) {
        const double fair = weight > 0 ? left * claims[number].weight / weight : 0;
        const double given = std::clamp(rest(number), 0.0, fair);
        shares[number] += given;
        left -= given;
        weight -= claims[number].weight;
    }
    return shares;
}

static bool isInRange(const QueueDemand &demand)
{
    return demand.waitingMilli >= 0 && demand.waitingMilli <= mostMilli && demand.runningMilli >= 0
        && demand.runningMilli <= mostMilli;
}

DemandOutcome FairShares::report(const std::string &owner, uint64_t incarnation, bool ownsPartitions,
                                 std::vector<QueueDemand> demands, Millis now)
{
    const auto found = m_peers.find(owner);
    if (found != m_peers.end() && incarnation < found->second.incarnation)
        return DemandOutcome::OlderIncarnation;
    if (!ownsPartitions) {
        if (!demands.empty())
            return DemandOutcome::OwnsNothing;
        // It has given up its partitions, and asks for nothing any more.
        ownerGone(owner);
        if (found != m_peers.end())
            found->second.incarnation = incarnation;
        return DemandOutcome::Taken;
    }
    const bool inRange =
        demands.size() <= mostQueues && std::all_of(demands.begin(), demands.end(), isInRange);
    if (!inRange || (found == m_peers.end() && m_peers.size() >= mostOwners))
        return DemandOutcome::OutOfRange;
    m_peers[owner] = {.incarnation = incarnation, .demands = std::move(demands), .receivedAt = now};
    return DemandOutcome::Taken;
}

void FairShares::ownerGone(const std::string &owner)
{
    if (const auto found = m_peers.find(owner); found != m_peers.end())
        found->second.demands.clear();
}

double FairShares::rejectedMilli(const Rejected &rejected, Millis now)
{
    const auto age = static_cast<double>(std::max<int64_t>(0, (now - rejected.updatedAt).count));
    return rejected.work * std::exp(-age / rejectedWindowMs) / rejectedWindowMs;
}

void FairShares::recordRejected(const std::string &service, const std::string &queue, const std::string &zone,
                                double work, Millis now)
{
    if (m_queues.size() < mostQueues)
        m_queues[queue].service = service;
    const Origin origin(queue, zone);
    auto found = m_rejected.find(origin);
    if (found == m_rejected.end()) {
        if (m_rejected.size() >= mostOrigins)
            return;
        found = m_rejected.emplace(origin, Rejected{}).first;
    }
    Rejected &rejected = found->second;
    rejected = {.work = rejectedMilli(rejected, now) * rejectedWindowMs + work, .updatedAt = now};
}

std::vector<QueueDemand> FairShares::ownDemands(std::span<const OwnWork> work, Millis now) const
{
    std::map<std::string, QueueDemand> byQueue;
    for (const OwnWork &item : work) {
        QueueDemand &demand = byQueue[item.queue];
        demand.waitingMilli += item.waitingMilli;
        demand.runningMilli += item.runningMilli;
    }
    for (const auto &[origin, rejected] : m_rejected) {
        const int64_t amount = std::llround(rejectedMilli(rejected, now));
        if (amount > 0)
            byQueue[origin.first].waitingMilli += amount;
    }
    std::vector<QueueDemand> demands;
    for (auto &[queue, demand] : byQueue) {
        demand.queue = queue;
        demands.push_back(demand);
    }
    return demands;
}

double FairShares::amountOf(const Amounts &amounts, std::string_view name)
{
    const auto found = amounts.find(name);
    return found == amounts.end() ? 0 : found->second;
}

double FairShares::weightOf(const Amounts &weights, std::string_view name, double defaultWeight)
{
    const auto found = weights.find(name);
    return found == weights.end() ? defaultWeight : found->second;
}

bool FairShares::isOutdated(std::string_view service, Millis now) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() || now - found->second.updatedAt >= refreshInterval;
}

bool FairShares::isScarce(std::string_view service) const
{
    const auto found = m_services.find(service);
    return found != m_services.end() && found->second.isScarce;
}

bool FairShares::isOfService(const std::string &queue, std::string_view service) const
{
    const auto found = m_queues.find(queue);
    return found == m_queues.end() || found->second.service == service;
}

void FairShares::update(const std::string &service, std::span<const OwnWork> work, int64_t capacityMilli,
                        Millis now)
{
    m_use.clear();
    m_zoneUse.clear();
    for (const OwnWork &item : work) {
        const auto amount = static_cast<double>(item.waitingMilli + item.runningMilli);
        m_use[item.queue] += amount;
        m_zoneUse[{item.queue, item.zone}] += amount;
        if (m_queues.size() < mostQueues)
            m_queues[item.queue] = {.service = item.service, .priority = item.priority};
    }
    std::erase_if(m_rejected, [&](const auto &item) { return now - item.second.updatedAt > rejectedMemory; });
    std::erase_if(m_peers, [&](const auto &item) {
        return now - item.second.receivedAt > reportLifetime + silentOwnerRuns;
    });
    Amounts own;
    for (const QueueDemand &demand : ownDemands(work, now)) {
        if (isOfService(demand.queue, service))
            own[demand.queue] = static_cast<double>(demand.waitingMilli + demand.runningMilli);
    }
    updateQueues(service, own, capacityMilli, now);
    updateZones(service, now);
}

FairShares::Amounts FairShares::totalDemands(const std::string &service, const Amounts &own, Millis now,
                                             double &held) const
{
    Amounts total = own;
    for (const auto &[owner, peer] : m_peers) {
        const bool isSilent = now - peer.receivedAt > reportLifetime;
        for (const QueueDemand &demand : peer.demands) {
            if (!isOfService(demand.queue, service))
                continue;
            if (isSilent)
                held += static_cast<double>(demand.runningMilli);
            else
                total[demand.queue] += static_cast<double>(demand.waitingMilli + demand.runningMilli);
        }
    }
    return total;
}

void FairShares::updateQueues(const std::string &service, const Amounts &own, int64_t capacityMilli,
                              Millis now)
{
    double held = 0;
    const Amounts total = totalDemands(service, own, now, held);
    const double capacity = std::max(0.0, static_cast<double>(capacityMilli) - held);
    std::vector<ShareClaim> claims;
    double demanded = 0;
    for (const auto &[queue, demand] : total) {
        const auto known = m_queues.find(queue);
        const uint32_t level = known == m_queues.end() ? 0 : std::min(known->second.priority, lowestPriority);
        const double weight = weightOf(m_settings.queues, queue, m_settings.defaultWeight);
        claims.push_back({.weight = weight / (1 + level),
                          .demand = demand,
                          .guaranteed = amountOf(m_settings.guaranteed, queue) * capacity});
        demanded += demand;
    }
    // Services are those of the configured queues.
    m_services[service] = {.isScarce = demanded > capacity * fullPart, .updatedAt = now};
    const std::vector<double> shares = maxMinShares(claims, capacity);
    const auto isReplaced = [&](const auto &item) { return isOfService(item.first, service); };
    std::erase_if(m_shares, isReplaced);
    std::erase_if(m_ownShares, isReplaced);
    size_t number = 0;
    for (const auto &[queue, demand] : total) {
        const double share = shares[number++];
        m_shares[queue] = share;
        m_ownShares[queue] = demand > 0 ? share * amountOf(own, queue) / demand : 0;
    }
}

void FairShares::updateZones(const std::string &service, Millis now)
{
    // Sorted by queue.
    std::map<Origin, double> demands = m_zoneUse;
    for (const auto &[origin, rejected] : m_rejected)
        demands[origin] += rejectedMilli(rejected, now);
    const auto isReplaced = [&](const auto &item) { return isOfService(item.first.first, service); };
    std::erase_if(m_zoneShares, isReplaced);
    std::erase_if(demands, [&](const auto &item) { return !isReplaced(item); });
    std::vector<ShareClaim> claims;
    for (auto first = demands.begin(); first != demands.end();) {
        const std::string &queue = first->first.first;
        claims.clear();
        auto last = first;
        for (; last != demands.end() && last->first.first == queue; ++last)
            claims.push_back(
                {.weight = weightOf(m_settings.zones, last->first.second, m_settings.defaultWeight),
                 .demand = last->second});
        for (const double share : maxMinShares(claims, ownShare(queue))) {
            m_zoneShares[first->first] = share;
            ++first;
        }
    }
}

bool FairShares::isWithin(double used, double amount, double share, double factor)
{
    // A job that is larger than the share runs when nothing else of its queue or zone does.
    return used <= 0 || used + amount <= share * factor;
}

bool FairShares::allows(const std::string &queue, const std::string &zone, int64_t cpuMilli,
                        double factor) const
{
    const auto known = m_queues.find(queue);
    if (known == m_queues.end() || !isScarce(known->second.service))
        return true;
    const auto amount = static_cast<double>(cpuMilli);
    const Origin origin(queue, zone);
    const auto zoneUse = m_zoneUse.find(origin);
    const auto zoneShare = m_zoneShares.find(origin);
    return isWithin(amountOf(m_use, queue), amount, ownShare(queue), factor)
        && isWithin(zoneUse == m_zoneUse.end() ? 0 : zoneUse->second, amount,
                    zoneShare == m_zoneShares.end() ? 0 : zoneShare->second, factor);
}

void FairShares::admitted(const std::string &queue, const std::string &zone, int64_t cpuMilli)
{
    m_use[queue] += static_cast<double>(cpuMilli);
    m_zoneUse[{queue, zone}] += static_cast<double>(cpuMilli);
}

double FairShares::share(std::string_view queue) const
{
    return amountOf(m_shares, queue);
}

double FairShares::ownShare(std::string_view queue) const
{
    return amountOf(m_ownShares, queue);
}

} // namespace turmericwell
