// An entry on a platform with a store: owner of some partitions of the job table, and the way to the owners
// of the others.
#pragma once

#include "config/queuetable.h"
#include "fleet/agentpresence.h"
#include "fleet/fleetsettings.h"
#include "fleet/memberlist.h"
#include "fleet/nodelink.h"
#include "fleet/partitionowner.h"
#include "fleet/stopschedule.h"
#include "jobs/jobbook.h"
#include "store/storetransport.h"

#include <map>
#include <memory>

namespace turmericwell {

struct JobCall
{
    fleet::CallKind kind = fleet::CallKind::Query;
    JobId job = 0;
    // Only for submissions.
    std::unique_ptr<JobSpec> spec;
    // The caller gets an answer within this time.
    Millis wait;
    // An earlier try of the call may have reached an owner.
    bool repeated = false;
};

// Names one attempt of a forwarded call in a single number on the wire.
struct CallNumber
{
    uint64_t id = 0;
    uint64_t attempt = 0;

    static constexpr unsigned attemptShift = 48;
    uint64_t packed() const { return id | (attempt << attemptShift); }
    static CallNumber unpack(uint64_t number)
    {
        return {.id = number & ((uint64_t{1} << attemptShift) - 1), .attempt = number >> attemptShift};
    }
};

// The client interface of an entry, as far as a planned stop concerns it.
struct StopHandlers
{
    std::function<size_t()> openRequests;
    // Called regularly from the beginning of the stop.
    std::function<void(StopPhase phase)> onPhase;
};

class EntryNode : public JobEffects
{
public:
    EntryNode(IoContext &io, LinkNetwork &network, const FleetSettings &settings, uint64_t incarnation,
              StoreApi &store, StoreTransport &transport, StructuredLog &log);
    ~EntryNode() override;

    void start();
    // Gives up the partitions as StopSchedule says; calls of clients are forwarded until the process ends.
    void beginStop(StopHandlers handlers);

    void setQueues(QueueTable queues);
    void setEvacuatedZones(std::set<std::string> zones);
    const QueueTable &queues() const { return m_queues; }
    bool isStopping() const { return m_stop.has_value(); }
    // New connections of clients are welcome.
    bool isReady() const;
    // Sets the gauges.
    void measure(Metrics &metrics) const;

    // The handler is called once, within the call's time.
    void call(JobCall call, JobReplyHandler onDone);
    // Accepted jobs of the queue of which no task has started.
    uint32_t pendingCount(const std::string &queue) const;

    // --- JobEffects ---
    void store(uint32_t partition, JobId job, std::string record, bool mayDrop,
               std::function<void(StoreOutcome, Millis)> onDone) override;
    void start(const StartRequest &request) override;
    void stop(AgentNumber agent, uint32_t partition, uint64_t epoch, const RunId &run) override;
    void endStored(AgentNumber agent, const RunId &run) override;
    void endDisputed(AgentNumber agent, const RunId &run) override;
    void tellSize(AgentNumber agent, const RunId &run, const StepSpec &step) override;

private:
    struct Peer
    {
        NodeLinkPtr link;
        fleet::EntryReportT report;
    };

    // A process that has registered itself, and the state of dialling it.
    struct Contact
    {
        Member member;
        bool connected = false;
        bool dialling = false;
        Backoff backoff{{100}, {1'000}};
    };

    struct PendingCall
    {
        JobCall call;
        Millis deadline;
        Millis ownerDeadline;
        JobReplyHandler onDone;
        // A try was sent to an owner that has not answered it.
        bool uncertain = false;
        // A try is under way, here or at the owner.
        bool inProgress = false;
        // Number of the try under way; answers of earlier ones are ignored.
        uint64_t attempt = 0;
        NodeLinkPtr askedLink;
    };

    // --- entrynode.cpp: connections ---
    void connected(const NodeLinkPtr &link, const std::string &dialledName);
    void introduce(const NodeLinkPtr &link, const fleet::HelloT &hello);
    void closed(const NodeLinkPtr &link, const std::string &reason);
    void agentConnected(const NodeLinkPtr &link, const fleet::HelloT &hello);
    void received(const NodeLinkPtr &link, fleet::EnvelopeT &envelope);
    void receivedFromAgent(AgentNumber agent, fleet::EnvelopeT &envelope);
    void receivedFromEntry(const NodeLinkPtr &link, fleet::EnvelopeT &envelope);
    void claim(const NodeLinkPtr &agent, uint32_t partition, uint64_t epoch);
    void partitionLoaded(uint32_t partition);
    void partitionClosed(uint32_t partition, uint64_t epoch);
    void sendReport();
    void tick();
    bool hasSuccessor() const;
    void advanceStop();
    // Null if the agent is not connected.
    NodeLinkPtr linkOf(AgentNumber number) const;
    // Places waiting tasks once all messages that have arrived are handled: under load one pass over the
    // queue serves many of them.
    void advanceSoon();

    // --- entrymembers.cpp: other processes of the system ---
    void memberFound(const Member &member);
    void memberRemoved(const std::string &name);
    void dial(const std::string &name);
    void noteAgents(Millis now);
    void notePeersWaiting();
    // Gives up partitions that a peer owns with a higher epoch.
    void closeSuperseded(const fleet::EntryReportT &report);
    // Ends the membership of an entry that cannot be reached, so that its partitions find a new owner soon. A
    // mistake is harmless: the entry joins again, and epochs keep its writes apart.
    void checkLostEntry(const std::string &name);
    void expireMembers(Millis now);

    // --- storerelay.cpp: calls to the store by way of another entry ---
    bool relayStoreCall(const HttpRequest &request, Millis timeout, StoreTransport::Done onDone);
    void performStoreRelay(const NodeLinkPtr &link, fleet::StoreRelayT &message);
    void storeRelayAnswered(fleet::StoreRelayAnswerT &message);

    // --- entrycalls.cpp: calls of clients ---
    void route(uint64_t id);
    void perform(JobCall &call, JobReplyHandler onDone);
    void answered(uint64_t id, uint64_t attempt, JobReply reply);
    void finish(uint64_t id, const JobReply &reply);
    void expire(uint64_t id);
    NodeLinkPtr ownerLink(uint32_t partition) const;
    void performForPeer(const NodeLinkPtr &link, fleet::JobCallT &message);

    IoContext &m_io;
    LinkNetwork &m_network;
    const FleetSettings m_settings;
    const NodeIdentity m_self;
    StoreTransport &m_transport;
    StructuredLog &m_log;
    Timers m_timers;
    WorkerPool m_pool;
    JobBook m_book;
    PartitionOwner m_owner;
    MemberList m_members;
    Registration m_registration;
    std::unique_ptr<LinkListener> m_listener;
    QueueTable m_queues;
    std::map<std::string, Contact> m_contacts;
    AgentPresence m_presence;
    // Agents that are connected.
    std::map<AgentNumber, NodeLinkPtr> m_agentLinks;
    std::map<std::string, Peer> m_peers;
    std::map<uint64_t, PendingCall> m_calls;
    uint64_t m_nextCall = 1;
    // Calls to the store that a peer makes for this entry.
    std::map<uint64_t, StoreTransport::Done> m_storeRelays;
    uint64_t m_nextStoreRelay = 1;
    std::optional<StopSchedule> m_stop;
    StopHandlers m_stopHandlers;
    bool m_releasing = false;
    bool m_advancePending = false;
    Millis m_lastTick;
    // After a pause of the process nothing is ordered until the store has confirmed the ownership again.
    std::optional<Millis> m_confirmAfter;
};

} // namespace turmericwell
