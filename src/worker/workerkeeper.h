// Decisions of an agent: which orders its worker gets, how long the worker's lease lasts, and what the owners
// of the jobs are told. No input or output: effects go through WorkerEffects, time is passed in.
//
// Rules that hold whatever fails:
// - The room of the worker is never exceeded by what may run on it, including runs that are being stopped.
// - An order is taken only from the owner with the highest epoch seen for its partition, and started only
// while that
//   owner has answered a recent ping.
// - An end is confirmed to the worker only after the owner has stored it; that of a best-effort job at once.
// - A run is reported as lost only when the worker's lists or the end of its lease show that it does not
// exist.
#pragma once

#include "observe/structuredlog.h"
#include "worker/roomoffer.h"
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
    virtual void callHold(const HoldCall &call) = 0;
    virtual void tellStarted(EntryNumber entry, const RunId &run) = 0;
    virtual void tellRejected(EntryNumber entry, const RunId &run, RejectReason reason) = 0;
    virtual void tellEnded(EntryNumber entry, const RunId &run, EndKind kind,
                           std::string_view checkpoint) = 0;
    virtual void tellClaim(EntryNumber entry, const fleet::ClaimReportT &report) = 0;
};

struct RunOrder
{
    uint32_t partition = 0;
    uint64_t epoch = 0;
    RunId run;
    std::string payload;
    std::string checkpoint;
    Room size;
    uint32_t priority = 0;
    Millis slack;
    bool bestEffort = false;
};

