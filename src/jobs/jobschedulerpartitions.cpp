// JobScheduler: ownership of partitions.
#include "jobs/jobscheduler.h"

#include <algorithm>

namespace turmericwell {

// If a caller still waits for a best-effort job of a former owner, its entry resubmits the job within this
// time.
constexpr Millis loadedJobGracePeriod = {2'000};

void JobScheduler::openPartition(uint32_t partition, uint64_t epoch)
{
    m_partitions[partition] = {.epoch = epoch};
}

bool JobScheduler::isServing(uint32_t partition) const
{
    const auto found = m_partitions.find(partition);
    return found != m_partitions.end() && found->second.loaded && !found->second.frozen
        && !found->second.suspended;
}

void JobScheduler::setOwnershipConfirmed(uint32_t partition, bool confirmed)
{
    if (const auto found = m_partitions.find(partition); found != m_partitions.end())
        found->second.isConfirmed = confirmed;
}

std::optional<uint64_t> JobScheduler::epochOf(uint32_t partition) const
{
    const auto found = m_partitions.find(partition);
    return found == m_partitions.end() ? std::nullopt : std::optional(found->second.epoch);
}

std::vector<fleet::OwnedPartitionT> JobScheduler::owned() const
{
    std::vector<fleet::OwnedPartitionT> result;
    for (const auto &[number, partition] : m_partitions) {
        fleet::OwnedPartitionT item;
        item.partition = number;
        item.epoch = partition.epoch;
        item.ready = isServing(number);
        result.push_back(item);
    }
    return result;
}

void JobScheduler::loadRecord(uint32_t partition, JobId id, std::string_view bytes, Millis now)
{
    std::optional<JobRecord> record = decodeJobRecord(bytes);
    const bool isUnreadable = !record || (record->phase == JobPhase::Active && !record->spec);
    if (isUnreadable) {
        m_log.always(now, "record_unreadable", {{"job", jobIdText(id)}, {"bytes", bytes.size()}});
        return;
    }
    // Only the cancel of a job that its owner did not know has no queue.
    if (record->phase == JobPhase::Cancelled && record->queue.empty()) {
        m_unknownCancelled[id] = {
            .partition = partition, .evictAt = now + m_options.retention, .recorded = true};
        m_unknownCancelledOrder.push_back(id);
        return;
    }
    if (record->phase != JobPhase::Active) {
        m_ended[id] = {.phase = record->phase,
                       .evictAt = now + m_options.retention,
                       .partition = partition,
                       .recorded = true,
                       .hasRepeatedRuns = record->repeated_runs};
        m_endedOrder.push_back(id);
        return;
    }
    Job &job = addJob(std::move(*record->spec), partition, now);
    job.accepted = true;
    job.recorded = true;
    job.expiresAt = now + loadedJobGracePeriod;
    job.runNumbers =
        RunNumbers::forKnownJob(m_partitions[partition].epoch, record->run_limit, m_options.runsPerEpoch);
    job.hasRepeatedRuns = record->repeated_runs;
    job.failedRuns = record->failed_runs;
    for (const uint32_t number : record->done_tasks) {
        if (number >= job.tasks.size() || job.tasks[number].phase == TaskPhase::Done)
            continue;
        Task &task = job.tasks[number];
        task.phase = TaskPhase::Done;
        --job.stepRemaining[task.step];
    }
    for (const uint32_t number : record->repeated_tasks) {
        if (number < job.tasks.size())
            job.tasks[number].isRepeated = true;
    }
    for (const fleet::FailedRun &failed : job.failedRuns) {
        if (failed.task() >= job.tasks.size())
            continue;
        Task &task = job.tasks[failed.task()];
        ++task.failures;
        task.run = std::max(task.run, failed.run());
    }
    job.mayHaveFormerRuns = true;
    openReadySteps(job);
    dequeue(job);
}

void JobScheduler::loaded(uint32_t number, Millis now)
{
    const auto found = m_partitions.find(number);
    if (found == m_partitions.end())
        return;
    found->second.loaded = true;
    found->second.loadedAt = now;
    const auto active = std::count_if(m_jobs.begin(), m_jobs.end(),
                                      [&](const auto &item) { return item.second.partition == number; });
    m_log.always(now, "partition_loaded",
                 {{"partition", number}, {"epoch", found->second.epoch}, {"active_jobs", active}});
}

void JobScheduler::freezePartition(uint32_t number, Millis now)
{
    const auto found = m_partitions.find(number);
    if (found == m_partitions.end() || found->second.frozen)
        return;
    found->second.frozen = true;
    uint32_t stored = 0;
    for (auto &[id, job] : m_jobs) {
        if (job.partition != number || job.phase != JobPhase::Active)
            continue;
        dequeue(job);
        if (job.spec.best_effort || !job.unstoredEnds.empty()) {
            writeRecord(job);
            ++stored;
        }
    }
    m_log.always(now, "partition_frozen",
                 {{"partition", number}, {"epoch", found->second.epoch}, {"stored", stored}});
}

void JobScheduler::suspendPartition(uint32_t number, Millis now)
{
    const auto found = m_partitions.find(number);
    if (found == m_partitions.end() || std::exchange(found->second.suspended, true))
        return;
    found->second.reported.clear();
    found->second.leaseEnds.clear();
    found->second.claims.clear();
    for (auto &[id, job] : m_jobs) {
        if (job.partition == number)
            dequeue(job);
    }
    m_log.always(now, "partition_suspended", {{"partition", number}, {"epoch", found->second.epoch}});
}

void JobScheduler::resumePartition(uint32_t number, Millis now)
{
    const auto found = m_partitions.find(number);
    if (found == m_partitions.end() || !std::exchange(found->second.suspended, false))
        return;
    for (auto &[id, job] : m_jobs) {
        if (job.partition == number)
            enqueue(job);
    }
    m_log.always(now, "partition_resumed", {{"partition", number}, {"epoch", found->second.epoch}});
}

void JobScheduler::closePartition(uint32_t number, Millis now)
{
    const auto found = m_partitions.find(number);
    if (found == m_partitions.end())
        return;
    m_log.always(now, "partition_closed", {{"partition", number}, {"epoch", found->second.epoch}});
    m_partitions.erase(found);
    JobWaiters undecided;
    for (auto item = m_jobs.begin(); item != m_jobs.end();) {
        Job &job = item->second;
        if (job.partition != number) {
            ++item;
            continue;
        }
        dequeue(job);
        undecided.take(std::move(job.submitters));
        undecided.take(std::move(job.cancellers));
        item = m_jobs.erase(item);
    }
    std::erase_if(m_ended, [&](const auto &item) { return item.second.partition == number; });
    std::erase_if(m_givenUp, [&](const auto &item) { return item.second.partition == number; });
    for (auto &[id, pending] : m_pendingCancels) {
        if (pending.partition == number)
            undecided.take(std::move(pending.cancellers));
    }
    std::erase_if(m_pendingCancels, [&](const auto &item) { return item.second.partition == number; });
    std::erase_if(m_unknownCancelled, [&](const auto &item) { return item.second.partition == number; });
    std::erase_if(m_unknownCancelledOrder, [&](JobId id) { return !m_unknownCancelled.contains(id); });
    std::erase_if(m_orphans, [&](const auto &item) {
        return partitionOf(item.first.task.job, m_options.partitions) == number;
    });
    std::erase_if(m_endedOrder, [&](JobId id) { return !m_ended.contains(id); });
    for (const JobReplyHandler &handler : undecided.takeAll())
        handler({.status = fleet::CallStatus::Unknown, .reason = "ownership moved"});
}

} // namespace turmericwell
