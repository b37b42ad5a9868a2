// Which agents serve a partition, and how the subset of a partition changes while runs exist.
//
// Load pattern: fleets of hundreds of agents. If each owner of a partition exchanged pings, reports and
// orders with each agent, the links and messages of a process would grow with the fleet, and many owners
// would compete for the same free resources. Each partition is therefore served by a deterministic subset of
// the agents.
//
// A subset has a level: at level L each agent serves one partition of every 2^L consecutive ones. Membership
// depends only on the agent's name, the partition and the level, so all entries agree without messages, and
// an agent that comes or goes changes nothing for the others. The subset at level L + 1 is contained in the
// one at level L.
#pragma once

#include "turmericwell/millis.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace turmericwell {

bool isInAgentSubset(std::string_view agent, uint32_t partition, uint32_t level);

// Returns the level for this number of agents and partitions. Close to a threshold the current level is kept.
uint32_t agentSubsetLevel(size_t agents, uint32_t partitions, uint32_t currentLevel);

// The levels of one partition at its owner.
//
// Invariants:
// - placement() is never below reach(): orders go only to agents that a later owner will ask for their runs.
// - reach() is never above the level in the store, which is all that a later owner learns. No order is sent
// before
//   the first level is stored, so a partition without one has no runs.
class PartitionSubset
{
public:
    // Runs on the agents that leave the subset have ended for this long before the subset is given up: by
    // then their ends are stored and an order without an answer can no longer be carried out.
    static constexpr Millis narrowingDelay = {15'000};

    // `stored` is the level in the store; empty if no owner has stored one.
    explicit PartitionSubset(std::optional<uint32_t> stored = std::nullopt);

    // Level of the agents that may hold runs of the partition.
    uint32_t reach() const { return m_reach; }
    // Level of the agents that receive new orders.
    uint32_t placement() const { return m_placement; }
    bool isNarrowing() const { return m_placement > m_reach; }
    // False until the first level is stored.
    bool mayPlace() const { return !m_isUnstored; }

    // Sets the level that fits the fleet, and whether runs exist on agents that receive no new orders.
    // Returns the level to store next, if any; the caller then reports the outcome with stored().
    std::optional<uint32_t> advance(uint32_t wanted, bool hasRunsOutside, Millis now);
    // Returns false, and changes nothing, unless this level was the one to store: a lower one would send
    // orders to agents that a later owner does not ask.
    bool stored(uint32_t level);

private:
    uint32_t m_reach = 0;
    uint32_t m_placement = 0;
    // No level has been stored yet.
    bool m_isUnstored = false;
    std::optional<uint32_t> m_storing;
    // Since when the agents that receive no new orders have had no runs.
    std::optional<Millis> m_drainedSince;
};

} // namespace turmericwell
