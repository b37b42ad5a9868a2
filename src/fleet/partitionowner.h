// Ownership of the partitions of the job table.
//
// The store deals the partitions to the entries. A new owner first sets its epoch on the partition, which
// fences the former one, and then reads the records, so that it has seen everything that was ever stored.
//
// Load pattern: entries whose processors differ several times over. The store deals evenly among members, so
// an entry with more processor time is several members.
#pragma once

#include "jobs/jobbook.h"
#include "store/appendqueue.h"
#include "store/groupmember.h"

#include <map>
#include <memory>

namespace turmericwell {

struct PartitionOwnerOptions
{
    std::string member;
    Millis memberTtl = {1'500};
    // Memberships of this entry, at most mostMemberships.
    uint32_t memberships = 1;
};

// Memberships in proportion to the processor time, at least one.
uint32_t membershipsFor(double processorShare);

class PartitionOwner
{
public:
    // Called when a partition has been loaded, or has been given up.
    struct Handlers
    {
        std::function<void(uint32_t partition)> onLoaded;
        std::function<void(uint32_t partition, uint64_t epoch)> onClosed;
    };

    PartitionOwner(PartitionOwnerOptions options, StoreApi &store, IoContext &io, StructuredLog &log,
                   JobBook &book, Handlers handlers);

    void start();
    // A peer has given up its partitions, or may have.
    void joinSoon();
    // Another entry owns the partition with a higher epoch.
    void superseded(uint32_t partition, uint64_t epoch);
    // Ends the memberships of another entry.
    void expel(const std::string &member);
    // Stores what is waiting, then gives up all partitions.
    void release(std::function<void()> onDone);
    void store(uint32_t partition, JobId job, std::string record, bool mayDrop,
               std::function<void(StoreOutcome, Millis)> onDone);
    // When the oldest of the last joins that the store has answered was sent.
    Millis lastConfirmed() const;

private:
    struct Owned
    {
        uint64_t epoch = 0;
        // Membership that the partition was dealt to, and the generation of the group that said so.
        uint32_t membership = 0;
        uint64_t dealtGeneration = 0;
        std::unique_ptr<AppendQueue> queue;
        Millis openedAt;
        // Set once the partition is being handed over.
        std::optional<Millis> closeBy;
        uint32_t records = 0;
    };

    void joined(uint32_t membership, uint64_t generation, const std::set<uint32_t> &partitions);
    void open(uint32_t partition, uint32_t membership, uint64_t epoch);
    void leaveAll(const std::string &member, uint32_t memberships, std::function<void()> onDone);
    void close(uint32_t partition);
    void loadPage(uint32_t partition, uint64_t epoch, const std::string &after);
    void pageLoaded(uint32_t partition, uint64_t epoch, const std::string &after, const NewestAnswer &answer);
    // Stores what the next owners need; a partition is closed when that is done or the time is over.
    void handOver(std::span<const uint32_t> partitions);
    void finishHandOvers();

    const PartitionOwnerOptions m_options;
    StoreApi &m_store;
    IoContext &m_io;
    Timers m_timers;
    StructuredLog &m_log;
    JobBook &m_book;
    const Handlers m_handlers;
    std::map<uint32_t, Owned> m_owned;
    // Epochs that were fenced; a partition is opened again only with a higher one.
    std::map<uint32_t, uint64_t> m_fencedEpochs;
    // Called when the last partition has been handed over on the way to a stop.
    std::function<void()> m_onReleased;
    bool m_releasing = false;
    bool m_handOverScheduled = false;
    std::vector<std::unique_ptr<GroupMember>> m_memberships;
};

} // namespace turmericwell
