// Client calls: performed locally if this entry owns the job's partition, otherwise forwarded to the owner.
//
// A call is retried until its wait time is over. A submission with an unanswered attempt may have been
// accepted, so its final answer is never a rejection.
#include "fleet/entrynode.h"

#include <algorithm>

namespace turmericwell {

constexpr Millis retryDelay = {25};
// Time reserved for delivering the answer to the client.
constexpr Millis answerMargin = {60};
constexpr Millis leastRetryAfter = {1'000};
// One check serves all calls, and no timer outlives its call by more than this: clients choose their waits.
constexpr Millis expiryCheckInterval = {1'000};
// Longer than ordinary clients wait for a best-effort job.
constexpr Millis leastDisplacedAge = {5'000};
constexpr std::string_view noAnswerInTime = "no answer from the owner in time";

uint64_t EntryNode::call(JobCall call, JobReplyHandler onDone)
{
    const Millis wait = std::max(call.wait - answerMargin, Millis{10});
    const size_t weight = call.spec ? call.spec->steps.size() : 0;
    const Millis now = Clock::now();
    // Nothing has been done for this call yet, so the rejection is true.
    if (!hasRoomForCall(weight) && !(displaceCall(now) && hasRoomForCall(weight))) {
        inputRejected("open_calls");
        onDone({.status = call.kind == fleet::CallKind::Submit ? fleet::CallStatus::Refused
                                                               : fleet::CallStatus::NotReady,
                .retryAfter = leastRetryAfter,
                .reason = "too many calls are open"});
        return 0;
    }
    const uint64_t id = m_nextCall++;
    // A submission without a known owner is rejected once its job could no longer meet its deadline.
    const Millis ownerWait =
        call.kind == fleet::CallKind::Submit ? std::min(wait, declaredSlack(*call.spec)) : wait;
    m_calls[id] = {.call = std::move(call),
                   .openedAt = now,
                   .deadline = now + wait,
                   .ownerDeadline = now + ownerWait,
                   .onDone = std::move(onDone),
                   .weight = weight};
    m_callWeight += weight;
    m_callDeadlines.emplace(now + wait, id);
    scheduleExpiry(now);
    route(id);
    return id;
}

// A call holds its steps, not its tasks.
bool EntryNode::hasRoomForCall(size_t weight) const
{
    return m_calls.size() < m_settings.input.maxOpenCalls
        && m_callWeight + weight <= std::max<size_t>(m_settings.input.maxHeldTasks, weight);
}

// Load pattern: as many submissions of best-effort jobs as may be open, all of which wait for hours. Their
// clients may submit the jobs again.
bool EntryNode::displaceCall(Millis now)
{
    // The calls are in the order of their arrival.
    for (const auto &[id, pending] : m_calls) {
        if (now - pending.openedAt < leastDisplacedAge)
            return false;
        if (!pending.call.spec || !pending.call.spec->best_effort)
            continue;
        inputRejected("displaced_calls");
        abandon(id, "the entry has too many open calls");
        return true;
    }
    return false;
}

void EntryNode::clientLeft(uint64_t id)
{
    if (m_calls.contains(id))
        abandon(id, "the client has left");
}

void EntryNode::abandon(uint64_t id, std::string_view cause)
{
    const PendingCall &pending = m_calls.at(id);
    const JobId job = pending.call.job;
    if (pending.inProgress && pending.forwardLink) {
        fleet::JobCallT message;
        message.call = CallNumber{.id = id, .attempt = pending.attempt}.packed();
        message.kind = fleet::CallKind::CallerLeft;
        message.job = job;
        pending.forwardLink->send(std::move(message));
    } else if (pending.inProgress) {
        m_scheduler.callerLeft(job, {.call = id}, Clock::now());
    }
    finish(id, {.status = fleet::CallStatus::Unknown, .reason = std::string(cause)});
}

void EntryNode::scheduleExpiry(Millis now)
{
    if (m_callDeadlines.empty())
        return;
    const Millis at = std::min(m_callDeadlines.begin()->first, now + expiryCheckInterval);
    if (m_expiryAt && *m_expiryAt <= at)
        return;
    m_expiryAt = at;
    m_timers.after(at - now, [this, at] {
        if (m_expiryAt != at)
            return;
        m_expiryAt.reset();
        expireDue();
    });
}

void EntryNode::expireDue()
{
    const Millis now = Clock::now();
    while (!m_callDeadlines.empty() && m_callDeadlines.begin()->first <= now)
        expire(m_callDeadlines.begin()->second, noAnswerInTime);
    scheduleExpiry(now);
}

std::string EntryNode::ownerName(uint32_t partition) const
{
    uint64_t bestEpoch = 0;
    std::string owner;
    for (const auto &[name, peer] : m_peers) {
        for (const auto &owned : peer.report.partitions) {
            if (owned->partition == partition && owned->ready && owned->epoch >= bestEpoch) {
                bestEpoch = owned->epoch;
                owner = name;
            }
        }
    }
    return owner;
}

NodeLinkPtr EntryNode::ownerLink(uint32_t partition) const
{
    const auto peer = m_peers.find(ownerName(partition));
    return peer == m_peers.end() ? nullptr : peer->second.link;
}

JobExplanationAnswer EntryNode::explain(const JobSpec &spec) const
{
    JobExplanationAnswer answer{.partition = partitionOf(spec.id, m_settings.partitions)};
    if (m_scheduler.isServing(answer.partition)) {
        answer.owner = m_self.name;
        answer.ownerAddress = m_settings.peerAddress;
        answer.explanation = m_scheduler.explain(spec, Clock::now());
        return answer;
    }
    answer.owner = ownerName(answer.partition);
    if (const auto contact = m_contacts.find(answer.owner); contact != m_contacts.end())
        answer.ownerAddress = contact->second.member.address;
    return answer;
}

void EntryNode::perform(JobCall &call, const CallOptions &options, JobReplyHandler onDone)
{
    const Millis now = Clock::now();
    checkOwnership(now);
    switch (call.kind) {
    case fleet::CallKind::Submit:
        m_scheduler.submit(JobSpec(*call.spec), options, now, std::move(onDone));
        return;
    case fleet::CallKind::Cancel:
        m_scheduler.cancel(call.job, options, now, std::move(onDone));
        return;
    case fleet::CallKind::Query:
        onDone(m_scheduler.query(call.job));
        return;
    case fleet::CallKind::CallerLeft:
        m_scheduler.callerLeft(call.job, options.caller, now);
        return;
    }
}

void EntryNode::route(uint64_t id)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end())
        return;
    PendingCall &pending = found->second;
    const uint64_t attempt = ++pending.attempt;
    const uint32_t partition = partitionOf(pending.call.job, m_settings.partitions);
    if (m_scheduler.isServing(partition)) {
        pending.inProgress = true;
        perform(pending.call, {.wait = pending.call.wait, .zone = m_settings.zone, .caller = {.call = id}},
                [this, id, attempt](JobReply reply) { answered(id, attempt, std::move(reply)); });
        advanceSoon();
        return;
    }
    const NodeLinkPtr link = ownerLink(partition);
    if (!link) {
        if (!pending.uncertain && Clock::now() >= pending.ownerDeadline) {
            finish(id,
                   {.status = fleet::CallStatus::NotReady,
                    .retryAfter = leastRetryAfter,
                    .reason = "the owner is not known"});
            return;
        }
        m_timers.after(retryDelay, [this, id] { route(id); });
        return;
    }
    pending.forwardLink = link;
    pending.inProgress = true;
    fleet::JobCallT message;
    message.call = CallNumber{.id = id, .attempt = attempt}.packed();
    message.kind = pending.call.kind;
    message.job = pending.call.job;
    if (pending.call.spec)
        message.spec = std::make_unique<JobSpec>(*pending.call.spec);
    message.wait_ms = (pending.deadline - Clock::now()).count;
    message.repeated = pending.uncertain;
    link->send(std::move(message));
}

void EntryNode::answered(uint64_t id, uint64_t attempt, JobReply reply)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end() || found->second.attempt != attempt)
        return;
    PendingCall &pending = found->second;
    pending.forwardLink.reset();
    pending.inProgress = false;
    const bool tryAgain =
        reply.status == fleet::CallStatus::NotReady || reply.status == fleet::CallStatus::Unknown;
    if (tryAgain) {
        pending.uncertain = pending.uncertain || reply.status == fleet::CallStatus::Unknown;
        m_timers.after(retryDelay, [this, id] { route(id); });
        return;
    }
    const bool isBestEffort = pending.call.spec && pending.call.spec->best_effort;
    const bool namesEnd = reply.phase == JobPhase::Completed || reply.phase == JobPhase::Failed;
    if (isBestEffort && reply.status == fleet::CallStatus::Done && !namesEnd) {
        // Owners of an earlier version may answer so; the client could not read the answer.
        m_log.always(Clock::now(), "answer_without_end",
                     {{"job", jobIdText(pending.call.job)}, {"phase", fleet::EnumNameJobPhase(reply.phase)}});
        reply = {.status = fleet::CallStatus::Unknown,
                 .reason = "the owner's answer names no end of the job"};
    }
    // A rejection of this attempt does not show that an earlier, unanswered attempt was rejected.
    if (reply.status == fleet::CallStatus::Refused && pending.uncertain)
        reply.status = fleet::CallStatus::Unknown;
    finish(id, reply);
}

