// Control of one worker by its agent: which orders are sent to the worker, how long its lease lasts, and what
// is reported to the owners of the jobs. Performs no input or output: effects go through WorkerEffects, and
// time is passed in.
//
// Invariants under any failure:
// - Runs that may exist on the worker, including those being stopped, never exceed the worker's capacity.
// - An order is accepted only from the owner with the highest epoch seen for its partition, and started only
//   while that owner has answered a recent ping.
// - An end is confirmed to the worker only after the owner has stored it; that of a best-effort job at once.
// - A run is reported as lost only when it cannot exist any more: lists of the life that it belongs to lack
// it, or
//   the last lease that this life may have been granted has ended on this process's clock. That another life
//   has been announced or has answered shows neither. Lists show that only if their clock is later than the
//   newest one that was known when they were requested (a worker may answer a list poll a second time, and
//   the second answer is read as that to a later list poll), and only if the list of ends is not full.
// - Once an owner has been told by when the runs of its worker will have ended, no lease is renewed and no
//   run is started before that time.
// - No run is started whose end might not fit into the worker's list of ends.
// - An order is never dropped without notifying the owner that sent it, if that owner is connected: it
//   would wait for a run that does not exist. Orders that a claim drops are missing in the report on the
//   claim.
#pragma once

#include "observe/structuredlog.h"
#include "worker/calledworker.h"
#include "worker/capacityoffer.h"
#include "worker/speedestimator.h"
#include "worker/workerstate.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>

