// Pending handovers and takeovers of keys that moved to this entry.
#include "membership/ownership.h"

#include <algorithm>

namespace turmericwell {

namespace {

bool contains(const std::vector<EntryMember> &members, const ProcessId &id)
{
    return std::any_of(members.begin(), members.end(),
                       [&](const EntryMember &member) { return member.id == id; });
}

bool ownedBy(const std::vector<EntryMember> &members, const ProcessId &entry, const Fingerprint &key)
{
    const EntryMember *owner = ownerOf(members, key);
    return owner && owner->id == entry;
}

} // namespace

Ownership::Ownership(ProcessId self)
    : m_self(std::move(self))
{ }

bool Ownership::hasStopped(const ProcessId &entry) const
{
    return std::find(m_stopped.begin(), m_stopped.end(), entry) != m_stopped.end();
}

void Ownership::addTakeover(const ProcessId &entry, const std::vector<EntryMember> &before, uint64_t view,
                            OwnershipActions &actions)
{
    m_sources.push_back({.entry = entry, .before = before, .view = view, .takeover = true});
    actions.takeOver.push_back(entry);
}

OwnershipActions Ownership::viewChanged(uint64_t view, const std::vector<EntryMember> &before,
                                        const std::vector<EntryMember> &after)
{
    OwnershipActions actions;
    m_members = after;
    const bool wasMember = contains(before, m_self);
    if (!contains(after, m_self)) {
        m_sources.clear();
        return actions;
    }
    // A source that has left before it handed over must be taken over instead.
    for (Source &source : m_sources) {
        if (!source.takeover && !contains(after, source.entry)) {
            source.takeover = true;
            actions.takeOver.push_back(source.entry);
        }
    }
    if (wasMember) {
        for (const EntryMember &member : before) {
            if (!contains(after, member.id) && !hasStopped(member.id))
                addTakeover(member.id, before, view, actions);
        }
        for (const EntryMember &member : after) {
            if (!contains(before, member.id))
                actions.handOverTo.push_back(member);
        }
        return actions;
    }
    // This entry has joined. A roster that was adopted from a peer may include further joins.
    std::vector<EntryMember> earlier = before;
    for (const EntryMember &member : after) {
        if (member.id != m_self && !contains(earlier, member.id))
            earlier.push_back(member);
    }
    for (const EntryMember &member : earlier) {
        if (!contains(after, member.id))
            addTakeover(member.id, earlier, view, actions);
        else if (!arrivedEarly(member.id, view))
            m_sources.push_back({.entry = member.id, .before = earlier, .view = view});
    }
    m_earlyHandovers.clear();
    return actions;
}

bool Ownership::arrivedEarly(const ProcessId &from, uint64_t view) const
{
    return std::any_of(m_earlyHandovers.begin(), m_earlyHandovers.end(),
                       [&](const auto &item) { return item.first == from && item.second >= view; });
}

void Ownership::recordHandover(const ProcessId &from, uint64_t view, bool final,
                               std::optional<Millis> incompleteUntil)
{
    if (final && !hasStopped(from))
        m_stopped.push_back(from);
    if (!contains(m_members, m_self))
        m_earlyHandovers.emplace_back(from, view);
    std::erase_if(m_sources, [&](const Source &source) {
        const bool done = source.entry == from && (final || source.view <= view);
        if (done && incompleteUntil)
            m_incomplete.push_back({.source = source, .until = *incompleteUntil});
        return done;
    });
    if (final && incompleteUntil)
        m_incomplete.push_back(
            {.source = {.entry = from, .before = m_members, .view = view}, .until = *incompleteUntil});
}

std::optional<Millis> Ownership::incompleteUntil(Millis now) const
{
    std::optional<Millis> latest;
    for (const Incomplete &item : m_incomplete) {
        if (now < item.until && (!latest || *latest < item.until))
            latest = item.until;
    }
    return latest;
}

void Ownership::recordTakeover(const ProcessId &dead, std::optional<Millis> incompleteUntil)
{
    for (const Source &source : m_sources) {
        if (source.entry == dead && incompleteUntil)
            m_incomplete.push_back({.source = source, .until = *incompleteUntil});
    }
    std::erase_if(m_sources, [&](const Source &source) { return source.entry == dead; });
}

// A stopped entry serves no keys after its final handover, even if its leave cannot be appended to the log.
std::vector<EntryMember> Ownership::servingMembers() const
{
    std::vector<EntryMember> result;
    std::copy_if(m_members.begin(), m_members.end(), std::back_inserter(result),
                 [this](const EntryMember &member) { return !hasStopped(member.id); });
    return result;
}

const EntryMember *Ownership::memberFor(const Fingerprint &key) const
{
    const std::vector<EntryMember> serving = servingMembers();
    const EntryMember *owner = ownerOf(serving, key);
    if (!owner)
        return nullptr;
    const auto found = std::find(m_members.begin(), m_members.end(), *owner);
    return found == m_members.end() ? nullptr : &*found;
}

KeyOwnership Ownership::ownershipOf(const Fingerprint &key, Millis now) const
{
    const EntryMember *owner = memberFor(key);
    if (!owner)
        return {};
    if (owner->id != m_self)
        return {.owner = owner->id};
    for (const Source &source : m_sources) {
        if (ownedBy(source.before, source.entry, key))
            return {};
    }
    const bool incomplete =
        std::any_of(m_incomplete.begin(), m_incomplete.end(), [&](const Incomplete &item) {
            return now < item.until && ownedBy(item.source.before, item.source.entry, key);
        });
    return {.owner = owner->id, .incomplete = incomplete};
}

bool Ownership::mayHandOver(uint64_t view) const
{
    return std::none_of(m_sources.begin(), m_sources.end(),
                        [&](const Source &source) { return source.view < view; });
}

std::vector<ProcessId> Ownership::pendingTakeovers() const
{
    std::vector<ProcessId> result;
    for (const Source &source : m_sources) {
        if (source.takeover)
            result.push_back(source.entry);
    }
    return result;
}

} // namespace turmericwell
