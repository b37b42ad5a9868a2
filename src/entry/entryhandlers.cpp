// Handlers that connect the parts of an entry.
#include "entry/entryserver.h"

namespace turmericwell {

AgentHub::Handlers EntryServer::agentHandlers()
{
    return {.status = [this] { return status(); },
            .onHeard =
                [this](const std::string &agent, uint64_t configVersion, uint64_t view) {
                    m_membership.recordAgentContact(agent, {.config = configVersion, .view = view});
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
                    m_membership.recordPeerContact(peer, {.config = ping.config_version, .view = ping.view});
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

} // namespace turmericwell
