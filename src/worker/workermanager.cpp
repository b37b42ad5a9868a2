// Announcements, orders, resource accounting and leases of the worker.
#include "worker/workermanager.h"

#include "jobs/jobscheduler.h"

#include <algorithm>
#include <cmath>

namespace turmericwell {

// A worker's clock may run slow by this share.
constexpr int64_t clockErrorPercent = 2;
constexpr Millis leaseMargin = {100};
constexpr double permille = 1'000;
constexpr Millis firstStopRetry = {20};
constexpr uint32_t maxStopRetryDoublings = 4;
// A rejected fencing token is raised by this much, which exceeds a clock jump of several seconds.
constexpr uint64_t fenceIncrement = 10'000;
// Answers that are late or overtake each other show a clock that is behind by less than this.
constexpr Millis clockRegressionLimit = {500};

WorkerManager::WorkerManager(WorkerManagerOptions options, uint64_t firstFence, Millis now,
                             WorkerEffects &effects, StructuredLog &log)
    : m_options(std::move(options))
    , m_effects(effects)
    , m_log(log)
    , m_fence(firstFence)
    , m_startedAt(now)
    , m_calledWorker(m_options.workerAddress)
    , m_leaseEnd(now + m_options.lease + m_options.lease * clockErrorPercent / 100 + leaseMargin)
{ }

std::optional<RejectReason> WorkerManager::rejectReason() const
{
    const bool isLeaseLapsing = m_lapseForced || m_promisedLeaseEnd || !m_isRegistered;
    if (!worker() || !m_listsKnown || m_listPollFailures >= failuresUntilUnusable || isLeaseLapsing)
        return RejectReason::NoWorker;
    if (worker()->draining || m_draining)
        return RejectReason::Draining;
    if (m_evacuated.contains(worker()->zone))
        return RejectReason::Evacuated;
    if (pendingEnds() >= mostListedEnds)
        return RejectReason::NoRoom;
    return std::nullopt;
}

size_t WorkerManager::pendingEnds() const
{
    const auto retained = std::distance(m_ends.upper_bound(endsStoredThrough()), m_ends.end());
    const auto active = std::count_if(m_runs.begin(), m_runs.end(),
                                      [](const auto &item) { return item.second.phase != RunPhase::Queued; });
    return static_cast<size_t>(retained + active);
}

int64_t WorkerManager::freeSlots() const
{
    const auto queued = std::count_if(m_runs.begin(), m_runs.end(),
                                      [](const auto &item) { return item.second.phase == RunPhase::Queued; });
    return static_cast<int64_t>(mostListedEnds) - static_cast<int64_t>(pendingEnds()) - queued;
}

bool WorkerManager::isUsable() const
{
    return !rejectReason();
}

Resources WorkerManager::usedResources() const
{
    Resources used;
    for (const auto &[id, run] : m_runs) {
        if (run.phase != RunPhase::Queued)
            used += run.order.size;
    }
    return used;
}

Resources WorkerManager::queuedResources() const
{
    Resources queued;
    for (const auto &[id, run] : m_runs) {
        if (run.phase == RunPhase::Queued)
            queued += run.order.size;
    }
    return queued;
}

Resources WorkerManager::freeResources() const
{
    Resources free = worker()->capacity;
    free -= usedResources();
    free -= queuedResources();
    free.cpuMilli += worker()->capacity.cpuMilli * m_options.queueAllowancePercent / 100;
    return free;
}

bool WorkerManager::allSizesKnown() const
{
    return std::all_of(m_runs.begin(), m_runs.end(), [](const auto &item) { return item.second.sizeKnown; });
}

Millis WorkerManager::workerNow(Millis now) const
{
    return m_clockSample + (now - m_clockSampledAt);
}

bool WorkerManager::mayConfirmEnds() const
{
    return m_listPollFailures == 0 && !m_restartSuspectedUntilPoll;
}

void WorkerManager::recordClock(Millis workerClock, Millis now)
{
    if (m_clockSampledAt.count != 0 && workerClock + clockRegressionLimit < m_clockSample)
        m_restartSuspectedUntilPoll = m_lastListPoll + 1;
    m_clockSample = workerClock;
    m_newestClock = std::max(m_newestClock, workerClock);
    m_clockSampledAt = now;
}

void WorkerManager::extendLease(Millis deadline, Millis now)
{
    const Millis left = deadline - workerNow(now);
    const Millis end = now + left + left * clockErrorPercent / 100 + leaseMargin;
    m_leaseEnd = std::max(m_leaseEnd, end);
}

void WorkerManager::order(EntryNumber entry, RunOrder order, Millis now)
{
    ++m_ordersReceived[entry];
    m_reportChanged = true;
    const RunId id = order.run;
    const Owner &owner = m_owners[order.partition];
    std::optional<RejectReason> reason = rejectReason();
    if (order.epoch != owner.epoch || owner.entry != entry)
        reason = RejectReason::Superseded;
    else if (!reason && queuedResources().cpuMilli > 0 && m_runs.size() > m_options.maxQueued) {
        const auto queued = std::count_if(m_runs.begin(), m_runs.end(), [](const auto &item) {
            return item.second.phase == RunPhase::Queued;
        });
        if (static_cast<size_t>(queued) >= m_options.maxQueued)
            reason = RejectReason::NoRoom;
    }
    if (!reason && !hasSlotFor(freeSlots(), isSmallTask(order.size, worker()->capacity)))
        reason = RejectReason::NoRoom;
    if (reason) {
        m_log.write(now, "run_refused",
                    {{"job", jobIdText(id.task.job)},
                     {"task", taskIdText(id.task)},
                     {"run", id.number},
                     {"reason", fleet::EnumNameRejectReason(*reason)}});
        m_effects.sendRejected(entry, id, *reason);
        return;
    }
    const auto [item, isNew] = m_runs.try_emplace(id);
    if (!isNew)
        return;
    item->second.latestStart = now + order.slack;
    item->second.orderedAt = now;
    item->second.order = std::move(order);
    startQueued(now);
}

void WorkerManager::startQueued(Millis now)
{
    std::vector<std::pair<std::pair<Millis, Millis>, Run *>> queue;
    for (auto &[id, run] : m_runs) {
        if (run.phase != RunPhase::Queued)
            continue;
        // Runs that can no longer meet their deadline are started last.
        const bool isLate = run.latestStart < now;
        queue.push_back({{isLate ? Millis{INT64_MAX} : run.latestStart, run.orderedAt}, &run});
    }
    if (queue.empty() || !allSizesKnown())
        return;
    if (const std::optional<RejectReason> reason = rejectReason()) {
        rejectQueued(*reason, now);
        return;
    }
    std::sort(queue.begin(), queue.end(), [](const auto &a, const auto &b) { return a.first < b.first; });
    Resources free = worker()->capacity;
    free -= usedResources();
    size_t endsToList = pendingEnds();
    for (const auto &[key, run] : queue) {
        if (!free.holds(run->order.size) || endsToList >= mostListedEnds)
            return;
        const Owner &owner = m_owners[run->order.partition];
        if (now - owner.lastContact > m_options.ownerFreshness)
            continue;
        free -= run->order.size;
        ++endsToList;
        sendStart(*run, now);
    }
}

void WorkerManager::sendStart(Run &run, Millis now)
{
    run.phase = RunPhase::Starting;
    run.clockBeforeStart = m_newestClock;
    m_reportChanged = true;
    const Millis deadline = workerNow(now) + m_options.startValidity;
    extendLease(deadline, now);
    m_effects.callStart({.run = run.order.run,
                         .payload = run.order.payload,
                         .checkpoint = run.order.checkpoint,
                         .deadline = deadline,
                         .fence = m_fence,
                         .worker = worker()->worker});
}

void WorkerManager::startAnswered(const RunId &id, OrderAnswer answer, std::optional<Millis> workerClock,
                                  Millis now)
{
    if (workerClock)
        recordClock(*workerClock, now);
    const auto found = m_runs.find(id);
    if (found == m_runs.end()
        || (found->second.phase != RunPhase::Starting && found->second.phase != RunPhase::Stopping))
        return;
    Run &run = found->second;
    const Owner &owner = ownerOf(id);
    m_log.write(now, "run_start_answered",
                {{"job", jobIdText(id.task.job)},
                 {"task", taskIdText(id.task)},
                 {"run", id.number},
                 {"answer", orderAnswerName(answer)},
                 {"worker_clock", workerClock.value_or(Millis{0})},
                 {"clock_before_call", run.clockBeforeStart},
                 {"waited_ms", now - run.orderedAt}});
    if (answer == OrderAnswer::Done) {
        run.listedFromPoll = m_lastListPoll + 1;
        if (run.phase == RunPhase::Starting) {
            run.phase = RunPhase::Running;
            run.startedAt = now;
            if (owner.entry)
                m_effects.sendStarted(*owner.entry, id);
        }
        return;
    }
    if (answer == OrderAnswer::NoAnswer) {
        // The order may still be carried out later; a stop makes the worker reject it.
        sendStop(run, now);
        return;
    }
    if (answer == OrderAnswer::Fenced)
        m_fence += fenceIncrement;
    if (answer == OrderAnswer::WrongWorker)
        m_needsListsNow = true;
    RejectReason reason = RejectReason::NoWorker;
    if (answer == OrderAnswer::Unhealthy)
        reason = RejectReason::Unhealthy;
    else if (answer == OrderAnswer::OldRun)
        reason = RejectReason::OldRun;
    else if (answer == OrderAnswer::NoRoom)
        reason = RejectReason::NoRoom;
    m_runs.erase(found);
    m_reportChanged = true;
    if (owner.entry)
        m_effects.sendRejected(*owner.entry, id, reason);
    startQueued(now);
}

void WorkerManager::stop(EntryNumber entry, uint32_t partition, uint64_t epoch, const RunId &id, Millis now)
{
    const Owner &owner = m_owners[partition];
    if (owner.epoch != epoch || owner.entry != entry)
        return;
    const auto found = m_runs.find(id);
    const bool isKnown = found != m_runs.end();
    const bool isOfFormerLife = m_formerRuns.contains(id);
    m_log.write(now, "run_stop_ordered",
                {{"job", jobIdText(id.task.job)},
                 {"task", taskIdText(id.task)},
                 {"run", id.number},
                 {"known", isKnown},
                 {"former_life", isOfFormerLife}});
    // No call reaches the former life; the end of its lease is reported.
    if (isOfFormerLife)
        return;
    if (!isKnown) {
        reportUnknownRun(owner, id);
        return;
    }
    if (found->second.phase == RunPhase::Queued) {
        m_runs.erase(found);
        m_reportChanged = true;
        m_effects.sendEnded(entry, id, EndKind::Stopped, {});
        return;
    }
    if (found->second.phase != RunPhase::Stopping)
        sendStop(found->second, now);
}

// The order of a run and its stop arrive in this sequence, so a run that is not known here does not exist.
void WorkerManager::reportUnknownRun(const Owner &owner, const RunId &id)
{
    const auto isEndOfRun = [&](const auto &item) { return item.second.run == id; };
    const bool hasEnded = std::any_of(m_ends.begin(), m_ends.end(), isEndOfRun);
    // An end has been sent, or follows with the answer to the owner's claim.
    if (!m_listsKnown || owner.reportDue || hasEnded)
        return;
    m_effects.sendLost(*owner.entry, id, LostCause::Unknown);
}

void WorkerManager::sendStop(Run &run, Millis now)
{
    run.phase = RunPhase::Stopping;
    run.nextStop = now + m_options.lease;
    m_effects.callStop({.run = run.order.run,
                        .fence = m_fence,
                        .worker = worker() ? std::string_view(worker()->worker) : std::string_view()});
}

void WorkerManager::stopAnswered(const RunId &id, OrderAnswer answer, std::optional<Millis> workerClock,
                                 Millis now)
{
    if (workerClock)
        recordClock(*workerClock, now);
    const auto found = m_runs.find(id);
    if (found == m_runs.end())
        return;
    Run &run = found->second;
    if (answer == OrderAnswer::Done) {
        // Lists requested from now on contain the run, its end, or neither if the run never started.
        run.listedFromPoll = m_lastListPoll + 1;
        run.nextStop = {INT64_MAX};
        run.stopAccepted = true;
        m_needsListsNow = true;
        return;
    }
    if (answer == OrderAnswer::Fenced)
        m_fence += fenceIncrement;
    const uint32_t doublings = std::min(run.unansweredStops++, maxStopRetryDoublings);
    run.nextStop = now + firstStopRetry * (int64_t{1} << doublings);
}

void WorkerManager::rejectQueued(RejectReason reason, Millis now)
{
    for (auto item = m_runs.begin(); item != m_runs.end();) {
        if (item->second.phase != RunPhase::Queued) {
            ++item;
            continue;
        }
        const RunId id = item->first;
        const Owner &owner = ownerOf(id);
        m_log.write(now, "run_refused",
                    {{"job", jobIdText(id.task.job)},
                     {"task", taskIdText(id.task)},
                     {"run", id.number},
                     {"reason", fleet::EnumNameRejectReason(reason)}});
        if (owner.entry)
            m_effects.sendRejected(*owner.entry, id, reason);
        item = m_runs.erase(item);
        m_reportChanged = true;
    }
}

void WorkerManager::drain(Millis now)
{
    m_draining = true;
    m_reportChanged = true;
    rejectQueued(RejectReason::Draining, now);
}

// Load pattern: long tasks occupy one worker while others have free resources. An order that has been queued
// for too long is returned to its owner, which knows the free resources of all workers. So is one of an owner
// that is unresponsive but connected.
void WorkerManager::returnOverdueOrders(Millis now)
{
    for (auto item = m_runs.begin(); item != m_runs.end();) {
        const RunId id = item->first;
        const Run &run = item->second;
        const Owner &owner = ownerOf(id);
        const bool isOverdue = now - run.orderedAt >= m_options.maxQueueTime;
        const bool isOwnerSilent = now - owner.lastContact > m_options.ownerTimeout;
        if (run.phase != RunPhase::Queued || (!isOverdue && !isOwnerSilent)) {
            ++item;
            continue;
        }
        if (owner.entry) {
            m_effects.sendRejected(*owner.entry, id,
                                   isOwnerSilent ? RejectReason::Disconnected : RejectReason::NoRoom);
        }
        item = m_runs.erase(item);
        m_reportChanged = true;
    }
}

void WorkerManager::advance(Millis now)
{
    if (!m_listsKnown && now > m_leaseEnd) {
        // The lease has not been renewed since this process started, so no run exists on the worker.
        m_listsKnown = true;
        m_reportChanged = true;
    }
    if (m_promisedLeaseEnd && now > *m_promisedLeaseEnd) {
        m_promisedLeaseEnd.reset();
        m_reportChanged = true;
    }
    if (now > m_leaseEnd)
        leaseLapsed(now);
    expireFormerRuns(now);
    watchAbsence(now);
    forceLeaseLapse(now);
    checkOwners(now);
    returnOverdueOrders(now);
    for (auto &[id, run] : m_runs) {
        if (run.phase == RunPhase::Stopping && now >= run.nextStop)
            sendStop(run, now);
    }
    m_speedEstimate = m_speed.estimate(now);
    startQueued(now);
    reportClaims(now);
    sendLeaseBounds(now);
    sendListPolls(now);
    if (worker() && m_offer.isTurnOver(freeResources().cpuMilli, worker()->capacity.cpuMilli, now))
        m_offer.passTurn(connectedOwners(), now);
    m_reportChanged = m_offer.takeTurnChange() || m_reportChanged;
}

fleet::WorkerReportT WorkerManager::report() const
{
    fleet::WorkerReportT report;
    report.usable = isUsable() && allSizesKnown();
    if (!worker())
        return report;
    report.worker = worker()->worker;
    report.born = worker()->born;
    report.service = worker()->service;
    report.zone = worker()->zone;
    report.labels = worker()->labels;
    report.draining = worker()->draining;
    const Resources &capacity = worker()->capacity;
    report.cpu_milli = static_cast<uint32_t>(capacity.cpuMilli);
    report.memory_mb = static_cast<uint32_t>(capacity.memoryMb);
    report.accelerators = static_cast<uint32_t>(capacity.accelerators);
    const Resources free = freeResources();
    report.free_cpu_milli = static_cast<int32_t>(free.cpuMilli);
    report.free_memory_mb = static_cast<int32_t>(free.memoryMb);
    report.free_accelerators = static_cast<int32_t>(free.accelerators);
    report.queued_cpu_milli = queuedResources().cpuMilli;
    // 0 would mean that the number is not limited.
    report.free_runs = static_cast<uint32_t>(std::max<int64_t>(1, freeSlots()));
    // A change of the speed makes no report due: it is sent with the next one.
    if (m_speedEstimate.speed > 0) {
        report.speed_permille = static_cast<uint32_t>(std::lround(m_speedEstimate.speed * permille));
        report.speed_samples = static_cast<uint32_t>(std::lround(m_speedEstimate.samples));
    }
    return report;
}

fleet::WorkerReportT WorkerManager::reportFor(fleet::WorkerReportT report, EntryNumber entry) const
{
    report.orders = ordersReceived(entry);
    report.free_cpu_milli =
        static_cast<int32_t>(m_offer.freeCpuFor(entry, report.free_cpu_milli, report.cpu_milli));
    return report;
}

uint64_t WorkerManager::ordersReceived(EntryNumber entry) const
{
    const auto found = m_ordersReceived.find(entry);
    return found == m_ordersReceived.end() ? 0 : found->second;
}

bool WorkerManager::isIdle() const
{
    return m_listsKnown && m_runs.empty() && m_formerRuns.empty()
        && std::all_of(m_ends.begin(), m_ends.end(), [](const auto &item) { return item.second.stored; });
}

void WorkerManager::watchAbsence(Millis now)
{
    const bool isGone = m_workerLeaves || m_listPollFailures >= failuresUntilUnusable;
    if (!isGone || now <= m_leaseEnd || !isIdle())
        m_withoutWorkerSince.reset();
    else if (!m_withoutWorkerSince)
        m_withoutWorkerSince = now;
}

Millis WorkerManager::withoutWorkerFor(Millis now) const
{
    return m_withoutWorkerSince ? now - *m_withoutWorkerSince : Millis{0};
}

void WorkerManager::setRegistered(bool isRegistered)
{
    m_reportChanged = m_reportChanged || m_isRegistered != isRegistered;
    m_isRegistered = isRegistered;
}

bool WorkerManager::takeReportChange()
{
    return std::exchange(m_reportChanged, false);
}

} // namespace turmericwell
