// Connections of an entry to agents and to other entries.
#include "fleet/entrynode.h"

#include <algorithm>
#include <boost/asio/post.hpp>

namespace turmericwell {

constexpr Millis tickInterval = {15};
constexpr Millis reportInterval = {250};
constexpr Millis expiryInterval = {1'000};
constexpr Millis membershipInterval = {50};
constexpr Millis subsetInterval = {250};
// A report that has not changed is repeated after this time.
constexpr Millis unchangedReportInterval = {1'000};
constexpr Millis stopCheckInterval = {50};
// An entry that was not scheduled for this long may have lost the ownership of its partitions in the
// meantime.
constexpr Millis pauseLimit = {700};

static Millis memberTtl(const FleetSettings &settings)
{
    constexpr Millis leastTtl = {1'000};
    return std::max(settings.leastMemberTtl, leastTtl);
}

EntryNode::EntryNode(IoContext &io, LinkNetwork &network, const FleetSettings &settings, uint64_t incarnation,
                     StoreApi &store, StoreTransport &transport, StructuredLog &log)
    : m_io(io)
    , m_network(network)
    , m_settings(settings)
    , m_self{.name = settings.name,
             .incarnation = incarnation,
             .role = fleet::ProcessRole::Entry,
             .zone = settings.zone}
    , m_transport(transport)
    , m_log(log)
    , m_timers(io)
    , m_pool(settings.placement, settings.learnWorkerSpeeds)
    , m_scheduler({.partitions = settings.partitions,
                   .admissionSlackPercent = settings.admissionSlackPercent,
                   .order = settings.queueOrder,
                   .admission = settings.admission,
                   .shares = settings.shares,
                   .urgentSlackPercent = settings.urgentSlackPercent,
                   .learnWorkerSpeeds = settings.learnWorkerSpeeds,
                   .moveLongRuns = settings.moveLongRuns,
                   .maxHeldTasks = settings.input.maxHeldTasks,
                   .maxKnownJobs = settings.input.maxKnownJobs,
                   .placementWait = settings.placementWait ? PlacementWaitPolicy{ExpectedGain{}}
                                                           : PlacementWaitPolicy{NeverWait{}},
                   .farFactor = settings.farFactor,
                   .runsPerEpoch = settings.runsPerEpoch},
                  m_pool, *this, log)
    , m_owner({.member = settings.name,
               .memberTtl = memberTtl(settings),
               .withoutStoreLimit = EntryPresence::withoutStoreLimit,
               .servesUntilTaken = settings.servesUntilTaken},
              store, io, log, m_scheduler,
              {.onOpening = [this](uint32_t partition) { partitionOpening(partition); },
               .onLoaded = [this](uint32_t partition,
                                  std::optional<uint32_t> level) { partitionLoaded(partition, level); },
               .onClosed = [this](uint32_t partition, uint64_t epoch) { partitionClosed(partition, epoch); },
               .onSuspended =
                   [this](uint32_t partition, uint64_t epoch) {
                       releaseAtAgents(partition, epoch);
                       sendReport();
                   },
               .onResumed = [this](uint32_t partition) { partitionResumed(partition); }})
    , m_members(store, io, log,
                {.onMember = [this](const Member &member) { memberFound(member); },
                 .onRemoved = [this](const std::string &name) { memberRemoved(name); }})
    , m_registration({.identity = m_self,
                      .address = settings.peerAddress,
                      .processors = settings.processorShare * settings.processorSpeed},
                     store, io, log)
    , m_unknownLinks(settings.input.maxUnknownLinks)
    , m_listener(network.listen(settings.peerListen,
                                [this](const FrameLinkPtr &link) {
                                    const auto node = std::make_shared<NodeLink>(m_io, link, m_self);
                                    closeOldestUnknown(node);
                                    connected(node, {});
                                }))
    , m_entries(memberTtl(settings))
    , m_lastActive(Clock::now())
{
    m_transport.setRelay([this](const HttpRequest &request, Millis timeout, StoreTransport::Done onDone) {
        return relayStoreCall(request, timeout, std::move(onDone));
    });
}

EntryNode::~EntryNode() = default;

void EntryNode::start()
{
    m_registration.start();
    m_members.start();
    m_owner.start();
    m_timers.every(tickInterval, [this] { tick(); });
    m_timers.every(reportInterval, [this] { refreshReport(); });
    m_timers.every(membershipInterval, [this] { updateMemberships(Clock::now()); });
    m_timers.every(subsetInterval, [this] { advanceSubsets(Clock::now()); });
    m_timers.every(expiryInterval, [this] { expireMembers(Clock::now()); });
}

void EntryNode::beginStop(StopHandlers handlers)
{
    m_stop.emplace(Clock::now(), m_settings.stopGrace);
    m_stopHandlers = std::move(handlers);
    sendReport();
    advanceStop();
}

bool EntryNode::isReady() const
{
    return m_queues.version() != 0 && !m_stop;
}

bool EntryNode::hasSuccessor() const
{
    return std::any_of(m_peers.begin(), m_peers.end(),
                       [](const auto &item) { return !item.second.report.stopping; });
}

void EntryNode::advanceStop()
{
    const Millis now = Clock::now();
    const StopPhase before = m_stop->phase();
    const StopState state{.hasSuccessor = hasSuccessor(),
                          .ownsPartitions = !m_scheduler.owned().empty(),
                          .openRequests = m_stopHandlers.openRequests()};
    const StopPhase phase = m_stop->advance(state, now);
    if (phase != before)
        m_log.always(now, "stop_phase",
                     {{"phase", stopPhaseName(phase)},
                      {"has_successor", state.hasSuccessor},
                      {"partitions", m_scheduler.owned().size()},
                      {"open_requests", state.openRequests}});
    if (m_stop->releasesPartitions() && !std::exchange(m_releasing, true)) {
        m_owner.release(state.hasSuccessor, [this] {
            m_log.always(Clock::now(), "partitions_released", {});
            sendReport();
        });
    }
    // Calls that come in meanwhile are answered as well.
    if (phase == StopPhase::Answering)
        expireAll();
    m_stopHandlers.onPhase(phase);
    if (phase != StopPhase::Ended)
        m_timers.after(stopCheckInterval, [this] { advanceStop(); });
}

void EntryNode::measure(Metrics &metrics) const
{
    metrics.set("jobs_active", static_cast<double>(m_scheduler.activeJobs()));
    metrics.set("waiting_cpu_milli", static_cast<double>(m_scheduler.waitingCpuMilli()));
    metrics.set("partitions_owned", static_cast<double>(m_scheduler.owned().size()));
    metrics.set("workers_with_known_speed", static_cast<double>(m_pool.workersWithKnownSpeed()));
    metrics.set("runs_moved_total", static_cast<double>(m_scheduler.movedRuns()));
    metrics.set("runs_left_total", static_cast<double>(m_scheduler.leftRuns()));
    if (const FairShares *shares = m_scheduler.shares()) {
        for (const auto &[queue, share] : shares->shares())
            metrics.set("queue_share_cpu_milli", queue, share);
    }
    metrics.set("configuration_version", static_cast<double>(m_queues.version()));
}

void EntryNode::setQueues(QueueTable queues)
{
    if (queues.version() <= m_queues.version() && m_queues.version() != 0)
        return;
    m_log.always(Clock::now(), "configuration_in_force",
                 {{"version", queues.version()}, {"before", m_queues.version()}, {"queues", queues.size()}});
    m_queues = std::move(queues);
}

void EntryNode::setEvacuatedZones(std::set<std::string> zones)
{
    if (zones == m_pool.evacuatedZones())
        return;
    m_log.always(Clock::now(), "evacuated_zones_changed", {{"zones", zones.size()}});
    m_pool.setEvacuatedZones(std::move(zones));
}

void EntryNode::inputRejected(std::string_view limit)
{
    if (m_onInputRejected)
        m_onInputRejected(limit, {});
}

void EntryNode::closeOldestUnknown(const NodeLinkPtr &newest)
{
    const NodeLinkPtr oldest = m_unknownLinks.add(newest);
    if (!oldest)
        return;
    oldest->close("too many connections of unknown processes");
    inputRejected("unknown_links");
}

void EntryNode::connected(const NodeLinkPtr &link, const std::string &dialledName)
{
    link->start({.onHello =
                     [this, dialledName](const NodeLinkPtr &from, const fleet::HelloT &hello) {
                         // The address of a process that is gone may have been given to another one.
                         if (!dialledName.empty() && hello.node != dialledName)
                             from->close("another process answers at the address of " + dialledName);
                         else
                             introduce(from, hello);
                     },
                 .onMessage = [this](const NodeLinkPtr &from,
                                     fleet::EnvelopeT &envelope) { received(from, envelope); },
                 .onPong = [this](const NodeLinkPtr &from, Millis sentAt,
                                  const fleet::PongT &) { peerAnswered(from, sentAt); },
                 .onClosed =
                     [this, dialledName, guard = m_timers.guard()](const NodeLinkPtr &from,
                                                                   const std::string &reason) {
                         if (guard.expired())
                             return;
                         closed(from, reason);
                         const auto contact = m_contacts.find(dialledName);
                         if (contact == m_contacts.end())
                             return;
                         contact->second.connected = false;
                         dialAfterFailure(dialledName);
                     },
                 .makePong =
                     [this] {
                         // The answer keeps runs alive, so a pause of this process is to be noticed before
                         // it.
                         checkOwnership(Clock::now());
                         fleet::PongT pong;
                         const auto &zones = m_pool.evacuatedZones();
                         pong.evacuated_zones.assign(zones.begin(), zones.end());
                         return pong;
                     }});
}

void EntryNode::introduce(const NodeLinkPtr &link, const fleet::HelloT &hello)
{
    // The registration of a new entry may be read later, and confirms it then.
    if (const auto contact = m_contacts.find(hello.node); contact != m_contacts.end()) {
        contact->second.backoff.reset();
        link->confirmPeer();
    }
    // After this entry was cut off from all, the others are probably in reach again as well.
    if (m_agentLinks.empty() && m_peers.empty())
        dialAll();
    m_log.always(Clock::now(), "peer_connected", {{"peer", hello.node}, {"incarnation", hello.incarnation}});
    if (hello.role == fleet::ProcessRole::Agent) {
        agentConnected(link, hello);
        return;
    }
    // New owners count from the mark that this entry is lost. An answer to its pings would let it go on
    // without the store, so it gets none before the mark has been replaced.
    if (const auto contact = m_contacts.find(hello.node);
        contact != m_contacts.end() && contact->second.member.isLost) {
        m_members.restore(contact->second.member);
        link->close("marked as lost");
        return;
    }
    Peer &peer = m_peers[hello.node];
    if (peer.link && peer.link != link)
        peer.link->close("replaced by a newer connection");
    peer.link = link;
    peer.reportedAt = Clock::now();
    m_entries.connected(hello.node, peer.reportedAt);
    sendReport();
    pingPeersSoon();
}

void EntryNode::agentConnected(const NodeLinkPtr &link, const fleet::HelloT &hello)
{
    const std::optional<AgentNumber> number = m_presence.find(hello.node);
    if (!number)
        return;
    if (const NodeLinkPtr previous = linkOf(*number); previous && previous != link)
        previous->close("replaced by a newer connection");
    m_log.always(Clock::now(), "agent_connected", {{"agent", hello.node}, {"number", *number}});
    m_scheduler.agentDisconnected(*number);
    m_pool.remove(*number);
    m_agentLinks[*number] = link;
    m_presence.connected(*number, Clock::now());
    if (const auto contact = m_contacts.find(hello.node);
        contact != m_contacts.end() && !m_presence.isRegistered(*number))
        m_members.restore(contact->second.member);
    for (const fleet::OwnedPartitionT &owned : m_scheduler.owned()) {
        if (!owned.ready || !isReached(hello.node, owned.partition) || m_owner.isBeingTaken(owned.partition))
            continue;
        updatePlacement(owned.partition);
        claim(*number, owned.partition, owned.epoch);
    }
}

void EntryNode::closed(const NodeLinkPtr &link, const std::string &reason)
{
    const Millis now = Clock::now();
    const std::string &name = link->peer().node;
    if (!name.empty())
        m_log.always(now, "peer_disconnected", {{"peer", name}, {"reason", reason}});
    if (const std::optional<AgentNumber> number = m_presence.find(name)) {
        if (linkOf(*number) != link)
            return;
        m_agentLinks.erase(*number);
        m_presence.disconnected(*number, link->lastPongSent(), now);
        m_scheduler.agentDisconnected(*number);
        m_pool.remove(*number);
    } else if (const auto peer = m_peers.find(name); peer != m_peers.end() && peer->second.link == link) {
        const bool ownedPartitions = !peer->second.report.partitions.empty();
        m_peers.erase(peer);
        m_entries.disconnected(name, now);
        updatePeersWaiting();
        if (ownedPartitions && isAmongFirstEntries())
            checkLostEntry(name);
    }
    std::vector<uint64_t> unanswered;
    for (const auto &[id, call] : m_calls) {
        if (call.forwardLink == link)
            unanswered.push_back(id);
    }
    for (const uint64_t id : unanswered)
        answered(id, m_calls.at(id).attempt,
                 {.status = fleet::CallStatus::Unknown, .reason = "owner disconnected"});
}

fleet::EntryReportT EntryNode::makeReport() const
{
    fleet::EntryReportT report;
    for (const fleet::OwnedPartitionT &owned : m_scheduler.owned())
        report.partitions.push_back(std::make_unique<fleet::OwnedPartitionT>(owned));
    for (const auto &[queue, count] : m_scheduler.pendingByQueue()) {
        auto item = std::make_unique<fleet::PendingCountT>();
        item->queue = queue;
        item->count = count;
        report.pending.push_back(std::move(item));
    }
    report.waiting_cpu_milli = m_scheduler.waitingCpuMilli();
    for (const QueueDemand &demand : m_scheduler.shareDemands(Clock::now())) {
        auto item = std::make_unique<fleet::QueueDemandT>();
        item->queue = demand.queue;
        item->waiting_cpu_milli = demand.waitingMilli;
        item->running_cpu_milli = demand.runningMilli;
        report.demands.push_back(std::move(item));
    }
    report.stopping = isStopping();
    report.store_reachable = !m_transport.isDirectFailing();
    return report;
}

void EntryNode::sendReport()
{
    m_lastReport = encodeFleetMessage(makeReport());
    m_lastReportAt = Clock::now();
    for (const auto &[name, peer] : m_peers)
        peer.link->sendFrame(m_lastReport);
}

void EntryNode::refreshReport()
{
    const bool isOld = Clock::now() - m_lastReportAt >= unchangedReportInterval;
    if (isOld || encodeFleetMessage(makeReport()) != m_lastReport)
        sendReport();
}

void EntryNode::received(const NodeLinkPtr &link, fleet::EnvelopeT &envelope)
{
    const std::string &name = link->peer().node;
    if (link->peer().role == fleet::ProcessRole::Entry) {
        receivedFromEntry(link, envelope);
        return;
    }
    const std::optional<AgentNumber> number = m_presence.find(name);
    if (number && linkOf(*number) == link)
        receivedFromAgent(*number, envelope);
    else
        m_log.write(Clock::now(), "message_rejected",
                    {{"from", name},
                     {"message", fleet::EnumNameBody(envelope.body.type)},
                     {"cause", "older connection"}});
}

AgentEnd EntryNode::toAgentEnd(const fleet::RunEndT &end)
{
    return {.run = fromWire(end.run), .kind = end.kind, .checkpoint = end.checkpoint, .lostCause = end.cause};
}

static WorkerState toWorkerState(fleet::WorkerReportT &report)
{
    return {.usable = report.usable,
            .draining = report.draining,
            .worker = std::move(report.worker),
            .service = std::move(report.service),
            .zone = std::move(report.zone),
            .labels = std::move(report.labels),
            .capacity = {report.cpu_milli, report.memory_mb, report.accelerators},
            .free = {report.free_cpu_milli, report.free_memory_mb, report.free_accelerators},
            .queuedCpuMilli = report.queued_cpu_milli,
            .ordersReceived = report.orders,
            .speedPermille = report.speed_permille,
            .speedSamples = report.speed_samples,
            .freeRuns = report.free_runs};
}

void EntryNode::receivedFromAgent(AgentNumber agent, fleet::EnvelopeT &envelope)
{
    const Millis now = Clock::now();
    bool resourcesChanged = true;
    if (envelope.body.AsLeaving()) {
        m_presence.setLeaving(agent);
    } else if (fleet::WorkerReportT *report = envelope.body.AsWorkerReport()) {
        if (!WorkerPool::isValidSpeed(report->speed_permille))
            m_log.write(now, "worker_speed_rejected",
                        {{"worker", report->worker},
                         {"agent", agent},
                         {"speed_permille", report->speed_permille},
                         {"samples", report->speed_samples}});
        m_pool.report(agent, toWorkerState(*report), now);
    } else if (const fleet::RunEndT *end = envelope.body.AsRunEnd()) {
        m_scheduler.runEnded(agent, toAgentEnd(*end), now);
    } else if (const fleet::RunStartedT *started = envelope.body.AsRunStarted()) {
        m_scheduler.runStarted(agent, fromWire(started->run), now);
        resourcesChanged = false;
    } else if (const fleet::RunRejectedT *rejected = envelope.body.AsRunRejected()) {
        m_scheduler.runRejected(agent, fromWire(rejected->run), rejected->reason, now);
    } else if (const fleet::ClaimReportT *claim = envelope.body.AsClaimReport()) {
        receivedClaimReport(agent, *claim, now);
    } else if (const fleet::LeaseBoundT *bound = envelope.body.AsLeaseBound()) {
        m_scheduler.leaseBound(agent, *bound, now);
    }
    if (resourcesChanged)
        advanceSoon();
}

void EntryNode::advanceSoon()
{
    if (std::exchange(m_advancePending, true))
        return;
    boost::asio::post(m_io, [this, guard = m_timers.guard()] {
        if (guard.expired())
            return;
        m_advancePending = false;
        const Millis now = Clock::now();
        checkOwnership(now);
        if (!m_confirmAfter)
            m_scheduler.advance(now);
    });
}

void EntryNode::receivedFromEntry(const NodeLinkPtr &link, fleet::EnvelopeT &envelope)
{
    if (fleet::JobCallT *call = envelope.body.AsJobCall()) {
        performForPeer(link, *call);
    } else if (const fleet::JobAnswerT *answer = envelope.body.AsJobAnswer()) {
        const CallNumber number = CallNumber::unpack(answer->call);
        answered(number.id, number.attempt,
                 {.status = answer->status,
                  .phase = answer->phase,
                  .running = answer->running,
                  .retryAfter = {answer->retry_after_ms},
                  .reason = answer->reason});
    } else if (fleet::StoreRelayT *relay = envelope.body.AsStoreRelay()) {
        performStoreRelay(link, *relay);
    } else if (fleet::StoreRelayAnswerT *relayed = envelope.body.AsStoreRelayAnswer()) {
        storeRelayAnswered(*relayed);
    } else if (fleet::EntryReportT *report = envelope.body.AsEntryReport()) {
        const auto peer = m_peers.find(link->peer().node);
        if (peer == m_peers.end() || peer->second.link != link)
            return;
        closeSuperseded(*report);
        receivedDemands(link->peer(), *report);
        const bool hasStopped =
            report->stopping && report->partitions.empty() && !peer->second.report.partitions.empty();
        peer->second.report = std::move(*report);
        peer->second.receivedAt = Clock::now();
        updatePeersWaiting();
        if (hasStopped)
            m_owner.joinNow();
    }
}

void EntryNode::checkOwnership(Millis now)
{
    if (now - m_lastActive > pauseLimit) {
        m_log.always(now, "process_was_paused", {{"ms", now - m_lastActive}});
        m_confirmAfter = now;
        m_owner.confirmOwnership();
    }
    m_lastActive = now;
    m_owner.checkMemberships(m_entries, now);
}

void EntryNode::tick()
{
    const Millis now = Clock::now();
    checkOwnership(now);
    updateAgentPresence(now);
    if (m_confirmAfter && m_owner.lastJoinSentAt() >= *m_confirmAfter)
        m_confirmAfter.reset();
    if (!m_confirmAfter)
        m_scheduler.advance(now);
    for (const auto &[number, link] : m_agentLinks)
        link->flush();
}

} // namespace turmericwell