struct WorkerKeeperOptions
{
    uint32_t partitions = 1;
    // Longest lease that a worker grants.
    Millis lease = {1'000};
    // A start that reaches the worker later than this is rejected there.
    Millis startValidity = {500};
    // Longest wait for an end in one call, while something runs and while nothing does.
    Millis holdWait = {100};
    Millis idleHoldWait = {200};
    // Calls that wait for an end at the same time while something runs: the answer of one may be lost.
    size_t parallelHolds = 2;
    // Starts need an answer of the owner to a ping that is younger than this.
    Millis ownerFreshness = {1'100};
    // Runs are stopped when their owner has not answered for this long.
    Millis ownerSilence = {1'200};
    // Orders beyond the worker's room that may wait here, in percent of its processors: a slot that becomes
    // free is then filled at once, and not only after the entries have heard of it.
    uint32_t queueAllowancePercent = 10;
    // An order that has waited this long goes back to its owner.
    Millis mostQueueTime = {40};
    // Orders beyond this many waiting ones are rejected.
    size_t mostQueued = 8;
    // A worker lists all ends that it may not forget in each answer; with more of them than this, disputed
    // ones are settled at the cost of what runs.
    size_t mostKeptBackEnds = 64;
};

class WorkerKeeper
{
public:
    WorkerKeeper(WorkerKeeperOptions options, uint64_t firstFence, Millis now, WorkerEffects &effects,
                 StructuredLog &log);

    // --- worker ---
    // False if the announcement is older than what is known.
    bool announced(const WorkerAnnouncement &announcement, Millis now);
    void deregistered(std::string_view worker, Millis now);
    void startAnswered(const RunId &run, OrderAnswer answer, std::optional<Millis> workerClock, Millis now);
    void stopAnswered(const RunId &run, OrderAnswer answer, Millis now);
    void holdAnswered(uint64_t hold, OrderAnswer answer, const WorkerLists &lists, Millis now);

    // --- entries ---
    void entryConnected(EntryNumber entry, Millis now);
    void entryDisconnected(EntryNumber entry);
    // The entry has answered the ping that was sent at this time.
    void entryAnswered(EntryNumber entry, Millis pingSentAt);
    void setEvacuatedZones(std::set<std::string> zones, Millis now);
    void claim(EntryNumber entry, uint32_t partition, uint64_t epoch, Millis now);
    // The entry owns the partition no longer: its answers do not keep the partition's runs any more.
    void release(EntryNumber entry, uint32_t partition, uint64_t epoch, Millis now);
    void order(EntryNumber entry, RunOrder order, Millis now);
    void stop(EntryNumber entry, uint32_t partition, uint64_t epoch, const RunId &run, Millis now);
    void endStored(const RunId &run);
    void endDisputed(const RunId &run, Millis now);
    void sizeTold(const RunId &run, const Room &size, Millis now);

    // Takes no more orders; what runs goes on.
    void drain(Millis now);
    void advance(Millis now);

    // The state of the worker, the same for all entries until it is addressed to one.
    fleet::WorkerReportT report() const;
    // With the orders taken from this entry, and the part of the free room that it may count on.
    fleet::WorkerReportT addressed(fleet::WorkerReportT report, EntryNumber entry) const;
    // True if the report has changed since the last call.
    bool takeReportChange();
    size_t runCount() const { return m_runs.size(); }
    // Nothing runs, and the owners have stored all ends.
    bool isIdle() const;

private:
    enum class RunPhase : uint8_t { Queued, Starting, Running, Stopping };

    struct Run
    {
        RunPhase phase = RunPhase::Queued;
        RunOrder order;
        bool sizeKnown = true;
        // The worker's lists have shown the run, so it belongs to the life of the worker that is known.
        bool isListed = false;
        // The answers to list calls from this number on contain the run as long as it exists.
        std::optional<uint64_t> listedFromHold;
        Millis latestStart;
        Millis orderedAt;
        // The stop has to be sent at this time (again).
        Millis nextStop;
        uint32_t unansweredStops = 0;
        // The run was ordered to stop before the worker answered its start.
        bool stopWanted = false;
    };

    struct Owner
    {
        uint64_t epoch = 0;
        std::optional<EntryNumber> entry;
        // Last moment at which the owner was known to be in touch.
        Millis lastContact;
        bool reportDue = false;
    };

    struct End
    {
        RunId run;
        EndKind kind = EndKind::Done;
        std::string checkpoint;
        // The owner has confirmed the end.
        bool stored = false;
        // The worker need not keep the end: its job is not kept either, and this agent still holds it for the
        // owner.
        bool bestEffort = false;
        // The owner had ordered the task again before it knew this end. An end that the worker was told to
        // forget counts for good, unless the lease has lapsed in between; so this one waits for a lapse.
        bool isDisputed = false;
    };

    // --- workerkeeper.cpp ---
    bool isUsable() const;
    std::optional<RejectReason> obstacle() const;
    Room usedRoom() const;
    Room queuedRoom() const;
    // What orders may still take, with the queue allowance; needs a known worker.
    Room freeRoom() const;
    bool allSizesKnown() const;
    Millis workerNow(Millis now) const;
    void noteClock(Millis workerClock, Millis now);
    void noteLease(Millis deadline, Millis now);
    void startQueued(Millis now);
    void sendStart(Run &run, Millis now);
    void sendStop(Run &run, Millis now);
    void rejectQueued(RejectReason reason, Millis now);
    void returnWaiting(Millis now);

    // --- workerowners.cpp ---
    Owner &ownerOf(const RunId &run);
    void rejectClaim(EntryNumber entry, uint32_t partition, uint64_t epoch);
    void dropQueued(uint32_t partition);
    void reportClaims(Millis now);
    // Stops the runs of owners that are silent.
    void checkOwners(Millis now);
    std::map<uint32_t, EntryNumber> connectedOwners() const;

    // --- workerlists.cpp ---
    void newWorkerLife(Millis now);
    void leaseLapsed(Millis now);
    void loseRuns(std::string_view cause, Millis now);
    // Loses what the former life of the worker ran.
    void loseListedRuns(Millis now);
    void loseAll(std::span<const RunId> runs, std::string_view cause, Millis now);
    void loseRun(const RunId &id, std::string_view cause, Millis now);
    void mergeRunning(const WorkerLists &lists, Millis now);
    void mergeEnded(const WorkerLists &lists, Millis now);
    void loseUnlisted(const WorkerLists &lists, uint64_t hold, Millis now);
    void mergeLists(const WorkerLists &lists, uint64_t hold, Millis now);
    void holdFailed(OrderAnswer answer, Millis now);
    void sendHold(Millis wait, Millis now);
    void rememberEnd(const RunId &run);
    void noteEnd(const ListedEnd &listed, Millis now);
    bool mayForget(uint64_t number, const End &end) const;
    uint64_t endsStoredThrough() const;
    bool hasDisputedEnds() const;
    // Gives up the lease once too many ends are kept back behind a disputed one.
    void forceLapse(Millis now);
    void nextHolds(Millis now);

    const WorkerKeeperOptions m_options;
    WorkerEffects &m_effects;
    StructuredLog &m_log;
    uint64_t m_fence;
    const Millis m_startedAt;

    std::optional<WorkerAnnouncement> m_worker;
    // A life of the worker below this one is over.
    int64_t m_leastBorn = 0;
    // Life that the runs, ends and lists below belong to; 0 before the first. It can be known from lists
    // before the worker has announced itself.
    int64_t m_listsBorn = 0;
    // The lists of this life have been received, or nothing can run.
    bool m_listsKnown = false;
    // A single answer can be lost; after this many failures in a row the worker itself is in doubt.
    static constexpr uint32_t failuresUntilUnusable = 2;
    uint32_t m_holdFailures = 0;
    Millis m_clockSample;
    Millis m_clockSampledAt;
    // On the clock of this process: after this moment nothing runs on the worker unless a lease is renewed.
    Millis m_leaseEnd;
    struct Hold
    {
        Millis sentAt;
        Millis wait;
    };
    // Calls under way, by number. Their answers may overtake each other.
    std::map<uint64_t, Hold> m_holds;
    uint64_t m_lastHold = 0;
    Millis m_holdNotBefore;
    bool m_holdBroughtNews = false;
    // Lists that do not wait for an end are needed, to see what became of a start or a stop.
    bool m_listsWanted = false;
    // Worker's clock of the newest lists that were merged.
    Millis m_newestLists;
    // Runs that ended lately, oldest first: an answer that was overtaken may still list them as running.
    std::deque<RunId> m_recentEnds;

    std::map<RunId, Run> m_runs;
    std::map<uint32_t, Owner> m_owners;
    // Ends that the worker still lists, by its number.
    std::map<uint64_t, End> m_ends;
    uint64_t m_lastEnd = 0;
    // The lease has lapsed after the ends up to this number.
    uint64_t m_lapsedAfterEnd = 0;
    // Nothing is started or renewed until the lease has lapsed.
    bool m_lapseForced = false;
    std::map<EntryNumber, Millis> m_contacts;
    std::map<EntryNumber, uint64_t> m_ordersTaken;
    std::set<std::string> m_evacuated;
    RoomOffer m_offer;
    bool m_reportChanged = true;
    bool m_draining = false;

public:
    uint64_t ordersTaken(EntryNumber entry) const;
};

} // namespace turmericwell
