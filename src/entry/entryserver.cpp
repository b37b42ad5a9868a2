// Wires the decisions of an entry to its connections.
#include "entry/entryserver.h"

#include "dispatch/dispatcher.h"
#include "entry/agenthub.h"
#include "entry/claimslog.h"
#include "entry/configkeeper.h"
#include "entry/entrymetrics.h"
#include "entry/eventshipper.h"
#include "entry/frontend.h"
#include "entry/membershipkeeper.h"
#include "entry/ownercalls.h"
#include "entry/peerhub.h"
#include "entry/statemover.h"
#include "entry/statusreport.h"
#include "observe/eventlog.h"
#include "observe/log.h"

#include <atomic>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <thread>

namespace turmericwell {

namespace asio = boost::asio;
namespace leaf = boost::leaf;

namespace {

const Logger &logger()
{
    static const Logger instance("entry");
    return instance;
}

class EntryServer
{
public:
    EntryServer(IoContext &io, const EntrySettings &settings);

    void start();
    void beginStop();
    // The entry was reported as dead and has given up its state: it is to start again with none.
    bool mustStartAgain() const { return m_removed; }
    int exitCode() const { return m_exitCode; }

private:
    AgentHub::Handlers agentHandlers();
    PeerHub::Handlers peerHandlers();
    ConfigKeeper::Handlers configHandlers();
    Frontend::Handlers frontendHandlers();
    MembershipKeeper::Options membershipOptions() const;
    MembershipKeeper::Handlers membershipHandlers();
    StateMover::Handlers stateHandlers();
    std::vector<SubmissionRecord> ownRecords() const;

    void tick();
    void connectPeers();
    void acceptLink(const FrameLinkPtr &link);
    void handleMessage(const FrameLinkPtr &link, const Message &message);

    void submit(const SubmissionRequest &request, AnswerDelivery deliver);
    void submitHere(const SubmissionRequest &request, AnswerDelivery deliver);
    OwnerCalls::Handlers callHandlers();
    void lookup(const JobLookup &lookup, const AnswerDelivery &deliver);
    Answer lookupHere(const Fingerprint &key, bool cancel);
    std::string metricsText() const;
    std::string showText() const;
    std::string eventsText() const;

    void perform(const DispatchActions &actions);
    void performOne(const SendTasks &action) { m_agents.send(action); }
    void performOne(const SendRevoke &action) { m_agents.send(action); }
    void performOne(const SendStop &action) { m_agents.send(action); }
    void performOne(const AnswerWaiter &action) { m_waiters.answer(action.waiter, action.answer); }
    void performOne(const AskHolder &action);

    bool isLowestMember() const;
    void configChanged(const ConfigPtr &config);
    void recordZoneChanges(const Config &config);
    EntryStatus status() const;
    wire::PeerPingT peerStatus() const;
    void record(Event event);
    void record(EventKind kind, std::string_view why, uint64_t version = 0);
    void pullFromPeer(const std::string &peer, const wire::PeerPingT &ping);
    void giveUp();
    void continueStop();
    void finishStop();

    IoContext &m_io;
    const EntrySettings m_settings;
    const EntryMember m_self;
    EventLog m_events;
    mutable Metrics m_metrics = Metrics(entryMetrics);
    EventShipper m_shipper;
    Waiters m_waiters;
    Dispatcher m_dispatcher;
    AgentHub m_agents;
    PeerHub m_peers;
    ClaimsLog m_claims;
    StateMover m_state;
    MembershipKeeper m_membership;
    ConfigKeeper m_config;
    OwnerCalls m_calls;
    Millis m_peersDialledAt;
    bool m_wasCurrent = false;
    mutable std::mutex m_peerVersionsMutex;
    std::map<std::string, uint64_t> m_peerVersions;

