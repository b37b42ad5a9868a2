// Decides whether a task waits for free resources near its data or is placed far from it at once.
//
// Load pattern: the data of most jobs of a kind is on one rack, whose workers are full while others have free
// resources. Far from its data a task takes a multiple of its run time, so it may be late there, and it uses
// processor time that other tasks need. Near its data it has to wait for other runs to end.
//
// The expected wait follows from the rate at which runs on the rack's workers give back processors, and from
// the work that waits for the same rack ahead of the task. An owner sees the ends of its own runs only. On a
// full rack, what its runs give back is on average what it can use there, because other owners use up what
// their runs give back.
//
// Performs no I/O and reads no clock. State is kept by rack and by queue, limited in number, and expires.
#pragma once

#include "jobs/policies.h"
#include "turmericwell/millis.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace turmericwell {

// Wait until resources of a given size are free on a rack: its mean, and its standard deviation relative to
// the mean.
struct RackWait
{
    double meanMs = 0;
    double deviation = 0;
};

struct PlacementQuestion
{
    std::string_view service;
    std::string_view queue;
    // Label of the rack with the task's data.
    std::string_view rack;
    // Processors of the task and of its siblings that are not placed yet, in thousandths of a core: the job
    // is on time only if all of them are.
    int64_t cpuMilli = 0;
    // Expected run time near the data, and the factor by which it is longer far from it (at least 1).
    Millis expectedNear;
    double farFactor = 1;
    // Delay with which the task is on time near its data; negative if it is late.
    Millis slack;
    // Time from the job's acceptance to its deadline. A job that ends later than its deadline by twice this
    // time is worth nothing.
    Millis limit;
    // The deadline allows this multiple of the run time, also of one that is longer than expected.
    double stretch = 1;
    // The job is rejected once its slack is used up.
    bool isRejectedIfLate = false;
    // A worker of the rack is known, and may be given the task when it has free resources.
    bool isRackUsable = false;
    bool hasNearRoom = false;
    bool hasFarRoom = false;
    // Free share of the processors that the task may use, from 0 to 1.
    double freeShare = 1;
    // Processors of the tasks ahead of this one that wait for the same rack, in thousandths of a core.
    int64_t aheadCpuMilli = 0;
    // How long the task has waited for the rack so far.
    Millis waited;
};

enum class PlacementChoice : uint8_t { Near, Far, Wait };

struct PlacementDecision
{
    PlacementChoice choice = PlacementChoice::Far;
    // Longest wait for resources near the data; 0 unless the choice is Wait. The decision is taken anew at
    // the latest then.
    Millis longestWait;
    // Expected ends, counted from now. nullopt if the wait for the rack is unknown.
    std::optional<Millis> nearEnd;
    Millis farEnd;
};

class PlacementWait
{
public:
    // Both limits bound the memory. The entry that was used least recently is forgotten.
    static constexpr size_t mostRacks = 256;
    static constexpr size_t mostQueues = 256;
    // A rack or queue that has not been asked for or observed for this time is forgotten.
    static constexpr Millis retention = {30'000};

    explicit PlacementWait(PlacementWaitPolicy policy = {})
        : m_policy(policy)
    { }

    bool isEnabled() const { return !std::holds_alternative<NeverWait>(m_policy); }

    // A run on a worker with this label has ended and given back its processors. Labels that no question has
    // named as a rack are ignored.
    void processorsReleased(std::string_view service, std::string_view label, int64_t cpuMilli, Millis now);
    // Records the ratio of a run's time to its expected time.
    void runObserved(std::string_view queue, double ratio, Millis now);

    PlacementDecision decide(const PlacementQuestion &question, Millis now);
    // The same decision, without the rack being observed from now on.
    PlacementDecision preview(const PlacementQuestion &question, Millis now) const;
    // Expected wait until this amount of processors is given back on the rack; nullopt if unknown.
    std::optional<RackWait> expectedWait(std::string_view service, std::string_view rack, int64_t cpuMilli,
                                         Millis now) const;
    // Standard deviation of the queue's run times relative to the expected run time.
    double runTimeDeviation(std::string_view queue) const;
    // Forgets what has expired. To be called about once a second.
    void purge(Millis now);

    size_t racks() const { return m_racks.size(); }
    size_t queues() const { return m_queues.size(); }

private:
    // Releases of processors on the workers of a rack, weighted by their age.
    struct Rack
    {
        double releases = 0;
        double cpuMilli = 0;
        Millis updatedAt;
        // Start of the observation; a rack that is observed for a short time has shown fewer releases.
        Millis firstAskedAt;
        Millis usedAt;
    };

    struct Queue
    {
        double meanSquare = 0;
        uint32_t samples = 0;
        Millis usedAt;
    };

    // Service and label.
    using RackKey = std::pair<std::string, std::string>;
    using RackKeyView = std::pair<std::string_view, std::string_view>;
    struct RackKeyOrder
    {
        using is_transparent = void;
        bool operator()(const RackKeyView &a, const RackKeyView &b) const { return a < b; }
    };

    void markAsked(std::string_view service, std::string_view rack, Millis now);

    const PlacementWaitPolicy m_policy;
    std::map<RackKey, Rack, RackKeyOrder> m_racks;
    std::map<std::string, Queue, std::less<>> m_queues;
};

} // namespace turmericwell
