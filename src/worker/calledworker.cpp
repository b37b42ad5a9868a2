// Decides which announcement belongs to the worker at the called address.
#include "worker/calledworker.h"

#include <algorithm>
#include <utility>

namespace turmericwell {

// An answer of a former life may arrive late on each connection for list polls. More in a row show that the
// worker has started again after its time of day had gone back.
constexpr uint32_t earlierListsUntilBelieved = 4;

// An announcement that overtakes others arrives once. More in a row whose numbers rise show that the higher
// number was another writer's.
constexpr uint32_t lowerSequencesUntilBelieved = 3;

static bool isSameLife(const WorkerAnnouncement &a, const WorkerAnnouncement &b)
{
    return a.worker == b.worker && a.born == b.born;
}

// These fields do not change within a life; a difference shows another writer.
static bool isConsistent(const WorkerAnnouncement &a, const WorkerAnnouncement &b)
{
    const bool isSameAddress = a.address.empty() || b.address.empty() || a.address == b.address;
    return isSameAddress && a.service == b.service && a.zone == b.zone;
}

// An announcement without an address may be of any worker.
bool CalledWorker::isAddressedHere(const WorkerAnnouncement &announcement) const
{
    return announcement.address.empty() || m_address.empty() || announcement.address == m_address;
}

AnnouncementOutcome CalledWorker::announced(const WorkerAnnouncement &announcement, uint64_t nextPoll)
{
    if (m_announcement && isSameLife(*m_announcement, announcement))
        return update(announcement);
    if (m_announcement && !isAddressedHere(announcement))
        return AnnouncementOutcome::OfAnotherWorker;
    const bool isAnotherName = m_announcement && m_announcement->worker != announcement.worker;
    if (announcement.born < m_earliestBorn || announcement.born < m_life) {
        const bool isFormerLife = isAddressedHere(announcement) && !isAnotherName;
        return isFormerLife ? AnnouncementOutcome::Outdated : AnnouncementOutcome::OfAnotherWorker;
    }
    if (m_denied && isSameLife(*m_denied, announcement))
        return AnnouncementOutcome::OfAnotherWorker;
    const bool isLifeOfLists = m_life == 0 || m_life == announcement.born;
    if (!m_announcement && isLifeOfLists && isAddressedHere(announcement)) {
        m_announcement = announcement;
        m_candidate.reset();
        return AnnouncementOutcome::Accepted;
    }
    return propose(announcement, nextPoll);
}

AnnouncementOutcome CalledWorker::update(const WorkerAnnouncement &announcement)
{
    if (!isConsistent(*m_announcement, announcement))
        return AnnouncementOutcome::OfAnotherWorker;
    if (announcement.sequence < m_announcement->sequence && !isBackInSequence(announcement))
        return AnnouncementOutcome::Outdated;
    m_lowerSequences = 0;
    m_announcement = announcement;
    return AnnouncementOutcome::Accepted;
}

bool CalledWorker::isBackInSequence(const WorkerAnnouncement &announcement)
{
    const bool rises = m_lowerSequences > 0 && announcement.sequence > m_lowerSequence;
    m_lowerSequences = rises ? m_lowerSequences + 1 : 1;
    m_lowerSequence = announcement.sequence;
    // A late announcement must not end a drain.
    const bool endsDrain = m_announcement->draining && !announcement.draining;
    return m_lowerSequences >= lowerSequencesUntilBelieved && !endsDrain;
}

AnnouncementOutcome CalledWorker::propose(const WorkerAnnouncement &announcement, uint64_t nextPoll)
{
    const bool isRepeated = m_candidate && isSameLife(*m_candidate, announcement);
    if (m_candidate && announcement.born < m_candidate->born)
        return AnnouncementOutcome::Outdated;
    if (isRepeated && announcement.sequence < m_candidate->sequence)
        return AnnouncementOutcome::Outdated;
    if (!isRepeated)
        m_candidateFromPoll = nextPoll;
    m_candidate = announcement;
    // A worker that is not acknowledged announces itself to its own agent again.
    return isAddressedHere(announcement) ? AnnouncementOutcome::Candidate
                                         : AnnouncementOutcome::OfAnotherWorker;
}

bool CalledWorker::deregistered(std::string_view worker, int64_t born)
{
    if (!m_announcement || m_announcement->worker != worker)
        return false;
    if (born != 0 && m_announcement->born != born)
        return false;
    const bool isListedLife = m_listsSeen && (m_life == 0 || m_life == m_announcement->born);
    if (isListedLife)
        m_earliestBorn = std::max(m_earliestBorn, m_announcement->born + 1);
    m_announcement.reset();
    return true;
}

void CalledWorker::adoptCandidate()
{
    m_announcement = std::exchange(m_candidate, std::nullopt);
}

void CalledWorker::startLife(int64_t born)
{
    m_life = born;
    m_earliestBorn = born;
    m_denied.reset();
    m_announcement.reset();
    if (m_candidate && m_candidate->born < born)
        m_candidate.reset();
    else if (m_candidate && m_candidate->born == born)
        adoptCandidate();
}

bool CalledWorker::mayBeBelieved(uint64_t poll)
{
    return poll >= m_earlierFromPoll && ++m_earlierLists >= earlierListsUntilBelieved;
}

ListsOrigin CalledWorker::listed(int64_t born, std::string_view worker, uint64_t poll, uint64_t nextPoll)
{
    if (born != 0 && born < m_life && !mayBeBelieved(poll))
        return ListsOrigin::FormerLife;
    const bool wasSeen = std::exchange(m_listsSeen, true);
    m_earlierLists = 0;
    m_earlierFromPoll = nextPoll;
    if (born == 0)
        return listedWithoutLife(worker, poll);
    m_isDenied = false;
    const bool contradictsFirst = !wasSeen && m_announcement && m_announcement->born != born;
    // The announcement may be that of a life which starts just now.
    if (contradictsFirst && m_announcement->born > born && !m_candidate) {
        m_candidate = m_announcement;
        m_candidateFromPoll = nextPoll;
    }
    if ((m_life != 0 && born != m_life) || contradictsFirst) {
        startLife(born);
        return ListsOrigin::NewLife;
    }
    m_life = born;
    if (m_denied && m_denied->born == born && worker.empty())
        m_denied.reset();
    judgeCandidate(born, worker, poll);
    return ListsOrigin::PresentLife;
}

ListsOrigin CalledWorker::listedWithoutLife(std::string_view worker, uint64_t poll)
{
    const bool isOfAnother = std::exchange(m_isDenied, false);
    // A worker that has started again under its name cannot be told from the former.
    const bool hasStartedAgain = m_candidate && poll >= m_candidateFromPoll && m_announcement
        && worker == m_announcement->worker && m_candidate->worker == worker;
    if (hasStartedAgain)
        adoptCandidate();
    else
        judgeCandidate(0, worker, poll);
    return isOfAnother || hasStartedAgain ? ListsOrigin::NewLife : ListsOrigin::PresentLife;
}

void CalledWorker::judgeCandidate(int64_t born, std::string_view worker, uint64_t poll)
{
    if (!m_candidate || poll < m_candidateFromPoll)
        return;
    if (m_announcement) {
        if (worker == m_announcement->worker)
            m_candidate.reset();
        return;
    }
    if (born == 0 || m_candidate->born == born)
        adoptCandidate();
}

bool CalledWorker::denied(std::string_view worker)
{
    if (worker.empty() || !m_announcement || m_announcement->worker != worker)
        return false;
    m_denied = std::exchange(m_announcement, std::nullopt);
    m_isDenied = true;
    return true;
}

} // namespace turmericwell
