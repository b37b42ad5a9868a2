// Schedules the jobs of the partitions that this entry owns: admission, the queue of waiting tasks, runs and
// their ends, cancellation, and recovery after a change of ownership. Performs no I/O: effects go through
// JobEffects, and the current time is a parameter.
//
// A best-effort job is not stored. Its submission is answered when the job ends, and clients submit it again
// if its owner fails. Best-effort jobs are written to the store only when their partition is handed over to
// another owner. A best-effort job without callers is given up: its record is deleted, and a later submission
// of it is a new job. The submission of a best-effort job is answered as done only with Completed or Failed.
//
// Invariants under any failure:
// - A durable job is acknowledged as accepted only after its record is stored.
// - An end is confirmed to the agent as stored only after a record that contains the end is stored. A job is
//   reported to clients as ended only after the record with its final phase is stored.
// - A task that may still have a run is not started again. After a change of ownership, a task whose run is
//   unknown stays Unreconciled until every agent has reported or reconciliationTimeout has passed. That also
//   holds for tasks of steps that are opened meanwhile (the former owner may have known ends that are not
//   stored, and have opened the step), and for best-effort jobs that are submitted meanwhile: neither their
//   estimates nor the waits of their clients show that no run of an earlier submission exists.
#pragma once

#include "jobs/admissioncontrol.h"
#include "jobs/fairshares.h"
#include "jobs/jobexplanation.h"
#include "jobs/jobwaiters.h"
#include "jobs/longruns.h"
#include "jobs/placementwait.h"
#include "jobs/policies.h"
#include "jobs/runnumbers.h"
#include "jobs/runtimes.h"
#include "jobs/urgentslack.h"
#include "jobs/workerpool.h"
#include "observe/structuredlog.h"
#include "proto/fleetcodec.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace turmericwell {

// Returns the partition of the job table that contains the job.
uint32_t partitionOf(JobId job, uint32_t partitions);

// Time per task in addition to its run time: sending the order, the answer to it, and storing the end.
inline constexpr Millis dispatchOverhead = {20};

// Longest delay before the first start with which the job still meets its deadline, based on the declared run
// times.
Millis declaredSlack(const JobSpec &spec);

// Processors that the job's largest step requires, in thousandths of a core.
int64_t largestStepMilli(const JobSpec &spec);

// Reason of a rejection.
inline constexpr std::string_view shareUsedUp = "the share of the job's queue or zone is used up";

enum class StoreOutcome : uint8_t {
    Stored,
    // The record is not stored and will not be stored later.
    NotStored,
    // Another entry owns the partition. Only that entry can tell whether the record was stored.
    Superseded,
};

struct StartRequest
{
    AgentNumber agent = 0;
    uint32_t partition = 0;
    uint64_t epoch = 0;
    RunId run;
    const JobSpec *spec = nullptr;
    const StepSpec *step = nullptr;
    std::string_view checkpoint;
    Millis slack;
    // Expected run time on a worker of speed 1, including the factor for remote data; 0 if unknown.
    Millis expected = {};
};

// Side effects of JobScheduler, implemented by the entry process.
class JobEffects
{
public:
    virtual ~JobEffects() = default;
    // Stores the record; an empty record deletes the key. With mayDrop the result is NotStored if the store
    // cannot be reached soon; without it, the write is retried until it is stored or superseded.
    virtual void store(uint32_t partition, JobId job, std::string record, bool mayDrop,
                       std::function<void(StoreOutcome, Millis)> onDone) = 0;
    virtual void start(const StartRequest &request) = 0;
    virtual void stop(AgentNumber agent, uint32_t partition, uint64_t epoch, const RunId &run) = 0;
    virtual void endStored(AgentNumber agent, const RunId &run) = 0;
    // Reports that the task was ordered again before this end was known.
    virtual void endDisputed(AgentNumber agent, const RunId &run) = 0;
    virtual void sendRunSize(AgentNumber agent, const RunId &run, const StepSpec &step) = 0;
    // A submission was rejected by the named limit.
    virtual void inputRejected(std::string_view limit) { static_cast<void>(limit); }
};

struct CallOptions
{
    // How long the caller waits for the answer.
    Millis wait;
    // Availability zone of the entry that received the call; empty if it is not known.
    std::string zone;
    CallerId caller = {};
};

