// Rotation of the turns among the owners of partitions.
#include "worker/capacityoffer.h"

#include <algorithm>
#include <utility>

namespace turmericwell {

constexpr int64_t wholePercent = 100;

void CapacityOffer::runEnded(EntryNumber owner, Millis now)
{
    m_turnsSinceEnd = 0;
    grantTurn(owner, now);
}

bool CapacityOffer::isScarce(int64_t freeCpuMilli, int64_t capacityMilli)
{
    return freeCpuMilli * wholePercent < capacityMilli * scarcePercent;
}

bool CapacityOffer::isTurnOver(int64_t freeCpuMilli, int64_t capacityMilli, Millis now) const
{
    return m_turnHolder && now - m_turnStart >= turnLength && freeCpuMilli > 0
        && isScarce(freeCpuMilli, capacityMilli);
}

void CapacityOffer::passTurn(const std::map<uint32_t, EntryNumber> &owners, Millis now)
{
    if (m_turnsSinceEnd >= owners.size()) {
        m_turnHolder.reset();
        m_turnChanged = true;
        return;
    }
    ++m_turnsSinceEnd;
    auto next = owners.lower_bound(m_nextPartition);
    if (next == owners.end())
        next = owners.begin();
    m_nextPartition = next->first + 1;
    grantTurn(next->second, now);
}

int64_t CapacityOffer::freeCpuFor(EntryNumber entry, int64_t freeCpuMilli, int64_t capacityMilli) const
{
    if (!isScarce(freeCpuMilli, capacityMilli) || !m_turnHolder || m_turnHolder == entry)
        return freeCpuMilli;
    return std::min<int64_t>(0, freeCpuMilli);
}

bool CapacityOffer::takeTurnChange()
{
    return std::exchange(m_turnChanged, false);
}

void CapacityOffer::grantTurn(EntryNumber entry, Millis now)
{
    m_turnChanged = m_turnChanged || m_turnHolder != entry;
    m_turnHolder = entry;
    m_turnStart = now;
}

} // namespace turmericwell
