// Clients of an emulation: arrivals of jobs, tries at the entries, and what the clients see.
//
// A client gives up after its deadline. A try without an answer is repeated at another entry; one that was
// refused is not.
#pragma once

#include "emulator/emulatedworker.h"
#include "fleet/entrynode.h"

#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace turmericwell {

// Failed runs of one task after which its job fails.
inline constexpr uint32_t failedRunsAllowed = 3;

// One kind of job. Tasks of a job are alike but for their run times.
struct JobKind
{
    std::string queue;
    double perSecond = 0;
    uint32_t tasks = 1;
    Millis meanRunTime;
    int64_t cpuMilli = 1'000;
    // 0 is the most urgent.
    uint32_t priority = 0;
};

struct EmulatedTraffic
{
    std::string service = "service";
    std::vector<JobKind> kinds;
    // Multiplies the rates.
    double load = 1;
    // Share of the jobs that the clients want to be kept, and of these that they cancel.
    double keptShare = 0.3;
    double cancelledShare = 0.05;
    // Share of the jobs that their clients leave when there is no answer to the first try in a short time.
    // They cancel them at another entry, and the try may still arrive.
    double withdrawnShare = 0;
    // Share of the jobs that have a second step of as many tasks, which depends on the first.
    double twoStepShare = 0;
    // Share of the kept jobs that a client asks for, at any entry, some seconds after they were accepted.
    double askedShare = 0;
    // Share of the kept jobs whose tasks run for seconds, much longer than any lease.
    double longTaskShare = 0;
    // Standard deviations of the logarithms: run times around the mean, declared run times around the real
    // ones.
    double runTimeSpread = 0.4;
    double estimateSpread = 0.3;
    // A job is in time within this many times its longest task plus the target latency.
    double stretch = 1.6;
    Millis targetLatency = {60};
    Millis deadline = {6'000};
    Millis resendDelay = {1'300};
    // Most times that a client submits a job again after its deadline has passed without an answer, each time
    // with a new deadline.
    uint32_t mostResubmissions = 0;
};

// What became of a job, as its client knows.
struct JobOutcome
{
    JobId job = 0;
    uint32_t kind = 0;
    bool isKept = false;
    Millis sentAt;
    // Of each step, added up.
    Millis longestTask;
    uint32_t steps = 1;
    // Processor time of all tasks, in thousandths of a processor times milliseconds.
    int64_t work = 0;
    uint32_t tries = 0;
    // Times that the job was submitted again after its deadline, and since when the present deadline counts.
    uint32_t resubmissions = 0;
    Millis deadlineSince;
    // Every try was refused; the job must not have run.
    bool onlyRefused = true;
    // Kept jobs only: the answer that it is stored.
    std::optional<Millis> acceptedAt;
    // Best-effort jobs only: the answer that it is completed.
    std::optional<Millis> completedAt;
    // Best-effort jobs only: a phase in an answer that is not the end of the job.
    std::optional<JobPhase> unfitAnswer;
    bool cancelSent = false;
    std::optional<Millis> cancelledAt;
    // An answer that an accepted job is not known.
    std::optional<Millis> deniedAt;
};

class EmulatedClients
{
public:
    struct Handlers
    {
        // Entries that take connections now.
        std::function<std::vector<HostNumber>()> openEntries;
        // The entry that runs on the host; null if there is none.
        std::function<EntryNode *(HostNumber host)> entryOn;
    };

    EmulatedClients(EmulatedTraffic traffic, uint64_t seed, EventQueue &events, EmulatedNetwork &network,
                    Handlers handlers);

    void start(Millis until);
    // Multiplies the rates until the given time.
    void burst(double factor, Millis until);
    TaskWork workOf(const TaskId &task) const;
    const std::unordered_map<JobId, JobOutcome> &outcomes() const { return m_outcomes; }
    const EmulatedTraffic &traffic() const { return m_traffic; }
    // What the clients of a queue would declare.
    QueueTable queues() const;

private:
    struct Work
    {
        // Of the tasks of all steps.
        std::vector<Millis> runTimes;
        uint32_t tasksPerStep = 1;
        int64_t cpuMilli = 0;
        uint32_t estimateMs = 1;
    };

    void scheduleArrival(uint32_t kind);
    void arrive(uint32_t kind);
    // Draws run times of seconds in place of those of the job's kind.
    void makeTasksLong(JobOutcome &outcome, Work &work);
    void submit(JobId job);
    void cancel(JobId job);
    // Leaves the first try without an answer, and cancels the job.
    void withdraw(JobId job);
    void ask(JobId job);
    void answered(JobId job, uint32_t attempt, const JobReply &reply);
    void unanswered(JobId job, uint32_t attempt);
    // Looks again and again whether the entry that has the call still lives.
    void watch(JobId job, uint32_t attempt, HostNumber entry, uint64_t life);
    std::unique_ptr<JobSpec> specOf(const JobOutcome &outcome) const;
    HostNumber drawEntry();
    double draw() { return std::uniform_real_distribution<double>(0, 1)(m_random); }
    double drawFactor(double spread);

    const EmulatedTraffic m_traffic;
    EventQueue &m_events;
    EmulatedNetwork &m_network;
    const Handlers m_handlers;
    std::mt19937_64 m_random;
    Millis m_until;
    double m_burst = 1;
    Millis m_burstUntil;
    std::unordered_map<JobId, JobOutcome> m_outcomes;
    std::unordered_map<JobId, Work> m_work;
    JobId m_nextJob = 1;
};

} // namespace turmericwell
