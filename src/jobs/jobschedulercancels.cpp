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
        if (reply.status == fleet::CallStatus::NotKnown)
            cancelUnknown(id, options, now, std::move(onDone));
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
    if (cancelled.recorded && !cancelled.recordInFlight) {
        onDone({.status = fleet::CallStatus::NotKnown});
        return;
    }
    cancelled.cancellers.add(options.caller, now + options.wait, std::move(onDone), now);
    if (!cancelled.recordInFlight)
        storeUnknownCancel(id, cancelled);
}

void JobScheduler::storeUnknownCancel(JobId id, UnknownCancelledJob &cancelled)
{
    cancelled.recorded = true;
    cancelled.recordInFlight = true;
    JobRecord record;
    record.phase = JobPhase::Cancelled;
    const uint32_t partition = cancelled.partition;
    const uint64_t epoch = m_partitions.at(partition).epoch;
    m_effects.store(partition, id, encodeJobRecord(record), true,
                    [this, id, partition, epoch](StoreOutcome outcome, Millis) {
                        if (epochOf(partition) == epoch && outcome != StoreOutcome::Superseded)
                            unknownCancelStored(id, outcome);
                    });
}

void JobScheduler::unknownCancelStored(JobId id, StoreOutcome outcome)
{
    const auto found = m_unknownCancelled.find(id);
    if (found == m_unknownCancelled.end())
        return;
    UnknownCancelledJob &cancelled = found->second;
    const bool isStored = outcome == StoreOutcome::Stored;
    cancelled.recordInFlight = false;
    cancelled.recorded = isStored;
    const JobReply reply = isStored ? JobReply{.status = fleet::CallStatus::NotKnown}
                                    : JobReply{.status = fleet::CallStatus::Refused,
                                               .retryAfter = cancelRetryAfter,
                                               .reason = "the store cannot be reached"};
    for (const JobReplyHandler &canceller : cancelled.cancellers.takeAll())
        canceller(reply);
}

void JobScheduler::evictUnknownCancels(Millis now)
{
    // A job that was cancelled again moves to the end, so that it does not keep the others from eviction.
    for (size_t left = m_unknownCancelledOrder.size(); left > 0; --left) {
        const JobId id = m_unknownCancelledOrder.front();
        const auto oldest = m_unknownCancelled.find(id);
        const bool isRenewed =
            std::exchange(oldest->second.isRenewed, false) || oldest->second.recordInFlight;
        if (oldest->second.evictAt > now && !isRenewed)
            return;
        m_unknownCancelledOrder.pop_front();
        if (oldest->second.evictAt > now || oldest->second.recordInFlight) {
            m_unknownCancelledOrder.push_back(id);
            continue;
        }
        if (oldest->second.recorded)
            deleteRecord(oldest->second.partition, id);
        m_unknownCancelled.erase(oldest);
    }
}

} // namespace turmericwell
