// Ownership of the partitions of the job table.
//
// The store assigns the partitions to the entries. A new owner first sets its epoch on the partition, which
// fences the previous owner, and then reads the records, so that it has seen everything that earlier owners
// stored. The epoch is the generation of the assignment. Each process opens a partition with an epoch that no
// other process, a former one of the same name included, has used: run numbers and the store's detection of
// repeated appends depend on it.
//
// Load pattern: entries whose processor capacity differs several-fold. The store assigns partitions evenly
// among members, so an entry with more processor time joins with several memberships.
#pragma once

#include "fleet/entrypresence.h"
#include "fleet/membershipplan.h"
#include "jobs/jobscheduler.h"
#include "store/appendqueue.h"
#include "store/groupmember.h"

#include <map>
#include <memory>

namespace turmericwell {

struct PartitionOwnerOptions
{
    std::string member;
    Millis memberTtl = {1'500};
    // An entry whose memberships have ended goes on as an owner for at most this long after its last join.
    Millis withoutStoreLimit = {20'000};
    // Partitions that are given up are served until another entry has loaded them, instead of being frozen
    // while their records are stored, and the first page of records is requested together with the opening.
    bool servesUntilTaken = false;
};

class PartitionOwner
{
public:
    // onOpening is called when a partition begins to load, onLoaded when it has been loaded, with the level
    // of its agent subset if one is stored, and onClosed when it has been released or lost. onSuspended and
    // onResumed enclose the time in which another entry may own it.
    struct Handlers
    {
        std::function<void(uint32_t partition)> onOpening;
        std::function<void(uint32_t partition, std::optional<uint32_t> subsetLevel)> onLoaded;
        std::function<void(uint32_t partition, uint64_t epoch)> onClosed;
        std::function<void(uint32_t partition, uint64_t epoch)> onSuspended;
        std::function<void(uint32_t partition)> onResumed;
    };

    PartitionOwner(PartitionOwnerOptions options, StoreApi &store, IoContext &io, StructuredLog &log,
                   JobScheduler &scheduler, Handlers handlers);

    // Ends the memberships of a former process of this name, and joins no group before the store has
    // acknowledged that. The entry owns nothing until setMemberships is called.
    void start();
    // Joins the group with this many memberships, at most maxMemberships. Partitions of memberships that end
    // are handed over.
    void setMemberships(uint32_t count);
    // Joins the group at once. Called when partitions may have become free.
    void joinNow();
    // Called after a pause of the process: the store has to confirm the ownership of all partitions.
    void confirmOwnership();
    // To be called before the ownership is relied on. A partition counts as unconfirmed from the time at
    // which the store may assign it to another entry, memberTtl after the last answered join was sent, until
    // the store has confirmed it after a new join.
    //
    // Such a partition is suspended until the store has confirmed the ownership, unless each other entry has
    // told lately that it has not taken the partition over. Entries that are out of reach may reach the
    // store, and be given the partition by it, however few they are.
    void checkMemberships(const EntryPresence &entries, Millis now);
    // When the store assigned the partition to this entry; nullopt if it has not.
    std::optional<Millis> openedAt(uint32_t partition) const;
    // When its records had been loaded; nullopt before.
    std::optional<Millis> loadedAt(uint32_t partition) const;
    // Called when another entry has reported the partition with a higher epoch and has not loaded it. Returns
    // true if this entry goes on until then, because it has given the partition up.
    bool nextOwnerLoads(uint32_t partition);
    // True if another entry loads the partition. Its expected agents are those that were registered when it
    // opened the partition, so this entry must not begin to use others.
    bool isBeingTaken(uint32_t partition) const;
    // Called when another entry owns the partition with a higher epoch than the given one.
    void superseded(uint32_t partition, uint64_t epoch);
    // Ends the memberships of another entry.
    void evictMember(const std::string &member);
    // Releases all partitions and leaves the group: with a successor and servesUntilTaken at once, and the
    // partitions are served until they are taken; otherwise after the waiting records have been stored.
    void release(bool hasSuccessor, std::function<void()> onDone);
    void store(uint32_t partition, JobId job, std::string record, bool mayDrop,
               std::function<void(StoreOutcome, Millis)> onDone);
    // Stores the level of the partition's agent subset. onStored is not called if the ownership is lost
    // before.
    void storeSubsetLevel(uint32_t partition, uint32_t level, std::function<void()> onStored);
    // Returns the time up to which all memberships are confirmed: for each membership, the time at which the
    // last join that the store answered was sent; of these, the earliest.
    Millis lastJoinSentAt() const;

private:
    struct Owned
    {
        uint64_t epoch = 0;
        // Membership to which the partition is assigned, and the group generation of that assignment.
        uint32_t membership = 0;
        uint64_t assignedGeneration = 0;
        std::unique_ptr<AppendQueue> queue;
        Millis openedAt;
        std::optional<Millis> loadedAt;
        // When the last join was sent whose answer assigned the partition to this entry.
        Millis assignedJoinSentAt;
        // The store may assign the partition to another entry, and this one serves it until that one has
        // loaded it, as far as checkMemberships allows. Set from then on while not assigned again.
        bool isGivenUp = false;
        // Another entry has reported that it opens the partition.
        bool isBeingTaken = false;
        // Set while the partition is being handed over: time at which it is closed at the latest.
        std::optional<Millis> closeBy;
        // First page of the records, requested together with the opening; empty until it is answered, or
        // after it has been used.
        std::optional<NewestAnswer> firstPage;
        bool isEpochSet = false;
        uint32_t records = 0;
        std::optional<uint32_t> subsetLevel;
        // Offset of the record with that level. An older record does not replace it.
        uint64_t subsetLevelOffset = 0;
        // Number of the newest confirmation that was requested.
        uint64_t lastConfirmation = 0;
        // The membership may have ended in the store, and no join has been answered since.
        bool membershipLapsed = false;
        // Set from the call of onSuspended to that of onResumed.
        bool suspended = false;
    };

    bool isActive(uint32_t membership) const { return membership < m_activeMemberships; }
    void joinMemberships();
    // Leaves the group with the memberships that are no longer wanted and hold no partition.
    void leaveEndedMemberships();
    void joined(uint32_t membership, uint64_t generation, const std::set<uint32_t> &partitions);
    void open(uint32_t partition, uint32_t membership, uint64_t epoch);
    void confirm(uint32_t partition);
    void setSuspended(uint32_t partition, bool suspended);
    // Logs that the partition is suspended, and what lacked to go on without the store.
    void logSuspension(uint32_t partition, const EntryPresence &entries, Millis sinceLastJoin, Millis now);
    void leaveAll(const std::string &member, uint32_t memberships, std::function<void()> onDone);
    // Ends one membership of the former process, retrying until the store has answered.
    void leaveFormer(uint32_t membership, const std::function<void()> &onDone);
    // Called when another process has appended with this entry's epoch. The membership is ended and joined
    // again, so that the next assignment has a new generation.
    void epochInUse(uint32_t partition, uint64_t epoch);
    void close(uint32_t partition);
    void loadFirstPage(uint32_t partition, uint64_t epoch);
    // Uses the first page once the epoch is set, or reads it again if it may lack records that a former owner
    // appended before.
    void useFirstPage(uint32_t partition, uint64_t epoch);
    void loadPage(uint32_t partition, uint64_t epoch, const std::string &after);
    void pageLoaded(uint32_t partition, uint64_t epoch, const std::string &after, const NewestAnswer &answer);
    void loadSubsetLevel(uint32_t partition, const StoreRecord &record, Millis now);
    // Stores the waiting records for the next owners. Each partition is closed once its records are stored or
    // the time limit is reached.
    void handOver(std::span<const uint32_t> partitions);
    // Allows the store to assign the partitions to other entries while this one goes on serving them.
    void giveUp(std::span<const uint32_t> partitions);
    void leaveWhileServing();
    void finishRelease();
    void finishHandOvers();

    const PartitionOwnerOptions m_options;
    StoreApi &m_store;
    IoContext &m_io;
    Timers m_timers;
    StructuredLog &m_log;
    JobScheduler &m_scheduler;
    const Handlers m_handlers;
    std::map<uint32_t, Owned> m_owned;
    // Fenced epoch of each lost partition; the partition is opened again only with a higher epoch.
    std::map<uint32_t, uint64_t> m_fencedEpochs;
    // Set by release; called when all partitions are closed and all memberships have left the group.
    std::function<void()> m_onReleased;
    bool m_releasing = false;
    // All memberships have left the group, and partitions may still be served until they are taken.
    bool m_hasLeft = false;
    bool m_handOverScheduled = false;
    // The memberships below m_activeMemberships take part in the group.
    std::vector<std::unique_ptr<GroupMember>> m_memberships;
    uint32_t m_activeMemberships = 0;
    std::set<uint32_t> m_endedMemberships;
    // The memberships of a former process have ended.
    bool m_started = false;
    uint32_t m_failedLeaves = 0;
    Backoff m_leaveBackoff{{50}, {300}};
    // Generation of the last join of each membership. In a generation in between, another entry may have
    // owned the partitions.
    std::vector<uint64_t> m_generations;
};

} // namespace turmericwell
