// Tracks which keys this entry may serve and which still wait for the records of their previous owner.
#pragma once

#include "membership/roster.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace turmericwell {

struct KeyOwnership
{
    // Empty while a handover or takeover of the key is pending, or if there is no member.
    std::optional<ProcessId> owner;
    // The owner's records of the key may be incomplete: a takeover ended without replies from all agents.
    bool incomplete = false;
};

// Actions that a change of the view requires.
struct OwnershipActions
{
    // Members to send the records of the keys that moved to them.
    std::vector<EntryMember> handOverTo;
    // Entries that left without a final handover and must be taken over.
    std::vector<ProcessId> takeOver;
};

// A key that moved to this entry is served once its previous owner has handed over its records or was taken
// over. A source is such a previous owner together with the view in which the key moved. A sender hands over
// for a view only when it has no pending source of an earlier view, so that entries cannot wait for each
// other in a cycle. Not thread-safe.
class Ownership
{
public:
    explicit Ownership(ProcessId self);

    OwnershipActions viewChanged(uint64_t view, const std::vector<EntryMember> &before,
                                 const std::vector<EntryMember> &after);
    // Records that the entry has sent all its records for the view.
    // `final`: the entry has stopped and is leaving. Its keys may be served without a takeover, even if its
    // leave is not in the log.
    // `incompleteUntil`: as for recordTakeover(); set if the sender's own records are incomplete.
    void recordHandover(const ProcessId &from, uint64_t view, bool final,
                        std::optional<Millis> incompleteUntil);
    // Records that this entry has stopped and serves no keys any more.
    void stopServing() { m_stopped.push_back(m_self); }
    // Time until which records of this entry may be incomplete.
    std::optional<Millis> incompleteUntil(Millis now) const;
    // Records that the takeover of the entry has ended. `incompleteUntil`: set if not every agent has
    // replied; until then, the outcome of non-repeatable calls remains unknown.
    void recordTakeover(const ProcessId &dead, std::optional<Millis> incompleteUntil);

    KeyOwnership ownershipOf(const Fingerprint &key, Millis now) const;
    // Member that owns the key in the current view, even if a handover or takeover of the key is pending.
    const EntryMember *memberFor(const Fingerprint &key) const;
    // Whether no source of an earlier view is pending, so that a handover for this view would be complete.
    bool mayHandOver(uint64_t view) const;
    bool isPending() const { return !m_sources.empty(); }
    // Entries whose takeover has not ended.
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
    bool arrivedEarly(const ProcessId &from, uint64_t view) const;
    void addTakeover(const ProcessId &entry, const std::vector<EntryMember> &before, uint64_t view,
                     OwnershipActions &actions);
    std::vector<EntryMember> servingMembers() const;

    const ProcessId m_self;
    std::vector<EntryMember> m_members;
    std::vector<Source> m_sources;
    std::vector<Incomplete> m_incomplete;
    // Entries whose final handover was received, and this entry once it has stopped.
    std::vector<ProcessId> m_stopped;
    // Handovers, with their views, that arrived before this entry had read its own join.
    std::vector<std::pair<ProcessId, uint64_t>> m_earlyHandovers;
};

} // namespace turmericwell
