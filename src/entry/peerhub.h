// Connections among entries: heartbeats, forwarded submissions, and the balance of credits.
#pragma once

#include "dispatch/dispatcher.h"
#include "membership/peerrules.h"
#include "membership/roster.h"
#include "net/framelink.h"
#include "proto/codec.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

namespace turmericwell {

// Thread-safe.
class PeerHub
{
public:
    using AnswerHandler = std::function<void(const Answer &answer)>;
    struct Handlers
    {
        std::function<void(const std::string &peer, const wire::PeerPingT &ping)> onHeard;
        std::function<void(const std::string &peer)> onGone;
        std::function<void(DispatchActions)> perform;
        // A submission or lookup that a peer sent to this entry as the owner. The reply goes out on the
        // connection that the question came on, because request numbers are only unique there.
        std::function<void(SubmissionRequest request, AnswerHandler reply)> onForward;
        std::function<void(const Fingerprint &key, bool cancel, AnswerHandler reply)> onLookup;
        std::function<void(const std::string &peer, const wire::ConfigPullT &pull)> onConfigPull;
        std::function<void(const wire::ConfigPushT &push)> onConfigPush;
        std::function<void(const ProcessId &peer, const wire::HandoverT &handover)> onHandover;
        std::function<wire::PeerPingT()> status;
    };

    PeerHub(IoContext &io, EntryMember self, Dispatcher &dispatcher, Handlers handlers);

    // Connects to the member if this entry is the one that dials.
    void connectTo(const EntryMember &member);
    // Connects to an entry whose name is not known yet. The connection is given up if the peer is the one
    // that dials.
    void connectToAddress(const Address &address);
    // Takes a PeerHello: adopts or refuses the connection (see decideHello).
    void adopt(const FrameLinkPtr &link, const wire::PeerHelloT &hello);
    void handle(const FrameLinkPtr &link, const Message &message);
    void closed(const FrameLinkPtr &link);

    // Gets nothing if the connection is lost before the answer.
    using Reply = std::function<void(const std::optional<Answer> &answer)>;

    // Sends the submission to its owner. Returns false if this incarnation is not connected; then onAnswer is
    // not called.
    bool forward(const ProcessId &peer, const SubmissionRequest &request, Reply onAnswer);
    bool lookup(const ProcessId &peer, const Fingerprint &key, bool cancel, Reply onAnswer);
    void sendHeartbeats();
    // Closes connections on which nothing was heard for this long, so that what waits on them is answered.
    void closeSilent(Millis now, Millis bound);
    // Asks for credits if tasks wait here without any, or sends idle ones to peers whose tasks wait. With
    // `onTick`, asks also if there are idle credits but none of use to the tasks that wait.
    void evenOut(bool onTick = false);
    void pullConfig(const std::string &peer, uint64_t version, uint64_t view);
    void send(const std::string &peer, std::vector<uint8_t> frame);
    // Returns false if this incarnation is not connected.
    bool send(const ProcessId &peer, std::vector<uint8_t> frame);

    bool isConnected(const std::string &peer) const;
    std::vector<std::string> connectedPeers() const;
    // Closes every connection for good.
    void closeAll();

    // Messages sent only to move credits.
    uint64_t creditAsks() const { return m_creditAsks; }
    uint64_t creditTransfers() const { return m_creditTransfers; }

private:
    struct Balance
    {
        uint32_t idle = 0;
        uint32_t queued = 0;
        // When a message last went to the peer only for credits.
        Millis movedAt;

        void report(uint32_t idleCredits, uint32_t waiting)
        {
            idle = idleCredits;
            queued = waiting;
        }
    };
    struct Pending
    {
        FrameLinkPtr link;
        Reply onAnswer;
    };

    void askForCredits(const Dispatcher::CreditBalance &own);
    void sendSurplus();
    void dial(const Address &address);
    void dialled(const FrameLinkPtr &link, const Address &address);
    void answer(const FrameLinkPtr &link, uint64_t requestId, const Answer &answer);
    void takeForwardAnswer(const FrameLinkPtr &link, const wire::ForwardAnswerT &message);
    std::vector<uint8_t> helloFrame() const;
    std::unique_ptr<wire::BalanceT> balanceFor(const std::string &peer);
    void takeBalance(const std::string &peer, const wire::BalanceT &balance);
    uint64_t remember(const FrameLinkPtr &link, Reply onAnswer);
    FrameLinkPtr linkTo(const std::string &peer) const;
    FrameLinkPtr linkTo(const ProcessId &peer) const;
    std::string nameOf(const FrameLinkPtr &link) const;
    ProcessId idOf(const std::string &name) const;

    IoContext &m_io;
    const EntryMember m_self;
    Dispatcher &m_dispatcher;
    Handlers m_handlers;
    mutable std::mutex m_mutex;
    std::map<FrameLinkPtr, std::string> m_names;
    // Address of each connection that this entry has dialled, while it is open.
    std::map<FrameLinkPtr, Address> m_dialled;
    std::map<FrameLinkPtr, Millis> m_heardAt;
    // Entry that answered last at an address that this entry dialled without knowing the name.
    std::map<std::string, std::string> m_nameAt;
    std::map<std::string, FrameLinkPtr> m_links;
    std::map<std::string, uint64_t> m_incarnations;
    std::map<std::string, Balance> m_balances;
    // Addresses that are being dialled or to which a dialled connection is open.
    std::set<std::string> m_dialling;
    std::unordered_map<uint64_t, Pending> m_pending;
    // Nothing is dialled any more.
    bool m_closing = false;
    uint64_t m_nextRequest = 1;
    std::atomic<uint64_t> m_creditAsks = 0;
    std::atomic<uint64_t> m_creditTransfers = 0;
};

} // namespace turmericwell
