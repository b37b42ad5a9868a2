// Start, rejection and revocation of tasks on one target, and the grant of credits to entries.
#include "agent/agentcore.h"

#include <algorithm>
#include <cassert>

namespace turmericwell {

AgentCore::AgentCore(AgentOptions options)
    : m_options(options)
{ }

bool AgentCore::isTargetUp(Millis now) const
{
    return m_target.slots > 0 && now - m_announcedAt <= m_options.targetLease;
}

bool AgentCore::isFresh(Millis now) const
{
    return now - m_evidenceTime <= m_options.freshness;
}

void AgentCore::recordEvidence(Millis currentAt)
{
    m_evidenceTime = std::max(m_evidenceTime, currentAt);
}

std::string_view AgentCore::rejectionReason(Millis now) const
{
    if (m_draining)
        return reason::stopping;
    if (m_leaving)
        return reason::targetLeaving;
    if (!isTargetUp(now))
        return reason::targetLost;
    if (!isFresh(now))
        return reason::stale;
    if (m_slice.zoneWithdrawn)
        return reason::zoneWithdrawn;
    if (m_slice.targetWithdrawn)
        return reason::targetWithdrawn;
    return reason::none;
}

bool AgentCore::isFenced(const ProcessId &entry) const
{
    const auto found = m_fences.find(entry.name);
    return found != m_fences.end() && entry.incarnation <= found->second;
}

bool AgentCore::isConnected(const ProcessId &entry) const
{
    return m_entries.contains(entry);
}

AgentActions AgentCore::targetAnnounced(const TargetInfo &target, bool leaving, Millis now)
{
    AgentActions actions;
    m_freeCredits += static_cast<int64_t>(target.slots) - m_target.slots;
    m_target = target;
    m_announcedAt = now;
    m_leaving = leaving;
    if (leaving)
        rejectQueue(reason::targetLeaving, now, actions);
    grantFreeCredits(actions);
    return actions;
}

AgentActions AgentCore::start(const ProcessId &entry, const TaskStart &start, Millis now)
{
    AgentActions actions;
    const auto [found, isNew] = m_records.try_emplace(start.task);
    AttemptRecord &record = found->second;
    if (!isNew) {
        // A duplicate of a queued or running start needs no answer: the result of the original start will be
        // sent.
        if (record.state == AttemptState::Finished || record.state == AttemptState::Rejected)
            sendResult(start.task, record, actions);
        return actions;
    }
    record = {.entry = entry,
              .taskCount = start.taskCount,
              .bodyHash = start.bodyHash,
              .usesCredit = start.usesCredit,
              .deadline = now + start.budget,
              .stateChangedAt = now};
    useCredit(record);
    m_queue.push_back({.start = start, .entry = entry});
    const std::string_view why = isFenced(entry) ? reason::entryFenced : rejectionReason(now);
    const uint32_t maxQueued = m_options.maxQueued != 0 ? m_options.maxQueued : m_target.slots;
    if (!why.empty())
        reject(start.task, why, now, actions);
    else if (m_running >= m_target.slots && m_queue.size() > maxQueued)
        reject(start.task, reason::busy, now, actions);
    else
        startQueued(now, actions);
    return actions;
}

void AgentCore::startQueued(Millis now, AgentActions &actions)
{
    while (m_running < m_target.slots && !m_queue.empty()) {
        const std::string_view why = rejectionReason(now);
        if (!why.empty()) {
            rejectQueue(why, now, actions);
            return;
        }
        const TaskRef task = m_queue.front().start.task;
        AttemptRecord &record = m_records.at(task);
        if (now >= record.deadline) {
            reject(task, reason::deadline, now, actions);
            continue;
        }
        assert(record.state == AttemptState::Queued);
        record.state = AttemptState::Running;
        record.stateChangedAt = now;
        ++m_running;
        actions.emplace_back(RunOnTarget{.start = std::move(m_queue.front().start)});
        m_queue.pop_front();
    }
}

void AgentCore::reject(const TaskRef &task, std::string_view why, Millis now, AgentActions &actions)
{
    std::erase_if(m_queue, [&](const QueuedStart &queuedStart) { return queuedStart.start.task == task; });
    AttemptRecord &record = m_records.at(task);
    assert(record.state == AttemptState::Queued);
    finishAttempt(task, record, AttemptState::Rejected,
                  {.task = task, .outcome = Outcome::NotRun, .reason = std::string(why)}, now, actions);
}

void AgentCore::rejectQueue(std::string_view why, Millis now, AgentActions &actions)
{
    while (!m_queue.empty())
        reject(TaskRef(m_queue.front().start.task), why, now, actions);
}

void AgentCore::finishAttempt(const TaskRef &task, AttemptRecord &record, AttemptState state,
                              TaskResult result, Millis now, AgentActions &actions)
{
    record.state = state;
    record.stateChangedAt = now;
    record.result = std::move(result);
    record.result.returnsCredit = false;
    if (record.usesCredit) {
        --m_creditsInUse;
        // The result returns the credit unless the entry is disconnected or the number of slots was reduced.
        if (isConnected(record.entry) && m_freeCredits >= 0) {
            record.result.returnsCredit = true;
            ++m_creditsAtEntries;
        } else {
            ++m_freeCredits;
        }
    }
    if (!record.result.answer.empty()) {
        m_answers.push_back(task);
        m_answerBytes += record.result.answer.size();
    }
    ++m_undeliveredCount;
    sendResult(task, record, actions);
    record.result.returnsCredit = false;
    grantFreeCredits(actions);
    evictAnswers();
}

void AgentCore::sendResult(const TaskRef &task, AttemptRecord &record, AgentActions &actions)
{
    if (isConnected(record.entry)) {
        actions.emplace_back(SendResult{.entry = record.entry, .result = record.result});
        markDelivered(task);
    }
    const auto successors = m_successors.find(record.entry);
    if (successors == m_successors.end())
        return;
    if (record.state == AttemptState::Rejected) {
        // The rejection of a dead entry's task is not sent: no successor needs it.
        markDelivered(task);
        return;
    }
    for (const ProcessId &successor : successors->second) {
        if (!isConnected(successor))
            continue;
        actions.emplace_back(SendResult{.entry = successor, .result = record.result});
        markDelivered(task);
    }
}

void AgentCore::markDelivered(const TaskRef &task)
{
    const auto found = m_records.find(task);
    if (found == m_records.end() || found->second.isDelivered)
        return;
    found->second.isDelivered = true;
    --m_undeliveredCount;
}

// Evicts the oldest answers beyond the limit. The outcome of an evicted answer becomes `Unknown`, although
// the task has completed.
void AgentCore::evictAnswers()
{
    while (m_answerBytes > m_options.maxAnswerBytes && !m_answers.empty()) {
        const auto found = m_records.find(m_answers.front());
        m_answers.pop_front();
        if (found == m_records.end())
            continue;
        TaskResult &result = found->second.result;
        m_answerBytes -= result.answer.size();
        result.answer.clear();
        result.answer.shrink_to_fit();
        result.outcome = Outcome::Unknown;
        result.reason = reason::entryLost;
    }
}

AgentActions AgentCore::taskEnded(const TaskResult &result, Millis now)
{
    AgentActions actions;
    const auto found = m_records.find(result.task);
    if (found == m_records.end() || found->second.state != AttemptState::Running)
        return actions;
    --m_running;
    finishAttempt(result.task, found->second, AttemptState::Finished, result, now, actions);
    startQueued(now, actions);
    return actions;
}

AgentActions AgentCore::revoke(const ProcessId &entry, const TaskRef &task, Millis now)
{
    AgentActions actions;
    const auto [found, isNew] = m_records.try_emplace(task);
    AttemptRecord &record = found->second;
    if (isNew) {
        // The record makes sure that a start that arrives later is rejected.
        record = {
            .entry = entry, .state = AttemptState::Rejected, .isDelivered = true, .stateChangedAt = now};
        record.result = {.task = task, .outcome = Outcome::NotRun, .reason = std::string(reason::revoked)};
    } else if (record.state == AttemptState::Queued) {
        reject(task, reason::revoked, now, actions);
    }
    SendRevokeAck ack{.entry = entry, .task = task};
    if (record.state == AttemptState::Running) {
        ack.state = RevokeState::Running;
    } else {
        ack.state = record.state == AttemptState::Finished ? RevokeState::Finished : RevokeState::Revoked;
        ack.result = record.result;
        markDelivered(task);
    }
    actions.emplace_back(std::move(ack));
    return actions;
}

AgentActions AgentCore::stop(const TaskRef &task)
{
    const auto found = m_records.find(task);
    if (found == m_records.end() || found->second.state != AttemptState::Running)
        return {};
    return {StopOnTarget{.task = task}};
}

AgentActions AgentCore::applySlice(const AgentSlice &slice, Millis now)
{
    AgentActions actions;
    if (slice.configVersion < m_slice.configVersion)
        return actions;
    const bool wasWithdrawn = m_slice.zoneWithdrawn || m_slice.targetWithdrawn;
    const bool isWithdrawn = slice.zoneWithdrawn || slice.targetWithdrawn;
    m_slice = slice;
    if (isWithdrawn) {
        rejectQueue(slice.zoneWithdrawn ? reason::zoneWithdrawn : reason::targetWithdrawn, now, actions);
    } else if (wasWithdrawn && m_options.returnRamp.count > 0) {
        m_rampStart = now;
        m_rampCredits = m_target.slots;
        m_unreleasedCredits = m_target.slots;
        startCreditEpoch(actions);
    }
    return actions;
}

AgentActions AgentCore::drain(Millis now)
{
    AgentActions actions;
    m_draining = true;
    rejectQueue(reason::stopping, now, actions);
    return actions;
}

AgentActions AgentCore::tick(Millis now)
{
    AgentActions actions;
    const std::string_view why = rejectionReason(now);
    if (!why.empty())
        rejectQueue(why, now, actions);
    else
        startQueued(now, actions);
    rampCredits(now, actions);
    for (auto it = m_records.begin(); it != m_records.end();) {
        const AttemptRecord &record = it->second;
        const bool ended = record.state == AttemptState::Finished || record.state == AttemptState::Rejected;
        if (ended && now - record.stateChangedAt > m_options.dedupWindow) {
            m_answerBytes -= record.result.answer.size();
            m_undeliveredCount -= record.isDelivered ? 0 : 1;
            it = m_records.erase(it);
        } else {
            ++it;
        }
    }
    return actions;
}

// --- entries ---

AgentActions AgentCore::entryConnected(const ProcessId &entry, Millis)
{
    AgentActions actions;
    m_entries.try_emplace(entry, 0);
    for (auto &[task, record] : m_records) {
        const bool ended = record.state == AttemptState::Finished || record.state == AttemptState::Rejected;
        if (ended && !record.isDelivered)
            sendResult(task, record, actions);
    }
    startCreditEpoch(actions);
    return actions;
}

AgentActions AgentCore::entryDisconnected(const ProcessId &entry, Millis)
{
    AgentActions actions;
    if (m_entries.erase(entry) > 0)
        startCreditEpoch(actions);
    return actions;
}

AgentActions AgentCore::fence(const ProcessId &deadEntry, const ProcessId &successor, Millis now)
{
    AgentActions actions;
    uint64_t &fenced = m_fences[deadEntry.name];
    fenced = std::max(fenced, deadEntry.incarnation);
    m_successors[deadEntry].insert(successor);
    std::vector<TaskRef> queued;
    for (const QueuedStart &queuedStart : m_queue) {
        if (isFenced(queuedStart.entry))
            queued.push_back(queuedStart.start.task);
    }
    for (const TaskRef &task : queued)
        reject(task, reason::entryFenced, now, actions);
    // The successor receives the results that exist so far in the reply to its record query.
    for (const auto &[task, record] : m_records) {
        const bool ended = record.state == AttemptState::Finished || record.state == AttemptState::Rejected;
        if (ended && record.entry == deadEntry)
            markDelivered(task);
    }
    return actions;
}

std::vector<StartedTask> AgentCore::startedBy(const ProcessId &entry, Millis now) const
{
    std::vector<StartedTask> result;
    for (const auto &[task, record] : m_records) {
        const bool started = record.state == AttemptState::Running || record.state == AttemptState::Finished;
        if (!started || record.entry != entry)
            continue;
        result.push_back({.task = task,
                          .taskCount = record.taskCount,
                          .bodyHash = record.bodyHash,
                          .running = record.state == AttemptState::Running,
                          .result = record.result,
                          .startedAgo = now - record.stateChangedAt});
    }
    return result;
}

// --- credits ---

// A start that was sent before a new epoch began uses a credit that is already void. The number of credits
// used is therefore limited to those granted in the current epoch, which keeps the total equal to the slots.
void AgentCore::useCredit(AttemptRecord &record)
{
    record.usesCredit = record.usesCredit && m_creditsAtEntries > 0;
    if (!record.usesCredit)
        return;
    --m_creditsAtEntries;
    ++m_creditsInUse;
}

// Voids all credits at the entries and grants them again. This recovers credits that were lost with an entry
// or on a broken connection.
void AgentCore::startCreditEpoch(AgentActions &actions)
{
    ++m_creditEpoch;
    for (auto &[entry, credits] : m_entries)
        credits = 0;
    m_creditsAtEntries = 0;
    // The credit of a queued or running task stays in use until the task ends.
    m_freeCredits = static_cast<int64_t>(m_target.slots) - m_creditsInUse;
    grantFreeCredits(actions);
}

void AgentCore::grantFreeCredits(AgentActions &actions)
{
    if (m_entries.empty())
        return;
    // Ties are broken by a hash, so that the agents do not all grant their odd credits to the same entry.
    const auto rank = [this](const auto &item) {
        return std::pair(item.second, Fingerprint::ofKey(m_target.name, item.first.name));
    };
    std::map<ProcessId, uint32_t> grants;
    while (m_freeCredits > static_cast<int64_t>(m_unreleasedCredits)) {
        const auto leastCredits =
            std::min_element(m_entries.begin(), m_entries.end(),
                             [&](const auto &a, const auto &b) { return rank(a) < rank(b); });
        ++leastCredits->second;
        ++grants[leastCredits->first];
        --m_freeCredits;
        ++m_creditsAtEntries;
    }
    for (const auto &[entry, credits] : grants)
        actions.emplace_back(SendCredits{.entry = entry, .credits = credits});
}

void AgentCore::rampCredits(Millis now, AgentActions &actions)
{
    if (m_unreleasedCredits == 0)
        return;
    const Millis elapsed = now - m_rampStart;
    const int64_t released = elapsed >= m_options.returnRamp
        ? m_rampCredits
        : elapsed.count * m_rampCredits / m_options.returnRamp.count;
    m_unreleasedCredits = m_rampCredits - static_cast<uint32_t>(std::min<int64_t>(released, m_rampCredits));
    grantFreeCredits(actions);
}

} // namespace turmericwell
