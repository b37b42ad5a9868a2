// Construction, periodic work and connections of an entry.
#include "entry/entryserver.h"

#include "observe/log.h"

#include <boost/leaf/handle_errors.hpp>

namespace turmericwell {

static const Logger &logger()
{
    static const Logger instance("entry");
    return instance;
}

namespace leaf = boost::leaf;

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

void EntryServer::start()
{
    record(EventKind::ProcessStarted, "");
    m_dispatcher.setWallClock(Clock::wall(), Clock::now());
    m_linkListener = std::make_unique<FrameListener>(m_io, m_settings.linkListen,
                                                     [this](const FrameLinkPtr &link) { acceptLink(link); });
    const InputRejected onRejected = [this](std::string_view limit, const std::string &) {
        m_metrics.count("input_rejected_total", limit);
    };
    m_frontend = std::make_unique<Frontend>(
        m_io, m_settings.listen, clientPortOptions(m_settings.input, onRejected), frontendHandlers());
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
    // The link keeps its handlers until it is closed, so they must not keep the link.
    link->start({.onFrame =
                     [this, weak = std::weak_ptr(link)](std::span<const uint8_t> payload) {
                         const FrameLinkPtr link = weak.lock();
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
                     [this, weak = std::weak_ptr(link)](const std::string &why) {
                         const FrameLinkPtr link = weak.lock();
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

} // namespace turmericwell
