// Offers scarce free resources of a worker to one entry at a time.
//
// Load pattern: bursts beyond the capacity of all workers. Several entries see the same freed resources, each
// sends an order, and all but one order are rejected some milliseconds later. Scarce resources are therefore
// reported to one entry only: first to the owner of the run that freed them, which may use them at once, then
// to the owners of the partitions in turn. An entry that owns more partitions gets more turns.
#pragma once

#include "turmericwell/millis.h"

#include <cstdint>
#include <map>
#include <optional>

namespace turmericwell {

// Identifies one connected entry within an agent process; a new connection gets a new number.
using EntryNumber = uint32_t;

class CapacityOffer
{
public:
    // Free processors below this share of the worker's processors, in percent, count as scarce.
    static constexpr int64_t scarcePercent = 15;
    // An entry that has not used the offered resources within this time is assumed to have nothing to start.
    static constexpr Millis turnLength = {20};

    // A run of this entry has ended: the entry gets the next turn.
    void runEnded(EntryNumber owner, Millis now);
    // True if free processors are scarce and the current turn has lasted its full length without using them
    // up.
    bool isTurnOver(int64_t freeCpuMilli, int64_t capacityMilli, Millis now) const;
    // Gives the turn to the next owner; `owners` are the connected entries by partition. After a full round
    // of turns without the end of a run, no owner is assumed to have waiting work, and the free resources are
    // reported to all.
    void passTurn(const std::map<uint32_t, EntryNumber> &owners, Millis now);
    // Free processors to report to this entry.
    int64_t freeCpuFor(EntryNumber entry, int64_t freeCpuMilli, int64_t capacityMilli) const;
    // Returns whether the turn has moved since the last call, and clears the flag.
    bool takeTurnChange();

private:
    static bool isScarce(int64_t freeCpuMilli, int64_t capacityMilli);
    void grantTurn(EntryNumber entry, Millis now);

    // Entry whose turn it is; empty while free resources are reported to all entries.
    std::optional<EntryNumber> m_turnHolder;
    Millis m_turnStart;
    uint32_t m_nextPartition = 0;
    // Turns given since a run last ended.
    size_t m_turnsSinceEnd = 0;
    bool m_turnChanged = false;
};

} // namespace turmericwell
