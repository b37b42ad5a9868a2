// Server of an agent process: connections to all entries, announcements of the target, and execution of the
// actions of the agent's state machine.
#pragma once

#include "agent/agentcore.h"
#include "agentd/agentmetrics.h"
#include "agentd/agentsettings.h"
#include "agentd/entrylink.h"
#include "net/http.h"
#include "observe/eventlog.h"
#include "target/targetclient.h"

#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace turmericwell {

class AgentServer
{
public:
    AgentServer(IoContext &io, const AgentSettings &settings);

    void beginStop();

private:
    void tick();
    void connectTo(const Address &address);
    std::vector<uint8_t> helloFrame() const;
    std::vector<uint8_t> pingFrame() const;

    void handleHttp(const HttpRequest &request, const HttpResponder &respond);
    void handleAnnouncement(const HttpRequest &request, const HttpResponder &respond);

    void handleMessage(EntryLink &link, const Message &message);
    void handlePong(EntryLink &link, const wire::PongT &pong);
    void reportReadiness();
    void handleSlice(const wire::SliceT &slice);
    void connectToMembers(const std::vector<std::unique_ptr<wire::MemberT>> &members);
    void handleRecordQuery(EntryLink &link, const wire::RecordQueryT &query);
    void handleLost(EntryLink &link);

    void perform(const AgentActions &actions);
    void performOne(const RunOnTarget &action);
    void performOne(const StopOnTarget &action);
    void performOne(const SendResult &action);
    void performOne(const SendRevokeAck &action);
    void performOne(const SendCredits &action);
    void flushResults();
    void sendEvents();
    std::string metricsText();
    EntryLink *linkTo(const ProcessId &entry);
    void record(EventKind kind, const TaskRef &task, std::string_view why);
    void finishStop();

    IoContext &m_io;
    const AgentSettings m_settings;
    const uint64_t m_incarnation = static_cast<uint64_t>(Clock::wall().count);
    AgentCore m_core;
    EventLog m_events;
    Metrics m_metrics = Metrics(agentMetrics);
    // Sequence number of the last event that was sent to an entry for the events stream.
    uint64_t m_lastSentEvent = 0;
    std::unique_ptr<TargetClient> m_target;
    std::vector<std::shared_ptr<EntryLink>> m_links;
    // Results to send with the next flush, by entry.
    std::map<ProcessId, wire::ResultBatchT> m_results;
    bool m_flushPosted = false;
    bool m_reportedReady = false;
    uint64_t m_newestVersion = 0;
    // Times of evidence for configuration versions whose slice has not arrived yet, by version.
    std::map<uint64_t, Millis> m_pendingEvidence;
    uint64_t m_newestView = 0;
    boost::asio::steady_timer m_timer;
    HttpServer m_http;
    bool m_stopping = false;
    Millis m_stopBegan;
    bool m_stopped = false;
};

} // namespace turmericwell
