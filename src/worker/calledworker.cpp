// Decides which announcement belongs to the worker at the called address.
#include "worker/calledworker.h"

#include <algorithm>

namespace turmericwell {

static bool isSameLife(const WorkerAnnouncement &a, const WorkerAnnouncement &b)
{
    return a.worker == b.worker && a.born == b.born;
}

// An announcement without an address may be of any worker.
bool CalledWorker::isAddressedHere(const WorkerAnnouncement &announcement) const
{
    return announcement.address.empty() || m_address.empty() || announcement.address == m_address;
}

AnnouncementOutcome CalledWorker::announced(const WorkerAnnouncement &announcement, uint64_t nextPoll)
{
    if (announcement.born < m_earliestBorn || announcement.born < m_life)
        return AnnouncementOutcome::Outdated;
    if (m_denied && isSameLife(*m_denied, announcement))
        return AnnouncementOutcome::OfAnotherWorker;
    if (m_announcement && isSameLife(*m_announcement, announcement)) {
        if (announcement.sequence < m_announcement->sequence)
            return AnnouncementOutcome::Outdated;
        m_announcement = announcement;
        return AnnouncementOutcome::Accepted;
    }
    if (!isAddressedHere(announcement) && m_announcement)
        return AnnouncementOutcome::OfAnotherWorker;
    const bool isLifeOfLists = m_life == 0 || m_life == announcement.born;
    if (!m_announcement && isLifeOfLists && isAddressedHere(announcement)) {
        m_announcement = announcement;
        m_candidate.reset();
        return AnnouncementOutcome::Accepted;
    }
    if (m_candidate) {
        const bool isRepeated = isSameLife(*m_candidate, announcement);
        if (announcement.born < m_candidate->born
            || (isRepeated && announcement.sequence < m_candidate->sequence))
            return AnnouncementOutcome::Outdated;
        if (!isRepeated)
            m_candidateFromPoll = nextPoll;
    } else {
        m_candidateFromPoll = nextPoll;
    }
    m_candidate = announcement;
    return AnnouncementOutcome::Candidate;
}

bool CalledWorker::deregistered(std::string_view worker)
{
    if (!m_announcement || m_announcement->worker != worker)
        return false;
    m_earliestBorn = std::max(m_earliestBorn, m_announcement->born + 1);
    m_announcement.reset();
    return true;
}

void CalledWorker::adoptCandidate()
{
    m_announcement = std::move(m_candidate);
    m_candidate.reset();
}

void CalledWorker::startLife(int64_t born)
{
    m_life = born;
    m_earliestBorn = std::max(m_earliestBorn, born);
    m_denied.reset();
    m_announcement.reset();
    if (m_candidate && m_candidate->born < born)
        m_candidate.reset();
    else if (m_candidate && m_candidate->born == born)
        adoptCandidate();
}

ListsOrigin CalledWorker::listed(int64_t born, std::string_view worker, uint64_t poll)
{
    if (born < m_life)
        return ListsOrigin::FormerLife;
    if (m_life != 0 && born > m_life) {
        startLife(born);
        return ListsOrigin::NewLife;
    }
    if (m_life == 0 && born != 0 && m_announcement && m_announcement->born != born) {
        // The first lists contradict the announcement. A later one may be that of a life which starts just
        // now.
        if (m_announcement->born > born && !m_candidate) {
            m_candidate = m_announcement;
            m_candidateFromPoll = poll + 1;
        }
        startLife(born);
        return ListsOrigin::NewLife;
    }
    m_life = born;
    if (!m_candidate || poll < m_candidateFromPoll)
        return ListsOrigin::PresentLife;
    const bool isCandidatesLife = born == 0 || m_candidate->born == born;
    if (!m_announcement) {
        if (isCandidatesLife)
            adoptCandidate();
        return ListsOrigin::PresentLife;
    }
    if (worker != m_announcement->worker)
        return ListsOrigin::PresentLife;
    // Without the life in the lists, a worker that has started again under its name cannot be told from the
    // former.
    if (born == 0 && m_candidate->worker == m_announcement->worker) {
        adoptCandidate();
        return ListsOrigin::NewLife;
    }
    m_candidate.reset();
    return ListsOrigin::PresentLife;
}

bool CalledWorker::denied(std::string_view worker)
{
    if (worker.empty() || !m_announcement || m_announcement->worker != worker)
        return false;
    m_denied = std::move(m_announcement);
    m_announcement.reset();
    return true;
}

} // namespace turmericwell