namespace turmericwell {

class WorkerEffects
{
public:
    virtual ~WorkerEffects() = default;
    virtual void callStart(const StartCall &call) = 0;
    virtual void callStop(const StopCall &call) = 0;
    virtual void callListPoll(const ListPollCall &call) = 0;
    virtual void sendStarted(EntryNumber entry, const RunId &run) = 0;
    virtual void sendRejected(EntryNumber entry, const RunId &run, RejectReason reason) = 0;
    virtual void sendEnded(EntryNumber entry, const RunId &run, EndKind kind,
                           std::string_view checkpoint) = 0;
    // The run has ended unseen.
    virtual void sendLost(EntryNumber entry, const RunId &run, LostCause cause) = 0;
    virtual void sendClaimReport(EntryNumber entry, const fleet::ClaimReportT &report) = 0;
    virtual void sendLeaseBound(EntryNumber entry, const fleet::LeaseBoundT &bound) = 0;
};

struct RunOrder
{
    uint32_t partition = 0;
    uint64_t epoch = 0;
    RunId run;
    std::string payload;
    std::string checkpoint;
    Resources size;
    uint32_t priority = 0;
    Millis slack;
    bool bestEffort = false;
    // Expected run time on a worker of speed 1; 0 if unknown.
    Millis expected = {};
};

struct WorkerManagerOptions
{
    uint32_t partitions = 1;
    // Address of the worker that is called, as HOST:PORT.
    std::string workerAddress;
    // Lease requested from the worker; also the longest that a worker grants.
    Millis lease = {1'000};
    // The worker rejects a start order that reaches it later than this.
    Millis startValidity = {500};
    // Longest wait of one list poll for an end, with and without active runs.
    Millis listPollWait = {100};
    Millis idleListPollWait = {200};
    // Concurrent list polls while there are runs, so that a lost answer does not hide ends until its timeout.
    size_t parallelListPolls = 2;
    // A run is started only if its owner has answered a ping that was sent at most this long ago.
    Millis ownerFreshness = {1'100};
    // Runs are stopped when their owner has not answered for this long.
    Millis ownerTimeout = {1'200};
    // If such a run cannot be stopped, the worker's lease is no longer renewed from this time on. It has then
    // lapsed when the owner orders the task elsewhere, 2.5 s after its last contact with this agent.
    Millis ownerLeaseLimit = {1'350};
    // Orders beyond the worker's capacity that may be queued here, in percent of its processors: processors
    // that become free are then used at once instead of after the next report to the entries.
    uint32_t queueAllowancePercent = 10;
    // An order that has been queued for this long is returned to its owner.
    Millis maxQueueTime = {40};
    // Limit of the queue; further orders are rejected.
    size_t maxQueued = 8;
    // Each answer of a worker lists all ends that it may not discard yet. Above this number, the lease is
    // made to lapse so that disputed ends can be discarded, at the cost of the active runs.
    size_t maxRetainedEnds = 64;
    // Estimates the worker's speed from its ended runs, and reports it.
    bool learnWorkerSpeeds = false;
};

class WorkerManager
{
public:
    WorkerManager(WorkerManagerOptions options, uint64_t firstFence, Millis now, WorkerEffects &effects,
                  StructuredLog &log);

    // --- worker ---
    AnnouncementOutcome announced(const WorkerAnnouncement &announcement, Millis now);
    // `born` is the life of the worker that deregisters; 0 if the call does not tell. Returns false if
    // another worker or life is known.
    bool deregistered(std::string_view worker, Millis now, int64_t born = 0);
    void startAnswered(const RunId &run, OrderAnswer answer, std::optional<Millis> workerClock, Millis now);
    void stopAnswered(const RunId &run, OrderAnswer answer, std::optional<Millis> workerClock, Millis now);
    void listPollAnswered(uint64_t poll, OrderAnswer answer, const WorkerLists &lists, Millis now);

    // --- entries ---
    void entryConnected(EntryNumber entry, Millis now);
    void entryDisconnected(EntryNumber entry);
    // The entry has answered the ping that was sent at `pingSentAt`.
    void entryAnswered(EntryNumber entry, Millis pingSentAt);
    void setEvacuatedZones(std::set<std::string> zones, Millis now);
    // `number` is returned with the report, so that the owner can tell to which of its claims it belongs.
    void claim(EntryNumber entry, uint32_t partition, uint64_t epoch, Millis now, uint64_t number = 0);
    // The entry no longer owns the partition: its ping answers no longer keep the partition's runs alive.
    void release(EntryNumber entry, uint32_t partition, uint64_t epoch, Millis now);
    void order(EntryNumber entry, RunOrder order, Millis now);
    void stop(EntryNumber entry, uint32_t partition, uint64_t epoch, const RunId &run, Millis now);
    void endStored(const RunId &run);
    void endDisputed(const RunId &run, Millis now);
    void recordSize(const RunId &run, const Resources &size, Millis now);

    // Accepts no more orders; active runs continue.
    void drain(Millis now);
    // True if the worker has answered the newest list poll.
    bool isWorkerAnswering() const { return m_clockSampledAt.count != 0 && m_listPollFailures == 0; }
    // How long the worker has been gone and nothing can run on it; 0 if it is there, or if its last lease
    // has not ended or an owner has not stored all ends.
    Millis withoutWorkerFor(Millis now) const;
    // While the agent is not registered, it accepts no order and renews no lease: new owners do not wait for
    // its report.
    void setRegistered(bool isRegistered);
    void advance(Millis now);

    // State of the worker, common to all entries; reportFor() adds what differs by entry.
    fleet::WorkerReportT report() const;
    // Adds the number of orders received from this entry and limits the free processors to those offered to
    // it.
    fleet::WorkerReportT reportFor(fleet::WorkerReportT report, EntryNumber entry) const;
    // Returns whether the report has changed since the last call, and clears the flag.
    bool takeReportChange();
    size_t runCount() const { return m_runs.size() + m_formerRuns.size(); }
    // True if the worker's lists are known, there are no runs, and the owners have stored all ends.
    bool isIdle() const;

private:
    enum class RunPhase : uint8_t { Queued, Starting, Running, Stopping };

    struct Run
    {
        RunPhase phase = RunPhase::Queued;
        RunOrder order;
        bool sizeKnown = true;
        // The worker's lists have contained the run, so it belongs to the known incarnation of the worker.
        bool isListed = false;
        // Answers to list polls from this number on contain the run as long as it exists.
        std::optional<uint64_t> listedFromPoll;
        Millis latestStart;
        Millis orderedAt;
        // Newest time of the worker's clock that was known when the start was sent.
        Millis clockBeforeStart;
        // When the stop has to be sent again.
        Millis nextStop;
        uint32_t unansweredStops = 0;
        // The run was ordered to stop before the worker answered its start.
        bool stopWanted = false;
        // The worker has accepted the stop, so it ends the run at once.
        bool stopAccepted = false;
        // When the worker answered that it had started the run; 0 if this process has not seen that.
        Millis startedAt = {};
        // The run may belong to the worker's former life, where it may be at work until this time.
        std::optional<Millis> formerLeaseEnd;
    };

    struct Owner
    {
        uint64_t epoch = 0;
        std::optional<EntryNumber> entry;
        // Newest evidence of contact with the owner: the send time of an answered ping, the connection, or
        // the start of this agent.
        Millis lastContact;
        // The answer to the owner's claim has not been sent yet.
        bool reportDue = false;
        // The owner has been told by when the runs that it may not order again yet will have ended.
        bool leaseBoundSent = false;
        // Number of the owner's newest claim.
        uint64_t claimNumber = 0;
    };

    struct End
    {
        RunId run;
        EndKind kind = EndKind::Done;
        std::string checkpoint;
        // The owner has confirmed the end.
        bool stored = false;
        // The job is not durable, so the worker may discard the end before the owner has stored it; this
        // agent retains the end for the owner.
        bool bestEffort = false;
        // The owner had ordered the task again before it learned of this end. An end that the worker was
        // allowed to discard is final, unless the lease lapsed in between; a disputed end is therefore
        // confirmed only after a lapse.
        bool isDisputed = false;
    };

    struct ListPoll
    {
        Millis sentAt;
        Millis wait;
        // Newest time of the worker's clock that was known when the poll was sent. An answer with an earlier
        // time belongs to another poll; one with the same time may have been written before the poll.
        Millis clockBefore;
        // Name of the worker in the call; empty if none was named.
        std::string worker;
    };

    // --- workermanager.cpp ---
    void watchAbsence(Millis now);
    bool isUsable() const;
    std::optional<RejectReason> rejectReason() const;
    Resources usedResources() const;
    Resources queuedResources() const;
    // Resources available to further orders, including the queue allowance; requires a known worker.
    Resources freeResources() const;
    bool allSizesKnown() const;
    // Ends that the worker may not discard yet, and those that its active runs will add.
    size_t pendingEnds() const;
    // Runs that may still be ordered, whatever their size.
    int64_t freeSlots() const;
    Millis workerNow(Millis now) const;
    void recordClock(Millis workerClock, Millis now);
    // Ends may be confirmed by number only while no sign suggests that the worker has started to number them
    // anew.
    bool mayConfirmEnds() const;
    void extendLease(Millis deadline, Millis now);
    void startQueued(Millis now);
    void sendStart(Run &run, Millis now);
    void sendStop(Run &run, Millis now);
    // Answers a stop of a run that is not known here.
    void reportUnknownRun(const Owner &owner, const RunId &id);
    void rejectQueued(RejectReason reason, Millis now);
    void returnOverdueOrders(Millis now);

    // --- workerowners.cpp ---
    Owner &ownerOf(const RunId &run);
    void rejectClaim(EntryNumber entry, uint32_t partition, uint64_t epoch);
    void dropQueued(uint32_t partition);
    void reportClaims(Millis now);
    // Tells the owners whose claims cannot be answered by when the runs on the worker will have ended.
    void sendLeaseBounds(Millis now);
    // Stops the runs of unresponsive owners.
    void checkOwners(Millis now);
    std::map<uint32_t, EntryNumber> connectedOwners() const;

    // --- workerlives.cpp ---
    const std::optional<WorkerAnnouncement> &worker() const { return m_calledWorker.announcement(); }
    void workerAdopted(Millis now);
    void logAnnouncement(std::string_view event, const WorkerAnnouncement &announcement,
                         std::string_view cause, Millis now);
    // The worker has started again. Its runs may be at work in the former life until the lease ends.
    void startNewLife(int64_t born, Millis now);
    void retainFormerRun(const RunId &id, Millis leaseEnd, Millis now);
    // Reports as lost the runs of the former life whose lease has ended.
    void expireFormerRuns(Millis now);
    // The worker that is called is not the known one.
    void workerDenied(std::string_view named, Millis now);
    // Returns false if a former life of the worker wrote the lists.
    bool acceptLife(const WorkerLists &lists, uint64_t number, ListPoll &poll, Millis now);

    // --- workerlists.cpp ---
    void leaseLapsed(Millis now);
    void reportStartedRunsLost(LostCause cause, Millis now);
    void reportRunsLost(std::span<const RunId> runs, LostCause cause, Millis now);
    // Reports the run as lost to its owner, and removes it.
    void reportRunLost(const RunId &id, LostCause cause, Millis now);
    void mergeRunning(const WorkerLists &lists, Millis now);
    void mergeEnded(const WorkerLists &lists, Millis now);
    void reportUnlistedRunsLost(const WorkerLists &lists, uint64_t number, const ListPoll &poll, Millis now);
    void mergeLists(const WorkerLists &lists, uint64_t number, const ListPoll &poll, Millis now);
    void recordPollAnswer(uint64_t number, const WorkerLists &lists, Millis now);
    void recordAnswerOfAnotherCall(uint64_t number, const WorkerLists &lists, const ListPoll &poll,
                                   Millis now);
    void listPollFailed(OrderAnswer answer, Millis now);
    void sendListPoll(Millis wait, Millis now);
    void recordRecentEnd(const RunId &run);
    void recordEnd(const ListedEnd &listed, Millis now);
    // Adds the run to the samples of the worker's speed if it ended undisturbed.
    void recordSpeed(const Run &run, EndKind kind, Millis now);
    // True if the end may be confirmed to the worker, which then discards it.
    bool mayConfirm(uint64_t number, const End &end) const;
    uint64_t endsStoredThrough() const;
    bool hasDisputedEnds() const;
    // True if a run on the worker belongs to a partition that no entry has claimed since this agent started.
    // The owner counts the time of the run from its last contact with the former agent process.
    bool hasUnclaimedRuns() const;
    // True if the worker has not accepted the stop of a run whose owner is unresponsive.
    bool hasUnstoppableRuns(Millis now) const;
    // Stops renewing the lease once too many ends are retained while one of them is disputed, or if runs
    // cannot be stopped otherwise.
    void forceLeaseLapse(Millis now);
    void sendListPolls(Millis now);

    const WorkerManagerOptions m_options;
    WorkerEffects &m_effects;
    StructuredLog &m_log;
    // Fencing token of the calls to the worker.
    uint64_t m_fence;
    const Millis m_startedAt;

    // The runs, ends and lists below belong to its present life.
    CalledWorker m_calledWorker;
    // Lists of this life have been received, or the lease has lapsed and no run can exist.
    bool m_listsKnown = false;
    // A single answer can be lost; after this many consecutive failures the worker counts as unusable.
    static constexpr uint32_t failuresUntilUnusable = 2;
    uint32_t m_listPollFailures = 0;
    // Newest known time of the worker's clock, and when it was received.
    Millis m_clockSample;
    Millis m_clockSampledAt;
    // Newest time of the worker's clock in any answer of the present incarnation.
    Millis m_newestClock;
    // Lists in a row whose clock was earlier than one that was known when the poll was sent.
    uint32_t m_answersOfOtherCalls = 0;
    // The worker's clock has gone back, as it does when the worker restarts: until a list poll from this
    // number on is answered, the incarnation is in doubt.
    std::optional<uint64_t> m_restartSuspectedUntilPoll;
    // On the clock of this process: after this time no run exists on the worker unless the lease is renewed.
    Millis m_leaseEnd;
    // Set from telling an owner that all runs on the worker will have ended by this time until then: no lease
    // is renewed and no run is started.
    std::optional<Millis> m_promisedLeaseEnd;
    // List polls in flight, by number. Their answers may arrive out of order.
    std::map<uint64_t, ListPoll> m_listPolls;
    uint64_t m_lastListPoll = 0;
    Millis m_nextListPollAt;
    // The lists that are being merged have contained an end that was not known.
    bool m_hasNewEnds = false;
    // A list poll without a wait for an end is needed, to learn the outcome of a start or a stop.
    bool m_needsListsNow = false;
    // Time on the worker's clock of the newest lists that were merged.
    Millis m_newestLists;
    // Runs that ended recently, oldest first: an answer that arrives out of order may list them as running.
    std::deque<RunId> m_recentEnds;

    std::map<RunId, Run> m_runs;
    // Runs that the worker's former life had listed, with the end of the last lease that may have been
    // granted there. They use none of the present life's resources.
    std::map<RunId, Run> m_formerRuns;
    std::map<uint32_t, Owner> m_owners;
    // Ends that the worker still lists or whose owner has not stored them, by the worker's number.
    std::map<uint64_t, End> m_ends;
    uint64_t m_lastEnd = 0;
    // The lease has lapsed since the ends up to this number were listed.
    uint64_t m_lapsedAfterEnd = 0;
    // No run is started and no lease is renewed until the lease has lapsed.
    bool m_lapseForced = false;
    // The worker has deregistered and is about to end. Its runs end with it or when the lease lapses.
    bool m_workerLeaves = false;
    // Last contact with each connected entry.
    std::map<EntryNumber, Millis> m_contacts;
    std::map<EntryNumber, uint64_t> m_ordersReceived;
    std::set<std::string> m_evacuated;
    CapacityOffer m_offer;
    // Speed of the worker's present life.
    SpeedEstimator m_speed;
    SpeedEstimate m_speedEstimate;
    bool m_reportChanged = true;
    bool m_draining = false;
    bool m_isRegistered = true;
    // Since when the worker has been gone without anything that may run on it.
    std::optional<Millis> m_withoutWorkerSince;

public:
    uint64_t ordersReceived(EntryNumber entry) const;
};

} // namespace turmericwell
