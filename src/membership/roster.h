// Roster of entries, computed from the records of the roster stream, and the owner of each key.
#pragma once

#include "turmericwell/fingerprint.h"
#include "turmericwell/task.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace turmericwell {

struct EntryMember
{
    ProcessId id;
    // Address for connections from agents and other entries.
    std::string address;
    std::string zone;

    bool operator==(const EntryMember &) const = default;
};

// Member with the highest rendezvous hash for the key; null if there is no member.
const EntryMember *ownerOf(std::span<const EntryMember> members, const Fingerprint &key);

// Applies join, leave and snapshot records in the order of their offsets. The view is the number of records
// that had an effect since the start of the stream. It depends only on the records, even if a reader starts
// from a snapshot.
class Roster
{
public:
    // Sets the offset of the first record that the reader can see. If earlier records were missed, the roster
    // has no base: records are then buffered until a snapshot provides the state that they apply to.
    void startReadingAt(uint64_t firstOffset);
    // Returns true if the record changed the view.
    bool apply(uint64_t offset, std::string_view record);
    // Adopts the state of a peer that has read further. Returns true if the state was adopted.
    bool adopt(std::string_view stateText);

    // False after a start in the middle of the stream, until a snapshot or a peer's state has been applied.
    bool hasBase() const { return m_hasBase; }
    uint64_t view() const { return m_view; }
    uint64_t nextOffset() const { return m_nextOffset; }
    std::vector<EntryMember> members() const;
    const EntryMember *find(std::string_view name) const;

    // State for adopt(); also the snapshot record for the log. Empty without a base.
    std::string stateText() const;
    std::string snapshotRecord() const;
    // Snapshot without members for a stream whose records all expired while no entry was alive. Its view is
    // the number of offsets used so far, which no earlier view can exceed.
    std::string firstSnapshotRecord() const;
    static std::string joinRecord(const EntryMember &member);
    static std::string leaveRecord(const ProcessId &entry, std::string_view by, std::string_view reason);

private:
    bool applyChange(std::string_view record);
    bool applySnapshot(uint64_t offset, std::string_view record);
    bool loadState(std::string_view text);

    std::map<std::string, EntryMember, std::less<>> m_members;
    // Highest incarnation seen for each name, so that a late join of an older incarnation has no effect.
    std::map<std::string, uint64_t, std::less<>> m_newestIncarnation;
    uint64_t m_view = 0;
    uint64_t m_nextOffset = 0;
    uint64_t m_firstOffset = 0;
    bool m_hasBase = true;
    // Buffered records that were read without a base, by offset.
    std::map<uint64_t, std::string> m_unapplied;
};

} // namespace turmericwell
