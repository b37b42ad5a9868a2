// PartitionOwner: by which evidence an entry goes on as an owner while the store does not confirm it.
#include "fleet/partitionowner.h"

namespace turmericwell {

void PartitionOwner::confirmOwnership()
{
    for (const auto &[partition, owned] : m_owned)
        confirm(partition);
    joinNow();
}

void PartitionOwner::confirm(uint32_t partition)
{
    m_scheduler.setOwnershipConfirmed(partition, false);
    Owned &owned = m_owned.at(partition);
    const uint64_t number = ++owned.lastConfirmation;
    owned.queue->confirm([this, partition, number] {
        const Owned &confirmed = m_owned.at(partition);
        if (number != confirmed.lastConfirmation || confirmed.membershipLapsed)
            return;
        m_scheduler.setOwnershipConfirmed(partition, true);
        setSuspended(partition, false);
    });
}

void PartitionOwner::checkMemberships(const EntryPresence &entries, Millis now)
{
    for (auto &[partition, owned] : m_owned) {
        const Millis assignedAt =
            owned.isGivenUp ? owned.assignedJoinSentAt : m_memberships[owned.membership]->lastJoinSentAt();
        const Millis age = now - assignedAt;
        if (!owned.membershipLapsed && age < m_options.memberTtl)
            continue;
        const bool allEntriesHeard = entries.isEachHeardSince(now - EntryPresence::evidenceAge);
        if (!owned.membershipLapsed) {
            owned.membershipLapsed = true;
            m_scheduler.setOwnershipConfirmed(partition, false);
            m_log.always(now, "membership_lapsed",
                         {{"partition", partition},
                          {"epoch", owned.epoch},
                          {"last_join_ms", age},
                          {"all_entries_heard", allEntriesHeard}});
        }
        const bool mayGoOn = allEntriesHeard && age < m_options.withoutStoreLimit;
        if (mayGoOn || owned.suspended)
            continue;
        logSuspension(partition, entries, age, now);
        setSuspended(partition, true);
    }
}

void PartitionOwner::logSuspension(uint32_t partition, const EntryPresence &entries, Millis sinceLastJoin,
                                   Millis now)
{
    const std::vector<std::string> unheard = entries.unheardSince(now - EntryPresence::evidenceAge);
    m_log.always(now, "ownership_unproven",
                 {{"partition", partition},
                  {"epoch", m_owned.at(partition).epoch},
                  {"last_join_ms", sinceLastJoin},
                  {"unheard_entries", unheard.size()},
                  {"unheard_entry", unheard.empty() ? std::string() : unheard.front()}});
}

void PartitionOwner::setSuspended(uint32_t partition, bool suspended)
{
    Owned &owned = m_owned.at(partition);
    if (std::exchange(owned.suspended, suspended) == suspended)
        return;
    if (suspended) {
        m_scheduler.suspendPartition(partition, Clock::now());
        m_handlers.onSuspended(partition, owned.epoch);
    } else {
        m_scheduler.resumePartition(partition, Clock::now());
        m_handlers.onResumed(partition);
    }
}

Millis PartitionOwner::lastJoinSentAt() const
{
    Millis oldest = {INT64_MAX};
    for (uint32_t number = 0; number < m_activeMemberships; ++number)
        oldest = std::min(oldest, m_memberships[number]->lastJoinSentAt());
    return oldest;
}

} // namespace turmericwell
