// The worker's lists of runs, and the calls that renew its lease.
#include "worker/workerkeeper.h"

#include "jobs/jobbook.h"

#include <algorithm>

namespace turmericwell {

// Pause before the next call when the worker answered at once without news, as it does while it lists ends
// that are not confirmed yet.
constexpr Millis pauseWithoutNews = {20};
constexpr Millis pauseAfterFailure = {50};

void WorkerKeeper::newWorkerLife(Millis now)
{
    loseRuns("worker restarted", now);
    rejectQueued(RejectReason::NoWorker, now);
    m_ends.clear();
    m_lastEnd = 0;
    m_listsKnown = false;
    m_leaseEnd = now;
    m_reportChanged = true;
}

void WorkerKeeper::loseRun(const RunId &id, std::string_view cause, Millis now)
{
    const Owner &owner = ownerOf(id);
    m_log.write(now, "run_lost",
                {{"job", jobIdText(id.task.job)},
                 {"task", taskIdText(id.task)},
                 {"run", id.number},
                 {"cause", cause}});
    if (owner.entry)
        m_effects.tellEnded(*owner.entry, id, EndKind::Lost, {});
    m_runs.erase(id);
    m_reportChanged = true;
}

void WorkerKeeper::loseRuns(std::string_view cause, Millis now)
{
    std::vector<RunId> lost;
    for (const auto &[id, run] : m_runs) {
        if (run.phase != RunPhase::Queued)
            lost.push_back(id);
    }
    for (const RunId &id : lost)
        loseRun(id, cause, now);
}

void WorkerKeeper::mergeRunning(const WorkerLists &lists, Millis now)
{
    for (const ListedRun &listed : lists.running) {
        const auto [item, isNew] = m_runs.try_emplace(listed.run);
        Run &run = item->second;
        run.listedFrom = now;
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
            m_effects.tellStarted(*owner.entry, listed.run);
    }
}

void WorkerKeeper::noteEnd(const ListedEnd &listed, Millis now)
{
    const Owner &owner = ownerOf(listed.run);
    m_runs.erase(listed.run);
    m_ends[listed.number] = {.run = listed.run, .kind = listed.kind, .checkpoint = listed.checkpoint};
    m_lastEnd = std::max(m_lastEnd, listed.number);
    m_reportChanged = true;
    m_holdBroughtNews = true;
    m_log.write(now, "run_end_listed",
                {{"job", jobIdText(listed.run.task.job)},
                 {"task", taskIdText(listed.run.task)},
                 {"run", listed.run.number},
                 {"how", fleet::EnumNameEndKind(listed.kind)},
                 {"end", listed.number}});
    if (owner.entry && !owner.reportDue)
        m_effects.tellEnded(*owner.entry, listed.run, listed.kind, listed.checkpoint);
}

void WorkerKeeper::mergeEnded(const WorkerLists &lists, Millis now)
{
    for (const ListedEnd &listed : lists.ended) {
        if (listed.number > m_lastEnd)
            noteEnd(listed, now);
    }
}

void WorkerKeeper::loseUnlisted(const WorkerLists &lists, Millis now)
{
    std::set<RunId> running;
    for (const ListedRun &listed : lists.running)
        running.insert(listed.run);
    std::vector<RunId> lost;
    for (const auto &[id, run] : m_runs) {
        if (run.listedFrom && *run.listedFrom < m_holdSentAt && !running.contains(id))
            lost.push_back(id);
    }
    for (const RunId &id : lost)
        loseRun(id, "not listed", now);
}

uint64_t WorkerKeeper::endsStoredThrough() const
{
    uint64_t through = m_lastEnd;
    for (const auto &[number, end] : m_ends) {
        if (!end.stored) {
            through = number - 1;
            break;
        }
    }
    return through;
}

void WorkerKeeper::holdAnswered(OrderAnswer answer, const WorkerLists &lists, Millis now)
{
    m_holdInFlight = false;
    m_holdBroughtNews = false;
    if (answer != OrderAnswer::Done) {
        if (answer == OrderAnswer::Fenced)
            m_fence += 1;
        ++m_holdFailures;
        m_reportChanged = true;
        m_holdNotBefore = now + pauseAfterFailure;
        if (m_holdFailures == 1)
            m_log.always(now, "worker_call_failed", {{"answer", orderAnswerName(answer)}});
        return;
    }
    const int64_t born = m_worker ? m_worker->born : 0;
    if (born != 0 && lists.born != 0 && lists.born != born) {
        // A new life answers before it has announced itself; its announcement follows.
        if (lists.born > born) {
            newWorkerLife(now);
            m_leastBorn = lists.born;
            m_worker.reset();
        }
        m_holdNotBefore = now + pauseAfterFailure;
        return;
    }
    if (m_holdFailures > 0) {
        m_log.always(now, "worker_call_works", {{"failures", m_holdFailures}});
        m_reportChanged = true;
    }
    m_holdFailures = 0;
    noteClock(lists.workerClock, now);
    if (!m_listsKnown) {
        m_listsKnown = true;
        m_reportChanged = true;
    }
    mergeEnded(lists, now);
    mergeRunning(lists, now);
    loseUnlisted(lists, now);
    const uint64_t through = endsStoredThrough();
    std::erase_if(m_ends, [&](const auto &item) { return item.first <= through && item.second.stored; });
    const bool answeredAtOnce = now - m_holdSentAt < m_options.holdWait / 2;
    m_holdNotBefore = !m_holdBroughtNews && answeredAtOnce ? now + pauseWithoutNews : now;
    reportClaims(now);
    startQueued(now);
    nextHold(now);
}

void WorkerKeeper::nextHold(Millis now)
{
    if (m_holdInFlight || now < m_holdNotBefore)
        return;
    m_holdInFlight = true;
    m_holdSentAt = now;
    // Before the first answer the worker's clock is not known; a deadline of zero renews nothing.
    const bool clockKnown = m_clockSampledAt.count != 0;
    // Nor does a call after one that was not answered: if the worker is gone, its runs count as lost once the
    // last lease that may have been granted has lapsed, and each renewal would put that off.
    const bool renews = clockKnown && m_holdFailures == 0;
    const Millis deadline = renews ? workerNow(now) + m_options.lease : Millis{0};
    if (renews)
        noteLease(deadline, now);
    m_effects.callHold({.deadline = deadline,
                        .fence = m_fence,
                        .endsStored = endsStoredThrough(),
                        .wait = clockKnown ? m_options.holdWait : Millis{0},
                        .worker = m_worker ? std::string_view(m_worker->worker) : std::string_view()});
}

} // namespace turmericwell
