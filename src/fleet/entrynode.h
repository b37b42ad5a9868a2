// An entry on a platform that provides a store: owns some partitions of the job table and forwards calls to
// the owners of the other partitions.
#pragma once

#include "config/queuetable.h"
#include "fleet/agentpresence.h"
#include "fleet/agentsubset.h"
#include "fleet/entrypresence.h"
#include "fleet/fleetsettings.h"
#include "fleet/memberlist.h"
#include "fleet/membershipplan.h"
#include "fleet/nodelink.h"
#include "fleet/partitionowner.h"
#include "fleet/stopschedule.h"
#include "jobs/jobscheduler.h"
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
    // The caller receives an answer within this time.
    Millis wait;
};

// Identifies one attempt of a forwarded call; sent as a single number.
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

// Callbacks to the client interface of an entry during a planned stop.
struct StopHandlers
{
    std::function<size_t()> openRequests;
    // Called regularly while the entry is stopping.
    std::function<void(StopPhase phase)> onPhase;
};

// What would happen to a job that is submitted now.
struct JobExplanationAnswer
{
    uint32_t partition = 0;
    // The entry that owns the partition, and the address at which other processes reach it; empty if it is
    // not known.
    std::string owner;
    Address ownerAddress;
    // Set if the entry that was asked is the owner.
    std::optional<JobExplanation> explanation;
};

class EntryNode : public JobEffects
{
public:
    EntryNode(IoContext &io, LinkNetwork &network, const FleetSettings &settings, uint64_t incarnation,
              StoreApi &store, StoreTransport &transport, StructuredLog &log);
    ~EntryNode() override;

    void start();
    // Releases the partitions as decided by StopSchedule. Client calls are forwarded until the process ends.
    void beginStop(StopHandlers handlers);

    void setQueues(QueueTable queues);
    void setEvacuatedZones(std::set<std::string> zones);
    // The operators' records have been read since the start of the process. Before that, the entry owns
    // nothing: it does not know which zones are evacuated.
    void setOperatorRecordsKnown() { m_operatorRecordsKnown = true; }
    const QueueTable &queues() const { return m_queues; }
    bool isStopping() const { return m_stop.has_value(); }
    // True if the entry wants new client connections.
    bool isReady() const;
    // Updates the gauges.
    void measure(Metrics &metrics) const;

    // Calls the handler exactly once, within the call's wait time. Returns the number of the call.
    uint64_t call(JobCall call, JobReplyHandler onDone);
    // The client of the call has left. Ends the call, if it is still open, and tells the job's owner.
    void clientLeft(uint64_t call);
    // Changes nothing.
    JobExplanationAnswer explain(const JobSpec &spec) const;
    // Number of accepted jobs of the queue of which no task has started, at this entry and all connected
    // ones.
    uint32_t pendingCount(const std::string &queue) const;

    // The handler is called for each call and connection that is rejected by a limit.
    void setOnInputRejected(InputRejected handler) { m_onInputRejected = std::move(handler); }

    // --- JobEffects ---
    void store(uint32_t partition, JobId job, std::string record, bool mayDrop,
               std::function<void(StoreOutcome, Millis)> onDone) override;
    void start(const StartRequest &request) override;
    void stop(AgentNumber agent, uint32_t partition, uint64_t epoch, const RunId &run) override;
    void endStored(AgentNumber agent, const RunId &run) override;
    void endDisputed(AgentNumber agent, const RunId &run) override;
    void sendRunSize(AgentNumber agent, const RunId &run, const StepSpec &step) override;
    void inputRejected(std::string_view limit) override;

private:
    struct Peer
    {
        NodeLinkPtr link;
        fleet::EntryReportT report;
        // When `report` was received.
        Millis receivedAt;
        // When this entry sent its first report on the connection. The peer has handled it before it answers
        // a ping that was sent later.
        Millis reportedAt;
    };

