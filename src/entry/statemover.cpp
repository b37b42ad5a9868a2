// Handovers and takeovers.
#include "entry/statemover.h"

#include <algorithm>

namespace turmericwell {

static constexpr Millis resendInterval = {1'000};

StateMover::StateMover(Options options, Handlers handlers)
    : m_options(std::move(options))
    , m_handlers(std::move(handlers))
    , m_ownership(m_options.self)
    , m_records(m_options.dedupWindow)
{ }

void StateMover::viewChanged(uint64_t view, const std::vector<EntryMember> &before,
                             const std::vector<EntryMember> &after)
{
    const Millis now = Clock::now();
    OwnershipActions actions;
    {
        const std::lock_guard lock(m_mutex);
        m_view = view;
        m_members = after;
        actions = m_ownership.viewChanged(view, before, after);
        std::erase_if(m_debts, [&](const Debt &debt) {
            return std::find(after.begin(), after.end(), debt.to) == after.end();
        });
        for (const EntryMember &member : actions.handOverTo)
            m_debts.push_back({.to = member, .view = view, .final = m_stopping, .round = m_round});
    }
    for (const ProcessId &dead : actions.takeOver)
        beginTakeover(dead, now);
    payDebts(now);
}

KeyPlace StateMover::place(const Fingerprint &key, Millis now) const
{
    const std::lock_guard lock(m_mutex);
    const KeyOwnership ownership = m_ownership.ownershipOf(key, now);
    if (!ownership.owner || *ownership.owner != m_options.self)
        return {.owner = ownership.owner};
    const std::optional<StoredRecord> stored = m_records.find(key);
    if (!stored || stored->record.answered)
        return {.owner = ownership.owner};
    if (stored->isTaskRunning)
        return {};
    for (const EntryMember &member : m_members) {
        if (member.id.name == stored->record.holder && member.id != m_options.self)
            return {.owner = member.id, .asksHolder = true, .bodyHash = stored->record.bodyHash};
    }
    return {.owner = ownership.owner};
}

std::optional<Answer> StateMover::answerFor(const Fingerprint &key, uint64_t bodyHash) const
{
    const std::lock_guard lock(m_mutex);
    const std::optional<StoredRecord> stored = m_records.find(key);
    if (!stored)
        return std::nullopt;
    const SubmissionRecord &record = stored->record;
    if (bodyHash != 0 && record.bodyHash != 0 && record.bodyHash != bodyHash)
        return Answer{.outcome = Outcome::NotRun, .reason = std::string(reason::conflict), .status = 409};
    if (record.answered)
        return record.answer;
    // The holder is gone and no agent knows the tasks.
    return Answer{.outcome = Outcome::Unknown, .reason = std::string(reason::entryLost), .status = 504};
}

bool StateMover::isIncomplete(const Fingerprint &key, Millis now) const
{
    const std::lock_guard lock(m_mutex);
    return m_ownership.ownershipOf(key, now).incomplete;
}

// --- takeover ---

void StateMover::beginTakeover(const ProcessId &dead, Millis now)
{
    m_handlers.onEvent(EventKind::TakeoverStarted, dead.name);
    const std::vector<std::string> agents = m_handlers.knownAgents();
    {
        const std::lock_guard lock(m_mutex);
        m_takeovers.emplace(m_nextQuery++, Takeover(dead, agents, now, m_options.takeover));
    }
    m_handlers.readClaims(
        [this, dead](const std::optional<std::vector<ClaimBatch>> &batches) { claimsCame(dead, batches); });
}

void StateMover::claimsCame(const ProcessId &dead, const std::optional<std::vector<ClaimBatch>> &batches)
{
    if (!batches)
        return;
    const Millis now = Clock::now();
    const std::lock_guard lock(m_mutex);
    for (const ClaimBatch &batch : *batches) {
        const bool isAlive = std::any_of(m_members.begin(), m_members.end(),
                                         [&](const EntryMember &member) { return member.id == batch.entry; });
        // Claims of entries that left earlier count too: the dead one may have held their records.
        if (isAlive || batch.entry == m_options.self)
            continue;
        for (const Fingerprint &key : batch.keys)
            m_records.addClaim(key, now);
    }
    for (auto &[query, takeover] : m_takeovers) {
        if (takeover.dead() == dead)
            takeover.recordClaimsRead();
    }
}

static RecoveredTask fromWire(const wire::StartedRecordT &record)
{
    RecoveredTask task{.task = record.task ? turmericwell::fromWire(*record.task) : TaskRef{},
                       .taskCount = record.task_count,
                       .bodyHash = record.body_hash,
                       .running = record.running};
    if (record.result)
        task.result = turmericwell::fromWire(*record.result);
    return task;
}

void StateMover::handleRecords(const wire::RecordReplyT &reply)
{
    const Millis now = Clock::now();
    const std::lock_guard lock(m_mutex);
    const auto found = m_takeovers.find(reply.query_id);
    if (found == m_takeovers.end())
        return;
    bool runsTasks = false;
    for (const auto &record : reply.records) {
        runsTasks = runsTasks || record->running;
        m_records.addStarted(fromWire(*record), now);
    }
    found->second.answered(reply.agent, runsTasks, now);
}

void StateMover::advanceTakeovers(Millis now)
{
    std::vector<std::pair<std::string, wire::RecordQueryT>> queries;
    std::vector<std::string> finished;
    const std::vector<std::string> agents = m_handlers.knownAgents();
    {
        const std::lock_guard lock(m_mutex);
        const std::vector<ProcessId> pending = m_ownership.pendingTakeovers();
        for (auto it = m_takeovers.begin(); it != m_takeovers.end();) {
            Takeover &takeover = it->second;
            takeover.setKnownAgents(agents);
            for (const std::string &agent : takeover.agentsToQuery(now)) {
                wire::RecordQueryT query;
                query.query_id = it->first;
                query.view = m_view;
                query.dead_entry = takeover.dead().name;
                query.dead_incarnation = takeover.dead().incarnation;
                queries.emplace_back(agent, std::move(query));
            }
            const TakeoverState state = takeover.state(now);
            const bool isPending =
                std::find(pending.begin(), pending.end(), takeover.dead()) != pending.end();
            if (isPending && state != TakeoverState::Waiting) {
                const bool incomplete = state == TakeoverState::Incomplete;
                m_ownership.recordTakeover(
                    takeover.dead(), incomplete ? std::optional(now + m_options.dedupWindow) : std::nullopt);
                finished.push_back(takeover.dead().name + (incomplete ? " (incomplete)" : ""));
            }
            if (!isPending && takeover.hasAllReplies())
                it = m_takeovers.erase(it);
            else
                ++it;
        }
    }
    for (auto &[agent, query] : queries)
        m_handlers.sendToAgent(agent, encodeMessage(std::move(query)));
    for (const std::string &entry : finished)
        m_handlers.onEvent(EventKind::TakeoverFinished, entry);
}

// --- handover ---

static std::unique_ptr<wire::HandoverRecordT> toWire(const SubmissionRecord &record, Millis now)
{
    auto result = std::make_unique<wire::HandoverRecordT>();
    result->key = std::make_unique<wire::Key>(turmericwell::toWire(record.key));
    result->body_hash = record.bodyHash;
    result->kind = static_cast<wire::SubmissionKind>(record.kind);
    result->answered = record.answered;
    result->answer = turmericwell::toWire(record.answer);
    result->holder = record.holder;
    result->first_seen_age_ms = (now - record.firstSeen).count;
    return result;
}

std::vector<SubmissionRecord> StateMover::recordsFor(const EntryMember &member) const
{
    std::vector<SubmissionRecord> result = m_handlers.ownRecords();
    for (SubmissionRecord &record : result) {
        if (!record.answered)
            record.holder = m_options.self.name;
    }
    const std::lock_guard lock(m_mutex);
    m_records.forEach([&](const SubmissionRecord &record) { result.push_back(record); });
    std::erase_if(result, [&](const SubmissionRecord &record) {
        const EntryMember *owner = m_ownership.memberFor(record.key);
        return !owner || owner->id != member.id;
    });
    return result;
}

bool StateMover::sendTombstones(const Debt &debt) const
{
    // 16 bytes each, so a frame stays below 2 MiB.
    constexpr size_t frameKeys = 100'000;
    std::vector<Fingerprint> keys = m_handlers.ownTombstones();
    {
        const std::lock_guard lock(m_mutex);
        std::erase_if(keys, [&](const Fingerprint &key) {
            const EntryMember *owner = m_ownership.memberFor(key);
            return !owner || owner->id != debt.to.id;
        });
    }
    for (size_t begin = 0; begin < keys.size(); begin += frameKeys) {
        wire::HandoverT batch;
        batch.view = debt.view;
        for (size_t i = begin; i < std::min(keys.size(), begin + frameKeys); ++i)
            batch.tombstones.push_back(turmericwell::toWire(keys[i]));
        if (!m_handlers.sendToPeer(debt.to.id, encodeMessage(std::move(batch))))
            return false;
    }
    return true;
}

void StateMover::handOver(const Debt &debt, Millis now)
{
    if (!sendTombstones(debt))
        return;
    // Frames stay well below the limit of 8 MiB unless one answer alone is larger.
    constexpr size_t frameBytes = 1U << 20U;
    wire::HandoverT batch;
    batch.view = debt.view;
    batch.final = debt.final;
    batch.round = debt.round;
    size_t bytes = 0;
    for (const SubmissionRecord &record : recordsFor(debt.to)) {
        for (const std::string &answer : record.answer.answers)
            bytes += answer.size();
        bytes += record.answer.reason.size() + sizeof(wire::HandoverRecordT);
        batch.records.push_back(toWire(record, now));
        if (bytes < frameBytes)
            continue;
        if (!m_handlers.sendToPeer(debt.to.id, encodeMessage(std::move(batch))))
            return;
        batch = {};
        batch.view = debt.view;
        bytes = 0;
    }
    batch.final = debt.final;
    batch.round = debt.round;
    batch.done = true;
    {
        const std::lock_guard lock(m_mutex);
        const std::optional<Millis> until = m_ownership.incompleteUntil(now);
        batch.incomplete_ms = until ? (*until - now).count : 0;
    }
    m_handlers.sendToPeer(debt.to.id, encodeMessage(std::move(batch)));
}

void StateMover::payDebts(Millis now)
{
    std::vector<Debt> due;
    {
        const std::lock_guard lock(m_mutex);
        for (Debt &debt : m_debts) {
            if (now - debt.sentAt < resendInterval || (!debt.final && !m_ownership.mayHandOver(debt.view)))
                continue;
            debt.sentAt = now;
            due.push_back(debt);
        }
    }
    for (const Debt &debt : due)
        handOver(debt, now);
}

void StateMover::handleHandover(const ProcessId &peer, const wire::HandoverT &handover)
{
    const Millis now = Clock::now();
    if (handover.ack) {
        const std::lock_guard lock(m_mutex);
        std::erase_if(m_debts, [&](const Debt &debt) {
            return debt.to.id == peer && debt.view <= handover.view && debt.round == handover.round;
        });
        return;
    }
    std::vector<Fingerprint> tombstones;
    for (const wire::Key &key : handover.tombstones)
        tombstones.push_back(turmericwell::fromWire(key));
    m_handlers.takeTombstones(tombstones);
    {
        const std::lock_guard lock(m_mutex);
        for (const auto &record : handover.records) {
            if (!record->key)
                continue;
            m_records.add({.key = turmericwell::fromWire(*record->key),
                           .bodyHash = record->body_hash,
                           .kind = record->kind == wire::SubmissionKind::Job ? SubmissionKind::Job
                                                                             : SubmissionKind::Request,
                           .answered = record->answered,
                           .answer = record->answer ? turmericwell::fromWire(*record->answer) : Answer{},
                           .holder = record->holder,
                           .firstSeen = now - Millis{record->first_seen_age_ms}});
        }
        if (!handover.done)
            return;
        const bool incomplete = handover.incomplete_ms > 0;
        m_ownership.recordHandover(peer, handover.view, handover.final,
                                   incomplete ? std::optional(now + Millis{handover.incomplete_ms})
                                              : std::nullopt);
    }
    wire::HandoverT ack;
    ack.view = handover.view;
    ack.final = handover.final;
    ack.round = handover.round;
    ack.ack = true;
    m_handlers.sendToPeer(peer, encodeMessage(std::move(ack)));
}

void StateMover::beginFinalHandover()
{
    {
        const std::lock_guard lock(m_mutex);
        if (!m_stopping)
            m_ownership.stopServing();
        m_stopping = true;
        ++m_round;
        m_debts.clear();
        for (const EntryMember &member : m_members) {
            if (member.id != m_options.self)
                m_debts.push_back({.to = member, .view = m_view, .final = true, .round = m_round});
        }
    }
    payDebts(Clock::now());
}

bool StateMover::isFinalHandoverDone() const
{
    const std::lock_guard lock(m_mutex);
    return m_stopping && m_debts.empty();
}

size_t StateMover::pendingTakeovers() const
{
    const std::lock_guard lock(m_mutex);
    return m_ownership.pendingTakeovers().size();
}

void StateMover::tick(Millis now)
{
    advanceTakeovers(now);
    payDebts(now);
    std::vector<Fingerprint> dropped;
    {
        const std::lock_guard lock(m_mutex);
        dropped = m_records.evictExpired(now);
    }
    if (!dropped.empty())
        m_handlers.takeTombstones(dropped);
}

} // namespace turmericwell
