// An agent on a platform that provides a store: manages the worker of its instance and executes orders from
// the entries.
#pragma once

#include "fleet/fleetsettings.h"
#include "fleet/memberlist.h"
#include "fleet/nodelink.h"
#include "net/inputlimits.h"
#include "worker/reportpolicy.h"
#include "worker/workermanager.h"

#include <map>

namespace turmericwell {

// Calls to the worker. An implementation only translates them; it neither retries nor delays a call.
class WorkerApi
{
public:
    virtual ~WorkerApi() = default;
    virtual void start(const StartCall &call, Millis timeout,
                       std::function<void(OrderAnswer, std::optional<Millis> workerClock)> onDone) = 0;
    virtual void stop(const StopCall &call, Millis timeout,
                      std::function<void(OrderAnswer, std::optional<Millis> workerClock)> onDone) = 0;
    virtual void pollLists(const ListPollCall &call, Millis timeout,
                           std::function<void(OrderAnswer, const WorkerLists &)> onDone) = 0;
};

class AgentNode : public WorkerEffects
{
public:
    AgentNode(IoContext &io, LinkNetwork &network, const FleetSettings &settings, uint64_t incarnation,
              StoreApi &store, WorkerApi &worker, StructuredLog &log);

    void start();
    // Starts no more runs. The callback is called when all runs have ended and their ends are stored, or
    // when the grace period is nearly over.
    void beginStop(std::function<void()> onDone);

    void setOnInputRejected(InputRejected handler) { m_onInputRejected = std::move(handler); }
    // Updates the gauges.
    void measure(Metrics &metrics) const
    {
        metrics.set("runs", static_cast<double>(m_workerManager.runCount()));
    }

    AnnouncementOutcome announced(const WorkerAnnouncement &announcement);
    // Returns false if another worker or life is known.
    bool deregistered(std::string_view worker, int64_t born = 0);

    // --- WorkerEffects ---
    void callStart(const StartCall &call) override;
    void callStop(const StopCall &call) override;
    void callListPoll(const ListPollCall &call) override;
    void sendStarted(EntryNumber entry, const RunId &run) override;
    void sendRejected(EntryNumber entry, const RunId &run, RejectReason reason) override;
    void sendEnded(EntryNumber entry, const RunId &run, EndKind kind, std::string_view checkpoint) override;
    void sendLost(EntryNumber entry, const RunId &run, LostCause cause) override;
    void sendClaimReport(EntryNumber entry, const fleet::ClaimReportT &report) override;
    void sendLeaseBound(EntryNumber entry, const fleet::LeaseBoundT &bound) override;

private:
    enum class RegistrationState : uint8_t {
        // The worker has not answered yet.
        AwaitsWorker,
        // The registration is stored or being stored.
        Registered,
        // The entries have been told that this agent has left. The registration is being removed.
        Withdrawing,
        Withdrawn,
        // The worker is back. No order is accepted before the registration is stored.
        Rejoining,
    };

    struct Entry
    {
        NodeLinkPtr link;
        std::string name;
        std::set<std::string> evacuatedZones;
        ReportPolicy reportPolicy;
    };

    void accepted(const NodeLinkPtr &link);
    void closeOldestUnknown(const NodeLinkPtr &newest);
    void introduce(const NodeLinkPtr &link, const fleet::HelloT &hello);
    void closed(const NodeLinkPtr &link, const std::string &reason);
    void received(EntryNumber entry, fleet::EnvelopeT &envelope);
    void pong(const NodeLinkPtr &link, Millis pingSentAt, const fleet::PongT &pong);
    std::optional<EntryNumber> numberOf(const NodeLinkPtr &link) const;
    NodeLinkPtr linkOf(EntryNumber entry) const;
    void sendReports();
    void sendReport(EntryNumber number, Entry &entry, const fleet::WorkerReportT &state, Millis now);
    // Registers again if no entry has been connected for a while. An entry may have removed the registration,
    // or a store outage may have prevented it.
    void registerIfDisconnected();
    void checkDrained(Millis deadline, std::function<void()> onDone);

    // --- agentregistration.cpp ---
    // Registers or withdraws as the worker comes and goes.
    void updateRegistration();
    // New owners then do not wait for this agent, also if it ends before they start.
    void leaveWithoutWorker();
    void announceLeaving();
    void withdrawUntilRemoved();
    // Repeats the withdrawal until the store has accepted it or the deadline has come. The instance may be
    // gone for good after the stop, and new owners would then wait for its report.
    void withdrawBefore(Millis deadline, std::function<void()> onDone);
    void rejoin();
    void closeLinks(const std::string &reason);

    IoContext &m_io;
    const FleetSettings m_settings;
    const NodeIdentity m_self;
    WorkerApi &m_worker;
    StructuredLog &m_log;
    Timers m_timers;
    WorkerManager m_workerManager;
    Registration m_registration;
    RegistrationState m_registrationState = RegistrationState::AwaitsWorker;
    UnconfirmedLinks m_unknownLinks;
    InputRejected m_onInputRejected;
    std::unique_ptr<LinkListener> m_listener;
    std::map<EntryNumber, Entry> m_entries;
    EntryNumber m_nextEntry = 1;
    Millis m_lastConnectedToEntry;
    bool m_isStopping = false;
    // The entries have been told that nothing runs here and that no order is accepted.
    bool m_hasLeft = false;
};

} // namespace turmericwell
