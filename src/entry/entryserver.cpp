// Wires the decisions of an entry to its connections.
#include "entry/entryserver.h"

#include "dispatch/dispatcher.h"
#include "entry/agenthub.h"
#include "entry/callerapi.h"
#include "entry/logfollower.h"
#include "entry/peerhub.h"
#include "membership/currencyguard.h"
#include "net/http.h"
#include "observe/eventlog.h"
#include "observe/log.h"
#include "platform/logclient.h"

#include <atomic>
#include <boost/asio/signal_set.hpp>
#include <boost/json.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <thread>

namespace turmericwell {

namespace asio = boost::asio;
namespace json = boost::json;
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
    // Set once the graceful stop has ended.
    bool isStopped() const { return m_stopped; }

private:
    // Who waits for an answer: a function that delivers it.
    using Delivery = std::function<void(const Answer &)>;

    void tick();
    void acceptLink(const FrameLinkPtr &link);
    void handleFirst(const FrameLinkPtr &link, const Message &message);

    void handleHttp(const HttpRequest &request, const HttpResponder &respond);
    void handleCaller(const HttpRequest &request, const HttpResponder &respond);
    void submit(const SubmissionRequest &request, Delivery deliver);
    void submitHere(const SubmissionRequest &request, Delivery deliver);
    void lookup(const JobLookup &lookup, const Delivery &deliver);
    Answer lookupHere(const Fingerprint &key, bool cancel);
    std::string metricsText() const;
    std::string showText() const;

    void perform(DispatchActions actions);
    WaiterId addWaiter(Delivery deliver);

    void startFollowers();
    void applyConfigRecord(const LogRecord &record);
    void applyRosterRecord(const LogRecord &record);
    void versionsChanged();
    void join();
    EntryStatus status();
    wire::PeerPingT peerStatus();
    KnownVersions ownVersions();
    void record(EventKind kind, std::string_view why, uint64_t version = 0);
    void finishStop();
    void leave();

    IoContext &m_io;
    const EntrySettings m_settings;
    const EntryMember m_self;
    EventLog m_events;
    Dispatcher m_dispatcher;
    AgentHub m_agents;
    PeerHub m_peers;
    std::shared_ptr<LogClient> m_log;
    std::shared_ptr<LogFollower> m_configFollower;
    std::shared_ptr<LogFollower> m_rosterFollower;

    // Guards configuration, roster and currency.
    mutable std::mutex m_stateMutex;
    ConfigState m_config;
    Roster m_roster;
    CurrencyGuard m_guard;
    bool m_rosterRead = false;
    bool m_joining = false;
    bool m_wasCurrent = false;

    std::mutex m_waiterMutex;
    std::unordered_map<WaiterId, Delivery> m_waiters;
    WaiterId m_nextWaiter = 1;

    asio::steady_timer m_timer;
    std::unique_ptr<FrameListener> m_linkListener;
    std::unique_ptr<HttpServer> m_http;
    std::atomic<bool> m_stopping = false;
    std::atomic<bool> m_stopped = false;
    Millis m_stopBegan;
    bool m_leaving = false;
};

