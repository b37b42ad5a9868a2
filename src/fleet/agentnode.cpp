// Connections of an agent to the entries, and its calls to the worker.
#include "fleet/agentnode.h"

namespace turmericwell {

constexpr Millis tickInterval = {20};
constexpr Millis reportInterval = {10};
constexpr Millis disconnectedCheckInterval = {1'000};
constexpr Millis disconnectedTimeLimit = {2'500};
constexpr Millis drainCheckInterval = {50};
// Part of the stop's grace period reserved for shutting down the process.
constexpr Millis stopMargin = {1'000};
// The worker is on the same instance and answers within a few milliseconds. A timeout that is too short loses
// a run; one that is too long makes its job late.
constexpr Millis orderTimeout = {60};
// Of messages from owners. An order carries the text of a job (4,000 bytes) and a checkpoint.
constexpr uint32_t mostOrderBytes = 131'072;
// Added to the wait time that the list poll asks the worker for.
constexpr Millis listPollMargin = {60};

AgentNode::AgentNode(IoContext &io, LinkNetwork &network, const FleetSettings &settings, uint64_t incarnation,
                     StoreApi &store, WorkerApi &worker, StructuredLog &log)
    : m_io(io)
    , m_settings(settings)
    , m_self{.name = settings.name,
             .incarnation = incarnation,
             .role = fleet::ProcessRole::Agent,
             .zone = settings.zone}
    , m_worker(worker)
    , m_log(log)
    , m_timers(io)
    , m_workerManager({.partitions = settings.partitions,
                       .workerAddress = settings.worker.text(),
                       .lease = settings.workerLease,
                       .queueAllowancePercent = settings.queueAllowancePercent,
                       .learnWorkerSpeeds = settings.learnWorkerSpeeds},
                      incarnation, Clock::now(), *this, log)
    , m_registration({.identity = m_self, .address = settings.peerAddress}, store, io, log)
    , m_unknownLinks(settings.input.maxUnknownLinks)
    , m_listener(network.listen(settings.peerListen, [this](const FrameLinkPtr &link) {
        const auto node = std::make_shared<NodeLink>(m_io, link, m_self);
        closeOldestUnknown(node);
        accepted(node);
    }))
{ }

void AgentNode::start()
{
    if (m_settings.leaveWithoutWorker.count == 0) {
        m_registrationState = RegistrationState::Registered;
        m_registration.start();
    }
    // The first list poll, without the delay of a tick.
    m_workerManager.advance(Clock::now());
    m_timers.every(tickInterval, [this] {
        m_workerManager.advance(Clock::now());
        updateRegistration();
    });
    m_timers.every(reportInterval, [this] { sendReports(); });
    m_timers.every(disconnectedCheckInterval, [this] { registerIfDisconnected(); });
}

void AgentNode::registerIfDisconnected()
{
    const Millis now = Clock::now();
    if (!m_entries.empty() || m_registrationState != RegistrationState::Registered) {
        m_lastConnectedToEntry = now;
        return;
    }
    if (now - m_lastConnectedToEntry < disconnectedTimeLimit)
        return;
    m_lastConnectedToEntry = now;
    m_registration.start();
}

void AgentNode::beginStop(std::function<void()> onDone)
{
    const Millis now = Clock::now();
    m_log.always(now, "agent_draining", {{"runs", m_workerManager.runCount()}});
    m_isStopping = true;
    m_workerManager.drain(now);
    checkDrained(now + m_settings.stopGrace - stopMargin, std::move(onDone));
}

void AgentNode::checkDrained(Millis deadline, std::function<void()> onDone)
{
    const Millis now = Clock::now();
    if (m_workerManager.isIdle() || now >= deadline) {
        // Remaining runs continue under the worker's lease until the next agent process of this instance
        // finds them.
        m_log.always(now, "agent_drained", {{"runs", m_workerManager.runCount()}});
        if (!m_workerManager.isIdle()) {
            onDone();
            return;
        }
        announceLeaving();
        withdrawBefore(deadline, std::move(onDone));
        return;
    }
    m_timers.after(drainCheckInterval, [this, deadline, onDone] { checkDrained(deadline, onDone); });
}

AnnouncementOutcome AgentNode::announced(const WorkerAnnouncement &announcement)
{
    return m_workerManager.announced(announcement, Clock::now());
}

bool AgentNode::deregistered(std::string_view worker, int64_t born)
{
    return m_workerManager.deregistered(worker, Clock::now(), born);
}

void AgentNode::closeOldestUnknown(const NodeLinkPtr &newest)
{
    const NodeLinkPtr oldest = m_unknownLinks.add(newest);
    if (!oldest)
        return;
    oldest->close("too many connections of unknown processes");
    if (m_onInputRejected)
        m_onInputRejected("unknown_links", {});
}

void AgentNode::accepted(const NodeLinkPtr &link)
{
    // An entry that has not read the removal yet. A greeting would show it that this agent is in use, and it
    // would restore the registration.
    if (m_registrationState == RegistrationState::Withdrawn) {
        link->close("not registered");
        return;
    }
    link->start(
        {.onHello = [this](const NodeLinkPtr &from, const fleet::HelloT &hello) { introduce(from, hello); },
         .onMessage =
             [this](const NodeLinkPtr &from, fleet::EnvelopeT &envelope) {
                 if (const std::optional<EntryNumber> entry = numberOf(from))
                     received(*entry, envelope);
             },
         .onPong = [this](const NodeLinkPtr &from, Millis sentAt,
                          const fleet::PongT &answer) { pong(from, sentAt, answer); },
         .onClosed =
             [this, guard = m_timers.guard()](const NodeLinkPtr &from, const std::string &reason) {
                 if (!guard.expired())
                     closed(from, reason);
             },
         .makePong = [] { return fleet::PongT(); }});
}

void AgentNode::introduce(const NodeLinkPtr &link, const fleet::HelloT &hello)
{
    const Millis now = Clock::now();
    for (const auto &[number, entry] : m_entries) {
        if (entry.name == hello.node)
            entry.link->close("replaced by a newer connection");
    }
    const EntryNumber number = m_nextEntry++;
    Entry &entry = m_entries[number];
    entry.link = link;
    entry.name = hello.node;
    entry.reportPolicy.markChanged();
    m_log.always(now, "peer_connected", {{"peer", hello.node}, {"incarnation", hello.incarnation}});
    // The entry counts the contact from the arrival of this side's greeting, which is later than its sending.
    // The arrival of the entry's greeting here says nothing of when the entry was alive.
    m_workerManager.entryConnected(number, link->startedAt());
    if (m_hasLeft)
        link->send(fleet::LeavingT());
    sendReport(number, entry, m_workerManager.report(), now);
}

std::optional<EntryNumber> AgentNode::numberOf(const NodeLinkPtr &link) const
{
    for (const auto &[number, entry] : m_entries) {
        if (entry.link == link)
            return number;
    }
    return std::nullopt;
}

NodeLinkPtr AgentNode::linkOf(EntryNumber entry) const
{
    const auto found = m_entries.find(entry);
    return found == m_entries.end() ? nullptr : found->second.link;
}

void AgentNode::closed(const NodeLinkPtr &link, const std::string &reason)
{
    const std::optional<EntryNumber> number = numberOf(link);
    if (!number)
        return;
    m_log.always(Clock::now(), "peer_disconnected", {{"peer", link->peer().node}, {"reason", reason}});
    m_workerManager.entryDisconnected(*number);
    m_entries.erase(*number);
}

void AgentNode::pong(const NodeLinkPtr &link, Millis pingSentAt, const fleet::PongT &answer)
{
    const std::optional<EntryNumber> number = numberOf(link);
    if (!number)
        return;
    m_workerManager.entryAnswered(*number, pingSentAt);
    Entry &entry = m_entries.at(*number);
    entry.evacuatedZones = {answer.evacuated_zones.begin(), answer.evacuated_zones.end()};
    // An entry that cannot read the store may not know of an evacuation, so a zone counts as evacuated if any
    // entry reports it.
    std::set<std::string> zones;
    for (const auto &[id, other] : m_entries)
        zones.insert(other.evacuatedZones.begin(), other.evacuatedZones.end());
    m_workerManager.setEvacuatedZones(std::move(zones), Clock::now());
}

static RunOrder toRunOrder(fleet::StartOrderT &message)
{
    return {.partition = message.partition,
            .epoch = message.epoch,
            .run = fromWire(message.run),
            .payload = std::move(message.payload),
            .checkpoint = std::move(message.checkpoint),
            .size = {message.cpu_milli, message.memory_mb, message.accelerators},
            .priority = message.priority,
            .slack = {message.slack_ms},
            .bestEffort = message.best_effort,
            .expected = {message.expected_ms}};
}

void AgentNode::received(EntryNumber entry, fleet::EnvelopeT &envelope)
{
    const Millis now = Clock::now();
    if (fleet::StartOrderT *order = envelope.body.AsStartOrder()) {
        m_workerManager.order(entry, toRunOrder(*order), now);
    } else if (const fleet::StopOrderT *stop = envelope.body.AsStopOrder()) {
        m_workerManager.stop(entry, stop->partition, stop->epoch, fromWire(stop->run), now);
    } else if (const fleet::EndStoredT *stored = envelope.body.AsEndStored()) {
        m_workerManager.endStored(fromWire(stored->run));
    } else if (const fleet::EndDisputedT *disputed = envelope.body.AsEndDisputed()) {
        m_workerManager.endDisputed(fromWire(disputed->run), now);
    } else if (const fleet::ClaimT *claim = envelope.body.AsClaim()) {
        m_entries.at(entry).link->confirmPeer(mostOrderBytes);
        m_workerManager.claim(entry, claim->partition, claim->epoch, now, claim->number);
    } else if (const fleet::ReleaseT *release = envelope.body.AsRelease()) {
        m_workerManager.release(entry, release->partition, release->epoch, now);
    } else if (const fleet::RunSizeT *size = envelope.body.AsRunSize()) {
        m_workerManager.recordSize(fromWire(size->run),
                                   {size->cpu_milli, size->memory_mb, size->accelerators}, now);
    }
}

void AgentNode::sendReports()
{
    const bool changed = m_workerManager.takeReportChange();
    const Millis now = Clock::now();
    std::optional<fleet::WorkerReportT> state;
    for (auto &[number, entry] : m_entries) {
        if (changed)
            entry.reportPolicy.markChanged();
        if (entry.reportPolicy.isPending()) {
            if (!state)
                state = m_workerManager.report();
            sendReport(number, entry, *state, now);
        }
        entry.link->flush();
    }
}

void AgentNode::sendReport(EntryNumber number, Entry &entry, const fleet::WorkerReportT &state, Millis now)
{
    fleet::WorkerReportT report = m_workerManager.reportFor(state, number);
    if (entry.reportPolicy.isDue(report, now))
        entry.link->send(std::move(report));
}

void AgentNode::callStart(const StartCall &call)
{
    m_worker.start(call, orderTimeout,
                   [this, run = call.run, guard = m_timers.guard()](OrderAnswer answer,
                                                                    std::optional<Millis> workerClock) {
                       if (!guard.expired())
                           m_workerManager.startAnswered(run, answer, workerClock, Clock::now());
                   });
}

void AgentNode::callStop(const StopCall &call)
{
    m_worker.stop(call, orderTimeout,
                  [this, run = call.run, guard = m_timers.guard()](OrderAnswer answer,
                                                                   std::optional<Millis> workerClock) {
                      if (!guard.expired())
                          m_workerManager.stopAnswered(run, answer, workerClock, Clock::now());
                  });
}

void AgentNode::callListPoll(const ListPollCall &call)
{
    m_worker.pollLists(
        call, call.wait + listPollMargin,
        [this, number = call.number, guard = m_timers.guard()](OrderAnswer answer, const WorkerLists &lists) {
            if (!guard.expired())
                m_workerManager.listPollAnswered(number, answer, lists, Clock::now());
        });
}

void AgentNode::sendStarted(EntryNumber entry, const RunId &run)
{
    const NodeLinkPtr link = linkOf(entry);
    if (!link)
        return;
    fleet::RunStartedT message;
    message.run = std::make_unique<fleet::RunRef>(toWire(run));
    link->sendLater(std::move(message));
}

void AgentNode::sendRejected(EntryNumber entry, const RunId &run, RejectReason reason)
{
    const NodeLinkPtr link = linkOf(entry);
    if (!link)
        return;
    fleet::RunRejectedT message;
    message.run = std::make_unique<fleet::RunRef>(toWire(run));
    message.reason = reason;
    link->send(std::move(message));
}

void AgentNode::sendEnded(EntryNumber entry, const RunId &run, EndKind kind, std::string_view checkpoint)
{
    const NodeLinkPtr link = linkOf(entry);
    if (!link)
        return;
    fleet::RunEndT message;
    message.run = std::make_unique<fleet::RunRef>(toWire(run));
    message.kind = kind;
    message.checkpoint = checkpoint;
    link->send(std::move(message));
}

void AgentNode::sendLost(EntryNumber entry, const RunId &run, LostCause cause)
{
    const NodeLinkPtr link = linkOf(entry);
    if (!link)
        return;
    fleet::RunEndT message;
    message.run = std::make_unique<fleet::RunRef>(toWire(run));
    message.kind = EndKind::Lost;
    message.cause = cause;
    link->send(std::move(message));
}

void AgentNode::sendClaimReport(EntryNumber entry, const fleet::ClaimReportT &report)
{
    const NodeLinkPtr link = linkOf(entry);
    if (!link)
        return;
    link->send(fleet::ClaimReportT(report));
}

void AgentNode::sendLeaseBound(EntryNumber entry, const fleet::LeaseBoundT &bound)
{
    if (const NodeLinkPtr link = linkOf(entry))
        link->send(fleet::LeaseBoundT(bound));
}

} // namespace turmericwell
