// Tracks when the other entries were last heard of.
#include "fleet/entrypresence.h"

#include <algorithm>

namespace turmericwell {

// The steady clocks of two instances differ by at most this share.
constexpr int64_t clockDifferencePercent = 2;
// An owner checks its evidence at this interval, or a little later.
constexpr Millis checkMargin = {30};

EntryPresence::EntryPresence(Millis memberTtl)
    : m_knownEntryLimit(std::max(memberTtl, evidenceAge) * (100 + clockDifferencePercent) / 100 + checkMargin)
{ }

void EntryPresence::registered(const std::string &name, Millis now)
{
    Entry &entry = m_entries[name];
    entry.lostAt.reset();
    entry.lastContact = now;
}

void EntryPresence::lost(const std::string &name, bool knewWriter, Millis now)
{
    Entry &entry = m_entries[name];
    if (entry.connected)
        return;
    if (!entry.lostAt) {
        entry.lostAt = now;
        entry.lostKnewWriter = false;
    }
    // A later mark by another entry only adds evidence; it is counted from the first one that was read.
    entry.lostKnewWriter = entry.lostKnewWriter || knewWriter;
}

bool EntryPresence::knowsThisEntry(const Entry &entry) const
{
    return m_selfRegisteredAt && entry.heardAt > *m_selfRegisteredAt;
}

bool EntryPresence::knowsThisEntry(const std::string &name) const
{
    const auto found = m_entries.find(name);
    return found != m_entries.end() && knowsThisEntry(found->second);
}

void EntryPresence::selfRegistered(Millis now)
{
    if (!m_selfRegisteredAt)
        m_selfRegisteredAt = now;
}

void EntryPresence::connected(const std::string &name, Millis now)
{
    Entry &entry = m_entries[name];
    entry.connected = true;
    entry.lostAt.reset();
    entry.lastContact = now;
}

void EntryPresence::disconnected(const std::string &name, Millis now)
{
    Entry &entry = m_entries[name];
    entry.connected = false;
    entry.lastContact = now;
}

void EntryPresence::answered(const std::string &name, Millis pingSentAt)
{
    Entry &entry = m_entries[name];
    entry.heardAt = std::max(entry.heardAt, pingSentAt);
}

std::vector<std::string> EntryPresence::unheardSince(Millis time) const
{
    std::vector<std::string> result;
    for (const auto &[name, entry] : m_entries) {
        if (!entry.lostAt && entry.heardAt <= time)
            result.push_back(name);
    }
    return result;
}

bool EntryPresence::isEachHeardSince(Millis time) const
{
    return std::none_of(m_entries.begin(), m_entries.end(),
                        [&](const auto &item) { return !item.second.lostAt && item.second.heardAt <= time; });
}

Millis EntryPresence::formerOwnersEnd(Millis openedAt) const
{
    Millis end = openedAt;
    for (const auto &[name, entry] : m_entries) {
        if (entry.heardAt > openedAt)
            continue;
        Millis entryEnd = openedAt + (knowsThisEntry(entry) ? m_knownEntryLimit : withoutStoreLimit);
        // Its last join was before the mark, which it would have read and replaced otherwise.
        if (entry.lostAt) {
            const Millis limit = entry.lostKnewWriter ? m_knownEntryLimit : withoutStoreLimit;
            entryEnd = std::min(entryEnd, *entry.lostAt + limit);
        }
        end = std::max(end, entryEnd);
    }
    return end;
}

std::vector<std::pair<std::string, Millis>> EntryPresence::unreachable(Millis now) const
{
    std::vector<std::pair<std::string, Millis>> result;
    for (const auto &[name, entry] : m_entries) {
        const Millis sinceContact = now - entry.lastContact;
        if (!entry.connected && !entry.lostAt && sinceContact >= expiry)
            result.emplace_back(name, sinceContact);
    }
    return result;
}

} // namespace turmericwell
