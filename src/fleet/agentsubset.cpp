// Hash-based choice of the agents of a partition, and the changes of its level.
#include "fleet/agentsubset.h"

#include <algorithm>
#include <xxhash.h>

namespace turmericwell {

// Enough workers that the loss of a zone or a burst of one partition's jobs is spread widely.
constexpr size_t minAgentsPerPartition = 40;
// A worker must stay in use when some of its partitions have no owner for a while.
constexpr uint32_t minPartitionsPerAgent = 4;
// A level is entered only if this share of the minimum is exceeded, in percent, so that it does not
// alternate.
constexpr size_t enterPercent = 125;
constexpr size_t wholePercent = 100;

bool isInAgentSubset(std::string_view agent, uint32_t partition, uint32_t level)
{
    // At each level, a pair of neighbouring blocks of partitions shares one choice: which of the two the
    // agent serves.
    for (uint32_t step = 0; step < level; ++step) {
        const uint32_t block = partition >> step;
        const uint64_t seed = (uint64_t{step} << 32U) | (block >> 1U);
        const uint64_t choice = XXH3_64bits_withSeed(agent.data(), agent.size(), seed) & 1U;
        if ((block & 1U) != choice)
            return false;
    }
    return true;
}

static bool fits(size_t agents, uint32_t partitions, uint32_t level, size_t percent)
{
    return (agents >> level) * wholePercent >= minAgentsPerPartition * percent
        && (partitions >> level) >= minPartitionsPerAgent;
}

uint32_t agentSubsetLevel(size_t agents, uint32_t partitions, uint32_t currentLevel)
{
    uint32_t level = currentLevel;
    while (level > 0 && !fits(agents, partitions, level, wholePercent))
        --level;
    while (fits(agents, partitions, level + 1, enterPercent))
        ++level;
    return level;
}

PartitionSubset::PartitionSubset(std::optional<uint32_t> stored)
    : m_reach(stored.value_or(0))
    , m_placement(m_reach)
    , m_isUnstored(!stored)
{ }

std::optional<uint32_t> PartitionSubset::advance(uint32_t wanted, bool hasRunsOutside, Millis now)
{
    if (m_storing)
        return std::nullopt;
    if (m_isUnstored) {
        m_reach = wanted;
        m_placement = wanted;
    }
    // A wider subset is used only once it is stored, and so is the first one.
    if (wanted < m_reach || m_isUnstored) {
        m_storing = wanted;
        return m_storing;
    }
    m_placement = wanted;
    if (!isNarrowing() || hasRunsOutside) {
        m_drainedSince.reset();
        return std::nullopt;
    }
    if (!m_drainedSince)
        m_drainedSince = now;
    if (now - *m_drainedSince < narrowingDelay)
        return std::nullopt;
    m_storing = m_placement;
    return m_storing;
}

bool PartitionSubset::stored(uint32_t level)
{
    if (m_storing != level)
        return false;
    m_storing.reset();
    m_isUnstored = false;
    m_drainedSince.reset();
    m_reach = level;
    m_placement = std::max(m_placement, m_reach);
    return true;
}

} // namespace turmericwell
