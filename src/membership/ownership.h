// Which keys this entry may serve, and which wait for an earlier owner's records.
#pragma once

#include "membership/roster.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace turmericwell {

struct KeyOwnership
{
    // Empty while the key waits for a handover or a takeover, or if there is no member.
    std::optional<ProcessId> owner;
    // The owner's records of the key may be incomplete: a takeover ended without all agents.
    bool incomplete = false;
};

// What a change of the view asks for.
struct OwnershipActions
{
    // Members that get the records of the keys that moved to them.
    std::vector<EntryMember> handOverTo;
    // Entries that left without a final handover.
    std::vector<ProcessId> takeOver;
};

// A key that moved to this entry is served once its earlier owner has handed over or was taken over. A source
// is that earlier owner at one view; sources of later views wait for those of earlier ones at the sender, so
// waiting has no cycle. Not thread-safe.
class Ownership
{
public:
    explicit Ownership(ProcessId self);

    OwnershipActions viewChanged(uint64_t view, const std::vector<EntryMember> &before,
                                 const std::vector<EntryMember> &after);
    // The entry has sent all records of the view. final: it has stopped and leaves, so its keys may be served
    // without a takeover, whether its leave is in the log or not.
    // incompleteUntil: as for takenOver, if the sender's own records are incomplete.
    void handedOver(const ProcessId &from, uint64_t view, bool final, std::optional<Millis> incompleteUntil);
    // This entry has stopped: it serves no key from now on.
    void stopServing() { m_stopped.push_back(m_self); }
    // Until when records of this entry may be incomplete.
    std::optional<Millis> incompleteUntil(Millis now) const;
    // incompleteUntil: set if not every agent has answered; non-repeatable calls stay unknown until then.
    void takenOver(const ProcessId &dead, std::optional<Millis> incompleteUntil);

    KeyOwnership ownershipOf(const Fingerprint &key, Millis now) const;
    // Member that the key belongs to in the current view, pending or not.
    const EntryMember *memberFor(const Fingerprint &key) const;
    // No source of a view before this one is missing, so a handover for this view is complete.
    bool mayHandOver(uint64_t view) const;
    bool isPending() const { return !m_sources.empty(); }
    // Takeovers that are waited for.
    std::vector<ProcessId> pendingTakeovers() const;

private:
    struct Source
    {
        ProcessId entry;
        // Members among which the entry owned its keys.
        std::vector<EntryMember> before;
        uint64_t view = 0;
        bool takeover = false;
    };
    struct Incomplete
    {
        Source source;
        Millis until;
    };

    bool hasStopped(const ProcessId &entry) const;
    bool cameEarly(const ProcessId &from, uint64_t view) const;
    void addTakeover(const ProcessId &entry, const std::vector<EntryMember> &before, uint64_t view,
                     OwnershipActions &actions);
    std::vector<EntryMember> servingMembers() const;

    const ProcessId m_self;
    std::vector<EntryMember> m_members;
    std::vector<Source> m_sources;
    std::vector<Incomplete> m_incomplete;
    // Entries whose final handover was received.
    std::vector<ProcessId> m_stopped;
    // Handovers that came before the view change was read, with their views.
    std::vector<std::pair<ProcessId, uint64_t>> m_early;
};

} // namespace turmericwell
