// Life of a submission from its first arrival to the end of its deduplication window.
#include "submission/submissiontable.h"

#include <algorithm>
#include <cassert>

namespace turmericwell {

SubmissionTable::SubmissionTable(SubmissionTableOptions options)
    : m_options(options)
{ }

SubmissionTable::Shard &SubmissionTable::shardOf(const Fingerprint &key)
{
    return m_shards[key.high % m_shards.size()];
}

const SubmissionTable::Shard &SubmissionTable::shardOf(const Fingerprint &key) const
{
    return m_shards[key.high % m_shards.size()];
}

static TaskStart makeStart(const Fingerprint &key, const SubmissionRequest &request,
                           const CallDeclaration &call, uint32_t index, uint32_t attempt)
{
    return {.task = {.submission = key, .index = index, .attempt = attempt},
            .taskCount = static_cast<uint32_t>(request.tasks.size()),
            .bodyHash = request.bodyHash,
            .service = request.service,
            .call = request.call,
            .team = request.team,
            .payload = request.tasks[index],
            .budget = {},
            .runMs = request.runMs != 0 ? request.runMs : call.runMs,
            .repeatable = call.repeatable};
}

EnqueueTasks SubmissionTable::startTasks(const Fingerprint &key, Submission &submission)
{
    EnqueueTasks result{.needs = submission.request.needs, .deadline = submission.deadline};
    result.tasks.reserve(submission.states.size());
    for (uint32_t i = 0; i < submission.states.size(); ++i)
        result.tasks.push_back(makeStart(key, submission.request, submission.call, i, 0));
    return result;
}

SubmissionActions SubmissionTable::submit(const SubmissionRequest &request, const CallDeclaration &call,
                                          WaiterId waiter, Millis now)
{
    Shard &shard = shardOf(request.key);
    const std::lock_guard lock(shard.mutex);
    const auto [found, isNew] = shard.submissions.try_emplace(request.key);
    Submission &submission = found->second;
    if (!isNew) {
        if (submission.bodyHash != request.bodyHash) {
            return {AnswerWaiter{.waiter = waiter,
                                 .key = request.key,
                                 .answer = {.outcome = Outcome::NotRun,
                                            .reason = std::string(reason::conflict),
                                            .status = 409}}};
        }
        if (submission.answered)
            return {AnswerWaiter{.waiter = waiter, .key = request.key, .answer = submission.answer}};
        submission.waiters.push_back(waiter);
        return {};
    }
    submission.kind = request.kind;
    submission.bodyHash = request.bodyHash;
    submission.call = call;
    submission.states.assign(request.tasks.size(), TaskState::Pending);
    submission.attempts.assign(request.tasks.size(), 0);
    submission.starts.assign(request.tasks.size(), 0);
    submission.answers.resize(request.tasks.size());
    submission.request = request;
    submission.waiters.push_back(waiter);
    submission.deadline = now + request.budget;
    submission.firstSeen = now;
    ++shard.active;
    return {startTasks(request.key, submission)};
}

bool SubmissionTable::retry(const TaskResult &result, Submission &submission, Millis now,
                            SubmissionActions &actions)
{
    const uint32_t index = result.task.index;
    if (result.outcome != Outcome::NotRun)
        ++submission.starts[index];
    const bool mayStartAgain = result.outcome == Outcome::NotRun
        ? result.reason != reason::deadline && result.reason != reason::cancelled
        : submission.call.repeatable && submission.starts[index] < submission.call.maxStarts;
    if (!mayStartAgain || submission.closing || now >= submission.deadline)
        return false;
    ++submission.attempts[index];
    EnqueueTasks again{.needs = submission.request.needs, .deadline = submission.deadline};
    again.tasks.push_back(makeStart(result.task.submission, submission.request, submission.call, index,
                                    submission.attempts[index]));
    actions.emplace_back(std::move(again));
    return true;
}

static bool isWorse(Outcome candidate, Outcome current)
{
    // An unknown task makes the whole submission unknown; a failed one outweighs one that did not run.
    const auto rank = [](Outcome outcome) {
        switch (outcome) {
        case Outcome::Complete:
            return 0;
        case Outcome::NotRun:
            return 1;
        case Outcome::Failed:
            return 2;
        case Outcome::Unknown:
            break;
        }
        return 3;
    };
    return rank(candidate) > rank(current);
}

SubmissionActions SubmissionTable::taskEnded(const TaskResult &result, Millis now)
{
    SubmissionActions actions;
    Shard &shard = shardOf(result.task.submission);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.submissions.find(result.task.submission);
    if (found == shard.submissions.end())
        return actions;
    Submission &submission = found->second;
    const uint32_t index = result.task.index;
    // Late, duplicated and crossed results do not match the attempt that is awaited.
    if (submission.answered || index >= submission.states.size()
        || submission.states[index] == TaskState::Ended || submission.attempts[index] != result.task.attempt)
        return actions;
    if (result.outcome != Outcome::Complete && retry(result, submission, now, actions))
        return actions;
    submission.states[index] = TaskState::Ended;
    ++submission.ended;
    submission.answers[index] = result.answer;
    if (result.outcome != Outcome::NotRun)
        ++submission.ran;
    if (isWorse(result.outcome, submission.worst)) {
        submission.worst = result.outcome;
        submission.reason = result.reason;
    }
    if (submission.worst != Outcome::Complete)
        closeRemaining(result.task.submission, submission, actions);
    if (submission.ended == submission.states.size())
        finish(shard, result.task.submission, submission, actions);
    return actions;
}

// Once one task cannot complete, the answer cannot be complete: the rest need not run.
void SubmissionTable::closeRemaining(const Fingerprint &key, Submission &submission,
                                     SubmissionActions &actions)
{
    if (submission.closing)
        return;
    submission.closing = true;
    for (uint32_t i = 0; i < submission.states.size(); ++i) {
        if (submission.states[i] == TaskState::Pending)
            actions.emplace_back(
                CancelTask{.task = {.submission = key, .index = i, .attempt = submission.attempts[i]}});
    }
}

static int statusOf(Outcome outcome, std::string_view why)
{
    if (outcome == Outcome::Complete)
        return 200;
    if (outcome == Outcome::Failed)
        return 502;
    if (outcome == Outcome::Unknown || why == reason::deadline)
        return 504;
    return 503;
}

void SubmissionTable::finish(Shard &shard, const Fingerprint &key, Submission &submission,
                             SubmissionActions &actions)
{
    assert(!submission.answered);
    const auto tasks = static_cast<uint32_t>(submission.states.size());
    Outcome outcome = submission.worst;
    // A job of which some tasks ran was run; it may not be reported as not run.
    if (outcome == Outcome::NotRun && submission.ran > 0)
        outcome = Outcome::Failed;
    submission.answered = true;
    submission.answer = {.outcome = outcome,
                         .reason = submission.reason,
                         .status = statusOf(outcome, submission.reason),
                         .tasks = tasks,
                         .finished = submission.ran};
    if (outcome == Outcome::Complete)
        submission.answer.answers = std::move(submission.answers);
    submission.answers.clear();
    submission.request.tasks.clear();
    for (const WaiterId waiter : submission.waiters)
        actions.emplace_back(AnswerWaiter{.waiter = waiter, .key = key, .answer = submission.answer});
    submission.waiters.clear();
    --shard.active;
}

SubmissionActions SubmissionTable::cancel(const Fingerprint &key, Millis)
{
    SubmissionActions actions;
    Shard &shard = shardOf(key);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.submissions.find(key);
    if (found == shard.submissions.end() || found->second.answered)
        return actions;
    Submission &submission = found->second;
    if (submission.worst == Outcome::Complete) {
        submission.worst = Outcome::NotRun;
        submission.reason = reason::cancelled;
    }
    closeRemaining(key, submission, actions);
    return actions;
}

SubmissionActions SubmissionTable::tick(Millis now)
{
    SubmissionActions actions;
    for (Shard &shard : m_shards) {
        const std::lock_guard lock(shard.mutex);
        for (auto it = shard.submissions.begin(); it != shard.submissions.end();) {
            Submission &submission = it->second;
            if (!submission.answered && !submission.closing && now >= submission.deadline) {
                if (submission.worst == Outcome::Complete) {
                    submission.worst = Outcome::NotRun;
                    submission.reason = reason::deadline;
                }
                closeRemaining(it->first, submission, actions);
            }
            if (submission.answered && now - submission.firstSeen > m_options.dedupWindow)
                it = shard.submissions.erase(it);
            else
                ++it;
        }
    }
    return actions;
}

std::optional<Answer> SubmissionTable::lookup(const Fingerprint &key) const
{
    const Shard &shard = shardOf(key);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.submissions.find(key);
    if (found == shard.submissions.end())
        return std::nullopt;
    const Submission &submission = found->second;
    if (submission.answered)
        return submission.answer;
    return Answer{.status = 202,
                  .tasks = static_cast<uint32_t>(submission.states.size()),
                  .finished = submission.ended,
                  .running = true};
}

void SubmissionTable::dropWaiter(const Fingerprint &key, WaiterId waiter)
{
    Shard &shard = shardOf(key);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.submissions.find(key);
    if (found != shard.submissions.end())
        std::erase(found->second.waiters, waiter);
}

std::vector<SubmissionRecord> SubmissionTable::records() const
{
    std::vector<SubmissionRecord> result;
    for (const Shard &shard : m_shards) {
        const std::lock_guard lock(shard.mutex);
        for (const auto &[key, submission] : shard.submissions) {
            result.push_back({.key = key,
                              .bodyHash = submission.bodyHash,
                              .kind = submission.kind,
                              .answered = submission.answered,
                              .answer = submission.answer,
                              .firstSeen = submission.firstSeen});
        }
    }
    return result;
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

} // namespace turmericwell