    // A registered process and the state of the connection to it.
    struct Contact
    {
        Member member;
        // When the newest registration was read.
        Millis foundAt;
        bool connected = false;
        bool dialling = false;
        Backoff backoff{{100}, {1'000}};
        // When this entry last wrote the removal of the registration.
        std::optional<Millis> removalSentAt;
    };

    struct PendingCall
    {
        JobCall call;
        Millis openedAt;
        Millis deadline;
        Millis ownerDeadline;
        JobReplyHandler onDone;
        // An attempt was sent to an owner and its outcome is unknown.
        bool uncertain = false;
        // An attempt is in progress, at this entry or at the owner.
        bool inProgress = false;
        // Number of the current attempt; answers to earlier attempts are ignored.
        uint64_t attempt = 0;
        NodeLinkPtr forwardLink;
        // Size of the call in the units of InputLimits::maxHeldTasks.
        size_t weight = 0;
    };

    // --- entrynode.cpp: connections ---
    void connected(const NodeLinkPtr &link, const std::string &dialledName);
    void closeOldestUnknown(const NodeLinkPtr &newest);
    void introduce(const NodeLinkPtr &link, const fleet::HelloT &hello);
    void closed(const NodeLinkPtr &link, const std::string &reason);
    void agentConnected(const NodeLinkPtr &link, const fleet::HelloT &hello);
    void received(const NodeLinkPtr &link, fleet::EnvelopeT &envelope);
    void receivedFromAgent(AgentNumber agent, fleet::EnvelopeT &envelope);
    static AgentEnd toAgentEnd(const fleet::RunEndT &end);
    void receivedFromEntry(const NodeLinkPtr &link, fleet::EnvelopeT &envelope);
    void claim(AgentNumber agent, uint32_t partition, uint64_t epoch);
    fleet::EntryReportT makeReport() const;
    void sendReport();
    // Sends the report if it has changed or the last one is old.
    void refreshReport();
    void tick();
    // To be called before this entry acts as an owner: notices a pause of the process, and memberships that
    // may have ended. A process that was paused handles the messages that arrived meanwhile before its
    // timers, so the tick alone would notice the pause too late.
    void checkOwnership(Millis now);
    bool hasSuccessor() const;
    void advanceStop();
    // Returns null if the agent is not connected.
    NodeLinkPtr linkOf(AgentNumber number) const;
    // Schedules a placement of waiting tasks after the messages that have already arrived, so that under load
    // one pass over the queue serves many messages.
    void advanceSoon();

    // --- entrymembers.cpp: other processes of the system ---
    void memberFound(const Member &member);
    void entryFound(const Member &member);
    // Called when the registration of this process has been read.
    void selfFound(const Member &member);
    void memberRemoved(const std::string &name);
    void forgetMember(const std::string &name);
    // Dials the process again after a backoff, or forgets an agent whose registration has been removed.
    void dialAfterFailure(const std::string &name);
    void dial(const std::string &name);
    // Dials all processes that this entry is not connected to, without waiting for the end of a backoff.
    void dialAll();
    void updateAgentPresence(Millis now);
    void updatePeersWaiting();
    // The entry is no member any more: its work is reported by others, or has ended.
    void endDemand(const std::string &entry);
    // Takes the demands of another owner for the shares, if it may report them.
    void receivedDemands(const fleet::HelloT &peer, const fleet::EntryReportT &report);
    // Joins or leaves the group of owners as fits the present entries.
    void updateMemberships(Millis now);
    // Of many entries that notice a loss at the same time, only a few act on it.
    bool isAmongFirstEntries() const;
    void peerAnswered(const NodeLinkPtr &link, Millis pingSentAt);
    // Asks all connected entries for an answer that is newer than the reports sent before.
    void pingPeersSoon();
    // Closes the partitions that the reporting peer owns with a higher epoch.
    void closeSuperseded(const fleet::EntryReportT &report);
    // Ends the memberships of an entry that cannot be reached, so that its partitions get a new owner soon.
    // This is harmless if the entry is still alive: it joins again, and its epochs fence outdated writes.
    void checkLostEntry(const std::string &name);
    // Removes the registrations of agents that cannot be reached, and restores those of agents that another
    // entry has removed although they are alive.
    void expireMembers(Millis now);
    // Marks the registrations of entries that cannot be reached as lost.
    void expireEntries(Millis now);

    // --- entrysubsets.cpp: the agents of the owned partitions ---
    void partitionOpening(uint32_t partition);
    void partitionLoaded(uint32_t partition, std::optional<uint32_t> storedLevel);
    void partitionClosed(uint32_t partition, uint64_t epoch);
    // Tells the agents that this entry's pongs no longer keep the partition's runs alive.
    void releaseAtAgents(uint32_t partition, uint64_t epoch);
    void partitionResumed(uint32_t partition);
    // Level of the agent subsets that fits the number of registered agents.
    uint32_t wantedLevel(uint32_t currentLevel) const;
    bool isReached(const std::string &agent, uint32_t partition) const;
    bool wantsAgent(const std::string &agent) const;
    void advanceSubsets(Millis now);
    void advanceSubset(uint32_t partition, Millis now);
    void updatePlacement(uint32_t partition);
    // Claims the partition at the connected agents in its reach that have not reported.
    void claimAtAgents(uint32_t partition);
    void receivedClaimReport(AgentNumber agent, const fleet::ClaimReportT &report, Millis now);
    // Dials the agents that an owned partition needs, and closes connections that none has needed for a
    // while.
    void refreshAgentLinks(Millis now);
    std::set<AgentNumber> expectedAgents(uint32_t partition, const std::set<AgentNumber> &candidates) const;
    // Tells the scheduler whose reports a partition that was taken over waits for, and until when.
    void updateTakeover(uint32_t partition, const std::set<AgentNumber> &candidates);

    // --- storerelay.cpp: store calls relayed through another entry ---
    bool relayStoreCall(const HttpRequest &request, Millis timeout, StoreTransport::Done onDone);
    void performStoreRelay(const NodeLinkPtr &link, fleet::StoreRelayT &message);
    void storeRelayAnswered(fleet::StoreRelayAnswerT &message);

    // --- entrycalls.cpp: client calls ---
    void route(uint64_t id);
    // Expires the calls whose wait is over, and schedules the next check.
    void expireDue();
    void scheduleExpiry(Millis now);
    // Carries out a call of a client of this entry, or of the one that the options name.
    void perform(JobCall &call, const CallOptions &options, JobReplyHandler onDone);
    void answered(uint64_t id, uint64_t attempt, JobReply reply);
    void finish(uint64_t id, const JobReply &reply);
    // Ends a call without waiting for its outcome: nobody waits for it any longer.
    void abandon(uint64_t id, std::string_view cause);
    bool hasRoomForCall(size_t weight) const;
    // Abandons the best-effort submission that has waited the longest. Returns false if none has waited for
    // long.
    bool displaceCall(Millis now);
    // Gives the call its last answer. The cause is the reason of a call that may have been carried out.
    void expire(uint64_t id, std::string_view cause);
    // Gives all open calls their last answer: the process ends before their wait is over.
    void expireAll();
    // Ends the submissions of a cancelled best-effort job that wait here: another owner would run the job
    // again.
    void endCancelledSubmissions(JobId job);
    // The other entry that serves the partition; empty if none is known.
    std::string ownerName(uint32_t partition) const;
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
    JobScheduler m_scheduler;
    PartitionOwner m_owner;
    MemberList m_members;
    MembershipPlan m_membershipPlan;
    Registration m_registration;
    UnconfirmedLinks m_unknownLinks;
    InputRejected m_onInputRejected;
    std::unique_ptr<LinkListener> m_listener;
    QueueTable m_queues;
    bool m_operatorRecordsKnown = false;
    std::map<std::string, Contact> m_contacts;
    AgentPresence m_presence;
    EntryPresence m_entries;
    // Of the partitions that this entry opens or owns.
    std::map<uint32_t, PartitionSubset> m_subsets;
    // Links of the connected agents.
    std::map<AgentNumber, NodeLinkPtr> m_agentLinks;
    std::map<std::string, Peer> m_peers;
    std::map<uint64_t, PendingCall> m_calls;
    // Ends of the waits of the same calls.
    std::set<std::pair<Millis, uint64_t>> m_callDeadlines;
    // When the calls are next checked for expiry; empty if no check is scheduled.
    std::optional<Millis> m_expiryAt;
    // Sum over m_calls.
    size_t m_callWeight = 0;
    uint64_t m_nextCall = 1;
    // Callbacks of the store calls that a peer relays for this entry.
    std::map<uint64_t, StoreTransport::Done> m_storeRelays;
    uint64_t m_nextStoreRelay = 1;
    std::optional<StopSchedule> m_stop;
    StopHandlers m_stopHandlers;
    bool m_releasing = false;
    // The last report to the peers, encoded, and when it was sent.
    std::vector<uint8_t> m_lastReport;
    Millis m_lastReportAt;
    bool m_advancePending = false;
    bool m_peerPingPending = false;
    // When checkOwnership was last called. A longer gap than pauseLimit shows that the process was paused.
    Millis m_lastActive;
    // Set after a pause of the process: no task is started until the store has confirmed all memberships in
    // joins sent at or after this time.
    std::optional<Millis> m_confirmAfter;
};

} // namespace turmericwell
