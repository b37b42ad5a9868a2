// Targets of one kind, indexed for the routing policies.
#pragma once

#include "turmericwell/task.h"

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace turmericwell {

class TargetPool;

// What the router knows of a target.
struct RoutedTarget
{
    std::string agent;
    TargetInfo info;
    // Idle credits of this entry, and the credit epoch they belong to.
    uint32_t idle = 0;
    uint32_t epoch = 0;
    bool usable = true;
    bool ejected = false;
    // The agent refused a start as busy and has not reported since.
    bool busy = false;
    // One-way latency from this entry, in ms.
    double latencyMs = 0;
    // Running and queued tasks in the last report, plus the starts sent since.
    uint32_t load = 0;
    TargetPool *pool = nullptr;
    // Place in the pool's list of open targets.
    size_t place = 0;

    bool isOpen() const { return usable && !ejected && !busy; }
};

// What distinguishes the targets of one pool from others: a task that fits one target of a pool fits all.
struct TargetKind
{
    std::string service;
    TaskNeeds offers;

    auto operator<=>(const TargetKind &) const = default;
    bool fits(std::string_view wantedService, const TaskNeeds &needs) const;
};

// Holds the open targets. Invariants: a target is in m_open if it is open, and in m_withCredit if it also has
// an idle credit. A target must be removed before one of its ranked fields changes, and added afterwards.
class TargetPool
{
public:
    explicit TargetPool(TargetKind kind);

    void add(RoutedTarget &target);
    void remove(RoutedTarget &target);

    const TargetKind &kind() const { return m_kind; }
    const std::vector<RoutedTarget *> &open() const { return m_open; }
    // The target with an idle credit that comes first by latency, then by number of credits; or null.
    RoutedTarget *firstWithCredit() const;
    // The target with an idle credit that comes last in that order, which this entry misses least; or null.
    RoutedTarget *lastWithCredit() const;

private:
    TargetKind m_kind;
    std::vector<RoutedTarget *> m_open;
    struct ByRank
    {
        bool operator()(const RoutedTarget *a, const RoutedTarget *b) const;
    };
    std::set<RoutedTarget *, ByRank> m_withCredit;
};

// Order of targets with idle credits: lower latency first, then more credits, then by name.
bool ranksBefore(const RoutedTarget &a, const RoutedTarget &b);

} // namespace turmericwell
