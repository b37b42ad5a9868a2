// Start, refusal, revocation and credits on one target.
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
    return now - m_currentAt <= m_options.freshness;
}

void AgentCore::evidence(Millis currentAt)
{
    m_currentAt = std::max(m_currentAt, currentAt);
}

std::string_view AgentCore::refusal(Millis now) const
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

AgentActions AgentCore::targetAnnounced(const TargetInfo &target, bool leaving, Millis now)
{
    AgentActions actions;
    m_target = target;
    m_announcedAt = now;
    m_leaving = leaving;
    if (leaving)
        refuseQueue(reason::targetLeaving, now, actions);
    grantCredits(actions);
    return actions;
}

AgentActions AgentCore::start(const std::string &entry, const TaskStart &start, Millis now)
{
    AgentActions actions;
    const auto [found, isNew] = m_records.try_emplace(start.task);
    Record &record = found->second;
    if (!isNew) {
        // A duplicate of a start that is under way needs no answer: the first one brings it.
        if (record.state == RecordState::Finished || record.state == RecordState::Refused)
            actions.emplace_back(SendResult{.entry = entry, .result = record.result});
        return actions;
    }
    record = {.entry = entry,
              .usesCredit = start.usesCredit,
              .repeatable = start.repeatable,
              .deadline = now + start.budget,
              .since = now};
    m_queue.push_back({.start = start, .entry = entry});
    if (start.usesCredit)
        ++m_active[entry];
    const std::string_view why = refusal(now);
    const uint32_t maxQueued = m_options.maxQueued != 0 ? m_options.maxQueued : m_target.slots;
    if (!why.empty())
        refuse(start.task, why, now, actions);
    else if (m_running >= m_target.slots && m_queue.size() > maxQueued)
        refuse(start.task, reason::busy, now, actions);
    else
        startQueued(now, actions);
    return actions;
}

void AgentCore::startQueued(Millis now, AgentActions &actions)
{
    while (m_running < m_target.slots && !m_queue.empty()) {
        const std::string_view why = refusal(now);
        if (!why.empty()) {
            refuseQueue(why, now, actions);
            return;
        }
        Waiting next = std::move(m_queue.front());
        Record &record = m_records.at(next.start.task);
        if (now >= record.deadline) {
            refuse(next.start.task, reason::deadline, now, actions);
            continue;
        }
        m_queue.pop_front();
        assert(record.state == RecordState::Queued);
        record.state = RecordState::Running;
        record.since = now;
        ++m_running;
        actions.emplace_back(RunOnTarget{.start = std::move(next.start)});
    }
}

void AgentCore::refuse(const TaskRef &task, std::string_view why, Millis now, AgentActions &actions)
{
    std::erase_if(m_queue, [&](const Waiting &waiting) { return waiting.start.task == task; });
    Record &record = m_records.at(task);
    assert(record.state == RecordState::Queued);
    record.state = RecordState::Refused;
    record.since = now;
    record.result = {.task = task,
                     .outcome = Outcome::NotRun,
                     .reason = std::string(why),
                     .returnsCredit = endCreditUse(record)};
    actions.emplace_back(SendResult{.entry = record.entry, .result = record.result});
}

void AgentCore::refuseQueue(std::string_view why, Millis now, AgentActions &actions)
{
    while (!m_queue.empty())
        refuse(TaskRef(m_queue.front().start.task), why, now, actions);
}

AgentActions AgentCore::taskEnded(const TaskResult &result, Millis now)
{
    AgentActions actions;
    const auto found = m_records.find(result.task);
    if (found == m_records.end() || found->second.state != RecordState::Running)
        return actions;
    Record &record = found->second;
    record.state = RecordState::Finished;
    record.since = now;
    record.result = result;
    record.result.returnsCredit = endCreditUse(record);
    --m_running;
    actions.emplace_back(SendResult{.entry = record.entry, .result = record.result});
    grantCredits(actions);
    startQueued(now, actions);
    return actions;
}

