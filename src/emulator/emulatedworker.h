// A worker in an emulation: runs tasks under leases, lists what runs and what has ended, and has the troubles
// that real workers have.
#pragma once

#include "emulator/emulatednetwork.h"
#include "fleet/agentnode.h"

#include <map>
#include <set>

namespace turmericwell {

// What a worker saw of one run. Confirmed: the agent let the worker forget the end, and no lease has lapsed
// in between.
enum class RunEventKind : uint8_t { Started, Done, Failed, Stopped, Lapsed, Lost, Confirmed };

struct RunEvent
{
    Millis at;
    RunEventKind kind = RunEventKind::Started;
    RunId run;
    uint32_t worker = 0;
    // Life of the worker.
    uint32_t life = 0;
};

struct WorkerTrouble
{
    // Runs that start now take this many times as long.
    double slowness = 1;
    // Share of the runs that fail soon after their start.
    double failing = 0;
    // Share of the calls whose answers are lost, and of those that are carried out seconds later.
    double losesAnswers = 0;
    double late = 0;
    // Orders that are on their way for seconds also reach the next life of the worker, which has the same
    // name.
    bool lateOrdersOutliveCrash = false;
    // Share of the list polls that get the answer to an earlier poll once more, instead of their own.
    double repeatsAnswers = 0;
    // Runs that start now never end.
    bool hangs = false;
};

struct EmulatedWorkerOptions
{
    uint32_t number = 0;
    uint64_t seed = 1;
    HostNumber host = 0;
    Address address;
    std::string service;
    std::string zone;
    Resources capacity;
    Millis longestLease = {1'000};
    Millis heartbeatInterval = {1'500};
};

// How long a task takes on a sound worker, and the processors that it uses.
struct TaskWork
{
    Millis runTime;
    int64_t cpuMilli = 0;
};

class EmulatedWorker : public WorkerApi
{
public:
    using WorkOf = std::function<TaskWork(const TaskId &task)>;

    EmulatedWorker(EmulatedWorkerOptions options, WorkOf workOf, EventQueue &events, EmulatedNetwork &network,
                   std::vector<RunEvent> &history);

    void start(const StartCall &call, Millis timeout,
               std::function<void(OrderAnswer, std::optional<Millis>)> onDone) override;
    void stop(const StopCall &call, Millis timeout,
              std::function<void(OrderAnswer, std::optional<Millis>)> onDone) override;
    void pollLists(const ListPollCall &call, Millis timeout,
                   std::function<void(OrderAnswer, const WorkerLists &)> onDone) override;

    // The next announcement of this life.
    WorkerAnnouncement announcement();
    // The last announcement of the former life; empty before the first crash.
    const std::optional<WorkerAnnouncement> &formerAnnouncement() const { return m_formerAnnouncement; }
    Millis heartbeatInterval() const { return m_options.heartbeatInterval; }
    void setTrouble(const WorkerTrouble &trouble, Millis until);
    // Everything that runs is lost; the worker starts again under the same name.
    void crash();
    // As crash, and it answers no call until then.
    void losePower(Millis until);
    bool hasPower() const { return m_events.now() >= m_powerlessUntil; }
    // Kills what has no lease any more.
    void checkLeases();
    // Most processors in use at any time, over the capacity.
    int64_t mostOverfullMilli() const { return m_mostOverfullMilli; }

private:
    struct Run
    {
        Millis startedAt;
        int64_t cpuMilli = 0;
        // Tells an end that was planned for an earlier run of the same identity apart.
        uint64_t start = 0;
    };

    struct WaitingHold
    {
        Millis answerBy;
        std::function<void()> cut;
        std::function<void()> answer;
    };

    const WorkerTrouble &trouble() const;
    Millis clock() const { return m_events.now() - m_bornAt; }
    bool draw(double share);
    void carryOut(double lostShare, Millis timeout, const std::function<void()> &effect,
                  const std::function<void()> &noAnswer);
    // A call names the worker that it is for; an empty name is for any.
    bool isFor(std::string_view worker) const { return worker.empty() || worker == m_name; }
    OrderAnswer startNow(const RunId &run, Millis deadline, uint64_t fence);
    OrderAnswer stopNow(const RunId &run, uint64_t fence);
    void renew(Millis deadline);
    void end(const RunId &run, EndKind kind);
    void answerHolds();
    WorkerLists lists() const;
    // What the next list poll is answered with.
    WorkerLists nextAnswer(uint64_t agent);
    void note(RunEventKind kind, const RunId &run);

    const EmulatedWorkerOptions m_options;
    const std::string m_name;
    const WorkOf m_workOf;
    EventQueue &m_events;
    EmulatedNetwork &m_network;
    std::vector<RunEvent> &m_history;
    std::mt19937_64 m_random;
    WorkerTrouble m_trouble;
    Millis m_troubleUntil;
    Millis m_powerlessUntil;
    std::optional<WorkerAnnouncement> m_formerAnnouncement;
    // The newest answer to a list poll, and the life of the agent to which it was sent on a connection that
    // may carry it once more.
    std::optional<WorkerLists> m_lastAnswer;
    uint64_t m_lastAnswerTo = 0;

    // --- one life ---
    uint32_t m_life = 1;
    Millis m_bornAt;
    uint64_t m_sequence = 0;
    uint64_t m_fence = 0;
    Millis m_leaseEnd;
    std::map<RunId, Run> m_runs;
    std::map<uint64_t, ListedEnd> m_ends;
    uint64_t m_lastEnd = 0;
    // The lease has lapsed after the ends up to this number.
    uint64_t m_lapsedAfterEnd = 0;
    uint64_t m_starts = 0;
    // By task: runs up to this number are rejected.
    std::map<TaskId, uint32_t> m_endedRuns;
    std::vector<WaitingHold> m_waiting;
    int64_t m_mostOverfullMilli = 0;
};

} // namespace turmericwell
