// JobScheduler: cancels, and callers that leave.
#include "jobs/jobscheduler.h"

#include <algorithm>
#include <utility>

namespace turmericwell {

constexpr Millis cancelRetryAfter = {1'000};
// A client whose connection has broken submits its job again within this time.
constexpr Millis callerReturnTime = {2'500};

void JobScheduler::cancel(JobId id, const CallOptions &options, Millis now, JobReplyHandler onDone)
{
    if (!isServing(partitionOf(id, m_options.partitions))) {
        onDone({.status = fleet::CallStatus::NotReady,
                .retryAfter = cancelRetryAfter,
                .reason = "not the owner"});
        return;
    }
    Job *job = findJob(id);
    if (!job) {
        const JobReply reply = query(id);
        m_log.write(now, "cancel_without_effect",
                    {{"job", jobIdText(id)},
                     {"known", reply.status == fleet::CallStatus::Done},
                     {"located", m_partitions.at(partitionOf(id, m_options.partitions)).reconciled}});
        const auto ended = m_ended.find(id);
        if (reply.status == fleet::CallStatus::NotKnown)
            cancelUnknown(id, options, now, std::move(onDone));
        else if (ended != m_ended.end() && !ended->second.recorded)
            storeCancel(id, ended->second.phase, options, now, std::move(onDone));
        else
            onDone(reply);
        return;
    }
    job->cancellers.add(options.caller, now + options.wait, std::move(onDone), now);
    if (job->phase != JobPhase::Active)
        return;
    endJob(*job, JobPhase::Cancelled);
    // Without a record the job would not outlive this owner, so its runs need not wait for that of the
    // cancel.
    if (job->spec.best_effort)
        stopRuns(*job);
}

void JobScheduler::callerLeft(JobId id, const CallerId &caller, Millis now)
{
    Job *job = findJob(id);
    if (!job)
        return;
    job->cancellers.remove(caller);
    if (!job->submitters.remove(caller) || !job->spec.best_effort)
        return;
    const bool mayHaveRuns = job->anyOrdered || job->mayHaveFormerRuns;
    const Millis kept = mayHaveRuns ? now + callerReturnTime : now;
    job->expiresAt = job->submitters.isEmpty() ? std::min(job->expiresAt, kept) : job->submitters.latestEnd();
    m_log.write(now, "caller_left",
                {{"job", jobIdText(id)},
                 {"others", job->submitters.size()},
                 {"kept_ms", std::max(Millis{0}, job->expiresAt - now)}});
}

void JobScheduler::cancelUnknown(JobId id, const CallOptions &options, Millis now, JobReplyHandler onDone)
{
    const bool isNew = !m_unknownCancelled.contains(id);
    if (isNew && m_unknownCancelled.size() >= m_options.maxUnknownCancels) {
        m_effects.inputRejected("unknown_cancels");
        onDone({.status = fleet::CallStatus::Refused,
                .retryAfter = cancelRetryAfter,
                .reason = "too many cancels of unknown jobs"});
        return;
    }
    UnknownCancelledJob &cancelled = m_unknownCancelled[id];
    cancelled.partition = partitionOf(id, m_options.partitions);
    cancelled.evictAt = now + m_options.retention;
    cancelled.isRenewed = !isNew;
    if (isNew)
        m_unknownCancelledOrder.push_back(id);
    for (auto &[run, orphan] : m_orphans) {
        if (run.task.job == id)
            orphan.stopAt = std::min(orphan.stopAt, now);
    }
    if (cancelled.recorded)
        onDone({.status = fleet::CallStatus::NotKnown});
    else
        storeCancel(id, JobPhase::Cancelled, options, now, std::move(onDone));
}

void JobScheduler::storeCancel(JobId id, JobPhase phase, const CallOptions &options, Millis now,
                               JobReplyHandler onDone)
{
    const auto [pending, isNew] = m_pendingCancels.try_emplace(id);
    pending->second.cancellers.add(options.caller, now + options.wait, std::move(onDone), now);
    if (!isNew)
        return;
    const uint32_t partition = partitionOf(id, m_options.partitions);
    pending->second.partition = partition;
    JobRecord record;
    record.phase = phase;
    const uint64_t epoch = m_partitions.at(partition).epoch;
    m_effects.store(partition, id, encodeJobRecord(record), true,
                    [this, id, partition, epoch](StoreOutcome outcome, Millis) {
                        if (epochOf(partition) == epoch && outcome != StoreOutcome::Superseded)
                            cancelStored(id, outcome);
                    });
}

void JobScheduler::cancelStored(JobId id, StoreOutcome outcome)
{
    const auto pending = m_pendingCancels.find(id);
    if (pending == m_pendingCancels.end())
        return;
    JobReply reply{.status = fleet::CallStatus::Refused,
                   .retryAfter = cancelRetryAfter,
                   .reason = "the store cannot be reached"};
    if (outcome == StoreOutcome::Stored) {
        reply = {.status = fleet::CallStatus::NotKnown};
        if (const auto ended = m_ended.find(id); ended != m_ended.end()) {
            ended->second.recorded = true;
            reply = {.status = fleet::CallStatus::Done, .phase = ended->second.phase};
        }
        if (const auto unknown = m_unknownCancelled.find(id); unknown != m_unknownCancelled.end())
            unknown->second.recorded = true;
    }
    const std::vector<JobReplyHandler> cancellers = pending->second.cancellers.takeAll();
    m_pendingCancels.erase(pending);
    for (const JobReplyHandler &canceller : cancellers)
        canceller(reply);
}

void JobScheduler::evictUnknownCancels(Millis now)
{
    // A job that was cancelled again moves to the end, so that it does not keep the others from eviction.
    for (size_t left = m_unknownCancelledOrder.size(); left > 0; --left) {
        const JobId id = m_unknownCancelledOrder.front();
        const auto oldest = m_unknownCancelled.find(id);
        const bool isPending = m_pendingCancels.contains(id);
        const bool isRenewed = std::exchange(oldest->second.isRenewed, false) || isPending;
        if (oldest->second.evictAt > now && !isRenewed)
            return;
        m_unknownCancelledOrder.pop_front();
        if (oldest->second.evictAt > now || isPending) {
            m_unknownCancelledOrder.push_back(id);
            continue;
        }
        if (oldest->second.recorded)
            deleteRecord(oldest->second.partition, id);
        m_unknownCancelled.erase(oldest);
    }
}

} // namespace turmericwell
