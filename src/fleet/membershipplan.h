// How many memberships of the group of owners an entry holds, and so how many partitions it can expect.
//
// Load pattern: more entries than partitions, with processors that differ. The partitions go to the entries
// with the most processor time; an entry without a partition needs no connection to any agent and only
// forwards calls.
#pragma once

#include "turmericwell/millis.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>

namespace turmericwell {

// An entry that may own partitions. `processors` is its processor time relative to a typical processor.
struct EntryCapacity
{
    std::string name;
    double processors = 0;
};

inline constexpr uint32_t maxMemberships = 4;

// Number of memberships that fits the other entries; `current` is kept unless it is clearly wrong. Returns 0
// if enough entries have more processor time.
uint32_t membershipsFor(const EntryCapacity &self, std::span<const EntryCapacity> others, uint32_t partitions,
                        uint32_t current);

// Delays changes until the set of entries has settled, since each change moves partitions.
//
// Load pattern: all processes of an established fleet start again at once. The registrations of their former
// processes name the entries and agents before any of these has registered again.
class MembershipPlan
{
public:
    // Called when the member list has been read and names an established fleet: the first memberships are
    // joined without a wait for further processes.
    void setFleetKnown() { m_isFleetKnown = true; }
    // Returns the number of memberships to hold from now on if it changes. `wanted` fits the present entries;
    // `agents` is the number of registered agents.
    std::optional<uint32_t> advance(uint32_t wanted, size_t agents, Millis now);
    uint32_t current() const { return m_current; }

private:
    // Processes that start together become known at intervals shorter than this. An owner that joins earlier
    // chooses its agents for a smaller fleet, and many owners then use the same agents until the choice is
    // corrected.
    static constexpr Millis joinDelay = {200};
    // A fleet in which processes keep appearing is served after this time.
    static constexpr Millis maxJoinDelay = {1'500};
    static constexpr Millis changeDelay = {3'000};

    bool m_isFleetKnown = false;
    uint32_t m_current = 0;
    uint32_t m_wanted = 0;
    Millis m_wantedSince;
    size_t m_agents = 0;
    Millis m_agentsSince;
    Millis m_firstCallAt;
};

} // namespace turmericwell
