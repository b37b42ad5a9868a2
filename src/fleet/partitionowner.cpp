// Opens, loads, hands over and closes partitions; partitionevidence.cpp has the evidence of their ownership.
#include "fleet/partitionowner.h"

#include <algorithm>
#include <charconv>

namespace turmericwell {

static constexpr const char *jobsTopic = "keyed.jobs";
static constexpr const char *ownersGroup = "entries";
static constexpr const char *producerName = "owner";
constexpr Millis pageTimeout = {1'500};
constexpr Millis pageRetryDelay = {100};
constexpr Millis handOverCheckInterval = {5};
// Time limit for storing the waiting records of a partition that is handed over.
constexpr Millis handOverTimeout = {500};
// Key of the record with the level of the partition's agent subset. It is not the identifier of a job.
static constexpr const char *subsetLevelKey = "agent-subset-level";

// Far above any level in use: at this one, an agent serves one of 65,536 partitions.
constexpr uint32_t mostSubsetLevel = 16;

// A record that cannot be parsed shows that an owner has placed orders, but not where: level 0 covers all
// agents.
static uint32_t parseLevel(std::string_view text)
{
    uint32_t level = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), level);
    const bool isValid = error == std::errc() && end == text.data() + text.size() && level <= mostSubsetLevel;
    return isValid ? level : 0;
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
    m_generations.resize(maxMemberships);
    for (uint32_t number = 0; number < maxMemberships; ++number) {
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
    // reassign its partitions at once, and the new generation gives this process epochs of its own. While the
    // store is down the times of members may stand still, so a former membership does not end by itself.
    const auto left = afterCalls(maxMemberships, [this] {
        if (m_failedLeaves > 0)
            m_log.always(Clock::now(), "former_memberships_ended", {{"failures", m_failedLeaves}});
        m_started = true;
        joinMemberships();
    });
    for (uint32_t number = 0; number < maxMemberships; ++number)
        leaveFormer(number, left);
}

void PartitionOwner::leaveFormer(uint32_t membership, const std::function<void()> &onDone)
{
    m_store.leave({.group = ownersGroup, .member = membershipName(m_options.member, membership)}, pageTimeout,
                  [this, membership, onDone, guard = m_timers.guard()](StoreStatus status) {
                      if (guard.expired())
                          return;
                      // With Invalid the store has answered, and repeating the call would not change it.
                      if (status == StoreStatus::Done || status == StoreStatus::Invalid) {
                          onDone();
                          return;
                      }
                      if (++m_failedLeaves == 1)
                          m_log.always(Clock::now(), "former_memberships_not_ended",
                                       {{"membership", membership}, {"status", static_cast<int>(status)}});
                      m_timers.after(m_leaveBackoff.next(),
                                     [this, membership, onDone] { leaveFormer(membership, onDone); });
                  });
}

void PartitionOwner::joinMemberships()
{
    for (uint32_t number = 0; number < m_activeMemberships; ++number)
        m_memberships[number]->start();
}

void PartitionOwner::setMemberships(uint32_t count)
{
    const uint32_t before = std::exchange(m_activeMemberships, std::min(count, maxMemberships));
    if (m_releasing || before == m_activeMemberships)
        return;
    for (uint32_t number = m_activeMemberships; number < before; ++number)
        m_endedMemberships.insert(number);
    for (uint32_t number = 0; number < m_activeMemberships; ++number)
        m_endedMemberships.erase(number);
    std::vector<uint32_t> partitions;
    for (const auto &[partition, owned] : m_owned) {
        if (!isActive(owned.membership))
            partitions.push_back(partition);
    }
    handOver(partitions);
    if (m_started)
        joinMemberships();
}

void PartitionOwner::leaveEndedMemberships()
{
    for (auto number = m_endedMemberships.begin(); number != m_endedMemberships.end();) {
        const bool holds = std::any_of(m_owned.begin(), m_owned.end(), [&](const auto &item) {
            return item.second.membership == *number && !item.second.isGivenUp;
        });
        if (holds) {
            ++number;
            continue;
        }
        m_memberships[*number]->leave([] {});
        number = m_endedMemberships.erase(number);
    }
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
    if (!m_started)
        return;
    for (uint32_t number = 0; number < m_activeMemberships; ++number)
        m_memberships[number]->joinNow();
}

std::optional<Millis> PartitionOwner::loadedAt(uint32_t partition) const
{
    const auto found = m_owned.find(partition);
    return found == m_owned.end() ? std::nullopt : found->second.loadedAt;
}

bool PartitionOwner::nextOwnerLoads(uint32_t partition)
{
    const auto found = m_owned.find(partition);
    if (found == m_owned.end() || !found->second.isGivenUp)
        return false;
    found->second.isBeingTaken = true;
    return true;
}

bool PartitionOwner::isBeingTaken(uint32_t partition) const
{
    const auto found = m_owned.find(partition);
    return found != m_owned.end() && found->second.isBeingTaken;
}

std::optional<Millis> PartitionOwner::openedAt(uint32_t partition) const
{
    const auto found = m_owned.find(partition);
    return found == m_owned.end() ? std::nullopt : std::optional(found->second.openedAt);
}

void PartitionOwner::joined(uint32_t membership, uint64_t generation, const std::set<uint32_t> &partitions)
{
    if (m_releasing || !isActive(membership))
        return;
    std::vector<uint32_t> revoked;
    for (const auto &[partition, owned] : m_owned) {
        if (owned.membership == membership && !owned.isGivenUp && !partitions.contains(partition))
            revoked.push_back(partition);
    }
    handOver(revoked);
    const uint64_t before = std::exchange(m_generations[membership], generation);
    const bool hasMissedGenerations = generation > before + 1;
    for (const uint32_t partition : partitions) {
        // Another entry has opened it meanwhile, so the present epoch is outdated.
        if (isBeingTaken(partition))
            close(partition);
        // A partition that moves from one membership of this entry to another stays open.
        if (const auto owned = m_owned.find(partition);
            owned != m_owned.end() && generation >= owned->second.assignedGeneration) {
            const bool isRetained = owned->second.membership == membership;
            const bool hasLapsed = std::exchange(owned->second.membershipLapsed, false);
            owned->second.membership = membership;
            owned->second.assignedGeneration = generation;
            owned->second.assignedJoinSentAt = m_memberships[membership]->lastJoinSentAt();
            owned->second.isGivenUp = false;
            if ((hasMissedGenerations || hasLapsed || !isRetained) && !owned->second.closeBy)
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
    owned.assignedJoinSentAt = m_memberships[membership]->lastJoinSentAt();
    owned.queue = std::make_unique<AppendQueue>(AppendQueueOptions{.topic = jobsTopic,
                                                                   .partition = partition,
                                                                   .producer = producerName,
                                                                   .epoch = epoch,
                                                                   .firstSequence = randomFirstSequence()},
                                                m_store, m_io, m_log);
    owned.queue->onFenced = [this, partition, epoch] {
        m_timers.after({0}, [this, partition, epoch] { superseded(partition, epoch); });
    };
    owned.queue->onEpochInUse = [this, partition, epoch] {
        m_timers.after({0}, [this, partition, epoch] { epochInUse(partition, epoch); });
    };
    m_scheduler.openPartition(partition, epoch);
    m_handlers.onOpening(partition);
    if (m_options.servesUntilTaken)
        loadFirstPage(partition, epoch);
    owned.queue->open([this, partition, epoch](AppendOutcome outcome) {
        const auto found = m_owned.find(partition);
        if (outcome != AppendOutcome::Stored || found == m_owned.end() || found->second.epoch != epoch)
            return;
        found->second.isEpochSet = true;
        if (m_options.servesUntilTaken)
            useFirstPage(partition, epoch);
        else
            loadPage(partition, epoch, {});
    });
}

void PartitionOwner::close(uint32_t partition)
{
    const uint64_t epoch = m_owned.at(partition).epoch;
    m_scheduler.closePartition(partition, Clock::now());
    m_owned.erase(partition);
    m_handlers.onClosed(partition, epoch);
    if (m_hasLeft)
        m_timers.after({0}, [this] { finishRelease(); });
}

// Load pattern: a store that takes 60 to 80 times as long as usual. The records that a new owner must know
// are those up to its epoch, after which former owners are fenced. A page that was read at the end of the
// partition at which the epoch was set, or later, shows all of them, so it need not be requested after the
// epoch was set.
void PartitionOwner::loadFirstPage(uint32_t partition, uint64_t epoch)
{
    m_store.newest({.topic = jobsTopic, .partition = partition}, pageTimeout,
                   [this, partition, epoch, guard = m_timers.guard()](const NewestAnswer &answer) {
                       if (guard.expired())
                           return;
                       const auto found = m_owned.find(partition);
                       if (found == m_owned.end() || found->second.epoch != epoch)
                           return;
                       found->second.firstPage = answer;
                       useFirstPage(partition, epoch);
                   });
}

void PartitionOwner::useFirstPage(uint32_t partition, uint64_t epoch)
{
    Owned &owned = m_owned.at(partition);
    if (!owned.isEpochSet || !owned.firstPage)
        return;
    const NewestAnswer page = *std::exchange(owned.firstPage, std::nullopt);
    const uint64_t end = owned.queue->endAtOpening();
    // Without the end of the partition nothing tells which records the page may lack.
    const bool isComplete = page.status == StoreStatus::Done && end > 0 && page.end >= end;
    if (isComplete)
        pageLoaded(partition, epoch, {}, page);
    else
        loadPage(partition, epoch, {});
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
        if (record.key.empty())
            m_log.write(now, "record_unreadable",
                        {{"topic", jobsTopic}, {"partition", partition}, {"offset", record.offset}});
        else if (record.key == subsetLevelKey)
            loadSubsetLevel(partition, record, now);
        else if (const std::optional<JobId> job = parseJobId(record.key); job && !record.value.empty())
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
    found->second.loadedAt = now;
    m_log.always(now, "partition_owned",
                 {{"partition", partition},
                  {"epoch", epoch},
                  {"records", found->second.records},
                  {"took_ms", now - found->second.openedAt}});
    m_handlers.onLoaded(partition, found->second.subsetLevel);
}

void PartitionOwner::loadSubsetLevel(uint32_t partition, const StoreRecord &record, Millis now)
{
    Owned &owned = m_owned.at(partition);
    if (owned.subsetLevel && record.offset < owned.subsetLevelOffset) {
        m_log.always(now, "agent_subset_rejected",
                     {{"partition", partition},
                      {"level", record.value},
                      {"before", *owned.subsetLevel},
                      {"offset", record.offset},
                      {"newest_offset", owned.subsetLevelOffset}});
        return;
    }
    owned.subsetLevel = parseLevel(record.value);
    owned.subsetLevelOffset = record.offset;
}

void PartitionOwner::storeSubsetLevel(uint32_t partition, uint32_t level, std::function<void()> onStored)
{
    const auto found = m_owned.find(partition);
    if (found == m_owned.end())
        return;
    found->second.queue->add(subsetLevelKey, std::to_string(level), false,
                             [onStored = std::move(onStored)](AppendOutcome outcome) {
                                 if (outcome == AppendOutcome::Stored)
                                     onStored();
                             });
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
    if (isActive(membership))
        m_memberships[membership]->joinNow();
}

void PartitionOwner::epochInUse(uint32_t partition, uint64_t epoch)
{
    const auto found = m_owned.find(partition);
    if (found == m_owned.end() || found->second.epoch != epoch)
        return;
    m_fencedEpochs[partition] = epoch;
    const uint32_t membership = found->second.membership;
    close(partition);
    if (!isActive(membership))
        return;
    m_memberships[membership]->leave([this, membership, guard = m_timers.guard()] {
        if (!guard.expired() && isActive(membership) && !m_releasing)
            m_memberships[membership]->start();
    });
}

void PartitionOwner::evictMember(const std::string &member)
{
    leaveAll(member, maxMemberships, [this] { joinNow(); });
}

// Load pattern: a slow store while entries are restarted in turn. Each change of owner takes several calls,
// in which nobody would serve the partition. The former owner goes on by the evidence of an owner whose
// membership has lapsed, until the next one has loaded the records.
void PartitionOwner::giveUp(std::span<const uint32_t> partitions)
{
    for (const uint32_t partition : partitions) {
        Owned &owned = m_owned.at(partition);
        if (!owned.loadedAt || owned.suspended) {
            close(partition);
            continue;
        }
        owned.isGivenUp = true;
        owned.membershipLapsed = true;
        m_scheduler.setOwnershipConfirmed(partition, false);
        m_log.always(Clock::now(), "partition_given_up", {{"partition", partition}, {"epoch", owned.epoch}});
    }
    leaveEndedMemberships();
}

void PartitionOwner::handOver(std::span<const uint32_t> partitions)
{
    if (m_options.servesUntilTaken && !m_releasing) {
        giveUp(partitions);
        return;
    }
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
    leaveEndedMemberships();
    for (uint32_t number = 0; number < m_activeMemberships; ++number) {
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
    const std::function<void()> onReleased = std::exchange(m_onReleased, {});
    if (m_activeMemberships == 0) {
        onReleased();
        return;
    }
    const auto left = afterCalls(m_activeMemberships, onReleased);
    for (uint32_t number = 0; number < m_activeMemberships; ++number)
        m_memberships[number]->leave(left);
}

void PartitionOwner::release(bool hasSuccessor, std::function<void()> onDone)
{
    m_releasing = true;
    std::vector<uint32_t> partitions;
    for (const auto &[partition, owned] : m_owned)
        partitions.push_back(partition);
    m_onReleased = std::move(onDone);
    if (m_options.servesUntilTaken && hasSuccessor) {
        giveUp(partitions);
        leaveWhileServing();
    } else {
        handOver(partitions);
    }
}

void PartitionOwner::leaveWhileServing()
{
    const auto left = afterCalls(m_activeMemberships + 1, [this] {
        m_hasLeft = true;
        finishRelease();
    });
    for (uint32_t number = 0; number < m_activeMemberships; ++number)
        m_memberships[number]->leave([left, guard = m_timers.guard()] {
            if (!guard.expired())
                left();
        });
    left();
}

void PartitionOwner::finishRelease()
{
    if (m_onReleased && m_owned.empty())
        std::exchange(m_onReleased, {})();
}

} // namespace turmericwell
