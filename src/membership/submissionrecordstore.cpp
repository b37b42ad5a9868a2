// Merges the reports of agents into one answer per submission.
#include "membership/submissionrecordstore.h"

#include <algorithm>

namespace turmericwell {

SubmissionRecordStore::SubmissionRecordStore(Millis window)
    : m_window(window)
{ }

static Answer entryLostAnswer(Outcome outcome)
{
    return {.outcome = outcome,
            .reason = std::string(reason::entryLost),
            .status = outcome == Outcome::Failed ? 502 : 504};
}

void SubmissionRecordStore::add(const SubmissionRecord &record)
{
    Item &item = m_records[record.key];
    // A record with an answer is never replaced by one without.
    if (!item.record.answered || record.answered)
        item.record = record;
}

void SubmissionRecordStore::addClaim(const Fingerprint &key, Millis now)
{
    const auto [found, isNew] = m_records.try_emplace(key);
    if (isNew)
        found->second.record = {
            .key = key, .answered = true, .answer = entryLostAnswer(Outcome::Unknown), .firstSeen = now};
}

void SubmissionRecordStore::addStarted(const RecoveredTask &task, Millis now)
{
    const auto [found, isNew] = m_records.try_emplace(task.task.submission);
    Item &item = found->second;
    if (isNew || item.record.bodyHash == 0) {
        item.record.key = task.task.submission;
        item.record.bodyHash = task.bodyHash;
        if (isNew)
            item.record.firstSeen = now;
    }
    const bool hadAnswer = item.record.answered && item.record.answer.reason != reason::entryLost;
    if (hadAnswer && item.tasks.empty())
        return;
    item.taskCount = std::max(item.taskCount, task.taskCount);
    const auto [known, isNewTask] = item.tasks.try_emplace(task.task.index, task);
    // The report on the latest attempt wins; for the same attempt, a result precedes a running task.
    if (!isNewTask && task.task.attempt >= known->second.task.attempt
        && (known->second.running || task.task.attempt > known->second.task.attempt || !task.running))
        known->second = task;
    updateAnswer(item);
}

bool SubmissionRecordStore::isRunning(const Item &item)
{
    return std::any_of(item.tasks.begin(), item.tasks.end(),
                       [](const auto &one) { return one.second.running; });
}

void SubmissionRecordStore::updateAnswer(Item &item)
{
    item.record.holder.clear();
    item.record.answered = !isRunning(item);
    if (!item.record.answered)
        return;
    const bool allComplete = item.tasks.size() == item.taskCount
        && std::all_of(item.tasks.begin(), item.tasks.end(),
                       [](const auto &one) { return one.second.result.outcome == Outcome::Complete; });
    Answer answer;
    if (allComplete) {
        answer = {.outcome = Outcome::Complete, .status = 200};
        for (const auto &[index, task] : item.tasks)
            answer.answers.push_back(task.result.answer);
    } else if (item.taskCount == 1) {
        const TaskResult &result = item.tasks.begin()->second.result;
        // The dead entry may have sent another attempt to another agent, so "not run" for one attempt does
        // not prove that the task never ran.
        const bool failed = result.outcome == Outcome::Failed;
        answer = entryLostAnswer(failed ? Outcome::Failed : Outcome::Unknown);
        if (failed)
            answer.reason = result.reason;
    } else {
        answer = entryLostAnswer(Outcome::Failed);
    }
    answer.tasks = item.taskCount;
    answer.finished = static_cast<uint32_t>(item.tasks.size());
    item.record.answer = std::move(answer);
}

std::optional<StoredRecord> SubmissionRecordStore::find(const Fingerprint &key) const
{
    const auto found = m_records.find(key);
    if (found == m_records.end())
        return std::nullopt;
    return StoredRecord{.record = found->second.record, .isTaskRunning = isRunning(found->second)};
}

std::vector<Fingerprint> SubmissionRecordStore::evictExpired(Millis now)
{
    std::vector<Fingerprint> dropped;
    std::erase_if(m_records, [&](const auto &item) {
        if (now - item.second.record.firstSeen <= m_window)
            return false;
        dropped.push_back(item.first);
        return true;
    });
    return dropped;
}

} // namespace turmericwell
