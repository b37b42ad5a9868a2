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

// Applies join and leave records in the order of their offsets. The view counts the records that had an
// effect.
class Roster
{
public:
    // Returns true if the record changed the membership.
    bool apply(uint64_t offset, std::string_view record);

    uint64_t view() const { return m_view; }
    uint64_t nextOffset() const { return m_nextOffset; }
    std::vector<EntryMember> members() const;
    const EntryMember *find(std::string_view name) const;

    static std::string joinRecord(const EntryMember &member);
    static std::string leaveRecord(const ProcessId &entry, std::string_view by, std::string_view reason);

private:
    std::map<std::string, EntryMember, std::less<>> m_members;
    // Highest incarnation seen for each name, so that a late join of an older incarnation has no effect.
    std::map<std::string, uint64_t, std::less<>> m_newestIncarnation;
    uint64_t m_view = 0;
    uint64_t m_nextOffset = 0;
};

} // namespace turmericwell
