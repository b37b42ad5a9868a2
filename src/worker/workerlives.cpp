// Announcements and lives of the worker, and the runs that a former life may still execute.
#include "worker/workermanager.h"

#include "jobs/jobscheduler.h"

#include <algorithm>

namespace turmericwell {

// Pause before the next list poll when lists have shown another life.
constexpr Millis pauseAfterNewLife = {50};

void WorkerManager::logAnnouncement(std::string_view event, const WorkerAnnouncement &announcement,
                                    std::string_view cause, Millis now)
{
    m_log.write(now, event,
                {{"worker", announcement.worker},
                 {"service", announcement.service},
                 {"address", announcement.address},
                 {"born", announcement.born},
                 {"sequence", announcement.sequence},
                 {"draining", announcement.draining},
                 {"cpu_milli", announcement.capacity.cpuMilli},
                 {"cause", cause},
                 {"known_worker", worker() ? std::string_view(worker()->worker) : std::string_view()},
                 {"runs", m_runs.size()}});
}

AnnouncementOutcome WorkerManager::announced(const WorkerAnnouncement &announcement, Millis now)
{
    const bool wasKnown = worker().has_value();
    const bool wasDraining = wasKnown && worker()->draining;
    const bool hadCandidate = m_calledWorker.hasCandidate();
    const AnnouncementOutcome outcome = m_calledWorker.announced(announcement, m_lastListPoll + 1);
    if (outcome == AnnouncementOutcome::OfAnotherWorker)
        logAnnouncement("announcement_refused", announcement, "another worker is called", now);
    if (outcome == AnnouncementOutcome::Candidate) {
        if (!hadCandidate)
            logAnnouncement("announcement_unconfirmed", announcement, "another worker or life", now);
        // The worker may have started again, so its ends may be numbered from 1.
        m_restartSuspectedUntilPoll = m_lastListPoll + 1;
        m_needsListsNow = true;
        sendListPolls(now);
    }
    if (outcome != AnnouncementOutcome::Accepted)
        return outcome;
    m_workerLeaves = false;
    if (!wasKnown || wasDraining != announcement.draining)
        workerAdopted(now);
    startQueued(now);
    return outcome;
}

void WorkerManager::workerAdopted(Millis now)
{
    logAnnouncement("worker_announced", *worker(), "", now);
    m_workerLeaves = false;
    m_reportChanged = true;
    if (worker()->draining)
        rejectQueued(RejectReason::Draining, now);
}

bool WorkerManager::deregistered(std::string_view name, Millis now, int64_t born)
{
    const bool isAnotherKnown = worker().has_value();
    if (!m_calledWorker.deregistered(name, born)) {
        m_log.write(now, "deregistration_ignored",
                    {{"worker", name}, {"born", born}, {"another_known", isAnotherKnown}});
        return !isAnotherKnown;
    }
    m_log.always(now, "worker_deregistered", {{"worker", name}, {"runs", m_runs.size()}});
    // The worker is still up while it waits for the answer, and longer if the answer is lost, so its runs are
    // lost only when the lease has lapsed.
    rejectQueued(RejectReason::NoWorker, now);
    m_workerLeaves = true;
    m_reportChanged = true;
    return true;
}

void WorkerManager::workerDenied(std::string_view named, Millis now)
{
    const std::optional<WorkerAnnouncement> before = worker();
    if (!m_calledWorker.denied(named))
        return;
    logAnnouncement("announcement_refused", *before, "another worker answered", now);
    m_restartSuspectedUntilPoll = m_lastListPoll + 1;
    m_reportChanged = true;
    rejectQueued(RejectReason::NoWorker, now);
}

// An order that was sent before the new life was known may have reached either life, since both may have the
// same name. Runs that were never listed are therefore retained until the lists of the new life show whether
// they exist there.
void WorkerManager::startNewLife(int64_t born, Millis now)
{
    std::vector<RunId> listed;
    for (auto &[id, run] : m_runs) {
        if (run.phase == RunPhase::Queued)
            continue;
        if (run.isListed) {
            listed.push_back(id);
            continue;
        }
        run.formerLeaseEnd = m_leaseEnd;
        if (run.listedFromPoll)
            run.listedFromPoll = m_lastListPoll + 1;
        // Only the former life knows that it has been stopped.
        if (run.phase == RunPhase::Stopping) {
            run.stopAccepted = false;
            run.nextStop = now;
        }
    }
    // A new life has seen no fencing token and has a new clock, so it would carry out an order to the former
    // one that is still on its way, as far as neither the name nor the deadline of the order tells them
    // apart. The next call, which has a higher token, makes it reject such an order.
    ++m_fence;
    m_log.always(now, "worker_life_changed",
                 {{"born", born},
                  {"known", worker().has_value()},
                  {"runs", m_runs.size()},
                  {"retained_runs", listed.size()},
                  {"lease_left_ms", m_leaseEnd - now},
                  {"fence", m_fence}});
    for (const RunId &id : listed)
        retainFormerRun(id, m_leaseEnd, now);
    rejectQueued(RejectReason::NoWorker, now);
    m_recentEnds.clear();
    m_ends.clear();
    m_lastEnd = 0;
    m_lapsedAfterEnd = 0;
    m_lapseForced = false;
    m_newestLists = {};
    m_newestClock = {};
    m_speed.reset();
    m_speedEstimate = {};
    // Until the lists show where these runs are, their starts are no evidence of the new life's speed.
    for (auto &[id, run] : m_runs)
        run.startedAt = {};
    for (auto &[number, poll] : m_listPolls)
        poll.clockBefore = {};
    m_listsKnown = false;
    m_reportChanged = true;
}

void WorkerManager::retainFormerRun(const RunId &id, Millis leaseEnd, Millis now)
{
    auto run = m_runs.extract(id);
    run.mapped().formerLeaseEnd = leaseEnd;
    m_formerRuns.insert(std::move(run));
    m_reportChanged = true;
    m_log.write(now, "run_of_former_life",
                {{"job", jobIdText(id.task.job)},
                 {"task", taskIdText(id.task)},
                 {"run", id.number},
                 {"lease_left_ms", leaseEnd - now}});
}

void WorkerManager::expireFormerRuns(Millis now)
{
    std::vector<RunId> over;
    for (const auto &[id, run] : m_formerRuns) {
        if (now > *run.formerLeaseEnd)
            over.push_back(id);
    }
    for (const RunId &id : over) {
        m_formerRuns.erase(id);
        reportRunLost(id, LostCause::FormerLifeEnded, now);
    }
}

bool WorkerManager::acceptLife(const WorkerLists &lists, uint64_t number, ListPoll &poll, Millis now)
{
    const std::optional<WorkerAnnouncement> before = worker();
    const bool hadCandidate = m_calledWorker.hasCandidate();
    const ListsOrigin origin = m_calledWorker.listed(lists.born, poll.worker, number, m_lastListPoll + 1);
    if (origin == ListsOrigin::FormerLife) {
        listPollFailed(OrderAnswer::WrongWorker, now);
        m_nextListPollAt = now + pauseAfterNewLife;
        return false;
    }
    if (origin == ListsOrigin::NewLife) {
        // A new life answers before its announcement has arrived. Its lists are merged, because a poll that
        // was sent to the former life may have made it discard the ends that they contain.
        m_nextListPollAt = now + pauseAfterNewLife;
        startNewLife(lists.born, now);
        poll.clockBefore = {};
    }
    const bool isNewWorker =
        worker() && (!before || before->worker != worker()->worker || before->born != worker()->born);
    if (isNewWorker)
        workerAdopted(now);
    else if (hadCandidate && !m_calledWorker.hasCandidate())
        m_log.write(now, "announcement_refuted", {{"born", lists.born}, {"worker", poll.worker}});
    return true;
}

} // namespace turmericwell
