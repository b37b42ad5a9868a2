// Identity of the worker that an agent calls: its announcement, and the incarnation ("life") that its answers
// show.
//
// Announcements arrive over HTTP from any process that knows the address, so one of another worker, or of a
// former life, may arrive at any time. Only answers to the agent's own calls tell which worker is at the
// called address: an announcement that contradicts the known one is a candidate until such an answer confirms
// or refutes it. Performs no input or output.
#pragma once

#include "worker/workerstate.h"

#include <optional>
#include <string>

namespace turmericwell {

enum class AnnouncementOutcome : uint8_t {
    // Of the known worker, or the first one.
    Accepted,
    // Names another worker or life; the answer to the next list poll decides.
    Candidate,
    // Older than the newest one known.
    Outdated,
    // Of a worker that is not the one at the called address.
    OfAnotherWorker,
};

enum class ListsOrigin : uint8_t {
    PresentLife,
    // The worker has started again; its lists tell nothing about the runs of the former life.
    NewLife,
    FormerLife,
};

class CalledWorker
{
public:
    // `address` is the one that the agent calls.
    explicit CalledWorker(std::string address)
        : m_address(std::move(address))
    { }

    // The confirmed announcement, or the first one until lists contradict it; empty if the worker is unknown.
    const std::optional<WorkerAnnouncement> &announcement() const { return m_announcement; }
    // True while an announcement awaits its confirmation.
    bool hasCandidate() const { return m_candidate.has_value(); }

    // `nextPoll` is the number of the next list poll: answers to earlier ones do not refute a candidate.
    AnnouncementOutcome announced(const WorkerAnnouncement &announcement, uint64_t nextPoll);
    // Returns false if the life `born` (0: not told) of the worker is not the known one. The worker is up
    // until it has received the answer.
    bool deregistered(std::string_view worker, int64_t born);
    // The list poll with number `poll`, which named `worker` (empty: none), was answered with lists of the
    // life `born` (0: not shown). `nextPoll` is the number of the next one.
    ListsOrigin listed(int64_t born, std::string_view worker, uint64_t poll, uint64_t nextPoll);
    // A call that named `worker` was answered by another one. Returns true if `worker` was the known one.
    bool denied(std::string_view worker);

private:
    bool isAddressedHere(const WorkerAnnouncement &announcement) const;
    AnnouncementOutcome update(const WorkerAnnouncement &announcement);
    // True if an announcement of the known life with a lower sequence number than the known one is the
    // newest.
    bool isBackInSequence(const WorkerAnnouncement &announcement);
    AnnouncementOutcome propose(const WorkerAnnouncement &announcement, uint64_t nextPoll);
    void adoptCandidate();
    void startLife(int64_t born);
    // True if lists of an earlier life than the known one, in the answer to `poll`, are of the present life.
    bool mayBeBelieved(uint64_t poll);
    ListsOrigin listedWithoutLife(std::string_view worker, uint64_t poll);
    // Lists of the known life show whether the candidate is another worker.
    void judgeCandidate(int64_t born, std::string_view worker, uint64_t poll);

    const std::string m_address;
    std::optional<WorkerAnnouncement> m_announcement;
    std::optional<WorkerAnnouncement> m_candidate;
    // Answers to list polls from this number on were written after the candidate had been announced.
    uint64_t m_candidateFromPoll = 0;
    // The announcement whose worker was named in a call that another worker answered.
    std::optional<WorkerAnnouncement> m_denied;
    // Newest announcement of the known life with a lower sequence number, and how many in a row have risen.
    uint64_t m_lowerSequence = 0;
    uint32_t m_lowerSequences = 0;
    // Life that the newest lists have shown; 0 if none was shown.
    int64_t m_life = 0;
    bool m_listsSeen = false;
    // A call was answered by another worker; the next lists without a life are not of the former one.
    bool m_isDenied = false;
    // Lives that started before this time have ended or have deregistered.
    int64_t m_earliestBorn = 0;
    // List polls from this number on were sent after the newest answer of the known life.
    uint64_t m_earlierFromPoll = 0;
    // Answers to such polls, in a row, that showed an earlier life.
    uint32_t m_earlierLists = 0;
};

} // namespace turmericwell
