// Connects the agent's state machine to its entries and its target. All handlers run on one thread to limit
// the footprint of the process.
#include "agentd/agentserver.h"

#include "net/inputlimits.h"
#include "observe/log.h"
#include "observe/timeline.h"

#include <boost/asio/post.hpp>

namespace turmericwell {

namespace asio = boost::asio;

static const Logger &logger()
{
    static const Logger instance("agent");
    return instance;
}

AgentServer::AgentServer(IoContext &io, const AgentSettings &settings)
    : m_io(io)
    , m_settings(settings)
    , m_core(settings.core)
    , m_events({.process = settings.name, .zone = settings.zone})
    , m_timer(io)
    , m_http(
          io, settings.listen, internalPortOptions({}, {}),
          [this](const HttpRequest &request, const HttpResponder &respond) { handleHttp(request, respond); })
{
    m_events.record({.kind = EventKind::ProcessStarted});
    for (const Address &address : m_settings.entries)
        connectTo(address);
    tick();
}

void AgentServer::tick()
{
    perform(m_core.tick(Clock::now()));
    for (const auto &link : m_links)
        link->ping(pingFrame());
    sendEvents();
    m_timer.expires_after(std::chrono::milliseconds(m_settings.pingInterval.count));
    m_timer.async_wait([this](const boost::system::error_code &error) {
        if (!error)
            tick();
    });
}

void AgentServer::connectTo(const Address &address)
{
    for (const auto &link : m_links) {
        if (link->address() == address)
            return;
    }
    auto link = std::make_shared<EntryLink>(
        m_io, address,
        EntryLink::Handlers{
            .hello = [this] { return helloFrame(); },
            .onMessage = [this](EntryLink &from, const Message &message) { handleMessage(from, message); },
            .onLost = [this](EntryLink &from) { handleLost(from); }});
    m_links.push_back(link);
    link->start();
}

std::vector<uint8_t> AgentServer::helloFrame() const
{
    wire::HelloT hello;
    hello.agent = m_settings.name;
    hello.incarnation = m_incarnation;
    hello.target = toWire(m_core.target());
    // Without evidence of currency the agent would reject all tasks, so it reports itself as leaving. The
    // ping that follows the evidence reports that it accepts tasks.
    hello.leaving = !m_core.acceptsTasks(Clock::now());
    hello.credit_epoch = m_core.creditEpoch();
    return encodeMessage(std::move(hello));
}

std::vector<uint8_t> AgentServer::pingFrame() const
{
    wire::PingT ping;
    ping.sent_ms = Clock::now().count;
    ping.config_version = m_newestVersion;
    ping.slice_version = m_core.slice().configVersion;
    ping.view = m_newestView;
    ping.running = m_core.running();
    ping.queued = m_core.queued();
    ping.leaving = !m_core.acceptsTasks(Clock::now());
    return encodeMessage(std::move(ping));
}

void AgentServer::handleMessage(EntryLink &link, const Message &message)
{
    const Millis now = Clock::now();
    switch (message.body.type) {
    case wire::Body::Welcome: {
        const wire::WelcomeT &welcome = *message.body.AsWelcome();
        const bool isFirst = link.entry().name.empty();
        link.setEntry({.name = welcome.entry, .incarnation = welcome.incarnation});
        connectToMembers(welcome.entries);
        link.send(pingFrame());
        // Later Welcome messages answer a Hello that reported a change of the target.
        if (isFirst)
            perform(m_core.entryConnected(link.entry(), now));
        break;
    }
    case wire::Body::Pong:
        handlePong(link, *message.body.AsPong());
        break;
    case wire::Body::Slice:
        handleSlice(*message.body.AsSlice());
        break;
    case wire::Body::StartBatch:
        for (const auto &start : message.body.AsStartBatch()->tasks)
            perform(m_core.start(link.entry(), fromWire(*start), now));
        break;
    case wire::Body::Revoke:
        if (message.body.AsRevoke()->task)
            perform(m_core.revoke(link.entry(), fromWire(*message.body.AsRevoke()->task), now));
        break;
    case wire::Body::RecordQuery:
        handleRecordQuery(link, *message.body.AsRecordQuery());
        break;
    case wire::Body::Stop:
        if (message.body.AsStop()->task)
            perform(m_core.stop(fromWire(*message.body.AsStop()->task)));
        break;
    default:
        logger().warning("entry " + link.address().text() + " sent a message that agents do not accept");
    }
}

void AgentServer::handlePong(EntryLink &link, const wire::PongT &pong)
{
    const Millis evidenceAt = {pong.sent_ms - pong.checked_age_ms};
    // Evidence for a configuration version that this agent does not have yet becomes valid when the slice of
    // that version arrives.
    if (pong.current && pong.config_version <= m_core.slice().configVersion)
        m_core.recordEvidence(evidenceAt);
    else if (pong.current)
        m_pendingEvidence[pong.config_version] = evidenceAt;
    reportReadiness();
    m_newestVersion = std::max(m_newestVersion, pong.config_version);
    m_newestView = std::max(m_newestView, pong.view);
    connectToMembers(pong.entries);
    const AgentSlice &slice = m_core.slice();
    if (pong.config_version > slice.configVersion) {
        wire::SliceRequestT request;
        request.config_version = pong.config_version;
        link.send(encodeMessage(std::move(request)));
    }
}

// Sends a ping as soon as the readiness changes, since entries only send tasks to an agent that is ready.
void AgentServer::reportReadiness()
{
    const bool acceptsTasks = m_core.acceptsTasks(Clock::now());
    if (acceptsTasks == m_reportedReady)
        return;
    m_reportedReady = acceptsTasks;
    for (const auto &link : m_links)
        link->send(pingFrame());
}

void AgentServer::handleSlice(const wire::SliceT &slice)
{
    if (slice.config_version > m_core.slice().configVersion)
        m_events.record({.kind = EventKind::ConfigAccepted, .configVersion = slice.config_version});
    perform(m_core.applySlice({.configVersion = slice.config_version,
                               .digest = slice.digest,
                               .zoneWithdrawn = slice.zone_withdrawn,
                               .targetWithdrawn = slice.target_withdrawn},
                              Clock::now()));
    const auto firstPending = m_pendingEvidence.upper_bound(m_core.slice().configVersion);
    for (auto it = m_pendingEvidence.begin(); it != firstPending; ++it)
        m_core.recordEvidence(it->second);
    m_pendingEvidence.erase(m_pendingEvidence.begin(), firstPending);
    reportReadiness();
}

void AgentServer::handleRecordQuery(EntryLink &link, const wire::RecordQueryT &query)
{
    const Millis now = Clock::now();
    const ProcessId dead = {.name = query.dead_entry, .incarnation = query.dead_incarnation};
    m_newestView = std::max(m_newestView, query.view);
    perform(m_core.fence(dead, link.entry(), now));
    wire::RecordReplyT reply;
    reply.query_id = query.query_id;
    reply.agent = m_settings.name;
    for (const StartedTask &started : m_core.startedBy(dead, now)) {
        auto record = std::make_unique<wire::StartedRecordT>();
        record->task = std::make_unique<wire::TaskRef>(toWire(started.task));
        record->task_count = started.taskCount;
        record->body_hash = started.bodyHash;
        record->running = started.running;
        record->result = toWire(started.result);
        record->started_ms = started.startedAgo.count;
        reply.records.push_back(std::move(record));
    }
    link.send(encodeMessage(std::move(reply)));
}

void AgentServer::connectToMembers(const std::vector<std::unique_ptr<wire::MemberT>> &members)
{
    for (const auto &member : members) {
        if (const std::optional<Address> address = Address::parse(member->address))
            connectTo(*address);
    }
}

void AgentServer::handleLost(EntryLink &link)
{
    if (!link.entry().name.empty())
        perform(m_core.entryDisconnected(link.entry(), Clock::now()));
}

EntryLink *AgentServer::linkTo(const ProcessId &entry)
{
    for (const auto &link : m_links) {
        if (link->entry() == entry && link->isConnected())
            return link.get();
    }
    return nullptr;
}

void AgentServer::record(EventKind kind, const TaskRef &task, std::string_view why)
{
    m_metrics.count("events_total", toString(kind));
    if (kind == EventKind::TaskRefused)
        m_metrics.count("refusals_total", why);
    m_events.record({.kind = kind,
                     .job = task.submission.hex(),
                     .task = task.text(),
                     .target = m_core.target().name,
                     .configVersion = m_core.slice().configVersion,
                     .reason = std::string(why)});
}

void AgentServer::perform(const AgentActions &actions)
{
    for (const AgentAction &action : actions)
        std::visit([this](const auto &one) { performOne(one); }, action);
    // The results of all handlers that are ready to run now are sent in one message.
    if (!m_results.empty() && !m_flushPosted) {
        m_flushPosted = true;
        asio::post(m_io, [this] { flushResults(); });
    }
    if (m_stopping)
        finishStop();
}

void AgentServer::performOne(const RunOnTarget &action)
{
    record(EventKind::TaskStarted, action.start.task, "");
    constexpr Millis maxRunTime = {3'600'000};
    const auto mayStillStart = [this] { return m_core.mayStillStart(Clock::now()); };
    m_target->run(action.start, maxRunTime, mayStillStart, [this](const TaskResult &result) {
        record(EventKind::TaskFinished, result.task, toString(result.outcome));
        m_metrics.observe("task_run_ms", static_cast<double>(result.ran.count));
        perform(m_core.taskEnded(result, Clock::now()));
    });
}

void AgentServer::performOne(const StopOnTarget &action)
{
    m_target->stop(action.task);
}

void AgentServer::performOne(const SendResult &action)
{
    if (action.result.outcome == Outcome::NotRun)
        record(EventKind::TaskRefused, action.result.task, action.result.reason);
    const uint32_t epoch = m_core.creditEpoch();
    const auto waiting = m_results.find(action.entry);
    // The credits that a batch returns must belong to the epoch in which their tasks ended.
    if (waiting != m_results.end() && waiting->second.credit_epoch != epoch)
        flushResults();
    wire::ResultBatchT &batch = m_results[action.entry];
    batch.credit_epoch = epoch;
    batch.results.push_back(toWire(action.result));
}

void AgentServer::performOne(const SendRevokeAck &action)
{
    // The result of a revoked task returns its credit, unlike the acknowledgement, and must be sent first.
    flushResults();
    EntryLink *link = linkTo(action.entry);
    if (!link)
        return;
    wire::RevokeAckT ack;
    ack.task = std::make_unique<wire::TaskRef>(toWire(action.task));
    ack.state = static_cast<wire::RevokeState>(action.state);
    ack.result = toWire(action.result);
    link->send(encodeMessage(std::move(ack)));
}

void AgentServer::performOne(const SendCredits &action)
{
    EntryLink *link = linkTo(action.entry);
    if (!link)
        return;
    wire::CreditGrantT grant;
    grant.credits = action.credits;
    grant.credit_epoch = m_core.creditEpoch();
    link->send(encodeMessage(std::move(grant)));
}

void AgentServer::flushResults()
{
    m_flushPosted = false;
    for (auto &[entry, batch] : m_results) {
        EntryLink *link = linkTo(entry);
        if (!link)
            continue;
        batch.running = m_core.running();
        batch.queued = m_core.queued();
        link->send(encodeMessage(std::move(batch)));
    }
    m_results.clear();
}

// Sends new events to one entry. Events lost with the connection can still be read from this process.
void AgentServer::sendEvents()
{
    // Limits traffic to 200 events of about 250 bytes per tick (1 s by default). Idle agents send none.
    constexpr size_t maxEvents = 200;
    const auto found = std::find_if(m_links.begin(), m_links.end(), [](const auto &link) {
        return link->isConnected() && !link->entry().name.empty();
    });
    const std::vector<Event> events = m_events.since(m_lastSentEvent, SIZE_MAX);
    if (found == m_links.end() || events.empty())
        return;
    wire::EventBatchT batch;
    batch.process = m_settings.name;
    for (const Event &event : selectForShipping(events, maxEvents))
        batch.events.push_back(toJsonText(event));
    m_lastSentEvent = events.back().sequence;
    (*found)->send(encodeMessage(std::move(batch)));
}

void AgentServer::beginStop()
{
    if (m_stopping)
        return;
    m_stopping = true;
    m_stopBegan = Clock::now();
    m_events.record({.kind = EventKind::ProcessStopping});
    logger().info("stopping; waiting for " + std::to_string(m_core.running()) + " running tasks");
    for (const auto &link : m_links) {
        wire::DrainT drain;
        drain.reason = reason::stopping;
        link->send(encodeMessage(std::move(drain)));
    }
    perform(m_core.drain(Clock::now()));
}

void AgentServer::finishStop()
{
    const bool isPending = m_core.running() > 0 || m_core.undeliveredCount() > 0;
    if (m_stopped || (isPending && Clock::now() - m_stopBegan < m_settings.stopTimeout))
        return;
    m_stopped = true;
    m_timer.cancel();
    flushResults();
    sendEvents();
    for (const auto &link : m_links)
        link->stop();
    auto grace = std::make_shared<asio::steady_timer>(m_io, std::chrono::milliseconds(100));
    grace->async_wait([this, grace](const boost::system::error_code &) { m_io.stop(); });
}

} // namespace turmericwell