void EntryNode::expire(uint64_t id, std::string_view cause)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end())
        return;
    const PendingCall &pending = found->second;
    const bool mayBeDone = pending.uncertain || pending.inProgress;
    finish(id,
           {.status = mayBeDone ? fleet::CallStatus::Unknown : fleet::CallStatus::NotReady,
            .retryAfter = leastRetryAfter,
            .reason = mayBeDone ? std::string(cause) : "the owner is not known"});
}

void EntryNode::expireAll()
{
    std::vector<uint64_t> open;
    for (const auto &[id, pending] : m_calls)
        open.push_back(id);
    for (const uint64_t id : open)
        expire(id, "the entry is stopping");
}

void EntryNode::finish(uint64_t id, const JobReply &reply)
{
    const auto found = m_calls.find(id);
    const JobReplyHandler onDone = std::move(found->second.onDone);
    if (reply.status != fleet::CallStatus::Done && reply.status != fleet::CallStatus::NotKnown) {
        m_log.write(Clock::now(), "call_not_served",
                    {{"job", jobIdText(found->second.call.job)},
                     {"call", fleet::EnumNameCallKind(found->second.call.kind)},
                     {"status", fleet::EnumNameCallStatus(reply.status)},
                     {"reason", reply.reason},
                     {"retry_after_ms", reply.retryAfter}});
    }
    const bool isCancelled = found->second.call.kind == fleet::CallKind::Cancel
        && (reply.status == fleet::CallStatus::Done || reply.status == fleet::CallStatus::NotKnown);
    const JobId job = found->second.call.job;
    m_callWeight -= found->second.weight;
    m_callDeadlines.erase({found->second.deadline, id});
    m_calls.erase(found);
    onDone(reply);
    if (isCancelled)
        endCancelledSubmissions(job);
}