EntryServer::EntryServer(IoContext &io, const EntrySettings &settings)
    : m_io(io)
    , m_settings(settings)
    , m_self({.id = {.name = settings.name, .incarnation = static_cast<uint64_t>(Clock::wall().count)},
              .address = settings.linkListen.text(),
              .zone = settings.zone})
    , m_events({.process = settings.name, .zone = settings.zone})
    , m_dispatcher({.router = {.maxQueued = settings.maxQueued, .zone = settings.zone},
                    .submissions = {.dedupWindow = settings.dedupWindow},
                    .onEvent = [this](Event event) { m_events.record(std::move(event)); }})
    , m_agents(m_self.id, m_dispatcher,
               {.status = [this] { return status(); },
                .onHeard =
                    [this](const std::string &agent, uint64_t configVersion, uint64_t view) {
                        const std::lock_guard lock(m_stateMutex);
                        m_guard.agentHeard(agent, {.config = configVersion, .view = view}, Clock::now());
                    },
                .onGone = [](const std::string &) {},
                .perform = [this](DispatchActions actions) { perform(std::move(actions)); }})
    , m_peers(io, m_self, m_dispatcher,
              {.onHeard =
                   [this](const std::string &peer, const wire::PeerPingT &ping) {
                       const KnownVersions versions = {.config = ping.config_version, .view = ping.view};
                       bool behind = false;
                       {
                           const std::lock_guard lock(m_stateMutex);
                           m_guard.peerHeard(peer, versions, Clock::now());
                           behind = versions.config > m_config.version();
                       }
                       if (behind)
                           m_peers.pullConfig(peer, versions.config, versions.view);
                   },
               .onGone =
                   [this](const std::string &peer) {
                       const std::lock_guard lock(m_stateMutex);
                       m_guard.peerRemoved(peer);
                   },
               .perform = [this](DispatchActions actions) { perform(std::move(actions)); },
               .onForward =
                   [this](const std::string &peer, uint64_t requestId, const SubmissionRequest &request) {
                       submitHere(request, [this, peer, requestId](const Answer &answer) {
                           m_peers.answer(peer, requestId, answer);
                       });
                   },
               .onLookup = [this](const std::string &peer, uint64_t requestId, const Fingerprint &key,
                                  bool cancel) { m_peers.answer(peer, requestId, lookupHere(key, cancel)); },
               .onConfigPull =
                   [this](const std::string &peer, const wire::ConfigPullT &) {
                       wire::ConfigPushT push;
                       {
                           const std::lock_guard lock(m_stateMutex);
                           push.config_version = m_config.version();
                           push.state = m_config.stateText();
                       }
                       m_peers.send(peer, encodeMessage(std::move(push)));
                   },
               .onConfigPush =
                   [this](const wire::ConfigPushT &push) {
                       bool adopted = false;
                       {
                           const std::lock_guard lock(m_stateMutex);
                           adopted = m_config.adopt(push.state);
                       }
                       if (adopted)
                           versionsChanged();
                   },
               .status = [this] { return peerStatus(); }})
    , m_log(std::make_shared<LogClient>(io, settings.log))
    , m_guard({.freshness = settings.freshness})
    , m_timer(io)
{ }

void EntryServer::start()
{
    record(EventKind::ProcessStarted, "");
    m_linkListener = std::make_unique<FrameListener>(m_io, m_settings.linkListen,
                                                     [this](const FrameLinkPtr &link) { acceptLink(link); });
    m_http = std::make_unique<HttpServer>(
        m_io, m_settings.listen, HttpServerOptions{},
        [this](const HttpRequest &request, const HttpResponder &respond) { handleHttp(request, respond); });
    startFollowers();
    for (const Address &address : m_settings.peers)
        m_peers.connectToAddress(address);
    tick();
}

