// Opens, loads, hands over and closes partitions.
#include "fleet/partitionowner.h"

#include <algorithm>
#include <cmath>

namespace turmericwell {

static constexpr const char *jobsTopic = "keyed.jobs";
static constexpr const char *ownersGroup = "entries";
static constexpr const char *producerName = "owner";
constexpr Millis pageTimeout = {1'500};
constexpr Millis pageRetryDelay = {100};
constexpr Millis handOverCheckInterval = {5};
// Time limit for storing the waiting records of a partition that is handed over.
constexpr Millis handOverTimeout = {500};
constexpr double processorSharePerMembership = 0.125;
constexpr uint32_t maxMemberships = 4;

uint32_t membershipCountFor(double processorShare)
{
    const double wanted = std::round(processorShare / processorSharePerMembership);
    return static_cast<uint32_t>(std::clamp(wanted, 1.0, double{maxMemberships}));
}

// The first membership uses the name of the entry; the others append a number to it.
static std::string membershipName(const std::string &member, uint32_t number)
{
    return number == 0 ? member : member + "." + std::to_string(number + 1);
}

// Returns a function that calls onDone when it has been called the given number of times.
static std::function<void()> afterCalls(size_t calls, std::function<void()> onDone)
{
    return [left = std::make_shared<size_t>(calls), onDone = std::move(onDone)] {
        if (--*left == 0)
            onDone();
    };
}

PartitionOwner::PartitionOwner(PartitionOwnerOptions options, StoreApi &store, IoContext &io,
                               StructuredLog &log, JobScheduler &scheduler, Handlers handlers)
    : m_options(std::move(options))
    , m_store(store)
    , m_io(io)
    , m_timers(io)
    , m_log(log)
    , m_scheduler(scheduler)
    , m_handlers(std::move(handlers))
{
    const uint32_t count = std::clamp(m_options.memberships, 1U, maxMemberships);
    m_generations.resize(count);
    for (uint32_t number = 0; number < count; ++number) {
        m_memberships.push_back(std::make_unique<GroupMember>(
            GroupMemberOptions{.group = ownersGroup,
                               .member = membershipName(m_options.member, number),
                               .topic = jobsTopic,
                               .ttl = m_options.memberTtl},
            store, io, log, [this, number](uint64_t generation, const std::set<uint32_t> &partitions) {
                joined(number, generation, partitions);
            }));
    }
}

void PartitionOwner::start()
{
    // A previous process of the same name may still be a member. Leaving on its behalf makes the store
    // reassign its partitions at once, and the new generation gives this process epochs of its own.
    leaveAll(m_options.member, static_cast<uint32_t>(m_memberships.size()), [this] {
        for (const auto &membership : m_memberships)
            membership->start();
    });
}

void PartitionOwner::leaveAll(const std::string &member, uint32_t memberships, std::function<void()> onDone)
{
    const auto left = afterCalls(memberships, std::move(onDone));
    for (uint32_t number = 0; number < memberships; ++number) {
        m_store.leave({.group = ownersGroup, .member = membershipName(member, number)}, pageTimeout,
                      [left, guard = m_timers.guard()](StoreStatus) {
                          if (!guard.expired())
                              left();
                      });
    }
}

void PartitionOwner::joinNow()
{
    for (const auto &membership : m_memberships)
        membership->joinNow();
}

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
        if (number == m_owned.at(partition).lastConfirmation)
            m_scheduler.setOwnershipConfirmed(partition, true);
    });
}

Millis PartitionOwner::lastJoinSentAt() const
{
    Millis oldest = {INT64_MAX};
    for (const auto &membership : m_memberships)
        oldest = std::min(oldest, membership->lastJoinSentAt());
    return oldest;
}

void PartitionOwner::joined(uint32_t membership, uint64_t generation, const std::set<uint32_t> &partitions)
{
    if (m_releasing)
        return;
    std::vector<uint32_t> revoked;
    for (const auto &[partition, owned] : m_owned) {
        if (owned.membership == membership && !partitions.contains(partition))
            revoked.push_back(partition);
    }
    handOver(revoked);
    const uint64_t before = std::exchange(m_generations[membership], generation);
    const bool hasMissedGenerations = generation > before + 1;
    for (const uint32_t partition : partitions) {
        // A partition that moves from one membership of this entry to another stays open.
        if (const auto owned = m_owned.find(partition);
            owned != m_owned.end() && generation >= owned->second.assignedGeneration) {
            const bool isRetained = owned->second.membership == membership;
            owned->second.membership = membership;
            owned->second.assignedGeneration = generation;
            if ((hasMissedGenerations || !isRetained) && !owned->second.closeBy)
                confirm(partition);
        }
        const auto fenced = m_fencedEpochs.find(partition);
        const bool mayOpen = fenced == m_fencedEpochs.end() || fenced->second < generation;
        if (!m_owned.contains(partition) && mayOpen)
            open(partition, membership, generation);
    }
}

void PartitionOwner::open(uint32_t partition, uint32_t membership, uint64_t epoch)
{
    m_log.always(Clock::now(), "partition_opening", {{"partition", partition}, {"epoch", epoch}});
    Owned &owned = m_owned[partition];
    owned.epoch = epoch;
    owned.membership = membership;
    owned.assignedGeneration = epoch;
    owned.openedAt = Clock::now();
    owned.queue = std::make_unique<AppendQueue>(
        AppendQueueOptions{
            .topic = jobsTopic, .partition = partition, .producer = producerName, .epoch = epoch},
        m_store, m_io, m_log);
    owned.queue->onFenced = [this, partition, epoch] {
        m_timers.after({0}, [this, partition, epoch] { superseded(partition, epoch); });
    };
    m_scheduler.openPartition(partition, epoch);
    owned.queue->open([this, partition, epoch](AppendOutcome outcome) {
        if (outcome == AppendOutcome::Stored)
            loadPage(partition, epoch, {});
    });
}

