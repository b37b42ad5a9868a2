// Shares of the partitions by processor time, and the delay of changes.
#include "fleet/membershipplan.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace turmericwell {

// A current count is kept while the ideal one differs by less than this.
constexpr double tolerance = 0.75;

uint32_t membershipsFor(const EntryCapacity &self, std::span<const EntryCapacity> others, uint32_t partitions,
                        uint32_t current)
{
    // Of two entries with equal processors, the lower name comes first.
    const auto comesFirst = [&](const EntryCapacity &other) {
        return std::tuple(-other.processors, std::string_view(other.name))
            < std::tuple(-self.processors, std::string_view(self.name));
    };
    if (std::count_if(others.begin(), others.end(), comesFirst) >= static_cast<int64_t>(partitions))
        return 0;
    double total = self.processors;
    double largest = self.processors;
    for (const EntryCapacity &other : others) {
        total += other.processors;
        largest = std::max(largest, other.processors);
    }
    // The limit of the largest entry applies to all, so that the proportions stay.
    const double perMembership = std::max(total / partitions, largest / maxMemberships);
    const double ideal = perMembership > 0 ? self.processors / perMembership : 1;
    if (current > 0 && std::abs(ideal - current) < tolerance)
        return current;
    return static_cast<uint32_t>(std::clamp(std::round(ideal), 1.0, double{maxMemberships}));
}

std::optional<uint32_t> MembershipPlan::advance(uint32_t wanted, size_t agents, Millis now)
{
    if (m_firstCallAt.count == 0)
        m_firstCallAt = now;
    if (agents != m_agents) {
        m_agents = agents;
        m_agentsSince = now;
    }
    if (wanted != m_wanted || m_wantedSince.count == 0) {
        m_wanted = wanted;
        m_wantedSince = now;
    }
    // Without an owner the partitions are not served, so an entry that holds none joins soon.
    const Millis firstDelay = m_isFleetKnown ? Millis{0} : joinDelay;
    const Millis delay = m_current == 0 ? firstDelay : changeDelay;
    if (m_wanted == m_current || now - m_wantedSince < delay)
        return std::nullopt;
    const bool isFleetSettled = now - m_agentsSince >= firstDelay || now - m_firstCallAt >= maxJoinDelay;
    if (m_current == 0 && !isFleetSettled)
        return std::nullopt;
    m_current = m_wanted;
    return m_current;
}

} // namespace turmericwell
