// Transfer of key records between entries, and import of agent records after the death of an entry.
#include "submission/submissiontable.h"

#include <algorithm>

namespace turmericwell {

// An imported submission that is not settled within this time is answered without further proof.
static constexpr Millis takeoverTimeout = {60'000};

// --- planned change of ownership ---

std::vector<KeyRecord> SubmissionTable::exportRecords(const KeyFilter &selects, const ProcessId &self,
                                                      Millis now) const
{
    std::vector<KeyRecord> records;
    for (const Shard &shard : m_shards) {
        const std::lock_guard lock(shard.mutex);
        for (const auto &[key, submission] : shard.submissions) {
            if (!selects(key))
                continue;
            const bool answered = submission.phase == SubmissionPhase::Answered;
            const bool isHeld = submission.phase == SubmissionPhase::Held;
            records.push_back({.key = key,
                               .kind = submission.kind,
                               .bodyHash = submission.bodyHash,
                               .age = now - submission.firstSeen,
                               .answered = answered,
                               .answer = answered ? submission.answer : Answer{},
                               .holder = answered ? ProcessId{} : (isHeld ? submission.holder : self)});
        }
    }
    return records;
}

std::vector<Fingerprint> SubmissionTable::exportTombstones(const KeyFilter &selects) const
{
    std::vector<Fingerprint> result;
    for (const Shard &shard : m_shards) {
        const std::lock_guard lock(shard.mutex);
        std::copy_if(shard.tombstones.keys().begin(), shard.tombstones.keys().end(),
                     std::back_inserter(result), selects);
    }
    return result;
}

SubmissionActions SubmissionTable::importRecords(std::span<const KeyRecord> records, Millis now)
{
    SubmissionActions actions;
    for (const KeyRecord &record : records) {
        SubmissionActions more = importOne(record, now);
        std::move(more.begin(), more.end(), std::back_inserter(actions));
    }
    return actions;
}

SubmissionActions SubmissionTable::importOne(const KeyRecord &record, Millis now)
{
    SubmissionActions actions;
    Shard &shard = shardOf(record.key);
    const std::lock_guard lock(shard.mutex);
    const auto [found, isNew] = shard.submissions.try_emplace(record.key);
    Submission &submission = found->second;
    if (isNew) {
        submission = {.phase = SubmissionPhase::Held,
                      .kind = record.kind,
                      .bodyHash = record.bodyHash,
                      .firstSeen = now - record.age,
                      .deadline = now,
                      .holder = record.holder};
        shard.wakeups.push({.at = now, .key = record.key});
    }
    if (submission.phase == SubmissionPhase::Held) {
        if (record.answered)
            finish(shard, record.key, submission, record.answer, actions);
        else
            submission.holder = record.holder;
    } else if (submission.phase == SubmissionPhase::Answered && record.answered
               && submission.answer.outcome == Outcome::Unknown) {
        finish(shard, record.key, submission, record.answer, actions);
    }
    return actions;
}

void SubmissionTable::importTombstones(std::span<const Fingerprint> keys)
{
    for (const Fingerprint &key : keys) {
        Shard &shard = shardOf(key);
        const std::lock_guard lock(shard.mutex);
        shard.tombstones.add(key);
    }
}

SubmissionActions SubmissionTable::holderAnswered(const Fingerprint &key, const Answer &answer, Millis)
{
    SubmissionActions actions;
    Shard &shard = shardOf(key);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.submissions.find(key);
    if (answer.running || found == shard.submissions.end() || found->second.phase != SubmissionPhase::Held)
        return actions;
    constexpr int unknownKey = 404;
    constexpr int notOwner = 421;
    // The holder no longer has a record of the submission, which may therefore have run.
    const Answer lost{.outcome = Outcome::Unknown, .reason = std::string(reason::entryLost), .status = 504};
    const bool isUnknownAtHolder = answer.status == unknownKey || answer.status == notOwner;
    finish(shard, key, found->second, isUnknownAtHolder ? lost : answer, actions);
    return actions;
}

void SubmissionTable::holderLost(const ProcessId &holder, Millis now)
{
    for (Shard &shard : m_shards) {
        const std::lock_guard lock(shard.mutex);
        for (auto &[key, submission] : shard.submissions) {
            if (submission.phase != SubmissionPhase::Held || submission.holder != holder)
                continue;
            submission.phase = SubmissionPhase::Imported;
            submission.holder = {};
            submission.deadline = now + takeoverTimeout;
        }
    }
}

// --- takeover of a dead entry ---

void SubmissionTable::importAgentRecords(std::span<const AgentRecord> records, Millis now)
{
    for (const AgentRecord &record : records)
        importOne(record, now);
}

void SubmissionTable::importOne(const AgentRecord &record, Millis now)
{
    // Bounds the size of submission.tasks, which a received record determines.
    constexpr uint32_t maxTasks = 1U << 20;
    const Fingerprint &key = record.task.submission;
    Shard &shard = shardOf(key);
    const std::lock_guard lock(shard.mutex);
    if (record.taskCount > maxTasks || record.task.index >= record.taskCount)
        return;
    const auto [found, isNew] = shard.submissions.try_emplace(key);
    Submission &submission = found->second;
    if (isNew) {
        submission = {.phase = SubmissionPhase::Imported,
                      .kind = record.taskCount > 1 ? SubmissionKind::Job : SubmissionKind::Request,
                      .bodyHash = record.bodyHash,
                      .firstSeen = now - record.age};
        shard.wakeups.push({.at = now + takeoverTimeout, .key = key});
    }
    // An agent that answers late may know the outcome that was lost; finishTakeover then settles the
    // submission again.
    if (submission.phase == SubmissionPhase::Answered && submission.answer.outcome == Outcome::Unknown
        && submission.answer.reason == reason::entryLost)
        submission.phase = SubmissionPhase::Imported;
    if (submission.phase != SubmissionPhase::Imported)
        return;
    submission.deadline = std::max(submission.deadline, now + takeoverTimeout);
    if (submission.tasks.empty()) {
        if (submission.bodyHash == 0)
            submission.bodyHash = record.bodyHash;
        if (record.taskCount > 1)
            submission.kind = SubmissionKind::Job;
        // The maximum value means that no attempt is known yet.
        submission.tasks.assign(record.taskCount, TaskProgress{.attempt = UINT32_MAX});
    }
    if (record.task.index >= submission.tasks.size())
        return;
    TaskProgress &task = submission.tasks[record.task.index];
    const bool isFirst = task.attempt == UINT32_MAX;
    const bool wasStarted = record.running || record.result.outcome != Outcome::NotRun;
    const bool isNewer = isFirst || record.task.attempt > task.attempt;
    // A complete attempt takes precedence over all others; otherwise a started attempt takes precedence over
    // a rejected one, and a newer one over an older one.
    if (task.ended && task.outcome == Outcome::Complete)
        return;
    const bool isDecisive = !record.running && record.result.outcome == Outcome::Complete;
    const bool knownStart = !isFirst && (!task.ended || task.outcome != Outcome::NotRun);
    if (!isFirst && !isDecisive && (wasStarted == knownStart ? !isNewer : knownStart))
        return;
    if (task.ended)
        --submission.ended;
    task = {.ended = !record.running, .attempt = record.task.attempt};
    if (!record.running) {
        ++submission.ended;
        endTask(record.result, task);
    }
}

void SubmissionTable::importClaims(std::span<const Fingerprint> keys, Millis now)
{
    for (const Fingerprint &key : keys) {
        Shard &shard = shardOf(key);
        const std::lock_guard lock(shard.mutex);
        const auto [found, isNew] = shard.submissions.try_emplace(key);
        if (!isNew)
            continue;
        found->second = {
            .phase = SubmissionPhase::Imported, .firstSeen = now, .deadline = now + takeoverTimeout};
        shard.wakeups.push({.at = found->second.deadline, .key = key});
    }
}

SubmissionActions SubmissionTable::finishTakeover(bool complete, const KeyFilter &selects)
{
    SubmissionActions actions;
    for (Shard &shard : m_shards) {
        const std::lock_guard lock(shard.mutex);
        for (auto &[key, submission] : shard.submissions) {
            if (submission.phase != SubmissionPhase::Imported || (selects && !selects(key)))
                continue;
            const bool isKnown = !submission.tasks.empty()
                && std::none_of(submission.tasks.begin(), submission.tasks.end(),
                                [](const TaskProgress &task) { return task.attempt == UINT32_MAX; });
            // If all tasks are known, those that still run are waited for.
            if (!isKnown || submission.ended == submission.tasks.size())
                settle(shard, key, submission, complete, actions);
        }
    }
    return actions;
}

void SubmissionTable::settle(Shard &shard, const Fingerprint &key, Submission &submission, bool complete,
                             SubmissionActions &actions)
{
    const bool allTasksEnded = !submission.tasks.empty() && submission.ended == submission.tasks.size();
    Answer answer = allTasksEnded ? makeAnswer(submission) : Answer{.outcome = Outcome::Unknown};
    answer.tasks = static_cast<uint32_t>(submission.tasks.size());
    const bool isJob = submission.kind == SubmissionKind::Job;
    if (answer.outcome != Outcome::Complete) {
        // If records are missing, a known rejection does not prove that no other attempt has started.
        const bool isRejected = allTasksEnded && complete && answer.outcome == Outcome::NotRun;
        if (isJob)
            answer.outcome = Outcome::Failed;
        else if (!isRejected && answer.outcome != Outcome::Failed)
            answer.outcome = Outcome::Unknown;
        if (isJob || answer.outcome != Outcome::Failed)
            answer.reason = reason::entryLost;
        answer.status = answer.outcome == Outcome::Failed ? 502 : 504;
    }
    finish(shard, key, submission, answer, actions);
}

} // namespace turmericwell
