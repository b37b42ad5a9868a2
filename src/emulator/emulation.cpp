// Processes, troubles and the order of events.
#include "emulator/emulation.h"

#include "core/overloaded.h"

#include <algorithm>
#include <set>

namespace turmericwell {

constexpr Millis emulationStart = {1'000'000};
constexpr Millis leaseCheckInterval = {5};
constexpr Millis restartDelay = {300};
constexpr Millis stopGrace = {6'000};
constexpr uint16_t workerPort = 9'000;
// An announcement that is not acknowledged for this long goes to the next agent.
constexpr Millis acknowledgementTimeout = {1'000};
constexpr Millis strayInterval = {300};
constexpr uint64_t straySequence = 1;
constexpr uint32_t mostLogLinesPerSecond = 1'000'000;

// One life of a process.
class EmulatedProcess
{
public:
    EmulatedProcess(const FleetSettings &settings, HostNumber host, EmulatedNetwork &network, bool writesLogs)
        : m_network(network.networkOf(host))
    {
        if (writesLogs)
            m_log = StructuredLog(settings.name, {.linesPerSecond = mostLogLinesPerSecond});
        network.up(host, m_io);
    }

    void becomeEntry(const FleetSettings &settings, uint64_t incarnation, StoreApi &store, QueueTable queues)
    {
        m_transport = std::make_unique<StoreTransport>(m_io, settings.store, m_log);
        m_entry =
            std::make_unique<EntryNode>(m_io, *m_network, settings, incarnation, store, *m_transport, m_log);
        m_entry->setQueues(std::move(queues));
        m_entry->setOperatorRecordsKnown();
        m_entry->start();
    }
    void becomeAgent(const FleetSettings &settings, uint64_t incarnation, StoreApi &store, WorkerApi &worker)
    {
        m_agent = std::make_unique<AgentNode>(m_io, *m_network, settings, incarnation, store, worker, m_log);
        m_agent->start();
    }

    EntryNode *entry() const { return m_entry.get(); }
    AgentNode *agent() const { return m_agent.get(); }
    bool isStopping() const { return m_stopping; }
    void setStopping() { m_stopping = true; }
    bool accepts() const { return m_entry && m_accepts; }
    void setAccepts(bool accepts) { m_accepts = accepts; }

    void poll(Millis now)
    {
        m_io.restart();
        m_io.poll();
        m_log.flush(now);
    }

private:
    IoContext m_io{1};
    std::unique_ptr<LinkNetwork> m_network;
    StructuredLog m_log;
    std::unique_ptr<StoreTransport> m_transport;
    std::unique_ptr<EntryNode> m_entry;
    std::unique_ptr<AgentNode> m_agent;
    bool m_stopping = false;
    bool m_accepts = true;
};

static Address workerAddressOf(HostNumber host)
{
    return {.host = EmulatedNetwork::addressOf(host).host, .port = workerPort};
}

Emulation::Emulation(EmulationOptions options)
    : m_options(std::move(options))
    , m_events(emulationStart, static_cast<uint32_t>(m_options.seed))
    , m_network({.seed = m_options.seed}, m_events)
    , m_store({.seed = m_options.seed + 1, .partitions = m_options.partitions}, m_events, m_network)
    , m_clients(m_options.traffic, m_options.seed + 2, m_events, m_network,
                {.openEntries = [this] { return openEntries(); },
                 .entryOn = [this](HostNumber host) { return entryOn(host); }})
{
    for (uint32_t number = 0; number < m_options.size.agents; ++number) {
        const HostNumber host = hostOf({fleet::ProcessRole::Agent, number});
        m_workers.push_back(std::make_unique<EmulatedWorker>(
            EmulatedWorkerOptions{.number = number,
                                  .seed = m_options.seed + host,
                                  .host = host,
                                  .address = workerAddressOf(host),
                                  .service = m_options.traffic.service,
                                  .zone = "zone",
                                  .capacity = m_options.workerCapacity},
            [this](const TaskId &task) { return m_clients.workOf(task); }, m_events, m_network, m_history));
    }
}

Emulation::~Emulation() = default;

HostNumber Emulation::hostOf(const ProcessName &name) const
{
    // 0 names no host.
    const HostNumber first = name.role == fleet::ProcessRole::Entry ? 1 : 1 + m_options.size.entries;
    return first + name.index;
}

FleetSettings Emulation::settingsOf(const ProcessName &name) const
{
    const bool isEntry = name.role == fleet::ProcessRole::Entry;
    const Address address = EmulatedNetwork::addressOf(hostOf(name));
    return {.name = (isEntry ? "entry-" : "agent-") + std::to_string(name.index),
            .zone = "zone",
            .store = address,
            .peerListen = address,
            .peerAddress = address,
            .worker = workerAddressOf(hostOf(name)),
            .partitions = m_options.partitions,
            .runsPerEpoch = m_options.runsPerEpoch,
            .leastMemberTtl = {1'000},
            .workerLease = {1'000},
            .stopGrace = stopGrace,
            .admissionSlackPercent = m_options.admissionSlackPercent,
            .urgentSlackPercent = m_options.urgentSlackPercent,
            .servesUntilTaken = m_options.servesUntilTaken,
            .joinsKnownFleetAtOnce = m_options.joinsKnownFleetAtOnce,
            .queueOrder = m_options.queueOrder,
            .placement = m_options.placement,
            .learnWorkerSpeeds = m_options.learnWorkerSpeeds,
            .moveLongRuns = m_options.moveLongRuns,
            .admission = m_options.admission,
            .queueAllowancePercent = m_options.queueAllowancePercent,
            .leaveWithoutWorker = m_options.leaveWithoutWorker};
}

std::vector<ProcessName> Emulation::allProcesses() const
{
    std::vector<ProcessName> names;
    for (uint32_t index = 0; index < m_options.size.entries; ++index)
        names.push_back({fleet::ProcessRole::Entry, index});
    for (uint32_t index = 0; index < m_options.size.agents; ++index)
        names.push_back({fleet::ProcessRole::Agent, index});
    return names;
}

void Emulation::startProcess(const ProcessName &name)
{
    const HostNumber host = hostOf(name);
    if (m_processes.contains(host))
        return;
    const FleetSettings settings = settingsOf(name);
    auto process = std::make_unique<EmulatedProcess>(settings, host, m_network, m_options.writesLogs);
    const auto incarnation = static_cast<uint64_t>(m_events.now().count);
    if (name.role == fleet::ProcessRole::Entry)
        process->becomeEntry(settings, incarnation, m_store.doorOf(host), m_clients.queues());
    else
        process->becomeAgent(settings, incarnation, m_store.doorOf(host), *m_workers[name.index]);
    m_processes[host] = std::move(process);
}

void Emulation::endProcess(HostNumber host, bool resetsConnections)
{
    m_network.down(host, resetsConnections);
    m_processes.erase(host);
    m_paused.erase(host);
}

void Emulation::killFor(const ProcessName &name, Millis length, bool losesPower)
{
    endProcess(hostOf(name), !losesPower);
    m_events.after(length, [this, name] { startProcess(name); });
}

void Emulation::killAll(const KillAll &kill, Millis length)
{
    const std::vector<ProcessName> names = allProcesses();
    for (size_t index = 0; index < names.size(); ++index) {
        // Coprime to the usual numbers of processes, so that entries and agents start in mixed order.
        constexpr int64_t stride = 37;
        const auto count = static_cast<int64_t>(names.size());
        const int64_t place = static_cast<int64_t>(index) * stride % count;
        killFor(names[index], length + kill.startSpread * place / count, kill.losesPower);
    }
    if (!kill.withWorkers)
        return;
    for (const auto &worker : m_workers)
        worker->losePower(m_events.now() + length);
}

void Emulation::stopProcess(const ProcessName &name)
{
    const HostNumber host = hostOf(name);
    const auto found = m_processes.find(host);
    if (found == m_processes.end() || found->second->isStopping())
        return;
    EmulatedProcess &process = *found->second;
    process.setStopping();
    const uint64_t life = m_network.lifeOf(host);
    const auto end = [this, host, life, name] {
        if (m_network.lifeOf(host) != life)
            return;
        endProcess(host, true);
        m_events.after(restartDelay, [this, name] { startProcess(name); });
    };
    m_events.after(stopGrace, end);
    m_network.postTo(host, life, [this, &process, end] {
        const auto endSoon = [this, end] { m_events.after({0}, end); };
        if (process.agent()) {
            process.agent()->beginStop(endSoon);
            return;
        }
        process.entry()->beginStop({.openRequests = [] { return size_t{0}; },
                                    .onPhase =
                                        [&process, endSoon](StopPhase phase) {
                                            process.setAccepts(phase == StopPhase::Draining);
                                            if (phase == StopPhase::Ended)
                                                endSoon();
                                        }});
    });
}

std::vector<HostNumber> Emulation::openEntries() const
{
    std::vector<HostNumber> open;
    std::vector<HostNumber> stopping;
    for (const auto &[host, process] : m_processes) {
        if (process->accepts())
            (process->isStopping() ? stopping : open).push_back(host);
    }
    // A stopping entry gets new connections only if there is no other.
    return open.empty() ? stopping : open;
}

EntryNode *Emulation::entryOn(HostNumber host) const
{
    const auto found = m_processes.find(host);
    return found == m_processes.end() ? nullptr : found->second->entry();
}

void Emulation::pollProcesses()
{
    for (const auto &[host, process] : m_processes) {
        if (!m_paused.contains(host))
            process->poll(m_events.now());
    }
}

void Emulation::superviseWorkers()
{
    for (const auto &worker : m_workers)
        worker->checkLeases();
    m_events.after(leaseCheckInterval, [this] { superviseWorkers(); });
}

void Emulation::announceWorker(uint32_t number)
{
    EmulatedWorker &worker = *m_workers[number];
    m_events.after(worker.heartbeatInterval(), [this, number] { announceWorker(number); });
    if (!worker.hasPower())
        return;
    if (m_options.workersCallNextAgent) {
        announceToNextAgents(number, 0);
        return;
    }
    const HostNumber host = hostOf({fleet::ProcessRole::Agent, number});
    m_network.postTo(host, m_network.lifeOf(host), [this, host, &worker] {
        const auto found = m_processes.find(host);
        if (found != m_processes.end())
            found->second->agent()->announced(worker.announcement());
    });
}

void Emulation::announceToNextAgents(uint32_t number, uint32_t tries)
{
    if (tries >= m_options.size.agents)
        return;
    const auto isSettled = std::make_shared<bool>(false);
    const auto tryNext = [this, number, tries, isSettled] {
        if (!std::exchange(*isSettled, true))
            announceToNextAgents(number, tries + 1);
    };
    const bool isSent = deliver((number + tries) % m_options.size.agents, m_workers[number]->announcement(),
                                [this, isSettled, tryNext](AnnouncementOutcome outcome) {
                                    if (outcome == AnnouncementOutcome::OfAnotherWorker)
                                        m_events.after(m_network.drawDelay(), tryNext);
                                    else
                                        *isSettled = true;
                                });
    m_events.after(isSent ? acknowledgementTimeout : m_network.drawDelay(), tryNext);
}

bool Emulation::deliver(uint32_t agent, const WorkerAnnouncement &announcement,
                        const std::function<void(AnnouncementOutcome)> &onOutcome)
{
    const HostNumber host = hostOf({fleet::ProcessRole::Agent, agent});
    if (!m_processes.contains(host))
        return false;
    m_network.postTo(host, m_network.lifeOf(host), [this, host, announcement, onOutcome] {
        const auto found = m_processes.find(host);
        if (found != m_processes.end())
            onOutcome(found->second->agent()->announced(announcement));
    });
    return true;
}

WorkerAnnouncement Emulation::toAnnouncement(const AnnounceAnotherWorker &stray)
{
    using Born = AnnounceAnotherWorker::Born;
    using CalledAt = AnnounceAnotherWorker::CalledAt;
    WorkerAnnouncement announcement = m_workers[stray.agent]->announcement();
    if (!stray.namesCalledWorker)
        announcement.worker = "stray-" + std::to_string(stray.agent);
    if (stray.hasUnknownService)
        announcement.service = "unknown-service";
    if (stray.born != Born::Present)
        announcement.born = stray.born == Born::Missing ? 0 : m_events.now().count;
    if (stray.address == CalledAt::Missing)
        announcement.address.clear();
    if (stray.address == CalledAt::AnotherAddress)
        announcement.address = EmulatedNetwork::addressOf(0).text();
    announcement.sequence = straySequence;
    return announcement;
}

void Emulation::repeatAnnouncement(uint32_t agent, const WorkerAnnouncement &announcement, Millis until)
{
    if (m_events.now() > until)
        return;
    deliver(agent, announcement, [](AnnouncementOutcome) {});
    m_events.after(strayInterval,
                   [this, agent, announcement, until] { repeatAnnouncement(agent, announcement, until); });
}

void Emulation::beginTrouble(const PlannedTrouble &planned)
{
    const Millis until = m_events.now() + planned.length;
    std::visit(Overloaded{
                   [&](const KillProcess &kill) { killFor(kill.process, planned.length, kill.losesPower); },
                   [&](const PauseProcess &pause) {
                       const HostNumber host = hostOf(pause.process);
                       m_paused.insert(host);
                       m_events.at(until, [this, host] { m_paused.erase(host); });
                   },
                   [&](const StopProcess &stop) { stopProcess(stop.process); },
                   [&](const RestartEntriesInTurn &restart) {
                       for (uint32_t index = 0; index < m_options.size.entries; ++index)
                           m_events.after(restart.gap * index, [this, index] {
                               stopProcess({fleet::ProcessRole::Entry, index});
                           });
                   },
                   [&](const KillAll &kill) { killAll(kill, planned.length); },
                   [&](const CutLink &cut) {
                       m_network.cut(hostOf(cut.from), hostOf(cut.to), until);
                       if (cut.bothWays)
                           m_network.cut(hostOf(cut.to), hostOf(cut.from), until);
                   },
                   [&](const TroubleStore &store) {
                       if (store.process)
                           m_store.setTroubleFor(hostOf(*store.process), store.trouble, until);
                       else
                           m_store.setTrouble(store.trouble, until);
                   },
                   [&](const TroubleWorker &trouble) {
                       m_workers[trouble.worker]->setTrouble(trouble.trouble, until);
                   },
                   [&](const CrashWorker &crash) { m_workers[crash.worker]->crash(); },
                   [&](const AnnounceAnotherWorker &stray) {
                       repeatAnnouncement(stray.agent, toAnnouncement(stray), until);
                   },
                   [&](const AnnounceFormerLife &former) {
                       if (const auto &announcement = m_workers[former.worker]->formerAnnouncement())
                           repeatAnnouncement(former.worker, *announcement, until);
                   },
                   [&](const DealAnew &) { m_store.dealAnew(); },
                   [&](const Burst &burst) { m_clients.burst(burst.factor, until); },
                   [&](const IsolateEntry &cut) {
                       const ProcessName entry{fleet::ProcessRole::Entry, cut.entry};
                       cutOff(std::span(&entry, 1), until);
                   },
                   [&](const CutGroup &cut) { cutOff(cut.processes, until); },
                   [&](const RestartWithoutStore &restart) {
                       m_store.setTrouble(StoreRefuses{}, until);
                       m_store.pauseMembers(planned.length);
                       stopProcess({fleet::ProcessRole::Entry, restart.entry});
                   },
               },
               planned.trouble);
}

void Emulation::cutOff(std::span<const ProcessName> group, Millis until)
{
    std::set<HostNumber> inside;
    for (const ProcessName &name : group)
        inside.insert(hostOf(name));
    for (const HostNumber host : inside) {
        m_store.setTroubleFor(host, StoreIsSilent{}, until);
        for (const ProcessName &name : allProcesses()) {
            const HostNumber other = hostOf(name);
            if (inside.contains(other))
                continue;
            m_network.cut(host, other, until);
            m_network.cut(other, host, until);
        }
    }
}

EmulationRecord Emulation::run()
{
    for (const ProcessName &name : allProcesses())
        startProcess(name);
    for (uint32_t number = 0; number < m_workers.size(); ++number) {
        const Millis interval = m_workers[number]->heartbeatInterval();
        const auto count = static_cast<int64_t>(m_workers.size());
        if (m_options.spreadsAnnouncements)
            m_events.after(interval * int64_t{number} / count, [this, number] { announceWorker(number); });
        else
            announceWorker(number);
    }
    superviseWorkers();
    const Millis traffic = m_events.now() + m_options.settleTime;
    const Millis end = traffic + m_options.length + m_options.finish;
    m_events.at(traffic, [this, traffic] { m_clients.start(traffic + m_options.length); });
    for (const PlannedTrouble &planned : m_options.plan)
        m_events.at(traffic + planned.at, [this, &planned] { beginTrouble(planned); });
    while (m_events.now() < end) {
        m_events.runNext(end);
        pollProcesses();
    }
    EmulationRecord record{.runs = std::move(m_history),
                           .storeCalls = m_store.calls(),
                           .frames = m_network.frames(),
                           .begin = traffic,
                           .end = end};
    for (const auto &[job, outcome] : m_clients.outcomes())
        record.jobs.push_back(outcome);
    std::sort(record.jobs.begin(), record.jobs.end(),
              [](const auto &a, const auto &b) { return a.job < b.job; });
    for (const auto &worker : m_workers)
        record.mostOverfullMilli = std::max(record.mostOverfullMilli, worker->mostOverfullMilli());
    return record;
}

} // namespace turmericwell