    asio::steady_timer m_timer;
    std::unique_ptr<FrameListener> m_linkListener;
    std::unique_ptr<Frontend> m_frontend;
    std::atomic<bool> m_stopping = false;
    Millis m_stopBegan;
    enum class StopPhase : uint8_t { Draining, Finishing, HandingOver, Leaving };
    StopPhase m_stopPhase = StopPhase::Draining;
    std::atomic<bool> m_removed = false;
    std::atomic<bool> m_finished = false;
    std::mutex m_acceptedMutex;
    std::vector<std::weak_ptr<FrameLink>> m_accepted;
    std::atomic<int64_t> m_pulledAt = 0;
    int m_exitCode = 0;
};

EntryServer::EntryServer(IoContext &io, const EntrySettings &settings)
    : m_io(io)
    , m_settings(settings)
    , m_self({.id = {.name = settings.name, .incarnation = static_cast<uint64_t>(Clock::wall().count)},
              .address = settings.linkAnnounced.text(),
              .zone = settings.zone})
    , m_events({.process = settings.name, .zone = settings.zone})
    , m_shipper(settings.name, m_events, std::make_shared<LogClient>(io, settings.log))
    , m_dispatcher(
          {.router = {.maxQueued = settings.maxQueued,
                      .zone = settings.zone,
                      .policy = makePolicy(settings.policy, m_self.id.incarnation).value_or(CreditsPolicy{})},
           .submissions = {.dedupWindow = settings.dedupWindow,
                           .tombstoneCapacity = settings.tombstoneCapacity,
                           .answerBytes = settings.answerBytes},
           .reconnect = settings.reconnect,
           .answerGrace = settings.answerGrace,
           .onEvent = [this](Event event) { record(std::move(event)); }})
    , m_agents(m_self.id, m_dispatcher, agentHandlers())
    , m_peers(io, m_self, m_dispatcher, peerHandlers())
    , m_claims(std::make_shared<LogClient>(io, settings.log), m_self.id)
    , m_state({.self = m_self.id,
               .takeover = {.freshness = settings.freshness, .takeover = settings.takeover},
               .dedupWindow = settings.dedupWindow},
              stateHandlers())
    , m_membership(io, std::make_shared<LogClient>(io, settings.log), membershipOptions(),
                   membershipHandlers())
    , m_config(io, std::make_shared<LogClient>(io, settings.log),
               {.pollWait = settings.logPollWait, .retention = settings.logRetention}, configHandlers())
    , m_calls(m_self.id, callHandlers())
    , m_timer(io)
{ }

AgentHub::Handlers EntryServer::agentHandlers()
{
    return {.status = [this] { return status(); },
            .onHeard =
                [this](const std::string &agent, uint64_t configVersion, uint64_t view) {
                    m_membership.agentHeard(agent, {.config = configVersion, .view = view});
                },
            .onGone = [](const std::string &) {},
            .perform = [this](const DispatchActions &actions) { perform(actions); },
            .onRecords = [this](const wire::RecordReplyT &reply) { m_state.handleRecords(reply); },
            .onEvents = [this](std::vector<std::string> events) { m_shipper.take(std::move(events)); }};
}

MembershipKeeper::Options EntryServer::membershipOptions() const
{
    return {.self = m_self,
            .freshness = m_settings.freshness,
            .pollWait = m_settings.logPollWait,
            .peerTimeout = m_settings.peerTimeout,
            .logRetention = m_settings.logRetention};
}

MembershipKeeper::Handlers EntryServer::membershipHandlers()
{
    return {.onViewChanged =
                [this](uint64_t view, const std::vector<EntryMember> &before,
                       const std::vector<EntryMember> &after) {
                    m_state.viewChanged(view, before, after);
                    record(after.size() < before.size() ? EventKind::EntryLeft : EventKind::EntryJoined,
                           "view " + std::to_string(view));
                },
            .onRemoved = [this] { giveUp(); }};
}

StateMover::Handlers EntryServer::stateHandlers()
{
    return {.sendToPeer = [this](const ProcessId &peer,
                                 std::vector<uint8_t> frame) { return m_peers.send(peer, std::move(frame)); },
            .sendToAgent = [this](const std::string &agent,
                                  std::vector<uint8_t> frame) { m_agents.send(agent, std::move(frame)); },
            .knownAgents = [this] { return m_membership.knownAgents(); },
            .ownRecords = [this] { return ownRecords(); },
            .ownTombstones =
                [this] { return m_dispatcher.exportTombstones([](const Fingerprint &) { return true; }); },
            .takeTombstones =
                [this](const std::vector<Fingerprint> &keys) { m_dispatcher.importTombstones(keys); },
            .readClaims =
                [this](std::function<void(const std::optional<std::vector<ClaimBatch>> &)> onDone) {
                    m_claims.readAll(Clock::wall() - m_settings.dedupWindow, std::move(onDone));
                },
            .onEvent = [this](EventKind kind, const std::string &entry) { record(kind, entry); }};
}

std::vector<SubmissionRecord> EntryServer::ownRecords() const
{
    const Millis now = Clock::now();
    std::vector<SubmissionRecord> result;
    for (KeyRecord &record :
         m_dispatcher.exportRecords([](const Fingerprint &) { return true; }, m_self.id, now))
        result.push_back({.key = record.key,
                          .bodyHash = record.bodyHash,
                          .kind = record.kind,
                          .answered = record.answered,
                          .answer = std::move(record.answer),
                          .firstSeen = now - record.age});
    return result;
}

PeerHub::Handlers EntryServer::peerHandlers()
{
    return {.onHeard =
                [this](const std::string &peer, const wire::PeerPingT &ping) {
                    {
                        const std::lock_guard lock(m_peerVersionsMutex);
                        m_peerVersions[peer] = ping.config_version;
                    }
                    m_membership.peerHeard(peer, {.config = ping.config_version, .view = ping.view});
                    pullFromPeer(peer, ping);
                },
            .onGone = [this](const std::string &peer) { m_membership.peerGone(peer); },
            .perform = [this](const DispatchActions &actions) { perform(actions); },
            .onForward =
                [this](const SubmissionRequest &request, const AnswerDelivery &reply) {
                    m_calls.submitAsOwner(request, reply, Clock::now());
                },
            .onLookup = [this](const Fingerprint &key, bool cancel,
                               const AnswerDelivery &reply) { reply(m_calls.lookupAsOwner(key, cancel)); },
            .onConfigPull =
                [this](const std::string &peer, const wire::ConfigPullT &) {
                    wire::ConfigPushT push;
                    push.config_version = m_config.version();
                    push.state = m_config.stateText();
                    push.roster = m_membership.rosterText();
                    m_peers.send(peer, encodeMessage(std::move(push)));
                },
            .onConfigPush =
                [this](const wire::ConfigPushT &push) {
                    m_config.adopt(push.state);
                    m_membership.adopt(push.roster);
                },
            .onHandover = [this](const ProcessId &peer,
                                 const wire::HandoverT &handover) { m_state.handleHandover(peer, handover); },
            .status = [this] { return peerStatus(); }};
}

ConfigKeeper::Handlers EntryServer::configHandlers()
{
    return {.onChanged = [this](const ConfigPtr &config) { configChanged(config); },
            .onRefused = [this](const std::string &why) { record(EventKind::ConfigRefused, why); },
            .onLogRead = [this](Millis sentAt) { m_membership.configRead(sentAt); },
            .onLogFailed = [this] { m_membership.configReadFailed(); },
            .isSnapshotWriter = [this] { return isLowestMember(); }};
}

// Members are ordered by name.
bool EntryServer::isLowestMember() const
{
    const std::vector<EntryMember> members = m_membership.members();
    return !members.empty() && members.front().id == m_self.id;
}

Frontend::Handlers EntryServer::frontendHandlers()
{
    return {.config = [this] { return m_dispatcher.config(); },
            .onSubmit = [this](const SubmissionRequest &request,
                               AnswerDelivery deliver) { submit(request, std::move(deliver)); },
            .onLookup = [this](const JobLookup &job, const AnswerDelivery &deliver) { lookup(job, deliver); },
            .isStopping = [this] { return m_stopping.load(); },
            .metricsText = [this] { return metricsText(); },
            .showText = [this] { return showText(); },
            .eventsText = [this] { return eventsText(); }};
}

void EntryServer::start()
{
    record(EventKind::ProcessStarted, "");
    m_dispatcher.setWallClock(Clock::wall(), Clock::now());
    m_linkListener = std::make_unique<FrameListener>(m_io, m_settings.linkListen,
                                                     [this](const FrameLinkPtr &link) { acceptLink(link); });
    m_frontend = std::make_unique<Frontend>(m_io, m_settings.listen, frontendHandlers());
    m_membership.start();
    m_config.start();
    tick();
}

void EntryServer::connectPeers()
{
    const Millis now = Clock::now();
    m_peers.closeSilent(now, m_settings.peerTimeout * 2);
    constexpr Millis dialInterval = {500};
    if (now - m_peersDialledAt >= dialInterval) {
        m_peersDialledAt = now;
        for (const Address &address : m_settings.peers)
            m_peers.connectToAddress(address);
        for (const EntryMember &member : m_membership.members())
            m_peers.connectTo(member);
    }
    m_peers.sendHeartbeats();
}

void EntryServer::tick()
{
    if (m_finished)
        return;
    const Millis now = Clock::now();
    m_membership.tick(now);
    const bool current = m_membership.isCurrent();
    if (current != m_wasCurrent) {
        record(current ? EventKind::BecameCurrent : EventKind::BecameStale, "");
        m_wasCurrent = current;
    }
    m_dispatcher.setMayStart(current);
    m_dispatcher.setWallClock(Clock::wall(), now);
    m_dispatcher.setEntryCount(static_cast<uint32_t>(m_membership.members().size()));
    perform(m_dispatcher.tick(now));
    connectPeers();
    m_state.tick(now);
    m_claims.tick(now);
    m_calls.tick(now);
    m_waiters.expire(now);
    m_peers.evenOut(true);
    m_shipper.tick(Clock::now());
    if (m_stopping)
        continueStop();
    constexpr Millis interval = {100};
    m_timer.expires_after(std::chrono::milliseconds(interval.count));
    m_timer.async_wait([this](const boost::system::error_code &error) {
        if (!error)
            tick();
    });
}

// --- connections of agents and peers ---

void EntryServer::acceptLink(const FrameLinkPtr &link)
{
    {
        // A link and its handlers hold each other until it is closed, so every one must be closed at the end:
        // a connection that stays open looks like a silent entry to the other side.
        const std::lock_guard lock(m_acceptedMutex);
        std::erase_if(m_accepted, [](const std::weak_ptr<FrameLink> &known) { return known.expired(); });
        m_accepted.push_back(link);
    }
    link->start({.onFrame =
                     [this, link](std::span<const uint8_t> payload) {
                         leaf::try_handle_all(
                             [&]() -> leaf::result<void> {
                                 BOOST_LEAF_AUTO(message, decodeMessage(payload));
                                 handleMessage(link, *message);
                                 return {};
                             },
                             [&](const CodecError &error) { link->close(error.detail); },
                             [&] { link->close("bad message"); });
                     },
                 .onClosed =
                     [this, link](const std::string &why) {
                         logger().debug("connection from " + link->remoteText() + " was closed: " + why);
                         m_agents.closed(link);
                         m_peers.closed(link);
                     }});
    if (m_finished)
        link->close("this entry has stopped");
}

void EntryServer::handleMessage(const FrameLinkPtr &link, const Message &message)
{
    if (message.body.type == wire::Body::Hello) {
        const wire::HelloT &hello = *message.body.AsHello();
        record(EventKind::AgentConnected, hello.agent);
        m_agents.adopt(link, hello);
    } else if (message.body.type == wire::Body::PeerHello) {
        m_peers.adopt(link, *message.body.AsPeerHello());
    } else {
        m_agents.handle(link, message);
        m_peers.handle(link, message);
    }
}

void EntryServer::perform(const DispatchActions &actions)
{
    for (const DispatchAction &action : actions)
        std::visit([this](const auto &one) { performOne(one); }, action);
    m_peers.evenOut();
}

void EntryServer::performOne(const AskHolder &action)
{
    // The table asks again later if the holder cannot be reached now.
    m_peers.lookup(action.holder, action.key, false,
                   [this, key = action.key](const std::optional<Answer> &answer) {
                       if (answer)
                           perform(m_dispatcher.holderAnswered(key, *answer, Clock::now()));
                   });
}

// --- submissions ---

OwnerCalls::Handlers EntryServer::callHandlers()
{
    return {.place = [this](const Fingerprint &key) { return m_state.place(key, Clock::now()); },
            .forward =
                [this](const ProcessId &peer, const SubmissionRequest &request, OwnerCalls::Reply reply) {
                    record(EventKind::SubmissionForwarded, peer.name);
                    return m_peers.forward(peer, request, std::move(reply));
                },
            .lookup =
                [this](const ProcessId &peer, const Fingerprint &key, bool cancel, OwnerCalls::Reply reply) {
                    return m_peers.lookup(peer, key, cancel, std::move(reply));
                },
            .submitHere = [this](const SubmissionRequest &request,
                                 AnswerDelivery deliver) { submitHere(request, std::move(deliver)); },
            .lookupHere = [this](const Fingerprint &key, bool cancel) { return lookupHere(key, cancel); },
            .lookupOwn = [this](const Fingerprint &key) { return m_dispatcher.lookup(key); }};
}

void EntryServer::submit(const SubmissionRequest &request, AnswerDelivery deliver)
{
    const Millis now = Clock::now();
    const WaiterId waiter = m_waiters.add(std::move(deliver), now + request.budget + Waiters::answerSlack);
    m_calls.submit(
        request, [this, waiter](const Answer &answer) { m_waiters.answer(waiter, answer); }, now);
}

void EntryServer::submitHere(const SubmissionRequest &request, AnswerDelivery deliver)
{
    const Millis now = Clock::now();
    if (!m_dispatcher.lookup(request.key)) {
        if (const std::optional<Answer> known = m_state.answerFor(request.key, request.bodyHash)) {
            deliver(*known);
            return;
        }
        const ConfigPtr config = m_dispatcher.config();
        const ServiceDeclaration *service = config->declarations.findService(request.service);
        const CallDeclaration *call = service ? service->findCall(request.call) : nullptr;
        if (m_state.isIncomplete(request.key, now) && call && !call->repeatable) {
            deliver({.outcome = Outcome::Unknown,
                     .reason = std::string(reason::incompleteTakeover),
                     .status = 503});
            return;
        }
        m_claims.add(request.key);
    }
    // The entry that received the submission answers at the deadline; this one keeps the waiter longer.
    const Millis deadline = now + request.budget + Waiters::answerSlack * 2;
    AnswerDelivery measured = [this, now, deliver = std::move(deliver)](const Answer &answer) {
        m_metrics.observe("submission_ms", static_cast<double>((Clock::now() - now).count));
        m_metrics.count("answers_total", toString(answer.outcome));
        deliver(answer);
    };
    perform(m_dispatcher.submit(request, m_waiters.add(std::move(measured), deadline), now));
}

void EntryServer::lookup(const JobLookup &job, const AnswerDelivery &deliver)
{
    constexpr Millis lookupBound = {7'000};
    const Millis now = Clock::now();
    const WaiterId waiter = m_waiters.add(deliver, now + lookupBound);
    m_calls.lookup(
        job.key, job.cancel, [this, waiter](const Answer &answer) { m_waiters.answer(waiter, answer); }, now);
}

Answer EntryServer::lookupHere(const Fingerprint &key, bool cancel)
{
    if (cancel)
        perform(m_dispatcher.cancel(key, Clock::now()));
    std::optional<Answer> answer = m_dispatcher.lookup(key);
    if (!answer)
        answer = m_state.answerFor(key, 0);
    return answer
        ? *answer
        : Answer{.outcome = Outcome::Unknown, .reason = std::string(reason::unknownJob), .status = 404};
}

// --- reports ---

std::string EntryServer::metricsText() const
{
    const auto set = [&](std::string_view name, uint64_t value) {
        m_metrics.set(name, static_cast<double>(value));
    };
    set("submissions_active", m_dispatcher.activeSubmissions());
    set("submissions_known", m_dispatcher.knownSubmissions());
    set("submissions_waiting_for_owner", m_calls.waiting());
    set("takeovers_pending", m_state.pendingTakeovers());
    set("claims_dropped_total", m_claims.dropped());
    set("tasks_in_flight", m_dispatcher.tasksInFlight());
    set("tasks_queued", m_dispatcher.queued());
    set("credits_idle", m_dispatcher.idleCredits());
    set("agents_connected", m_agents.size());
    set("config_version", m_config.version());
    set("config_position_known", m_config.isPositionKnown() ? 1 : 0);
    set("config_snapshots_total", m_config.snapshotsAppended());
    set("roster_view", m_membership.view());
    set("current", m_membership.isCurrent() ? 1 : 0);
    set("log_readable", m_membership.isLogReadable() ? 1 : 0);
    set("events_dropped_total", m_events.dropped());
    set("events_not_shipped_total", m_shipper.skipped());
    const RoutingCounters routing = m_dispatcher.routingCounters();
    const uint64_t asks = m_peers.creditAsks();
    const uint64_t transfers = m_peers.creditTransfers();
    set("task_starts_sent_total", routing.starts);
    set("task_refusals_total", routing.refusals);
    set("credit_asks_total", asks);
    set("credit_transfers_total", transfers);
    // A refused start costs the message there and the one back.
    set("wasted_messages_total", asks + transfers + 2 * routing.refusals);
    const LimitCounters limits = m_dispatcher.limitCounters();
    set("tasks_parked", limits.tasksParked);
    set("submissions_refused_total", limits.submissionsRefused);
    set("retries_denied_total", limits.retriesDenied);
    const SubmissionCounters records = m_dispatcher.submissionCounters();
    set("tombstones", records.tombstones);
    set("tombstones_dropped_total", records.tombstonesDropped);
    set("answer_bytes", records.answerBytes);
    set("answers_dropped_total", records.answersDropped);
    set("submissions_waiting_for_owner", m_calls.waiting());
    set("takeovers_pending", m_state.pendingTakeovers());
    set("claims_dropped_total", m_claims.dropped());
    return m_metrics.text();
}

std::string EntryServer::showText() const
{
    StatusReport report{.self = m_self,
                        .config = m_config.current(),
                        .view = m_membership.view(),
                        .current = m_membership.isCurrent(),
                        .logReadable = m_membership.isLogReadable(),
                        .positionKnown = m_config.isPositionKnown(),
                        .members = m_membership.members(),
                        .agents = m_agents.states()};
    const std::lock_guard lock(m_peerVersionsMutex);
    report.peerVersions = m_peerVersions;
    return toJsonText(report);
}

std::string EntryServer::eventsText() const
{
    std::string text;
    for (const Event &event : m_events.since(0, SIZE_MAX))
        text += toJsonText(event) + "\n";
    return text;
}

void EntryServer::recordZoneChanges(const Config &config)
{
    const ConfigPtr before = m_dispatcher.config();
    for (const ZoneDeclaration &zone : config.declarations.zones) {
        const bool isWithdrawn = zone.state == ServingState::Withdrawn;
        if (isWithdrawn != before->declarations.isZoneWithdrawn(zone.name))
            record(isWithdrawn ? EventKind::ZoneWithdrawn : EventKind::ZoneReturned, zone.name,
                   config.version);
    }
}

void EntryServer::configChanged(const ConfigPtr &config)
{
    record(EventKind::ConfigAccepted, config->author, config->version);
    recordZoneChanges(*config);
    logger().info("configuration version " + std::to_string(config->version) + " is in force");
    m_dispatcher.setConfig(config);
    m_membership.setConfigVersion(config->version);
    m_agents.sendSlices();
}

EntryStatus EntryServer::status() const
{
    return {.current = m_membership.isCurrent(),
            .checkedAge = m_membership.evidenceAge(),
            .configVersion = m_config.version(),
            .view = m_membership.view(),
            .members = m_membership.members()};
}

wire::PeerPingT EntryServer::peerStatus() const
{
    wire::PeerPingT ping;
    ping.sent_ms = Clock::now().count;
    ping.idle_credits = m_dispatcher.idleCredits();
    ping.queued = m_dispatcher.queued();
    ping.config_version = m_config.version();
    ping.view = m_membership.view();
    ping.log_readable = m_membership.isLogReadable();
    return ping;
}

void EntryServer::record(Event event)
{
    m_metrics.count("events_total", toString(event.kind));
    if (event.kind == EventKind::TaskRefused || event.kind == EventKind::SubmissionRefused)
        m_metrics.count("refusals_total", event.reason);
    m_events.record(std::move(event));
}

void EntryServer::record(EventKind kind, std::string_view why, uint64_t version)
{
    record({.kind = kind, .configVersion = version, .reason = std::string(why)});
}

// --- stop ---

void EntryServer::beginStop()
{
    if (m_stopping.exchange(true))
        return;
    m_stopBegan = Clock::now();
    record(EventKind::ProcessStopping, "");
    logger().info("stopping after the submissions in flight");
}

// The first handover lets the others serve new submissions while this entry finishes what runs; the second
// one brings the answers.
void EntryServer::continueStop()
{
    const Millis waited = Clock::now() - m_stopBegan;
    const bool overdue = waited >= m_settings.stopBound;
    const size_t active = m_dispatcher.activeSubmissions();
    if (m_stopPhase == StopPhase::Draining && (waited >= m_settings.drain || overdue)) {
        m_frontend->stopAccepting();
        m_state.beginFinalHandover();
        m_stopPhase = StopPhase::Finishing;
    }
    if (m_stopPhase == StopPhase::Finishing) {
        const bool idle = active == 0 && m_waiters.size() == 0 && m_frontend->openRequests() == 0;
        if ((!idle || !m_state.isFinalHandoverDone()) && !overdue)
            return;
        if (!idle) {
            logger().error("stopMs has passed: " + std::to_string(active) + " submissions are left behind");
            m_exitCode = 1;
        }
        m_state.beginFinalHandover();
        m_stopPhase = StopPhase::HandingOver;
    }
    if (m_stopPhase != StopPhase::HandingOver || (!m_state.isFinalHandoverDone() && !overdue))
        return;
    if (!m_state.isFinalHandoverDone()) {
        logger().error("stopMs has passed: not every entry has confirmed the handover");
        m_exitCode = 1;
    }
    m_stopPhase = StopPhase::Leaving;
    m_shipper.flush([this] {
        m_membership.leave([this](bool appended) {
            if (!appended)
                logger().warning(
                    "the leave is not in the log; the other entries know of it from the handover");
            finishStop();
        });
    });
}

void EntryServer::finishStop()
{
    m_finished = true;
    m_linkListener.reset();
    m_peers.closeAll();
    {
        const std::lock_guard lock(m_acceptedMutex);
        for (const std::weak_ptr<FrameLink> &known : m_accepted) {
            if (const FrameLinkPtr link = known.lock())
                link->closeAfterWrites();
        }
    }
    // Lets the closing frames and the last answers leave.
    constexpr auto grace = std::chrono::milliseconds(100);
    auto timer = std::make_shared<asio::steady_timer>(m_io, grace);
    timer->async_wait([this, timer](const boost::system::error_code &) { m_io.stop(); });
}

// Its keys belong to others now, which have fenced it at the agents. What runs here may still finish at its
// target, so the outcome is unknown.
void EntryServer::giveUp()
{
    if (m_removed.exchange(true) || m_stopping)
        return;
    logger().error("this entry was reported as dead: giving up its state and joining again");
    m_dispatcher.setMayStart(false);
    m_waiters.answerAll(
        {.outcome = Outcome::Unknown, .reason = std::string(reason::entryLost), .status = 504});
    finishStop();
}

void EntryServer::pullFromPeer(const std::string &peer, const wire::PeerPingT &ping)
{
    const bool behind = ping.config_version > m_config.version() || ping.view > m_membership.view()
        || !m_membership.hasRoster();
    constexpr int64_t interval = 300;
    const int64_t now = Clock::now().count;
    if (!behind || now - m_pulledAt < interval)
        return;
    m_pulledAt = now;
    m_peers.pullConfig(peer, m_config.version(), m_membership.view());
}

} // namespace

static std::optional<int> runOnce(const EntrySettings &settings)
{
    IoContext io(static_cast<int>(settings.threads));
    EntryServer server(io, settings);
    server.start();
    asio::signal_set signals(io, SIGINT, SIGTERM);
    signals.async_wait([&server](const boost::system::error_code &error, int) {
        if (!error)
            server.beginStop();
    });
    logger().info(settings.name + " listens on " + settings.listen.text());
    std::vector<std::jthread> threads;
    for (uint32_t i = 1; i < settings.threads; ++i)
        threads.emplace_back([&io] { io.run(); });
    io.run();
    threads.clear();
    return server.mustStartAgain() ? std::nullopt : std::optional(server.exitCode());
}

int runEntry(const EntrySettings &settings)
{
    std::optional<int> exitCode;
    while (!exitCode)
        exitCode = runOnce(settings);
    logger().info(settings.name + " has stopped");
    return *exitCode;
}

} // namespace turmericwell
