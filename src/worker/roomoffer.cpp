// Rotation of the turns among the owners of partitions.
#include "worker/roomoffer.h"

#include <algorithm>
#include <utility>

namespace turmericwell {

constexpr int64_t wholePercent = 100;

void RoomOffer::runEnded(EntryNumber owner, Millis now)
{
    m_turns = 0;
    give(owner, now);
}

bool RoomOffer::isScarce(int64_t freeCpuMilli, int64_t capacityMilli)
{
    return freeCpuMilli * wholePercent < capacityMilli * scarcePercent;
}

bool RoomOffer::isTurnOver(int64_t freeCpuMilli, int64_t capacityMilli, Millis now) const
{
    return m_holder && now - m_since >= turnLength && freeCpuMilli > 0
        && isScarce(freeCpuMilli, capacityMilli);
}

void RoomOffer::passOn(const std::map<uint32_t, EntryNumber> &owners, Millis now)
{
    if (m_turns >= owners.size()) {
        m_holder.reset();
        m_changed = true;
        return;
    }
    ++m_turns;
    auto next = owners.lower_bound(m_nextPartition);
    if (next == owners.end())
        next = owners.begin();
    m_nextPartition = next->first + 1;
    give(next->second, now);
}

int64_t RoomOffer::shownTo(EntryNumber entry, int64_t freeCpuMilli, int64_t capacityMilli) const
{
    if (!isScarce(freeCpuMilli, capacityMilli) || !m_holder || m_holder == entry)
        return freeCpuMilli;
    return std::min<int64_t>(0, freeCpuMilli);
}

bool RoomOffer::takeChange()
{
    return std::exchange(m_changed, false);
}

void RoomOffer::give(EntryNumber entry, Millis now)
{
    m_changed = m_changed || m_holder != entry;
    m_holder = entry;
    m_since = now;
}

} // namespace turmericwell