AgentActions AgentCore::revoke(const std::string &entry, const TaskRef &task, Millis now)
{
    AgentActions actions;
    const auto [found, isNew] = m_records.try_emplace(task);
    Record &record = found->second;
    if (isNew) {
        // Remembered, so that a start that arrives later is refused.
        record = {.entry = entry, .state = RecordState::Refused, .since = now};
        record.result = {.task = task, .outcome = Outcome::NotRun, .reason = std::string(reason::revoked)};
    } else if (record.state == RecordState::Queued) {
        refuse(task, reason::revoked, now, actions);
    }
    SendRevokeAck ack{.entry = entry, .task = task, .result = record.result};
    if (record.state == RecordState::Running)
        ack.state = RevokeState::Running;
    else if (record.state == RecordState::Finished)
        ack.state = RevokeState::Finished;
    actions.emplace_back(std::move(ack));
    return actions;
}

AgentActions AgentCore::stop(const TaskRef &task)
{
    const auto found = m_records.find(task);
    if (found == m_records.end() || found->second.state != RecordState::Running)
        return {};
    return {StopOnTarget{.task = task}};
}

AgentActions AgentCore::applySlice(const AgentSlice &slice, Millis now)
{
    AgentActions actions;
    if (slice.configVersion < m_slice.configVersion)
        return actions;
    m_slice = slice;
    if (slice.zoneWithdrawn || slice.targetWithdrawn)
        refuseQueue(slice.zoneWithdrawn ? reason::zoneWithdrawn : reason::targetWithdrawn, now, actions);
    return actions;
}

AgentActions AgentCore::drain(Millis now)
{
    AgentActions actions;
    m_draining = true;
    refuseQueue(reason::stopping, now, actions);
    return actions;
}

AgentActions AgentCore::entryConnected(const std::string &entry, Millis)
{
    AgentActions actions;
    m_entries.try_emplace(entry, 0);
    beginCreditEpoch(actions);
    return actions;
}

AgentActions AgentCore::entryDisconnected(const std::string &entry, Millis)
{
    AgentActions actions;
    if (m_entries.erase(entry) == 0)
        return actions;
    beginCreditEpoch(actions);
    return actions;
}

// Tasks that are running or queued keep their credits over an epoch.
void AgentCore::beginCreditEpoch(AgentActions &actions)
{
    ++m_creditEpoch;
    for (auto &[name, held] : m_entries) {
        const auto active = m_active.find(name);
        held = active == m_active.end() ? 0 : active->second;
    }
    grantCredits(actions);
}

// Returns true if the credit goes back to its entry.
bool AgentCore::endCreditUse(const Record &record)
{
    if (!record.usesCredit)
        return false;
    uint32_t active = 0;
    for (const auto &[name, count] : m_active)
        active += count;
    const auto used = m_active.find(record.entry);
    assert(used != m_active.end() && used->second > 0);
    if (--used->second == 0)
        m_active.erase(used);
    const auto held = m_entries.find(record.entry);
    // A start that crossed the begin of an epoch uses a credit of the old one in addition to those granted in
    // the new one. Such surplus shows as more tasks than slots, and ends here.
    return held != m_entries.end() && active <= m_target.slots;
}

// Spreads the free slots that no entry holds a credit for evenly over the connected entries.
void AgentCore::grantCredits(AgentActions &actions)
{
    uint32_t granted = 0;
    for (const auto &[name, held] : m_entries)
        granted += held;
    for (const auto &[name, active] : m_active) {
        if (!m_entries.contains(name))
            granted += active;
    }
    if (m_entries.empty() || m_target.slots <= granted)
        return;
    uint32_t remaining = m_target.slots - granted;
    std::map<std::string, uint32_t> grants;
    while (remaining > 0) {
        for (auto it = m_entries.begin(); it != m_entries.end() && remaining > 0; ++it, --remaining)
            ++grants[it->first];
    }
    for (const auto &[name, credits] : grants) {
        m_entries[name] += credits;
        actions.emplace_back(SendCredits{.entry = name, .credits = credits});
    }
}

AgentActions AgentCore::tick(Millis now)
{
    AgentActions actions;
    const std::string_view why = refusal(now);
    if (!why.empty())
        refuseQueue(why, now, actions);
    else
        startQueued(now, actions);
    std::erase_if(m_records, [&](const auto &item) {
        const Record &record = item.second;
        const bool ended = record.state == RecordState::Finished || record.state == RecordState::Refused;
        return ended && now - record.since > m_options.dedupWindow;
    });
    return actions;
}

} // namespace turmericwell