struct AgentEnd
{
    RunId run;
    EndKind kind = EndKind::Done;
    std::string checkpoint;
    // For Lost: the evidence of the agent.
    LostCause lostCause = LostCause::None;
};

struct JobSchedulerOptions
{
    uint32_t partitions = 1;
    // Time without contact to an agent after which no run of the partition's former owner exists there. The
    // agent stops runs 1.2 s after its last contact with the owner, and a lease of 1 s on a slow clock may
    // still be valid then.
    Millis reconciliationTimeout = {2'500};
    // How long a new owner waits for the workers of half of the agents before it judges the capacity.
    Millis capacityViewTimeout = {200};
    // Delay before ends of unfinished jobs are stored, so that most jobs need a single record for all ends.
    Millis progressDelay = {1'000};
    // Maximum predicted wait, as a percentage of the job's slack. Estimates of the slack are off by tens of
    // percent, and a job that ends late uses resources that a job in time could have had.
    uint32_t admissionSlackPercent = 45;
    QueueOrder order;
    AdmissionPolicy admission;
    // Shares of queues and zones under scarcity; empty for none.
    std::optional<SharesSettings> shares;
    // The predicted wait must also be within this percentage of the wait that is allowed for more urgent
    // jobs; 0 disables the limit.
    uint32_t urgentSlackPercent = 100;
    // Whether the agents estimate the speeds of their workers from the expected run times in the orders.
    bool learnWorkerSpeeds = false;
    LongRunPolicy moveLongRuns;
    // Submissions of new jobs are rejected while the held jobs have more tasks than this together; 0 means no
    // limit. A step counts as one task, and a job as four.
    size_t maxHeldTasks = 0;
    // Cancels of jobs that are not known here, each of which is remembered for the time of `retention`; 56
    // bytes each. Further ones are refused: a cancel that was acknowledged must not be forgotten.
    size_t maxUnknownCancels = 20'000;
    // Ended jobs and held ones, of which each takes about 150 bytes until its retention has passed. Further
    // jobs are rejected; 0 means no limit.
    size_t maxKnownJobs = 0;
    // How long ended jobs can be queried before they are deleted.
    Millis retention = {150'000};
    // Whether tasks wait for free resources near their data, and the factor by which a run takes longer far
    // from its data (at least 1).
    PlacementWaitPolicy placementWait;
    double farFactor = 1;
    // Run numbers that an owner may use without a record; the same at all owners.
    uint32_t runsPerEpoch = RunNumbers::defaultRangeSize;
    // Limits the cost of a pass: further tasks are placed without a wait.
    uint32_t mostRackWaits = 256;
};

class JobScheduler
{
public:
    JobScheduler(JobSchedulerOptions options, WorkerPool &pool, JobEffects &effects, StructuredLog &log);

    // --- ownership (jobschedulerpartitions.cpp) ---
    // Takes over a partition. The caller then passes each of its records to loadRecord() and calls loaded().
    void openPartition(uint32_t partition, uint64_t epoch);
    void loadRecord(uint32_t partition, JobId job, std::string_view record, Millis now);
    void loaded(uint32_t partition, Millis now);
    // Prepares the handover to another owner: stops accepting and ordering work of the partition, and stores
    // its active jobs.
    void freezePartition(uint32_t partition, Millis now);
    // While a partition is suspended, no call of it is served, nothing is ordered and no report is taken:
    // another entry may own it. Its jobs are kept for the case that none does.
    void suspendPartition(uint32_t partition, Millis now);
    // All agents have to be claimed anew after this.
    void resumePartition(uint32_t partition, Millis now);
    // Removes the partition and its jobs. Pending calls are answered with Unknown.
    void closePartition(uint32_t partition, Millis now);
    bool isServing(uint32_t partition) const;
    // While the ownership of a partition is unconfirmed, another entry may have owned it and accepted jobs
    // that this one does not know. Calls for unknown jobs are then answered with NotReady.
    void setOwnershipConfirmed(uint32_t partition, bool confirmed);
    std::optional<uint64_t> epochOf(uint32_t partition) const;
    std::vector<fleet::OwnedPartitionT> owned() const;

    // --- calls of clients ---
    // A best-effort job is abandoned when none of its callers waits any longer.
    void submit(JobSpec spec, const CallOptions &options, Millis now, JobReplyHandler onDone);
    JobReply query(JobId job) const;
    // What would happen to the job if it were submitted now. Nothing is changed. The partition must be served
    // here. (jobschedulerexplain.cpp)
    JobExplanation explain(const JobSpec &spec, Millis now) const;
    void cancel(JobId job, const CallOptions &options, Millis now, JobReplyHandler onDone);
    // The caller waits no longer and gets no answer. A best-effort job for which nobody waits is given up: at
    // once if it has not been ordered, and otherwise unless it is submitted again soon.
    // (jobschedulercancels.cpp)
    void callerLeft(JobId job, const CallerId &caller, Millis now);
    std::map<std::string, uint32_t> pendingByQueue() const;

    // --- reports of agents (jobschedulerruns.cpp, jobscheduleragents.cpp) ---
    void runStarted(AgentNumber agent, const RunId &run, Millis now);
    void runEnded(AgentNumber agent, const AgentEnd &end, Millis now);
    void runRejected(AgentNumber agent, const RunId &run, RejectReason reason, Millis now);
    // The partition is claimed at the agent, which receives no orders until it has reported on this claim.
    // Returns the number of the claim.
    uint64_t claimSent(AgentNumber agent, uint32_t partition);
    // True if a report on this claim shows all orders that the agent may have received. A report on an
    // earlier claim may have been written before an order arrived, and would show its run to be lost. Number
    // 0 is from an agent of an earlier version.
    bool isNewestClaim(AgentNumber agent, uint32_t partition, uint64_t claim) const;
    // Changes nothing if the report is of another epoch or cannot be read.
    void claimReport(AgentNumber agent, uint32_t partition, uint64_t epoch, std::span<const RunId> running,
                     std::span<const AgentEnd> ended, Millis now);
    // The agent cannot report yet, and tells by when the former runs that it may have will have ended. The
    // time counts from the arrival of the message, which is later than its writing.
    void leaseBound(AgentNumber agent, const fleet::LeaseBoundT &bound, Millis now);
    // The connection to the agent is lost. It receives no orders until it has reported again.
    void agentDisconnected(AgentNumber agent);
    // None of the runs that have started at the agent exists any longer. Those that are not known to have
    // started may still start: their tasks are ordered again once that cannot be, or once the agent reports.
    void agentGone(AgentNumber agent, Millis now);
    // The agent has drained and left: it has accepted no order that is not known to have started.
    void agentLeft(AgentNumber agent, Millis now);
    // Sets the agents that may have runs of the partition, which is reconciled once all of them have
    // reported. If allKnown is false the set is incomplete, and the partition is reconciled only after
    // reconciliationTimeout.
    void setExpectedAgents(uint32_t partition, std::set<AgentNumber> agents, bool allKnown);
    // Sets the time from which no former owner keeps runs of the partition alive. reconciliationTimeout
    // counts from then, or from the end of loading if that is later.
    void setFormerOwnersEnd(uint32_t partition, Millis end);
    // True if the agent has reported its runs of the partition to this owner.
    bool hasReported(uint32_t partition, AgentNumber agent) const;
    // Partitions that are loaded and not reconciled yet.
    std::vector<uint32_t> unreconciledPartitions() const;
    // Whether tasks of the partition may be started, and the agents that receive none although they have
    // reported.
    void setPlacement(uint32_t partition, bool mayPlace, std::set<AgentNumber> excluded);
    // True if a run of the partition may exist on an agent that is excluded from its placement.
    bool hasRunsOnExcludedAgents(uint32_t partition) const;

    // Places waiting tasks, stores progress and reconciles runs. To be called after each event and every few
    // milliseconds.
    void advance(Millis now);
    // Processors that the waiting tasks require, in thousandths of a core.
    int64_t waitingCpuMilli() const { return m_waitingCpuMilli; }
    // Processors that tasks waiting at the other entries require, as those entries report them.
    void setPeersWaitingCpuMilli(int64_t amount) { m_peersWaitingCpuMilli = amount; }
    // The same by peer and with the times of the reports, for admission by forecast.
    void setPeerReports(std::vector<PeerReport> reports);
    // Null unless shares are set.
    FairShares *shares() { return m_shares ? &*m_shares : nullptr; }
    const FairShares *shares() const { return m_shares ? &*m_shares : nullptr; }
    // Work of this owner by queue, for the reports to the other owners; empty unless shares are set.
    std::vector<QueueDemand> shareDemands(Millis now) const;
    size_t activeJobs() const { return m_jobs.size(); }
    // Runs that were moved, and runs that took long and were not.
    uint64_t movedRuns() const { return m_movedRuns; }
    uint64_t leftRuns() const { return m_leftRuns; }
    size_t heldTasks() const { return m_heldTasks; }

private:
    enum class TaskPhase : uint8_t {
        // Some tasks of a step that this step depends on are not done.
        Blocked,
        // Ready to be started.
        Waiting,
        // A run ordered by the partition's former owner may exist at an agent that has not reported.
        Unreconciled,
        // A run that was ordered from an agent that is gone is not known to have started, and may still
        // start.
        MayStartLate,
        Ordered,
        Running,
        Done,
    };

    struct Task
    {
        TaskPhase phase = TaskPhase::Blocked;
        AgentNumber agent = 0;
        uint32_t step = 0;
        uint32_t index = 0;
        // Number of the latest run; 0 before the first.
        uint32_t run = 0;
        uint32_t failures = 0;
        Millis orderedAt;
        // End of MayStartLate; 0 if no run may start late.
        Millis notBefore;
        Millis startedAt;
        std::string checkpoint;
        // Number of runs that were stopped because they took too long.
        uint32_t moves = 0;
        // Ordered again although the previous run may have ended without a report.
        bool isRepeated = false;
        // The store does not contain isRepeated yet. Until it does, the task is not ordered: the next owner
        // could confirm the end of the previous run without knowing of a later one.
        bool awaitsRecord = false;
        // Agents on whose workers a run failed or took too long.
        std::set<AgentNumber> avoided;
        // Until then the task waits for a worker that is not avoided, if one could hold it.
        Millis avoidUntil;
        // Its last order was returned for want of room: what workers show as free includes the queues of
        // their agents.
        bool lacksRoom = false;
        // The current run is being stopped and will be restarted on another worker.
        bool stopOrdered = false;
        // The current run has been recorded as slow in the worker pool.
        bool slowReported = false;
        // The current run is on a worker that is not on the rack with the task's data.
        bool isFar = false;
        // Since when the task has waited for free resources near its data; nullopt if it does not wait.
        std::optional<Millis> nearWaitSince;
    };

    // Adds to a total for as long as it exists.
    class Share
    {
    public:
        Share() = default;
        Share(size_t &total, size_t amount)
            : m_total(&total)
            , m_amount(amount)
        {
            *m_total += m_amount;
        }
        Share(Share &&other) noexcept
            : m_total(std::exchange(other.m_total, nullptr))
            , m_amount(other.m_amount)
        { }
        Share &operator=(Share &&other) noexcept
        {
            std::swap(m_total, other.m_total);
            std::swap(m_amount, other.m_amount);
            return *this;
        }
        ~Share()
        {
            if (m_total)
                *m_total -= m_amount;
        }

    private:
        size_t *m_total = nullptr;
        size_t m_amount = 0;
    };

    struct UnstoredEnd
    {
        AgentNumber agent = 0;
        RunId run;
    };

    struct Job
    {
        JobSpec spec;
        // Availability zone in which it was submitted; empty if it is not known.
        std::string zone;
        // Distinguishes jobs of the same identifier: a job that was given up may be submitted again while the
        // store still writes a record of its predecessor.
        uint64_t serial = 0;
        uint32_t partition = 0;
        std::vector<Task> tasks;
        // For each step: the index of its first task in tasks, and the number of its tasks that are not done.
        std::vector<uint32_t> stepFirst;
        std::vector<uint32_t> stepRemaining;
        std::vector<fleet::FailedRun> failedRuns;
        std::vector<UnstoredEnd> unstoredEnds;
        Millis oldestUnstoredEnd;
        Millis acceptedAt;
        // Deadline for the end of the job's last task.
        Millis dueAt;
        // Time at which a best-effort job is abandoned, because no caller waits for it any longer.
        Millis expiresAt;
        // Not Active once the job has ended. Clients see the new phase only after the record is stored.
        JobPhase phase = JobPhase::Active;
        bool accepted = false;
        // The store may contain a record of the job.
        bool recorded = false;
        // A task has been ordered more than once, so the end of an earlier run may be disputed.
        bool hasRepeatedRuns = false;
        bool anyStarted = false;
        bool anyOrdered = false;
        // A former owner may have ordered runs of any task. Meaningful until the partition is reconciled.
        bool mayHaveFormerRuns = false;
        // No caller waits any longer. The job is not added to m_ended, so that it can be submitted again.
        bool abandoned = false;
        bool recordInFlight = false;
        bool recordDirty = false;
        bool queued = false;
        // Admitted although it will be late.
        bool expectedLate = false;
        RunNumbers runNumbers;
        JobWaiters submitters;
        JobWaiters cancellers;
        // Latest start of the remaining tasks with which the job meets its deadline.
        Millis latestStart;
        // Sort key in the queue; valid while queued is set.
        Millis queueKey;
        // Part of m_heldTasks.
        Share heldTasks;
    };

    struct EndedJob
    {
        JobPhase phase = JobPhase::Completed;
        Millis evictAt;
        uint32_t partition = 0;
        bool recorded = false;
        // A task of the job was ordered more than once, so an end reported after the job's end may be
        // disputed.
        bool hasRepeatedRuns = false;
    };

    // A best-effort job that was given up. It may be submitted again, and its runs may still be reported.
    struct GivenUpJob
    {
        // Highest run number of its tasks; a new submission uses higher ones.
        uint32_t lastRun = 0;
        // A run of its tasks may still start until then.
        Millis notBefore;
        uint32_t partition = 0;
        Millis evictAt;
    };

    // A job that was cancelled while its owner did not know it. Its submission may be on its way: an entry
    // submits the jobs of a failed owner again.
    struct UnknownCancelledJob
    {
        uint32_t partition = 0;
        Millis evictAt;
        // The job was cancelled again, so that its place in the order of eviction is too early.
        bool isRenewed = false;
        // The store contains the cancel.
        bool recorded = false;
    };

    // Cancels that are answered once the store contains a record for them. The job has ended, or this owner
    // has not known it.
    struct PendingCancel
    {
        uint32_t partition = 0;
        JobWaiters cancellers;
    };

    // A run whose job is unknown to this owner. If the job is submitted again, it adopts the run.
    struct Orphan
    {
        AgentNumber agent = 0;
        Millis stopAt;
        bool stopped = false;
    };

    struct Partition
    {
        uint64_t epoch = 0;
        bool loaded = false;
        // All agents have reported their runs, or none of the former owner's runs can exist any longer.
        bool reconciled = false;
        bool frozen = false;
        bool suspended = false;
        bool isConfirmed = true;
        bool mayPlace = true;
        Millis loadedAt;
        // Number of the newest claim at each agent. An agent in `reported` has reported on it.
        std::map<AgentNumber, uint64_t> claims;
        std::set<AgentNumber> reported;
        // For agents that have accepted the newest claim and cannot report yet: when the runs of former
        // owners there will have ended.
        std::map<AgentNumber, Millis> leaseEnds;
        std::set<AgentNumber> excluded;
        std::set<AgentNumber> expected;
        bool allAgentsKnown = false;
        Millis formerOwnersEnd;
    };

    // A job's position in a queue: its sort key, then its identifier.
    using QueueKey = std::pair<Millis, JobId>;
    using JobQueue = std::set<QueueKey>;

    // --- jobscheduler.cpp: calls of clients, records ---
    // True if a new owner knows the workers of so few agents that it cannot judge whether there is capacity
    // for a job.
    bool lacksCapacityView(const Partition &partition, Millis now) const;
    struct Admission
    {
        // Empty if the job is admitted.
        std::optional<JobReply> rejection;
        // The job will be late, and uses only what jobs in time leave.
        bool isLate = false;
    };

    Admission checkAdmission(const JobSpec &spec, const std::string &zone, Millis now);
    // Predicted time until the job's tasks are started, given the work that is queued ahead of them.
    Millis predictedWait(const JobSpec &spec, Millis key, Millis estimate) const;
    // Longest predicted wait with which a job of this slack is admitted.
    Millis allowedWait(const JobSpec &spec, Millis slack, Millis now);
    Millis allowedWait(const JobSpec &spec, Millis slack, const UrgentSlack &urgentSlack, Millis now) const;
    // What checkAdmission decides, without a record of the submission.
    AdmissionExplanation explainAdmission(const JobSpec &spec, Millis now) const;
    StepExplanation explainStep(const JobSpec &spec, uint32_t step, Millis start, Millis now) const;
    static int64_t waitingCpuMilli(const Job &job);
    Job &addJob(JobSpec spec, uint32_t partition, Millis now);
    struct RecordWrite
    {
        JobId job = 0;
        uint64_t serial = 0;
        uint32_t partition = 0;
        uint64_t epoch = 0;
        JobPhase phase = JobPhase::Active;
        std::vector<UnstoredEnd> ends;
        // Indices of the tasks that the record shows as repeated.
        std::vector<uint32_t> repeatedTasks;
        uint32_t runLimit = 0;
    };

    void writeRecord(Job &job);
    void deleteRecord(uint32_t partition, JobId id);
    void recordStored(const RecordWrite &write, StoreOutcome outcome, Millis now);
    void finishAcceptance(Job &job, StoreOutcome outcome, Millis now);
    void acceptBestEffort(Job &job, const CallOptions &options, Millis now, JobReplyHandler onDone);
    // Number of agents that may have runs of the partition and have not reported to this owner.
    static size_t unreportedAgents(const Partition &partition);
    void retire(JobId id, Millis now);
    void retireFinished(Millis now);
    void recordGivenUp(const Job &job, Millis now);

    // --- jobschedulercancels.cpp: cancels of unknown jobs ---
    // Stores that the job must not run, so that later owners know it as well, and stops runs of it that
    // agents have reported.
    void cancelUnknown(JobId id, const CallOptions &options, Millis now, JobReplyHandler onDone);
    // Answers the cancel once a record of this phase is stored, without which a later owner could run the
    // job.
    void storeCancel(JobId id, JobPhase phase, const CallOptions &options, Millis now,
                     JobReplyHandler onDone);
    void cancelStored(JobId id, StoreOutcome outcome);
    // Removes the records whose time is over.
    void evictUnknownCancels(Millis now);

    // --- jobschedulerruns.cpp: tasks and runs ---
    Job *findJob(JobId id);
    // What this owner knows of the job, for log lines.
    std::string_view jobState(JobId id) const;
    Task *findTask(Job &job, const TaskId &id);
    RunId runId(const Job &job, const Task &task) const;
    // True if this is the task's present run. Another agent may still report a run of an earlier order.
    static bool isCurrentRun(const Task &task, AgentNumber agent, const RunId &run)
    {
        return task.agent == agent && task.run == run.number;
    }
    void openReadySteps(Job &job);
    void taskDone(Job &job, Task &task, Millis now);
    void taskFailed(Job &job, Task &task, AgentNumber agent, const RunId &run, Millis now);
    // Leaves the worker to others while the task can wait for another one.
    static void avoidWorker(Task &task, AgentNumber agent, Millis now);
    // Makes the task ready to be ordered again. The cause is logged.
    void requeueTask(Job &job, Task &task, std::string_view cause, Millis now);
    // Records that the task is ordered again although its previous run may have ended without a report, so
    // that the next owner can dispute that run's end. The task is ordered once the record is stored.
    void recordRepeatedRun(Job &job, Task &task);
    void endJob(Job &job, JobPhase phase);
    void stopRuns(Job &job);
    void recordUnstoredEnd(Job &job, AgentNumber agent, const RunId &run, Millis now);
    // The job and task that the end belongs to; null if they are unknown here.
    bool isDisputed(const AgentEnd &end, const Job *job, const Task *task) const;
    void adoptRun(AgentNumber agent, const RunId &run, Millis now);
    void adoptOrphans(Job &job, Millis now);
    void stopOrphans(Millis now);

    // --- jobscheduleragents.cpp: claims, lost agents, reconciliation ---
    void endRunsOf(AgentNumber agent, bool ordersMayStart, Millis now);
    // The agent has reported, and stops a run that starts late.
    void endLateStarts(Job &job, AgentNumber agent, Millis now);
    void reconcilePartition(uint32_t number, Partition &partition, Millis now);
    // True if no run of a former owner can exist at the agent, or its report names those that do.
    static bool isAccountedFor(const Partition &partition, AgentNumber agent, Millis now);
    // Why a report on a claim may not be used; empty if it may.
    std::string_view claimReportProblem(uint32_t number, uint64_t epoch, std::span<const RunId> running,
                                        std::span<const AgentEnd> ended) const;

    // --- jobscheduleradmission.cpp: admission by forecast (m_admission is set) and by shares ---
    void useForecast();
    Admission checkForecast(const JobSpec &spec, const std::string &zone, Millis now);
    // The job was rejected after it had waited, or at once.
    void recordRejected(const JobSpec &spec, const std::string &zone, Millis now);
    // True if the shares leave room for the job, or none are set. Its start may be delayed by `slack`.
    bool isWithinShares(const JobSpec &spec, const std::string &zone, Millis slack, Millis now);
    bool isLent(const TaskClass &taskClass, const ForecastNeed &need, const ForecastResult &forecast,
                Millis now);
    std::vector<OwnWork> ownWork() const;
    // True if the job is late, but little of it is left to be started and its end is still worth something.
    bool isWorthFinishing(const Job &job, Millis now) const;
    Millis lastUsefulStart(const Job &job) const;
    // True if the job, which waits and will be late, is still expected to be worth something.
    bool isWorthWaiting(const Job &job, Millis now);
    // Time after which a job that was refused after it had waited is to be submitted again.
    Millis retryAfterWaiting(const Job &job, Millis now);
    Millis criticalPath(const JobSpec &spec) const;
    Forecast::Options describeClass(const TaskClass &taskClass, Millis now) const;
    void addOwnWork(const TaskClass &taskClass, Forecast &forecast, Millis now) const;
    // Part of this owner in the running work of the service.
    double ownFraction(std::string_view service, const ReachableResources &resources) const;
    // Part of the agents of the newest partitions whose workers are known.
    double knownAgentsFraction(Millis now) const;

    // --- jobschedulerdispatch.cpp: queue and placement ---
    Millis queueKey(Millis latestStart, Millis acceptedAt) const;
    void enqueue(Job &job);
    void dequeue(Job &job);
    void demoteLate(Millis now);
    void rejectLateJobs(Millis now);
    void dispatch(Millis now);
    // Places tasks of the queued jobs in order. With alsoBehind it then goes on with the jobs behind the ones
    // that used up the budget; `resumeAt` is where the previous pass over these ended.
    void placeQueued(const JobQueue &queue, uint32_t &budget, QueueKey &resumeAt, bool alsoBehind,
                     Millis now);
    // Goes through the jobs in order until `budget` of them could not be placed. Returns the number of jobs
    // looked at.
    size_t placeInOrder(std::span<const QueueKey> jobs, uint32_t &budget, Millis now);
    // Returns false if a task could not be placed. Tasks that wait for a rack, or that may start late, do not
    // count.
    bool placeTasks(Job &job, Millis now);
    // What the task needs, apart from the workers that it may use.
    PlacementNeeds placementNeeds(const Job &job, const Task &task, Millis now) const;
    enum class Placement : uint8_t {
        Placed,
        // No worker that fits the task has free resources.
        NoRoom,
        // The task waits for resources near its data although others are free.
        WaitsForRack,
    };
    Placement placeTask(Job &job, Task &task, Millis now);
    // True if the task may be ordered once more. If not, a record with a higher limit is written.
    bool hasRunNumber(Job &job, const Task &task, Millis now);
    // --- jobschedulerlocality.cpp: placement near the data ---
    // What this owner knows of a rack for the tasks of a partition.
    struct RackView
    {
        RackRoom room;
        Millis takenAt;
        // The following values are of one pass over the queue.
        uint64_t pass = 0;
        // Smallest task, by its processors, for which no worker of the rack had free resources.
        int64_t noRoomFrom = INT64_MAX;
    };
    // Partition, service, rack and required label.
    using RackViewKey = std::tuple<uint32_t, std::string, std::string, std::string>;

    bool isFar(const StepSpec &step, AgentNumber agent) const;
    RackView &rackView(const Job &job, const StepSpec &step, Millis now);
    // True if the task waits without a search for a worker: none on its rack had free resources for a task of
    // this size earlier in the pass.
    bool waitsForRack(const Job &job, Task &task, Millis now);
    // True if the task waits for its rack instead of being placed on this worker.
    bool waitsForRack(const Job &job, Task &task, AgentNumber found, Millis now);
    // Processors of the task and of the following ones of its step that are not placed.
    static int64_t unplacedCpuMilli(const Job &job, const Task &task);
    bool decidesToWait(const Job &job, Task &task, bool hasNearRoom, Millis now);
    // Ends the task's wait, if it waits. Returns how long it has waited.
    Millis endRackWait(const Job &job, Task &task, AgentNumber placedAt, Millis now);
    // Processors given back by a run that has ended.
    void processorsReleased(AgentNumber agent, const StepSpec &step, Millis now);
    Millis objective(const JobSpec &spec) const;
    Millis remainingCriticalPath(const Job &job) const;
    void storeProgress(Millis now);

    // --- jobschedulerlongruns.cpp: runs that take long ---
    struct AgentRuns
    {
        uint32_t count = 0;
        // Probability that the runs take as long as they do if the worker is sound.
        double likelihood = 1;
    };

    bool movesByEvidence() const { return std::holds_alternative<MoveByEvidence>(m_options.moveLongRuns); }
    // Estimated run time on a worker of speed 1 near the data.
    double estimateOf(const Job &job, const Task &task) const;
    double farFactorOf(const Task &task) const;
    // Estimated run time on the task's worker without its present slowness.
    double expectedHere(const Job &job, const Task &task) const;
    RunRatios &ratiosOf(const std::string &queue);
    const RunRatios &ratiosOf(const std::string &queue) const;
    void recordRunTime(const Job &job, const Task &task, Millis took, Millis now);
    void checkRuns(Millis now);
    void checkRunByRatio(Job &job, Task &task, Millis now);
    void checkRunByEvidence(Job &job, Task &task, Millis now);
    WorkerEvidence evidenceOf(const Job &job, const Task &task, Millis now) const;
    // The runs of this owner, by agent.
    void collectRuns(Millis now);
    void moveRun(Job &job, Task &task, Millis now);
    void expireJobs(Millis now);
    void purge(Millis now);

    const JobSchedulerOptions m_options;
    WorkerPool &m_pool;
    JobEffects &m_effects;
    StructuredLog &m_log;
    RunTimes m_runTimes;
    std::map<std::string, RunRatios, std::less<>> m_runRatios;
    // Running tasks by agent, as of the last check.
    std::map<AgentNumber, AgentRuns> m_agentRuns;
    uint64_t m_movedRuns = 0;
    uint64_t m_leftRuns = 0;
    UrgentSlack m_urgentSlack;
    PlacementWait m_placementWait;
    std::map<RackViewKey, RackView> m_rackViews;
    // Processors of the tasks that wait for a rack, by service and rack, in the present pass over the queue.
    std::map<std::pair<std::string, std::string>, int64_t> m_rackWaitingCpuMilli;
    uint64_t m_pass = 0;
    // Number of decisions to wait for a rack in the present pass.
    uint32_t m_rackWaits = 0;
    // Null unless jobs are admitted by forecast.
    std::unique_ptr<AdmissionControl> m_admission;
    std::optional<FairShares> m_shares;
    std::map<uint32_t, Partition> m_partitions;
    // Size of m_jobs in the units of JobSchedulerOptions::maxHeldTasks; outlives the jobs.
    size_t m_heldTasks = 0;
    std::unordered_map<JobId, Job> m_jobs;
    uint64_t m_lastSerial = 0;
    uint64_t m_lastClaim = 0;
    std::unordered_map<JobId, EndedJob> m_ended;
    // Ended jobs, oldest first.
    std::deque<JobId> m_endedOrder;
    std::unordered_map<JobId, GivenUpJob> m_givenUp;
    std::unordered_map<JobId, UnknownCancelledJob> m_unknownCancelled;
    // The same jobs, oldest first.
    std::deque<JobId> m_unknownCancelledOrder;
    // Bounded by the calls that are open at all entries.
    std::unordered_map<JobId, PendingCancel> m_pendingCancels;
    // Queue of the jobs with waiting tasks that can still meet their deadline, by queueKey, and of those that
    // cannot, by acceptedAt.
    JobQueue m_onTime;
    JobQueue m_late;
    // Where the next pass over the jobs behind the first unplaced ones of each queue begins.
    QueueKey m_onTimeResumeAt;
    QueueKey m_lateResumeAt;
    // Best-effort jobs that have ended but are still in m_jobs.
    std::vector<JobId> m_finished;
    std::map<RunId, Orphan> m_orphans;
    // Processors that the waiting tasks of the jobs in m_onTime require, in thousandths of a core.
    int64_t m_waitingCpuMilli = 0;
    int64_t m_peersWaitingCpuMilli = 0;
    Millis m_nextPassBehind;
    Millis m_nextProgress;
    Millis m_nextRunCheck;
    Millis m_nextPurge;
};

} // namespace turmericwell
