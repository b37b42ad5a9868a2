// The parts of an entry process and the handlers that connect them.
#pragma once

#include "dispatch/dispatcher.h"
#include "entry/agenthub.h"
#include "entry/claimslog.h"
#include "entry/configkeeper.h"
#include "entry/entrymetrics.h"
#include "entry/entrysettings.h"
#include "entry/eventshipper.h"
#include "entry/frontend.h"
#include "entry/membershipkeeper.h"
#include "entry/ownercalls.h"
#include "entry/peerhub.h"
#include "entry/statemover.h"
#include "entry/waiters.h"
#include "observe/eventlog.h"

#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace turmericwell {

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

    boost::asio::steady_timer m_timer;
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

} // namespace turmericwell
