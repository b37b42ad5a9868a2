// Lifecycle of a submission from its first arrival to the end of its deduplication window.
#include "submission/submissiontable.h"

#include "submission/keytime.h"

#include <algorithm>
#include <cassert>

namespace turmericwell {

SubmissionTable::SubmissionTable(SubmissionTableOptions options)
    : m_options(std::move(options))
{
    for (Shard &shard : m_shards)
        shard.tombstones = Tombstones(m_options.tombstoneCapacity / m_shards.size() + 1);
}

static Answer rejection(Outcome outcome, std::string_view why, int status, Millis retryAfter = {})
{
    return {.outcome = outcome, .reason = std::string(why), .status = status, .retryAfter = retryAfter};
}

static TaskStart makeStart(const Fingerprint &key, const Submission &submission, uint32_t index)
{
    const SubmissionRequest &request = submission.request;
    return {.task = {.submission = key, .index = index, .attempt = submission.tasks[index].attempt},
            .taskCount = static_cast<uint32_t>(request.tasks.size()),
            .bodyHash = request.bodyHash,
            .service = request.service,
            .call = request.call,
            .team = request.team,
            .payload = request.tasks[index],
            .budget = {},
            .runMs = request.runMs != 0 ? request.runMs : submission.call.runMs,
            .repeatable = submission.call.repeatable};
}

// --- submit ---

void SubmissionTable::setIncompleteTakeover(const IncompleteTakeover &takeover)
{
    const std::lock_guard lock(m_takeoverMutex);
    m_takeovers.push_back(takeover);
}

bool SubmissionTable::isAfterIncompleteTakeover(const Fingerprint &key, std::optional<Millis> keyTime,
                                                Millis now) const
{
    const std::lock_guard lock(m_takeoverMutex);
    return std::any_of(m_takeovers.begin(), m_takeovers.end(), [&](const IncompleteTakeover &takeover) {
        // The clock of a caller may be ahead: a key counts as created after the takeover only if its time
        // exceeds that of the takeover by more than the skew.
        const bool isCreatedLater = keyTime && *keyTime > takeover.at + m_options.keyClockSkew;
        return now < takeover.until && !isCreatedLater && (!takeover.affects || takeover.affects(key));
    });
}

std::optional<Answer> SubmissionTable::rejectNewKey(const Shard &shard, const SubmissionRequest &request,
                                                    const CallDeclaration &call,
                                                    std::optional<Millis> keyTime, Millis now) const
{
    constexpr Millis fullRetryAfter = {10'000};
    const Millis wall = now + Millis{m_wallOffset};
    if ((keyTime && wall - *keyTime > m_options.dedupWindow) || shard.tombstones.contains(request.key))
        return rejection(Outcome::Unknown, reason::windowPassed, 410);
    if (!call.repeatable && isAfterIncompleteTakeover(request.key, keyTime, now))
        return rejection(Outcome::Unknown, reason::incompleteTakeover, 503);
    if (shard.submissions.size() >= m_options.maxRecords / m_shards.size() + 1)
        return rejection(Outcome::NotRun, reason::queueFull, 429, fullRetryAfter);
    return std::nullopt;
}

SubmissionActions SubmissionTable::attach(const SubmissionRequest &request, Submission &submission,
                                          WaiterId waiter, Millis now)
{
    if (submission.bodyHash != 0 && submission.bodyHash != request.bodyHash)
        return {AnswerWaiter{.waiter = waiter,
                             .key = request.key,
                             .answer = rejection(Outcome::NotRun, reason::conflict, 409)}};
    if (submission.phase == SubmissionPhase::Answered)
        return {AnswerWaiter{.waiter = waiter, .key = request.key, .answer = submission.answer}};
    submission.waiters.push_back(waiter);
    if (submission.phase != SubmissionPhase::Held)
        return {};
    submission.deadline = std::max(submission.deadline, now + request.budget);
    return {AskHolder{.holder = submission.holder, .key = request.key}};
}

SubmissionActions SubmissionTable::submit(const SubmissionRequest &request, const CallDeclaration &call,
                                          WaiterId waiter, Millis now, const Admit &admit)
{
    std::optional<Millis> keyTime = creationTimeOfKey(request.keyText);
    // A time in the future cannot be a creation time, so the key is treated as one without a time.
    if (keyTime && *keyTime > now + Millis{m_wallOffset} + m_options.keyClockSkew)
        keyTime.reset();
    Shard &shard = shardOf(request.key);
    const std::lock_guard lock(shard.mutex);
    removeIfExpired(shard, request.key, now);
    const auto known = shard.submissions.find(request.key);
    if (known != shard.submissions.end())
        return attach(request, known->second, waiter, now);
    std::optional<Answer> rejected = rejectNewKey(shard, request, call, keyTime, now);
    if (!rejected && admit)
        rejected = admit();
    if (rejected)
        return {AnswerWaiter{.waiter = waiter, .key = request.key, .answer = *rejected}};
    Submission &submission = shard.submissions[request.key];
    submission = {.kind = request.kind,
                  .bodyHash = request.bodyHash,
                  .firstSeen = now,
                  .timedKey = keyTime.has_value(),
                  .tasks = std::vector<TaskProgress>(request.tasks.size()),
                  .request = request,
                  .call = call,
                  .deadline = now + request.budget,
                  .waiters = {waiter}};
    ++shard.active;
    shard.wakeups.push({.at = submission.deadline, .key = request.key});
    EnqueueTasks start{.needs = request.needs, .deadline = submission.deadline};
    start.tasks.reserve(request.tasks.size());
    for (uint32_t i = 0; i < request.tasks.size(); ++i)
        start.tasks.push_back(makeStart(request.key, submission, i));
    return {std::move(start)};
}

// --- results ---

bool SubmissionTable::retry(const TaskResult &result, Submission &submission, Millis now,
                            SubmissionActions &actions) const
{
    if (submission.phase != SubmissionPhase::Active || submission.closing || now >= submission.deadline)
        return false;
    TaskProgress &task = submission.tasks[result.task.index];
    EnqueueTasks again{.needs = submission.request.needs, .deadline = submission.deadline};
    if (result.outcome == Outcome::NotRun) {
        if (result.reason == reason::deadline || result.reason == reason::cancelled)
            return false;
        ++task.rejections;
        again.notBefore = now + rejectionBackoff(task.rejections);
    } else {
        if (!submission.call.repeatable || task.starts >= submission.call.maxStarts
            || (m_options.mayRetry && !m_options.mayRetry()))
            return false;
    }
    ++task.attempt;
    again.tasks.push_back(makeStart(result.task.submission, submission, result.task.index));
    actions.emplace_back(std::move(again));
    return true;
}

// A rejection does not undo an earlier start: the outcome of that start remains.
void SubmissionTable::endTask(const TaskResult &result, TaskProgress &task)
{
    if (result.outcome == Outcome::NotRun && task.starts > 0)
        return;
    task.outcome = result.outcome;
    task.reason = result.reason;
    task.answer = result.answer;
}

SubmissionActions SubmissionTable::taskEnded(const TaskResult &result, Millis now)
{
    SubmissionActions actions;
    const Fingerprint &key = result.task.submission;
    Shard &shard = shardOf(key);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.submissions.find(key);
    if (found == shard.submissions.end() || result.task.index >= found->second.tasks.size())
        return actions;
    Submission &submission = found->second;
    TaskProgress &task = submission.tasks[result.task.index];
    // Late, duplicate and out-of-order results do not match the current attempt.
    if (task.attempt != result.task.attempt)
        return actions;
    if (submission.phase == SubmissionPhase::Answered)
        return applyLateResult(shard, result, submission);
    if (task.ended)
        return actions;
    if (result.outcome != Outcome::NotRun)
        ++task.starts;
    endTask(result, task);
    if (result.outcome != Outcome::Complete && retry(result, submission, now, actions))
        return actions;
    task.ended = true;
    ++submission.ended;
    if (submission.phase == SubmissionPhase::Active && task.outcome != Outcome::Complete)
        close(key, submission, "", actions);
    if (submission.ended == submission.tasks.size())
        finish(shard, key, submission, makeAnswer(submission), actions);
    return actions;
}

// A result that arrives after the answer `unknown` determines the answer to later resubmissions.
SubmissionActions SubmissionTable::applyLateResult(Shard &shard, const TaskResult &result,
                                                   Submission &submission)
{
    TaskProgress &task = submission.tasks[result.task.index];
    if (submission.answer.outcome != Outcome::Unknown || result.outcome == Outcome::Unknown)
        return {};
    // The attempt was counted as started when its outcome was unknown; its rejection proves that it was not.
    if (result.outcome == Outcome::NotRun && task.starts > 0)
        --task.starts;
    endTask(result, task);
    SubmissionActions none;
    finish(shard, result.task.submission, submission, makeAnswer(submission), none);
    return none;
}

// Once one task cannot complete, the answer cannot be complete, so the remaining tasks need not run.
void SubmissionTable::close(const Fingerprint &key, Submission &submission, std::string_view why,
                            SubmissionActions &actions)
{
    if (submission.closing)
        return;
    submission.closing = true;
    submission.closeReason = why;
    for (uint32_t i = 0; i < submission.tasks.size(); ++i) {
        const TaskProgress &task = submission.tasks[i];
        if (!task.ended)
            actions.emplace_back(
                CancelTask{.task = {.submission = key, .index = i, .attempt = task.attempt}});
    }
}

void SubmissionTable::finish(Shard &shard, const Fingerprint &key, Submission &submission,
                             const Answer &answer, SubmissionActions &actions)
{
    assert(answer.outcome != Outcome::Complete || answer.answers.size() == answer.tasks);
    if (submission.phase == SubmissionPhase::Active)
        --shard.active;
    submission.phase = SubmissionPhase::Answered;
    submission.answer = answer;
    submission.request = {};
    submission.holder = {};
    if (answer.outcome != Outcome::Unknown)
        std::vector<TaskProgress>().swap(submission.tasks);
    for (const WaiterId waiter : submission.waiters)
        actions.emplace_back(AnswerWaiter{.waiter = waiter, .key = key, .answer = answer});
    std::vector<WaiterId>().swap(submission.waiters);
    recordAnswer(shard, key, answer);
}

// --- memory ---

static uint64_t bytesOf(const Answer &answer)
{
    uint64_t total = answer.answers.size() * sizeof(std::string);
    for (const std::string &text : answer.answers)
        total += text.size();
    return total;
}

void SubmissionTable::recordAnswer(Shard &shard, const Fingerprint &key, const Answer &answer)
{
    const uint64_t bytes = bytesOf(answer);
    if (bytes == 0)
        return;
    shard.answerBytes += bytes;
    shard.answerOrder.push_back(key);
    while (shard.answerBytes > m_options.answerBytes / m_shards.size() && shard.answerOrder.size() > 1) {
        const auto oldest = shard.submissions.find(shard.answerOrder.front());
        shard.answerOrder.pop_front();
        if (oldest == shard.submissions.end() || oldest->second.answer.answers.empty())
            continue;
        shard.answerBytes -= bytesOf(oldest->second.answer);
        ++shard.answersDropped;
        // The submission has completed, but its whole answer is no longer available, and it must not run
        // again.
        oldest->second.answer = rejection(Outcome::Unknown, reason::answerDropped, 410);
    }
}

bool SubmissionTable::removeIfExpired(Shard &shard, const Fingerprint &key, Millis now)
{
    const auto found = shard.submissions.find(key);
    if (found == shard.submissions.end())
        return true;
    const Submission &submission = found->second;
    if (submission.phase != SubmissionPhase::Answered || now - submission.firstSeen <= retention())
        return false;
    shard.answerBytes -= bytesOf(submission.answer);
    if (!submission.timedKey)
        shard.tombstones.add(key);
    shard.submissions.erase(found);
    while (!shard.answerOrder.empty() && !shard.submissions.contains(shard.answerOrder.front()))
        shard.answerOrder.pop_front();
    return true;
}

// --- cancellation and time ---

SubmissionActions SubmissionTable::cancel(const Fingerprint &key, Millis)
{
    SubmissionActions actions;
    Shard &shard = shardOf(key);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.submissions.find(key);
    if (found != shard.submissions.end() && found->second.phase == SubmissionPhase::Active)
        close(key, found->second, reason::cancelled, actions);
    return actions;
}

void SubmissionTable::handleWakeup(Shard &shard, const Fingerprint &key, Submission &submission, Millis now,
                                   SubmissionActions &actions)
{
    constexpr Millis recheck = {1'000};
    constexpr Millis holderPoll = {500};
    Millis next = now + recheck;
    switch (submission.phase) {
    case SubmissionPhase::Active:
        if (now >= submission.deadline)
            close(key, submission, reason::deadline, actions);
        break;
    case SubmissionPhase::Held:
        if (!submission.holder.name.empty())
            actions.emplace_back(AskHolder{.holder = submission.holder, .key = key});
        if (now >= submission.deadline) {
            for (const WaiterId waiter : submission.waiters)
                actions.emplace_back(
                    AnswerWaiter{.waiter = waiter,
                                 .key = key,
                                 .answer = rejection(Outcome::Unknown, reason::ownerUnavailable, 504)});
            submission.waiters.clear();
        }
        next = now + (submission.waiters.empty() ? recheck : holderPoll);
        break;
    case SubmissionPhase::Imported:
        // The agent that ran the submission no longer reports, so its outcome cannot be proved.
        if (now >= submission.deadline)
            settle(shard, key, submission, false, actions);
        break;
    case SubmissionPhase::Answered:
        next = submission.firstSeen + retention() + Millis{1};
        break;
    }
    shard.wakeups.push({.at = next, .key = key});
}

SubmissionActions SubmissionTable::tick(Millis now)
{
    {
        const std::lock_guard lock(m_takeoverMutex);
        std::erase_if(m_takeovers, [&](const IncompleteTakeover &takeover) { return now >= takeover.until; });
    }
    SubmissionActions actions;
    for (Shard &shard : m_shards) {
        const std::lock_guard lock(shard.mutex);
        while (!shard.wakeups.empty() && shard.wakeups.top().at <= now) {
            const Fingerprint key = shard.wakeups.top().key;
            shard.wakeups.pop();
            if (!removeIfExpired(shard, key, now))
                handleWakeup(shard, key, shard.submissions.at(key), now, actions);
        }
    }
    return actions;
}

// --- queries ---

std::optional<Answer> SubmissionTable::lookup(const Fingerprint &key) const
{
    const Shard &shard = shardOf(key);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.submissions.find(key);
    if (found == shard.submissions.end()) {
        if (shard.tombstones.contains(key))
            return rejection(Outcome::Unknown, reason::windowPassed, 410);
        return std::nullopt;
    }
    const Submission &submission = found->second;
    if (submission.phase == SubmissionPhase::Answered)
        return submission.answer;
    return Answer{.status = 202,
                  .tasks = static_cast<uint32_t>(submission.tasks.size()),
                  .finished = submission.ended,
                  .running = true};
}

bool SubmissionTable::contains(const Fingerprint &key) const
{
    const Shard &shard = shardOf(key);
    const std::lock_guard lock(shard.mutex);
    return shard.submissions.contains(key);
}

void SubmissionTable::dropWaiter(const Fingerprint &key, WaiterId waiter)
{
    Shard &shard = shardOf(key);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.submissions.find(key);
    if (found != shard.submissions.end())
        std::erase(found->second.waiters, waiter);
}

size_t SubmissionTable::size() const
{
    size_t total = 0;
    for (const Shard &shard : m_shards) {
        const std::lock_guard lock(shard.mutex);
        total += shard.submissions.size();
    }
    return total;
}

size_t SubmissionTable::active() const
{
    size_t total = 0;
    for (const Shard &shard : m_shards) {
        const std::lock_guard lock(shard.mutex);
        total += shard.active;
    }
    return total;
}

SubmissionCounters SubmissionTable::counters() const
{
    SubmissionCounters total;
    for (const Shard &shard : m_shards) {
        const std::lock_guard lock(shard.mutex);
        total.tombstones += shard.tombstones.size();
        total.tombstonesDropped += shard.tombstones.dropped();
        total.answersDropped += shard.answersDropped;
        total.answerBytes += shard.answerBytes;
    }
    return total;
}

} // namespace turmericwell
