// Merging of the worker's lists of runs and ends, and the list polls that renew its lease.
#include "worker/workermanager.h"

#include "jobs/jobscheduler.h"

#include <algorithm>

namespace turmericwell {

// Pause before the next list poll if the worker answered at once without new ends, as it does while it lists
// ends that have not been confirmed.
constexpr Millis pauseWithoutNewEnds = {20};
constexpr Millis pauseAfterFailure = {50};
// More than the runs that can end within the time by which one answer can overtake another.
constexpr size_t maxRecentEnds = 256;

void WorkerManager::reportRunLost(const RunId &id, LostCause cause, Millis now)
{
    const Owner &owner = ownerOf(id);
    m_log.write(now, "run_lost",
                {{"job", jobIdText(id.task.job)},
                 {"task", taskIdText(id.task)},
                 {"run", id.number},
                 {"cause", fleet::EnumNameLostCause(cause)}});
    if (owner.entry)
        m_effects.sendLost(*owner.entry, id, cause);
    m_runs.erase(id);
    m_reportChanged = true;
}

void WorkerManager::reportStartedRunsLost(LostCause cause, Millis now)
{
    std::vector<RunId> lost;
    for (const auto &[id, run] : m_runs) {
        if (run.phase != RunPhase::Queued)
            lost.push_back(id);
    }
    reportRunsLost(lost, cause, now);
}

void WorkerManager::reportRunsLost(std::span<const RunId> runs, LostCause cause, Millis now)
{
    for (const RunId &id : runs)
        reportRunLost(id, cause, now);
}

void WorkerManager::leaseLapsed(Millis now)
{
    m_lapsedAfterEnd = m_lastEnd;
    // After a forced lapse the worker can be used again.
    m_reportChanged = std::exchange(m_lapseForced, false) || m_reportChanged;
    if (m_listPollFailures >= failuresUntilUnusable) {
        reportStartedRunsLost(LostCause::LeaseLapsed, now);
        return;
    }
    // This process was paused. The worker may have finished the runs before the lease lapsed; lists requested
    // from now on show whether it has.
    for (auto &[id, run] : m_runs) {
        if (run.phase == RunPhase::Queued || run.listedFromPoll)
            continue;
        run.listedFromPoll = m_lastListPoll + 1;
        m_needsListsNow = true;
    }
}

void WorkerManager::mergeRunning(const WorkerLists &lists, Millis now)
{
    for (const ListedRun &listed : lists.running) {
        if (std::find(m_recentEnds.begin(), m_recentEnds.end(), listed.run) != m_recentEnds.end())
            continue;
        if (auto former = m_formerRuns.extract(listed.run))
            m_runs.insert(std::move(former));
        const auto [item, isNew] = m_runs.try_emplace(listed.run);
        Run &run = item->second;
        run.listedFromPoll = m_lastListPoll + 1;
        run.isListed = true;
        run.formerLeaseEnd.reset();
        if (!isNew) {
            if (run.phase != RunPhase::Starting)
                continue;
            run.phase = RunPhase::Running;
        } else {
            run.phase = RunPhase::Running;
            run.sizeKnown = false;
            run.order.run = listed.run;
            run.order.partition = partitionOf(listed.run.task.job, m_options.partitions);
            m_reportChanged = true;
            m_log.write(now, "run_found",
                        {{"job", jobIdText(listed.run.task.job)},
                         {"task", taskIdText(listed.run.task)},
                         {"run", listed.run.number}});
        }
        const Owner &owner = ownerOf(listed.run);
        if (owner.entry && !owner.reportDue)
            m_effects.sendStarted(*owner.entry, listed.run);
    }
}

void WorkerManager::recordSpeed(const Run &run, EndKind kind, Millis now)
{
    const bool isUndisturbed = kind == EndKind::Done && run.phase == RunPhase::Running;
    const bool isMeasured = run.startedAt.count != 0 && run.order.expected.count > 0;
    if (m_options.learnWorkerSpeeds && isUndisturbed && isMeasured)
        m_speed.runCompleted(run.order.expected, now - run.startedAt, now);
}

void WorkerManager::recordEnd(const ListedEnd &listed, Millis now)
{
    const Owner &owner = ownerOf(listed.run);
    const auto run = m_runs.find(listed.run);
    const bool bestEffort = run != m_runs.end() && run->second.order.bestEffort;
    if (run != m_runs.end())
        recordSpeed(run->second, listed.kind, now);
    recordRecentEnd(listed.run);
    m_runs.erase(listed.run);
    m_formerRuns.erase(listed.run);
    m_ends[listed.number] = {
        .run = listed.run, .kind = listed.kind, .checkpoint = listed.checkpoint, .bestEffort = bestEffort};
    m_lastEnd = std::max(m_lastEnd, listed.number);
    m_reportChanged = true;
    m_hasNewEnds = true;
    m_log.write(now, "run_end_listed",
                {{"job", jobIdText(listed.run.task.job)},
                 {"task", taskIdText(listed.run.task)},
                 {"run", listed.run.number},
                 {"how", fleet::EnumNameEndKind(listed.kind)},
                 {"end", listed.number}});
    if (!owner.entry)
        return;
    m_offer.runEnded(*owner.entry, now);
    if (!owner.reportDue)
        m_effects.sendEnded(*owner.entry, listed.run, listed.kind, listed.checkpoint);
}

void WorkerManager::mergeEnded(const WorkerLists &lists, Millis now)
{
    for (const ListedEnd &listed : lists.ended) {
        if (listed.number > m_lastEnd)
            recordEnd(listed, now);
    }
}

void WorkerManager::reportUnlistedRunsLost(const WorkerLists &lists, uint64_t number, const ListPoll &poll,
                                           Millis now)
{
    std::set<RunId> running;
    for (const ListedRun &listed : lists.running)
        running.insert(listed.run);
    std::vector<RunId> lost;
    for (const auto &[id, run] : m_runs) {
        if (run.listedFromPoll && *run.listedFromPoll <= number && !running.contains(id))
            lost.push_back(id);
    }
    // The ends of these runs may be behind those in the list.
    const bool isEndListFull = lists.ended.size() >= mostListedEnds;
    if (!lost.empty()) {
        m_log.write(now, "runs_not_listed",
                    {{"poll", number},
                     {"runs", lost.size()},
                     {"listed", lists.running.size()},
                     {"end_list_full", isEndListFull},
                     {"polled_ms_ago", now - poll.sentAt},
                     {"worker_clock", lists.workerClock},
                     {"clock_before_poll", poll.clockBefore}});
    }
    if (isEndListFull)
        return;
    for (const RunId &id : lost) {
        const std::optional<Millis> formerLeaseEnd = m_runs.at(id).formerLeaseEnd;
        if (formerLeaseEnd)
            retainFormerRun(id, *formerLeaseEnd, now);
        else
            reportRunLost(id, LostCause::NotListed, now);
    }
}

bool WorkerManager::mayConfirm(uint64_t number, const End &end) const
{
    if (end.isDisputed && number > m_lapsedAfterEnd)
        return false;
    return end.stored || end.bestEffort;
}

bool WorkerManager::hasDisputedEnds() const
{
    return std::any_of(m_ends.upper_bound(m_lapsedAfterEnd), m_ends.end(),
                       [](const auto &item) { return item.second.isDisputed; });
}

bool WorkerManager::hasUnclaimedRuns() const
{
    return std::any_of(m_runs.begin(), m_runs.end(), [&](const auto &item) {
        const auto owner = m_owners.find(partitionOf(item.first.task.job, m_options.partitions));
        return owner == m_owners.end() || owner->second.epoch == 0;
    });
}

bool WorkerManager::hasUnstoppableRuns(Millis now) const
{
    return std::any_of(m_runs.begin(), m_runs.end(), [&](const auto &item) {
        const Run &run = item.second;
        if (run.phase == RunPhase::Queued || run.stopAccepted)
            return false;
        const auto owner = m_owners.find(partitionOf(item.first.task.job, m_options.partitions));
        const Millis lastContact = owner == m_owners.end() ? m_startedAt : owner->second.lastContact;
        return now - lastContact > m_options.ownerLeaseLimit;
    });
}

void WorkerManager::forceLeaseLapse(Millis now)
{
    if (m_lapseForced)
        return;
    const bool retainsTooManyEnds = m_ends.size() > m_options.maxRetainedEnds && hasDisputedEnds();
    const bool hasUnstoppable = hasUnstoppableRuns(now);
    if (!retainsTooManyEnds && !hasUnstoppable)
        return;
    m_lapseForced = true;
    m_reportChanged = true;
    m_log.always(now, "lease_given_up",
                 {{"ends", m_ends.size()}, {"runs", m_runs.size()}, {"unstoppable_runs", hasUnstoppable}});
}

uint64_t WorkerManager::endsStoredThrough() const
{
    uint64_t through = m_lastEnd;
    for (const auto &[number, end] : m_ends) {
        if (!mayConfirm(number, end)) {
            through = number - 1;
            break;
        }
    }
    return through;
}

void WorkerManager::recordRecentEnd(const RunId &run)
{
    m_recentEnds.push_back(run);
    if (m_recentEnds.size() > maxRecentEnds)
        m_recentEnds.pop_front();
}

void WorkerManager::mergeLists(const WorkerLists &lists, uint64_t number, const ListPoll &poll, Millis now)
{
    mergeEnded(lists, now);
    // Lists that were overtaken by newer ones do not show the current runs.
    if (lists.workerClock < m_newestLists)
        return;
    m_newestLists = lists.workerClock;
    mergeRunning(lists, now);
    if (lists.workerClock > poll.clockBefore)
        reportUnlistedRunsLost(lists, number, poll, now);
}

void WorkerManager::recordPollAnswer(uint64_t number, const WorkerLists &lists, Millis now)
{
    if (m_listPollFailures >= failuresUntilUnusable) {
        m_log.always(now, "worker_call_works", {{"failures", m_listPollFailures}});
        m_reportChanged = true;
    }
    m_listPollFailures = 0;
    m_answersOfOtherCalls = 0;
    recordClock(lists.workerClock, now);
    if (m_restartSuspectedUntilPoll && number >= *m_restartSuspectedUntilPoll)
        m_restartSuspectedUntilPoll.reset();
    if (!m_listsKnown) {
        m_listsKnown = true;
        m_reportChanged = true;
    }
}

void WorkerManager::recordAnswerOfAnotherCall(uint64_t number, const WorkerLists &lists, const ListPoll &poll,
                                              Millis now)
{
    m_log.write(now, "answer_of_another_call",
                {{"poll", number},
                 {"polled_ms_ago", now - poll.sentAt},
                 {"worker_clock", lists.workerClock},
                 {"clock_before_poll", poll.clockBefore},
                 {"listed", lists.running.size()}});
    // Until a later poll is answered, the worker may have restarted.
    m_restartSuspectedUntilPoll = m_lastListPoll + 1;
    m_needsListsNow = true;
    // The connection of such an answer is closed, so there is at most one on each. More in a row show that
    // the newest known clock is wrong, for example that of a former incarnation.
    if (++m_answersOfOtherCalls > m_options.parallelListPolls + 1) {
        m_answersOfOtherCalls = 0;
        m_newestClock = lists.workerClock;
    }
}

void WorkerManager::listPollFailed(OrderAnswer answer, Millis now)
{
    if (answer == OrderAnswer::Fenced)
        m_fence += 1;
    ++m_listPollFailures;
    m_reportChanged = true;
    if (m_listPollFailures < failuresUntilUnusable) {
        m_needsListsNow = true;
        return;
    }
    m_nextListPollAt = now + pauseAfterFailure;
    if (m_listPollFailures == failuresUntilUnusable)
        m_log.always(now, "worker_call_failed", {{"answer", orderAnswerName(answer)}});
}

void WorkerManager::listPollAnswered(uint64_t number, OrderAnswer answer, const WorkerLists &lists,
                                     Millis now)
{
    const auto found = m_listPolls.find(number);
    if (found == m_listPolls.end())
        return;
    ListPoll poll = found->second;
    m_listPolls.erase(found);
    if (answer != OrderAnswer::Done) {
        if (answer == OrderAnswer::WrongWorker)
            workerDenied(poll.worker, now);
        listPollFailed(answer, now);
        sendListPolls(now);
        return;
    }
    if (!acceptLife(lists, number, poll, now))
        return;
    if (lists.workerClock < poll.clockBefore) {
        recordAnswerOfAnotherCall(number, lists, poll, now);
        sendListPolls(now);
        return;
    }
    const bool isProven = lists.workerClock > poll.clockBefore;
    if (isProven)
        recordPollAnswer(number, lists, now);
    else
        // The worker's clock counts milliseconds, so these lists may be those of an earlier poll. Until a
        // later poll is answered, the worker may have restarted.
        m_restartSuspectedUntilPoll = m_lastListPoll + 1;
    m_hasNewEnds = false;
    mergeLists(lists, number, poll, now);
    const uint64_t through = endsStoredThrough();
    std::erase_if(m_ends, [&](const auto &item) { return item.first <= through && item.second.stored; });
    const bool answeredEarly = now - poll.sentAt < poll.wait / 2;
    if (!m_hasNewEnds && answeredEarly)
        m_nextListPollAt = now + pauseWithoutNewEnds;
    reportClaims(now);
    startQueued(now);
    sendListPolls(now);
    // Requested with the next event, when the worker's clock has advanced.
    m_needsListsNow = m_needsListsNow || !isProven;
}

void WorkerManager::sendListPoll(Millis wait, Millis now)
{
    const uint64_t number = ++m_lastListPoll;
    m_listPolls[number] = {.sentAt = now,
                           .wait = wait,
                           .clockBefore = m_newestClock,
                           .worker = worker() ? worker()->worker : std::string()};
    // Before the first answer the worker's clock is unknown; a deadline of zero renews nothing.
    const bool clockKnown = m_clockSampledAt.count != 0;
    // After an unanswered poll the worker may have restarted and number its ends from 1 again, so the next
    // poll confirms none. It does not renew the lease either: if the worker has failed, its runs count as
    // lost once the last lease that may have been granted has lapsed, and each renewal would delay that.
    // Without runs, a lapse of the lease costs nothing and allows disputed ends to be confirmed.
    const bool letLeaseLapse = m_lapseForced || m_promisedLeaseEnd || m_workerLeaves || !m_isRegistered
        || hasUnclaimedRuns() || (m_runs.empty() && hasDisputedEnds());
    const bool renews = clockKnown && m_listPollFailures == 0 && !letLeaseLapse;
    const Millis deadline = renews ? workerNow(now) + m_options.lease : Millis{0};
    if (renews)
        extendLease(deadline, now);
    m_effects.callListPoll({.number = number,
                            .deadline = deadline,
                            .fence = m_fence,
                            .endsStored = mayConfirmEnds() ? endsStoredThrough() : 0,
                            .wait = wait,
                            .worker = m_listPolls.at(number).worker});
}

// Load pattern: lost answers of workers that run short tasks. With a single list poll in flight, each lost
// answer would hide all ends until its timeout.
void WorkerManager::sendListPolls(Millis now)
{
    // After a pause of this process no timer may have run yet.
    forceLeaseLapse(now);
    const bool isWorkerInDoubt = m_listPollFailures > 0 || m_clockSampledAt.count == 0;
    if (m_needsListsNow && m_listPolls.size() <= m_options.parallelListPolls) {
        m_needsListsNow = false;
        sendListPoll({0}, now);
    }
    const size_t wanted = m_runs.empty() || isWorkerInDoubt ? 1 : m_options.parallelListPolls;
    while (now >= m_nextListPollAt && m_listPolls.size() < wanted) {
        const Millis wait = m_runs.empty() ? m_options.idleListPollWait : m_options.listPollWait;
        sendListPoll(isWorkerInDoubt ? Millis{0} : wait, now);
    }
}

} // namespace turmericwell
