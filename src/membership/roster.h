// Entry roster computed from the records of the roster stream, and the owner of each key.
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

// Applies join, leave and snapshot records in the order of their offsets. The view counts the records that
// had an effect since the stream began, so it depends on the records only, also where a reader starts from a
// snapshot.
class Roster
{
public:
    // The reader sees every record from this offset on and none before. Without a base, records are kept
    // until a snapshot shows what they apply to.
    void startReadingAt(uint64_t firstOffset);
    // Returns true if the record changed the view.
    bool apply(uint64_t offset, std::string_view record);
    // Takes the state of a peer that has read further. Returns true if the view changed.
    bool adopt(std::string_view stateText);

    // False after a start in the middle of the stream, until a snapshot or a peer's state is taken.
    bool hasBase() const { return m_hasBase; }
    uint64_t view() const { return m_view; }
    uint64_t nextOffset() const { return m_nextOffset; }
    std::vector<EntryMember> members() const;
    const EntryMember *find(std::string_view name) const;

    // State for adopt, and the snapshot record for the log.
    std::string stateText() const;
    std::string snapshotRecord() const;
    // First snapshot after every record has expired while no entry was alive. Its view is the number of
    // offsets used, which no view of the past exceeds.
    std::string firstSnapshotRecord() const;
    static std::string joinRecord(const EntryMember &member);
    static std::string leaveRecord(const ProcessId &entry, std::string_view by, std::string_view reason);

private:
    bool applyChange(std::string_view record);
    bool applySnapshot(uint64_t offset, std::string_view record);
    bool takeState(std::string_view text);

    std::map<std::string, EntryMember, std::less<>> m_members;
    // Highest incarnation seen for each name, so that a late join of an older incarnation has no effect.
    std::map<std::string, uint64_t, std::less<>> m_newestIncarnation;
    uint64_t m_view = 0;
    uint64_t m_nextOffset = 0;
    uint64_t m_firstOffset = 0;
    bool m_hasBase = true;
    // Records read without a base, by offset.
    std::map<uint64_t, std::string> m_unapplied;
};

} // namespace turmericwell
