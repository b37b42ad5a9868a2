// Shares of the processors that each queue and each availability zone may use when not all can be served.
//
// Load pattern: a burst of one kind of jobs, or the wave of one zone, asks for more than all workers have.
// First come, first served would give the others what is left.
//
// Shares are weighted max-min fair: nobody gets more than it asks for, and what one does not use is lent to
// the others in proportion to their weights. Nothing is recorded about loans: a share is reclaimed when the
// owners have heard of the demand and the running work of the borrowers has ended.
//
// Within a queue, the share is divided between the zones in which the jobs were submitted. Jobs are spread
// over the owners by a hash, so each owner sees the mix of all zones and divides its own part.
//
// Each owner computes the shares of all queues from the reports of all owners, and takes the part of a
// queue's share that is its part of the queue's demand. Since all read the same reports, the parts add up to
// at most the share, apart from reports on their way.
#pragma once

#include "turmericwell/millis.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace turmericwell {

struct SharesSettings
{
    // Weight of the queues and zones that are not named.
    double defaultWeight = 1;
    std::map<std::string, double, std::less<>> queues;
    std::map<std::string, double, std::less<>> zones;
    // Part of all processors that a queue gets before the rest is divided, if it asks for that much.
    std::map<std::string, double, std::less<>> guaranteed;
};

struct ShareClaim
{
    double weight = 1;
    double demand = 0;
    // Given first, as far as it is demanded.
    double guaranteed = 0;
};

// The claims' shares of the capacity, in the same order. Their sum does not exceed the capacity.
std::vector<double> maxMinShares(std::span<const ShareClaim> claims, double capacity);

// Work of one queue at one owner, in thousandths of a core.
struct QueueDemand
{
    std::string queue;
    // Includes what recently rejected jobs would use.
    int64_t waitingMilli = 0;
    int64_t runningMilli = 0;
};

// Own work of one queue that was submitted in one zone.
struct OwnWork
{
    std::string service;
    std::string queue;
    std::string zone;
    uint32_t priority = 0;
    int64_t waitingMilli = 0;
    int64_t runningMilli = 0;
};

enum class DemandOutcome : uint8_t { Taken, OlderIncarnation, OwnsNothing, OutOfRange };
std::string_view demandOutcomeText(DemandOutcome outcome);

class FairShares
{
public:
    // After this time without a report an owner counts as isolated or paused: nobody knows what it asks for,
    // but what it runs still uses workers.
    static constexpr Millis reportLifetime = {2'000};
    // After this further time the agents have ended the runs of a silent owner.
    static constexpr Millis silentOwnerRuns = {1'200};
    static constexpr Millis refreshInterval = {50};
    // Bounds of the state: owners, and queues, and queues by zone for which rejected work is
    // remembered.
    static constexpr size_t mostOwners = 256;
    static constexpr size_t mostQueues = 256;
    static constexpr size_t mostOrigins = 1'024;

    explicit FairShares(SharesSettings settings)
        : m_settings(std::move(settings))
    { }

    // A report of another owner. Unless it is taken, the former report of the owner stays in force.
    DemandOutcome report(const std::string &owner, uint64_t incarnation, bool ownsPartitions,
                         std::vector<QueueDemand> demands, Millis now);
    // The owner is no member any more; its work is reported by the next owners of its partitions. Its
    // incarnation is remembered for a while.
    void ownerGone(const std::string &owner);

    // Own jobs that were rejected count as demand for about a second, or a queue that is always rejected
    // would seem to ask for nothing. The work is in thousandths of a core times milliseconds.
    void recordRejected(const std::string &service, const std::string &queue, const std::string &zone,
                        double work, Millis now);
    // Adds the work of the rejected jobs.
    std::vector<QueueDemand> ownDemands(std::span<const OwnWork> work, Millis now) const;

    bool isOutdated(std::string_view service, Millis now) const;
    // Computes the shares of the service's queues from the own work of all services. The capacity is that of
    // the service's workers. A queue that only other owners have named so far counts for each service.
    void update(const std::string &service, std::span<const OwnWork> work, int64_t capacityMilli, Millis now);
    // Whether a job may use resources that others could need. The factor tells how much work per processor of
    // the share may be running and waiting together. Admitted jobs count until the next update.
    bool allows(const std::string &queue, const std::string &zone, int64_t cpuMilli, double factor) const;
    void admitted(const std::string &queue, const std::string &zone, int64_t cpuMilli);

    // More is demanded than all workers of the service have.
    bool isScarce(std::string_view service) const;
    // Share of the queue over all owners, and this owner's part; 0 for an unknown queue.
    double share(std::string_view queue) const;
    double ownShare(std::string_view queue) const;
    const std::map<std::string, double, std::less<>> &shares() const { return m_shares; }

private:
    struct Peer
    {
        uint64_t incarnation = 0;
        std::vector<QueueDemand> demands;
        Millis receivedAt;
    };

    // Decayed sum of work.
    struct Rejected
    {
        double work = 0;
        Millis updatedAt;
    };

    struct KnownQueue
    {
        std::string service;
        uint32_t priority = 0;
    };

    struct ServiceState
    {
        bool isScarce = false;
        Millis updatedAt;
    };

    using Amounts = std::map<std::string, double, std::less<>>;
    // Queue and zone.
    using Origin = std::pair<std::string, std::string>;

    static double rejectedMilli(const Rejected &rejected, Millis now);
    static double amountOf(const Amounts &amounts, std::string_view name);
    static double weightOf(const Amounts &weights, std::string_view name, double defaultWeight);
    // Demand of each queue over all owners; `held` is what silent owners still run.
    Amounts totalDemands(const std::string &service, const Amounts &own, Millis now, double &held) const;
    void updateQueues(const std::string &service, const Amounts &own, int64_t capacityMilli, Millis now);
    // Divides the own share of each queue of the service.
    void updateZones(const std::string &service, Millis now);
    bool isOfService(const std::string &queue, std::string_view service) const;
    // Whether a user of the share may use this much more.
    static bool isWithin(double used, double amount, double share, double factor);

    const SharesSettings m_settings;
    std::map<std::string, Peer> m_peers;
    std::map<Origin, Rejected> m_rejected;
    // Each queue with own work since the start.
    std::map<std::string, KnownQueue, std::less<>> m_queues;
    std::map<std::string, ServiceState, std::less<>> m_services;
    Amounts m_shares;
    Amounts m_ownShares;
    std::map<Origin, double> m_zoneShares;
    // Own running and waiting work.
    Amounts m_use;
    std::map<Origin, double> m_zoneUse;
};

} // namespace turmericwell
