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
        if (reply.status != fleet::CallStatus::NotKnown || cancelUnknown(id, now)) {
            onDone(reply);
            return;
        }
        m_effects.inputRejected("unknown_cancels");
        onDone({.status = fleet::CallStatus::Refused,
                .retryAfter = cancelRetryAfter,
                .reason = "too many cancels of unknown jobs"});
        return;
    }
    job->cancellers.add(options.caller, now + options.wait, std::move(onDone), now);
    if (job->phase == JobPhase::Active)
        endJob(*job, JobPhase::Cancelled);
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

bool JobScheduler::cancelUnknown(JobId id, Millis now)
{
    const Millis evictAt = now + m_options.retention;
    if (const auto found = m_unknownCancelled.find(id); found != m_unknownCancelled.end()) {
        found->second.evictAt = evictAt;
        found->second.isRenewed = true;
        return true;
    }
    if (m_unknownCancelled.size() >= m_options.maxUnknownCancels)
        return false;
    m_unknownCancelled[id] = {.partition = partitionOf(id, m_options.partitions), .evictAt = evictAt};
    m_unknownCancelledOrder.push_back(id);
    for (auto &[run, orphan] : m_orphans) {
        if (run.task.job == id)
            orphan.stopAt = now;
    }
    return true;
}

void JobScheduler::evictUnknownCancels(Millis now)
{
    // A job that was cancelled again moves to the end, so that it does not keep the others from eviction.
    for (size_t left = m_unknownCancelledOrder.size(); left > 0; --left) {
        const JobId id = m_unknownCancelledOrder.front();
        const auto oldest = m_unknownCancelled.find(id);
        const bool isRenewed = std::exchange(oldest->second.isRenewed, false);
        if (oldest->second.evictAt > now && !isRenewed)
            return;
        m_unknownCancelledOrder.pop_front();
        if (oldest->second.evictAt > now)
            m_unknownCancelledOrder.push_back(id);
        else
            m_unknownCancelled.erase(oldest);
    }
}

} // namespace turmericwell
