// Connections among entries: heartbeats, forwarded submissions, and the balance of credits.
#pragma once

#include "dispatch/dispatcher.h"
#include "membership/roster.h"
#include "net/framelink.h"
#include "proto/codec.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <unordered_map>

namespace turmericwell {

// Thread-safe.
class PeerHub
{
public:
    struct Handlers
    {
        std::function<void(const std::string &peer, const wire::PeerPingT &ping)> onHeard;
        std::function<void(const std::string &peer)> onGone;
        std::function<void(DispatchActions)> perform;
        // A submission or lookup that a peer sent to this entry as the owner.
        std::function<void(const std::string &peer, uint64_t requestId, SubmissionRequest request)> onForward;
        std::function<void(const std::string &peer, uint64_t requestId, const Fingerprint &key, bool cancel)>
            onLookup;
        std::function<void(const std::string &peer, const wire::ConfigPullT &pull)> onConfigPull;
        std::function<void(const wire::ConfigPushT &push)> onConfigPush;
        std::function<wire::PeerPingT()> status;
    };
    using AnswerHandler = std::function<void(Answer answer)>;

    PeerHub(IoContext &io, EntryMember self, Dispatcher &dispatcher, Handlers handlers);

    // Connects to the member if this entry is the one that dials.
    void connectTo(const EntryMember &member);
    void connectToAddress(const Address &address);
    // Takes over a connection whose first message was a PeerHello.
    void adopt(const FrameLinkPtr &link, const wire::PeerHelloT &hello);
    void handle(const FrameLinkPtr &link, const Message &message);
    void closed(const FrameLinkPtr &link);

    // Sends the submission to its owner. Returns false if there is no connection; then onAnswer is not
    // called. onAnswer gets an Unknown answer with reason entry_lost if the connection is lost first.
    bool forward(const std::string &peer, const SubmissionRequest &request, AnswerHandler onAnswer);
    bool lookup(const std::string &peer, const Fingerprint &key, bool cancel, AnswerHandler onAnswer);
    void answer(const std::string &peer, uint64_t requestId, const Answer &answer);
    void sendHeartbeats();
    // Asks for credits if tasks wait here without any, or sends idle ones to peers whose tasks wait.
    void evenOut();
    void pullConfig(const std::string &peer, uint64_t version, uint64_t view);
    void send(const std::string &peer, std::vector<uint8_t> frame);

    bool isConnected(const std::string &peer) const;
    std::vector<std::string> connectedPeers() const;
    void closeAll();

    // Messages sent only to move credits.
    uint64_t creditAsks() const { return m_creditAsks; }
    uint64_t creditTransfers() const { return m_creditTransfers; }

private:
    struct Balance
    {
        uint32_t idle = 0;
        uint32_t queued = 0;
    };
    struct Pending
    {
        FrameLinkPtr link;
        AnswerHandler onAnswer;
    };

    void askForCredits(uint32_t queued);
    void sendSurplus();
    void dial(const Address &address);
    std::vector<uint8_t> helloFrame() const;
    std::unique_ptr<wire::BalanceT> balanceFor(const std::string &peer);
    void takeBalance(const std::string &peer, const wire::BalanceT &balance);
    uint64_t remember(const FrameLinkPtr &link, AnswerHandler onAnswer);
    FrameLinkPtr linkTo(const std::string &peer) const;
    std::string nameOf(const FrameLinkPtr &link) const;

    IoContext &m_io;
    const EntryMember m_self;
    Dispatcher &m_dispatcher;
    Handlers m_handlers;
    mutable std::mutex m_mutex;
    std::map<FrameLinkPtr, std::string> m_names;
    std::map<std::string, FrameLinkPtr> m_links;
    std::map<std::string, Balance> m_balances;
    // Addresses that are being dialled or to which a dialled connection is open.
    std::set<std::string> m_dialling;
    std::unordered_map<uint64_t, Pending> m_pending;
    uint64_t m_nextRequest = 1;
    std::atomic<uint64_t> m_creditAsks = 0;
    std::atomic<uint64_t> m_creditTransfers = 0;
};

} // namespace turmericwell
