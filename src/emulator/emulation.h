// A day of the whole system in virtual time: real entries and agents on an emulated network, store, workers
// and clients. Equal options give equal days.
#pragma once

#include "emulator/emulatedclients.h"
#include "emulator/emulationplan.h"

#include <memory>
#include <span>
#include <string>
#include <vector>

namespace turmericwell {

struct EmulationOptions
{
    uint64_t seed = 1;
    EmulatedSize size;
    uint32_t partitions = 8;
    // With few of them, owners pass their ranges of run numbers as they do in practice after long waits.
    uint32_t runsPerEpoch = RunNumbers::defaultRangeSize;
    Resources workerCapacity = {16'000, 32'000, 0};
    EmulatedTraffic traffic;
    // Time from the start of all processes to the first submission. Agents find out that nothing runs on a
    // new worker after a lease.
    Millis settleTime = {4'000};
    // Clients submit from the moment at which the processes have settled until this one.
    Millis length = {20'000};
    // After that the system gets this long to finish what it has accepted.
    Millis finish = {14'000};
    EmulationPlan plan;
    uint32_t admissionSlackPercent = 45;
    uint32_t queueAllowancePercent = 10;
    // Agents without a worker for this long withdraw their registration; 0 for never.
    Millis leaveWithoutWorker;
    uint32_t urgentSlackPercent = 100;
    QueueOrder queueOrder;
    PlacementPolicy placement;
    bool learnWorkerSpeeds = false;
    LongRunPolicy moveLongRuns;
    bool servesUntilTaken = false;
    bool joinsKnownFleetAtOnce = false;
    // Workers announce themselves at different times instead of all at once.
    bool spreadsAnnouncements = false;
    AdmissionPolicy admission;
    // A worker whose agent does not acknowledge an announcement calls the next agent.
    bool workersCallNextAgent = false;
    // Writes the decision logs to standard output.
    bool writesLogs = false;
};

// All that was seen from outside.
struct EmulationRecord
{
    std::vector<JobOutcome> jobs;
    std::vector<RunEvent> runs;
    int64_t mostOverfullMilli = 0;
    double storeCalls = 0;
    // Messages between processes.
    uint64_t frames = 0;
    Millis begin;
    Millis end;
};

class EmulatedProcess;

class Emulation
{
public:
    explicit Emulation(EmulationOptions options);
    ~Emulation();

    EmulationRecord run();

private:
    HostNumber hostOf(const ProcessName &name) const;
    FleetSettings settingsOf(const ProcessName &name) const;
    void startProcess(const ProcessName &name);
    void endProcess(HostNumber host, bool resetsConnections);
    void killFor(const ProcessName &name, Millis length, bool losesPower);
    void killAll(const KillAll &kill, Millis length);
    void stopProcess(const ProcessName &name);
    void pollProcesses();
    void superviseWorkers();
    void announceWorker(uint32_t worker);
    void announceToNextAgents(uint32_t worker, uint32_t tries);
    // Hands an announcement to the agent; false if no process is there. `onOutcome` is called once the agent
    // has read it.
    bool deliver(uint32_t agent, const WorkerAnnouncement &announcement,
                 const std::function<void(AnnouncementOutcome)> &onOutcome);
    WorkerAnnouncement toAnnouncement(const AnnounceAnotherWorker &stray);
    void repeatAnnouncement(uint32_t agent, const WorkerAnnouncement &announcement, Millis until);
    void beginTrouble(const PlannedTrouble &planned);
    // The processes reach each other only, and not the store.
    void cutOff(std::span<const ProcessName> group, Millis until);
    std::vector<ProcessName> allProcesses() const;
    std::vector<HostNumber> openEntries() const;
    EntryNode *entryOn(HostNumber host) const;

    const EmulationOptions m_options;
    EventQueue m_events;
    EmulatedNetwork m_network;
    EmulatedStore m_store;
    EmulatedClients m_clients;
    std::vector<RunEvent> m_history;
    std::vector<std::unique_ptr<EmulatedWorker>> m_workers;
    std::map<HostNumber, std::unique_ptr<EmulatedProcess>> m_processes;
    std::set<HostNumber> m_paused;
    // Processes that have ended in this turn; they are destroyed after it.
    std::vector<HostNumber> m_ended;
};

} // namespace turmericwell
