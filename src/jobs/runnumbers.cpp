// RunNumbers: ranges of epochs, and extensions.
#include "jobs/runnumbers.h"

namespace turmericwell {

constexpr uint32_t highestNumber = UINT32_MAX;
// The ranges of later epochs begin at the lowest numbers again.
constexpr uint64_t epochsUntilReuse = highestNumber / RunNumbers::rangeSize;

// Number before the first one of the epoch's range.
static uint32_t epochBase(uint64_t epoch)
{
    return static_cast<uint32_t>(epoch % epochsUntilReuse) * RunNumbers::rangeSize;
}

RunNumbers::RunNumbers(uint32_t base, uint32_t limit)
    : m_base(base)
    , m_limit(limit)
    , m_limitToRecord(limit)
{ }

RunNumbers RunNumbers::forNewJob(uint64_t epoch)
{
    return {0, epochBase(epoch) + rangeSize};
}

RunNumbers RunNumbers::forKnownJob(uint64_t epoch, uint32_t recordedLimit)
{
    const uint32_t base = epochBase(epoch);
    return {std::max(base, recordedLimit), std::max(base + rangeSize, recordedLimit)};
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
    m_limitToRecord = last + std::min(rangeSize, highestNumber - last);
    return true;
}

void RunNumbers::limitRecorded(uint32_t limit)
{
    m_limit = std::max(m_limit, limit);
}

} // namespace turmericwell