void EntryNode::endCancelledSubmissions(JobId job)
{
    std::vector<uint64_t> submissions;
    for (const auto &[id, pending] : m_calls) {
        const bool isBestEffort = pending.call.spec && pending.call.spec->best_effort;
        if (pending.call.job == job && pending.call.kind == fleet::CallKind::Submit && isBestEffort)
            submissions.push_back(id);
    }
    for (const uint64_t id : submissions)
        finish(id, {.status = fleet::CallStatus::NotKnown, .reason = "the job was cancelled"});
}

void EntryNode::performForPeer(const NodeLinkPtr &link, fleet::JobCallT &message)
{
    if (message.kind == fleet::CallKind::Submit && (!message.spec || message.spec->id != message.job)) {
        m_log.always(Clock::now(), "call_unreadable", {{"peer", link->peer().node}});
        return;
    }
    JobCall call{
        .kind = message.kind, .job = message.job, .spec = std::move(message.spec), .wait = {message.wait_ms}};
    const CallOptions options{
        .wait = call.wait,
        .zone = link->peer().zone,
        .caller = {.entry = link->peer().node, .call = CallNumber::unpack(message.call).id}};
    perform(call, options, [weak = std::weak_ptr(link), number = message.call](const JobReply &reply) {
        const NodeLinkPtr peer = weak.lock();
        if (!peer)
            return;
        fleet::JobAnswerT answer;
        answer.call = number;
        answer.status = reply.status;
        answer.phase = reply.phase;
        answer.running = reply.running;
        answer.retry_after_ms = reply.retryAfter.count;
        answer.reason = reply.reason;
        peer->send(std::move(answer));
    });
    advanceSoon();
}

uint32_t EntryNode::pendingCount(const std::string &queue) const
{
    uint32_t count = 0;
    const std::map<std::string, uint32_t> own = m_scheduler.pendingByQueue();
    if (const auto found = own.find(queue); found != own.end())
        count += found->second;
    for (const auto &[name, peer] : m_peers) {
        for (const auto &item : peer.report.pending) {
            if (item->queue == queue)
                count += item->count;
        }
    }
    return count;
}

} // namespace turmericwell