void EntryServer::tick()
{
    const Millis now = Clock::now();
    std::vector<EntryMember> members;
    bool current = false;
    {
        const std::lock_guard lock(m_stateMutex);
        members = m_roster.members();
        m_guard.setOwn({.config = m_config.version(), .view = m_roster.view()});
        current = m_guard.isCurrent(now) && m_config.version() > 0;
    }
    if (current != m_wasCurrent) {
        record(current ? EventKind::BecameCurrent : EventKind::BecameStale, "");
        m_wasCurrent = current;
    }
    m_dispatcher.setMayStart(current);
    perform(m_dispatcher.tick(now));
    for (const EntryMember &member : members)
        m_peers.connectTo(member);
    m_peers.sendHeartbeats();
    if (m_dispatcher.queued() > 0 && m_dispatcher.idleCredits() == 0)
        m_peers.askForCredits(m_dispatcher.queued());
    if (m_stopping)
        finishStop();
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
    link->start({.onFrame =
                     [this, link](std::span<const uint8_t> payload) {
                         leaf::try_handle_all(
                             [&]() -> leaf::result<void> {
                                 BOOST_LEAF_AUTO(message, decodeMessage(payload));
                                 handleFirst(link, *message);
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
}

void EntryServer::handleFirst(const FrameLinkPtr &link, const Message &message)
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

void EntryServer::perform(DispatchActions actions)
{
    for (DispatchAction &action : actions) {
        if (auto *answer = std::get_if<AnswerWaiter>(&action)) {
            Delivery deliver;
            {
                const std::lock_guard lock(m_waiterMutex);
                const auto found = m_waiters.find(answer->waiter);
                if (found == m_waiters.end())
                    continue;
                deliver = std::move(found->second);
                m_waiters.erase(found);
            }
            deliver(answer->answer);
        } else if (auto *tasks = std::get_if<SendTasks>(&action)) {
            m_agents.send(*tasks);
        } else if (auto *revoke = std::get_if<SendRevoke>(&action)) {
            m_agents.send(*revoke);
        } else {
            m_agents.send(std::get<SendStop>(action));
        }
    }
}

WaiterId EntryServer::addWaiter(Delivery deliver)
{
    const std::lock_guard lock(m_waiterMutex);
    const WaiterId id = m_nextWaiter++;
    m_waiters[id] = std::move(deliver);
    return id;
}

// --- callers ---

void EntryServer::handleHttp(const HttpRequest &request, const HttpResponder &respond)
{
    if (request.path == "/healthz") {
        respond({.status = m_stopping ? 503 : 200,
                 .body = m_stopping ? R"({"status":"stopping"})" : R"({"status":"ok"})"});
    } else if (request.path == "/metrics") {
        respond({.body = metricsText(), .contentType = "text/plain; version=0.0.4"});
    } else if (request.path == "/v1/show") {
        respond({.body = showText()});
    } else if (request.path == "/v1/events") {
        std::string body;
        for (const Event &event : m_events.since(0, SIZE_MAX))
            body += toJsonText(event) + "\n";
        respond({.body = std::move(body), .contentType = "application/x-ndjson"});
    } else {
        handleCaller(request, respond);
    }
}

void EntryServer::handleCaller(const HttpRequest &request, const HttpResponder &respond)
{
    CallerRequest parsed = parseCallerRequest(request, *m_dispatcher.config());
    if (const auto *refusal = std::get_if<BadRequest>(&parsed)) {
        respond(toHttpResponse(*refusal));
    } else if (const auto *submission = std::get_if<SubmissionRequest>(&parsed)) {
        submit(*submission,
               [respond, kind = submission->kind, key = submission->keyText](const Answer &answer) {
                   respond(toHttpResponse(kind, key, answer));
               });
    } else {
        const auto &job = std::get<JobLookup>(parsed);
        lookup(job, [respond, key = job.keyText](const Answer &answer) {
            respond(toHttpResponse(SubmissionKind::Job, key, answer));
        });
    }
}

void EntryServer::submit(const SubmissionRequest &request, Delivery deliver)
{
    std::optional<EntryMember> owner;
    {
        const std::lock_guard lock(m_stateMutex);
        const std::vector<EntryMember> members = m_roster.members();
        if (const EntryMember *found = ownerOf(members, request.key))
            owner = *found;
    }
    if (!owner) {
        deliver({.outcome = Outcome::NotRun,
                 .reason = std::string(reason::ownerUnavailable),
                 .status = 503,
                 .retryAfter = {1'000}});
        return;
    }
    if (owner->id == m_self.id) {
        submitHere(request, std::move(deliver));
        return;
    }
    record(EventKind::SubmissionForwarded, owner->id.name);
    if (!m_peers.forward(owner->id.name, request, deliver))
        deliver({.outcome = Outcome::Unknown,
                 .reason = std::string(reason::ownerUnavailable),
                 .status = 503,
                 .retryAfter = {1'000}});
}

void EntryServer::submitHere(const SubmissionRequest &request, Delivery deliver)
{
    perform(m_dispatcher.submit(request, addWaiter(std::move(deliver)), Clock::now()));
}

void EntryServer::lookup(const JobLookup &job, const Delivery &deliver)
{
    std::string owner;
    {
        const std::lock_guard lock(m_stateMutex);
        const std::vector<EntryMember> members = m_roster.members();
        if (const EntryMember *found = ownerOf(members, job.key))
            owner = found->id.name;
    }
    if (owner.empty() || owner == m_self.id.name) {
        deliver(lookupHere(job.key, job.cancel));
        return;
    }
    if (!m_peers.lookup(owner, job.key, job.cancel, deliver))
        deliver({.outcome = Outcome::Unknown,
                 .reason = std::string(reason::ownerUnavailable),
                 .status = 503,
                 .retryAfter = {1'000}});
}

Answer EntryServer::lookupHere(const Fingerprint &key, bool cancel)
{
    if (cancel)
        perform(m_dispatcher.cancel(key, Clock::now()));
    const std::optional<Answer> answer = m_dispatcher.lookup(key);
    return answer
        ? *answer
        : Answer{.outcome = Outcome::Unknown, .reason = std::string(reason::unknownJob), .status = 404};
}

std::string EntryServer::metricsText() const
{
    std::string text;
    const auto add = [&](std::string_view name, uint64_t value) {
        text += "turmericwell_" + std::string(name) + " " + std::to_string(value) + "\n";
    };
    add("submissions_active", m_dispatcher.activeSubmissions());
    add("submissions_known", m_dispatcher.knownSubmissions());
    add("tasks_in_flight", m_dispatcher.tasksInFlight());
    add("tasks_queued", m_dispatcher.queued());
    add("credits_idle", m_dispatcher.idleCredits());
    add("agents_connected", m_agents.size());
    add("config_version", m_dispatcher.config()->version);
    add("events_dropped_total", m_events.dropped());
    return text;
}

std::string EntryServer::showText() const
{
    const std::lock_guard lock(m_stateMutex);
    json::array members;
    for (const EntryMember &member : m_roster.members()) {
        members.push_back(
            json::object{{"entry", member.id.name}, {"address", member.address}, {"zone", member.zone}});
    }
    const ConfigPtr config = m_config.current();
    return json::serialize(json::object{{"entry", m_self.id.name},
                                        {"version", config->version},
                                        {"changeId", config->changeId},
                                        {"author", config->author},
                                        {"view", m_roster.view()},
                                        {"current", m_guard.isCurrent(Clock::now())},
                                        {"logReadable", m_guard.isLogReadable()},
                                        {"agents", m_agents.size()},
                                        {"entries", std::move(members)},
                                        {"declarations", toJson(config->declarations)}});
}

// --- log, configuration and roster ---

void EntryServer::startFollowers()
{
    const auto onFailed = [this](const std::string &) {
        const std::lock_guard lock(m_stateMutex);
        m_guard.logFailed(Clock::now());
    };
    m_configFollower = std::make_shared<LogFollower>(
        m_io, m_log,
        LogFollowerOptions{.stream = std::string(stream::config), .pollWait = m_settings.logPollWait},
        LogFollower::Handlers{.onRecord = [this](const LogRecord &entry) { applyConfigRecord(entry); },
                              .onExpired =
                                  [this](uint64_t oldest) {
                                      const std::lock_guard lock(m_stateMutex);
                                      m_config.startReadingAt(oldest);
                                  },
                              .onTail =
                                  [this](Millis sentAt) {
                                      const std::lock_guard lock(m_stateMutex);
                                      m_guard.logRead(sentAt);
                                  },
                              .onFailed = onFailed});
    m_rosterFollower = std::make_shared<LogFollower>(
        m_io, m_log,
        LogFollowerOptions{.stream = std::string(stream::roster), .pollWait = m_settings.logPollWait},
        LogFollower::Handlers{.onRecord = [this](const LogRecord &entry) { applyRosterRecord(entry); },
                              .onExpired = [](uint64_t) {},
                              .onTail =
                                  [this](Millis) {
                                      {
                                          const std::lock_guard lock(m_stateMutex);
                                          m_rosterRead = true;
                                      }
                                      join();
                                  },
                              .onFailed = onFailed});
    m_configFollower->start(0);
    m_rosterFollower->start(0);
}

void EntryServer::applyConfigRecord(const LogRecord &entry)
{
    RecordEffect effect = RecordEffect::Ignored;
    {
        const std::lock_guard lock(m_stateMutex);
        effect = m_config.apply(entry.offset, entry.data);
    }
    if (effect == RecordEffect::Accepted)
        versionsChanged();
    else if (effect == RecordEffect::Conflict)
        record(EventKind::ConfigRefused, "conflict");
}

void EntryServer::versionsChanged()
{
    ConfigPtr config;
    {
        const std::lock_guard lock(m_stateMutex);
        config = m_config.current();
    }
    record(EventKind::ConfigAccepted, config->author, config->version);
    logger().info("configuration version " + std::to_string(config->version) + " is in force");
    m_dispatcher.setConfig(config);
}

void EntryServer::applyRosterRecord(const LogRecord &entry)
{
    const std::lock_guard lock(m_stateMutex);
    m_roster.apply(entry.offset, entry.data);
}

// Appends the join record once the roster is known, and again if the answer was lost.
void EntryServer::join()
{
    {
        const std::lock_guard lock(m_stateMutex);
        const EntryMember *member = m_roster.find(m_self.id.name);
        if (m_joining || m_stopping || (member && member->id == m_self.id))
            return;
        m_joining = true;
    }
    constexpr Millis appendTimeout = {2'000};
    m_log->append(stream::roster, Roster::joinRecord(m_self), appendTimeout, [this](const AppendResult &) {
        const std::lock_guard lock(m_stateMutex);
        m_joining = false;
    });
}

EntryStatus EntryServer::status()
{
    const std::lock_guard lock(m_stateMutex);
    const Millis now = Clock::now();
    return {.current = m_guard.isCurrent(now) && m_config.version() > 0,
            .checkedAge = m_guard.evidenceAge(now),
            .configVersion = m_config.version(),
            .view = m_roster.view(),
            .members = m_roster.members()};
}

wire::PeerPingT EntryServer::peerStatus()
{
    wire::PeerPingT ping;
    ping.sent_ms = Clock::now().count;
    ping.idle_credits = m_dispatcher.idleCredits();
    ping.queued = m_dispatcher.queued();
    const std::lock_guard lock(m_stateMutex);
    ping.config_version = m_config.version();
    ping.view = m_roster.view();
    ping.log_readable = m_guard.isLogReadable();
    return ping;
}

void EntryServer::record(EventKind kind, std::string_view why, uint64_t version)
{
    m_events.record({.kind = kind, .configVersion = version, .reason = std::string(why)});
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

void EntryServer::finishStop()
{
    const Millis waited = Clock::now() - m_stopBegan;
    if (waited < m_settings.drain || m_stopped)
        return;
    if (!m_leaving)
        m_http->stopAccepting();
    const bool idle = m_dispatcher.activeSubmissions() == 0 && m_http->openRequests() == 0;
    if ((idle || waited >= m_settings.stopBound) && !m_leaving)
        leave();
}

void EntryServer::leave()
{
    m_leaving = true;
    constexpr Millis appendTimeout = {2'000};
    m_log->append(stream::roster, Roster::leaveRecord(m_self.id, m_self.id.name, "planned"), appendTimeout,
                  [this](const AppendResult &) {
                      m_agents.closeAll();
                      m_peers.closeAll();
                      m_stopped = true;
                      m_io.stop();
                  });
}

} // namespace

int runEntry(const EntrySettings &settings)
{
    IoContext io(static_cast<int>(settings.threads));
    EntryServer server(io, settings);
    server.start();
    asio::signal_set signals(io, SIGINT, SIGTERM);
    signals.async_wait([&server](const boost::system::error_code &, int) { server.beginStop(); });
    logger().info(settings.name + " listens on " + settings.listen.text());
    std::vector<std::jthread> threads;
    for (uint32_t i = 1; i < settings.threads; ++i)
        threads.emplace_back([&io] { io.run(); });
    io.run();
    threads.clear();
    logger().info(settings.name + " has stopped");
    return 0;
}

} // namespace turmericwell