void PartitionOwner::close(uint32_t partition)
{
    const uint64_t epoch = m_owned.at(partition).epoch;
    m_scheduler.closePartition(partition, Clock::now());
    m_owned.erase(partition);
    m_handlers.onClosed(partition, epoch);
}

void PartitionOwner::loadPage(uint32_t partition, uint64_t epoch, const std::string &after)
{
    m_store.newest({.topic = jobsTopic, .partition = partition, .after = after}, pageTimeout,
                   [this, partition, epoch, after, guard = m_timers.guard()](const NewestAnswer &answer) {
                       if (!guard.expired())
                           pageLoaded(partition, epoch, after, answer);
                   });
}

void PartitionOwner::pageLoaded(uint32_t partition, uint64_t epoch, const std::string &after,
                                const NewestAnswer &answer)
{
    const auto found = m_owned.find(partition);
    if (found == m_owned.end() || found->second.epoch != epoch)
        return;
    const Millis now = Clock::now();
    if (answer.status != StoreStatus::Done) {
        m_timers.after(pageRetryDelay,
                       [this, partition, epoch, after] { loadPage(partition, epoch, after); });
        return;
    }
    for (const StoreRecord &record : answer.records) {
        ++found->second.records;
        if (const std::optional<JobId> job = parseJobId(record.key); job && !record.value.empty())
            m_scheduler.loadRecord(partition, *job, record.value, now);
    }
    if (answer.hasMore) {
        // Without a key to continue from the page is incomplete, and jobs behind it would count as unknown.
        const std::string &next = answer.lastKey;
        if (next.empty() || next == after)
            m_timers.after(pageRetryDelay,
                           [this, partition, epoch, after] { loadPage(partition, epoch, after); });
        else
            loadPage(partition, epoch, next);
        return;
    }
    m_scheduler.loaded(partition, now);
    m_log.always(now, "partition_owned",
                 {{"partition", partition},
                  {"epoch", epoch},
                  {"records", found->second.records},
                  {"took_ms", now - found->second.openedAt}});
    m_handlers.onLoaded(partition);
}

void PartitionOwner::store(uint32_t partition, JobId job, std::string record, bool mayDrop,
                           std::function<void(StoreOutcome, Millis)> onDone)
{
    const auto found = m_owned.find(partition);
    if (found == m_owned.end()) {
        m_timers.after({0}, [onDone = std::move(onDone)] { onDone(StoreOutcome::Superseded, Clock::now()); });
        return;
    }
    found->second.queue->add(jobIdText(job), std::move(record), mayDrop,
                             [onDone = std::move(onDone)](AppendOutcome outcome) {
                                 const Millis now = Clock::now();
                                 if (outcome == AppendOutcome::Stored)
                                     onDone(StoreOutcome::Stored, now);
                                 else if (outcome == AppendOutcome::NotStored)
                                     onDone(StoreOutcome::NotStored, now);
                                 else
                                     onDone(StoreOutcome::Superseded, now);
                             });
}

void PartitionOwner::superseded(uint32_t partition, uint64_t epoch)
{
    const auto found = m_owned.find(partition);
    if (found == m_owned.end() || found->second.epoch != epoch)
        return;
    m_fencedEpochs[partition] = epoch;
    const uint32_t membership = found->second.membership;
    close(partition);
    m_memberships[membership]->joinNow();
}

void PartitionOwner::evictMember(const std::string &member)
{
    leaveAll(member, maxMemberships, [this] { joinNow(); });
}

void PartitionOwner::handOver(std::span<const uint32_t> partitions)
{
    const Millis now = Clock::now();
    for (const uint32_t partition : partitions) {
        Owned &owned = m_owned.at(partition);
        if (owned.closeBy)
            continue;
        owned.closeBy = now + handOverTimeout;
        m_scheduler.freezePartition(partition, now);
        // The next join allows the store to assign the partition to another member, so joins are paused until
        // the partition is closed.
        m_memberships[owned.membership]->setPaused(true);
    }
    finishHandOvers();
}

void PartitionOwner::finishHandOvers()
{
    const Millis now = Clock::now();
    std::vector<uint32_t> ready;
    std::set<uint32_t> waiting;
    for (const auto &[partition, owned] : m_owned) {
        if (!owned.closeBy)
            continue;
        if (owned.queue->isIdle() || now >= *owned.closeBy)
            ready.push_back(partition);
        else
            waiting.insert(owned.membership);
    }
    for (const uint32_t partition : ready)
        close(partition);
    for (uint32_t number = 0; number < m_memberships.size(); ++number) {
        if (!waiting.contains(number))
            m_memberships[number]->setPaused(false);
    }
    if (!waiting.empty()) {
        if (!std::exchange(m_handOverScheduled, true))
            m_timers.after(handOverCheckInterval, [this] {
                m_handOverScheduled = false;
                finishHandOvers();
            });
        return;
    }
    if (!m_releasing || !m_onReleased)
        return;
    const auto left = afterCalls(m_memberships.size(), std::exchange(m_onReleased, {}));
    for (const auto &membership : m_memberships)
        membership->leave(left);
}

void PartitionOwner::release(std::function<void()> onDone)
{
    m_releasing = true;
    std::vector<uint32_t> partitions;
    for (const auto &[partition, owned] : m_owned)
        partitions.push_back(partition);
    m_onReleased = std::move(onDone);
    handOver(partitions);
}

} // namespace turmericwell
