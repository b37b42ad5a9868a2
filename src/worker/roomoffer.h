// Gives the last room of a worker to one entry at a time.
//
// Load pattern: bursts beyond the room of all workers. Several entries see the same freed room, each sends an
// order, and all but one come back some milliseconds later. So scarce room is shown to one entry only: first
// to the owner of the run that made it free, which may count on it at once, then to the owners of the
// partitions by turns. An entry that owns more partitions gets more turns.
#pragma once

#include "turmericwell/millis.h"

#include <cstdint>
#include <map>
#include <optional>

namespace turmericwell {

// Names one connected entry within an agent process; a new connection gets a new number.
using EntryNumber = uint32_t;

class RoomOffer
{
public:
    // Room below this share of the worker's processors, in percent, is scarce.
    static constexpr int64_t scarcePercent = 15;
    // An entry that has not used the room after this time has nothing to start.
    static constexpr Millis turnLength = {20};

    // A run of this entry has ended.
    void runEnded(EntryNumber owner, Millis now);
    // True if room is scarce and the entry whose turn it is has had it for the whole turn.
    bool isTurnOver(int64_t freeCpuMilli, int64_t capacityMilli, Millis now) const;
    // Gives the turn to the next owner. Owners are the connected entries by partition. When all have had a
    // turn and none has used it, nothing waits, and the room is shown to all.
    void passOn(const std::map<uint32_t, EntryNumber> &owners, Millis now);
    // Processors that this entry may count on.
    int64_t shownTo(EntryNumber entry, int64_t freeCpuMilli, int64_t capacityMilli) const;
    // True if another entry has got the turn since the last call.
    bool takeChange();

private:
    static bool isScarce(int64_t freeCpuMilli, int64_t capacityMilli);
    void give(EntryNumber entry, Millis now);

    std::optional<EntryNumber> m_holder;
    Millis m_since;
    uint32_t m_nextPartition = 0;
    // Turns that have passed since a run has ended.
    size_t m_turns = 0;
    bool m_changed = false;
};

} // namespace turmericwell
