// RunNumbers: ranges of epochs, and extensions.
#include "jobs/runnumbers.h"

namespace turmericwell {

constexpr uint32_t highestNumber = UINT32_MAX;

// Number before the first one of the epoch's range. The ranges of epochs that are too high for the numbers
// begin at the lowest ones again.
static uint32_t epochBase(uint64_t epoch, uint32_t rangeSize)
{
    const uint64_t epochsUntilReuse = highestNumber / rangeSize;
    return static_cast<uint32_t>(epoch % epochsUntilReuse) * rangeSize;
}

RunNumbers::RunNumbers(uint32_t base, uint32_t limit, uint32_t rangeSize)
    : m_rangeSize(rangeSize)
    , m_base(base)
    , m_limit(limit)
    , m_limitToRecord(limit)
{ }

RunNumbers RunNumbers::forNewJob(uint64_t epoch, uint32_t rangeSize)
{
    return {0, epochBase(epoch, rangeSize) + rangeSize, rangeSize};
}

RunNumbers RunNumbers::forKnownJob(uint64_t epoch, uint32_t recordedLimit, uint32_t rangeSize)
{
    const uint32_t base = epochBase(epoch, rangeSize);
    return {std::max(base, recordedLimit), std::max(base + rangeSize, recordedLimit), rangeSize};
}

void RunNumbers::raiseBase(uint32_t lastUsed)
{
    m_base = std::max(m_base, lastUsed);
}

bool RunNumbers::extend()
{
    if (m_limitToRecord > m_limit || m_limit == highestNumber)
        return false;
    const uint32_t last = std::max(m_base, m_limit);
    m_limitToRecord = last + std::min(m_rangeSize, highestNumber - last);
    return true;
}

void RunNumbers::limitRecorded(uint32_t limit)
{
    m_limit = std::max(m_limit, limit);
}

} // namespace turmericwell
