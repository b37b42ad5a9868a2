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

// State of a target at the router.
struct RoutedTarget
{
    std::string agent;
    TargetInfo info;
    // Idle credits that this entry has for the target, and the credit epoch to which they belong.
    uint32_t idle = 0;
    uint32_t epoch = 0;
    bool usable = true;
    bool ejected = false;
    // The agent rejected a start as busy and has not reported since.
    bool busy = false;
    // One-way latency from this entry, in ms.
    double latencyMs = 0;
    // Running and queued tasks according to the last report, plus the starts sent since.
    uint32_t load = 0;
    TargetPool *pool = nullptr;
    // Index in the pool's list of open targets.
    size_t openIndex = 0;

    bool isOpen() const { return usable && !ejected && !busy; }
};

// Properties shared by all targets of a pool: a task that fits one of them fits all.
struct TargetKind
{
    std::string service;
    TaskNeeds offers;

    auto operator<=>(const TargetKind &) const = default;
    bool fits(std::string_view wantedService, const TaskNeeds &needs) const;
};

// Indexes the open targets. Invariants: m_open contains each open target, and m_withCredit those of them with
// an idle credit. A target must be removed before a field on which its rank depends changes, and added again
// afterwards.
class TargetPool
{
public:
    explicit TargetPool(TargetKind kind);

    void add(RoutedTarget &target);
    void remove(RoutedTarget &target);

    const TargetKind &kind() const { return m_kind; }
    const std::vector<RoutedTarget *> &open() const { return m_open; }
    // The target with an idle credit that ranks first by latency, then by number of credits; or null.
    RoutedTarget *firstWithCredit() const;
    // The target with an idle credit that ranks last in that order, and so is of least use to this entry; or
    // null.
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

// Order of targets with idle credits: by lower latency, then by more credits, then by name.
bool ranksBefore(const RoutedTarget &a, const RoutedTarget &b);

} // namespace turmericwell
