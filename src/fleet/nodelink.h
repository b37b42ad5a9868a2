// Connection between two entries, or an entry and an agent: handshake, liveness checks and typed messages.
//
// Both sides send pings. A connection whose pings are not answered is closed, because a connection can stop
// delivering data without being reset.
#pragma once

#include "net/framelink.h"
#include "net/timers.h"
#include "proto/fleetcodec.h"

#include <deque>
#include <functional>
#include <memory>
#include <set>
#include <string>

namespace turmericwell {

struct NodeIdentity
{
    std::string name;
    // Start time of the process in Unix milliseconds; distinguishes successive processes of the same name.
    uint64_t incarnation = 0;
    fleet::ProcessRole role = fleet::ProcessRole::Entry;
    std::string zone;
};

class NodeLink;
using NodeLinkPtr = std::shared_ptr<NodeLink>;

class NodeLink : public std::enable_shared_from_this<NodeLink>
{
public:
    // Each handler receives the link as an argument, so that no handler has to own a reference to it.
    struct Handlers
    {
        // Called once, when the peer's hello has arrived and before any other message.
        std::function<void(const NodeLinkPtr &link, const fleet::HelloT &hello)> onHello;
        std::function<void(const NodeLinkPtr &link, fleet::EnvelopeT &envelope)> onMessage;
        // Called when the peer has answered the ping that was sent at the given time.
        std::function<void(const NodeLinkPtr &link, Millis pingSentAt, const fleet::PongT &pong)> onPong;
        std::function<void(const NodeLinkPtr &link, const std::string &reason)> onClosed;
        // Returns the content of the answers to the peer's pings.
        std::function<fleet::PongT()> makePong;
    };

    NodeLink(IoContext &io, FrameLinkPtr link, const NodeIdentity &self);

    void start(Handlers handlers);
    void close(const std::string &reason);
    template <typename Body>
    void send(Body body)
    {
        m_link->send(encodeFleetMessage(std::move(body)));
    }
    // Sends a message that encodeFleetMessage has encoded, for the same message to several peers.
    void sendFrame(const std::vector<uint8_t> &frame) { m_link->send(frame); }
    // Buffers the message until the next call of send or flush.
    template <typename Body>
    void sendLater(Body body)
    {
        m_link->sendLater(encodeFleetMessage(std::move(body)));
    }
    void flush() { m_link->flush(); }
    // Pings the peer at once, besides the regular pings.
    void ping();
    const fleet::HelloT &peer() const { return m_peer; }
    // Lets a peer that is known to be a process of the system send longer messages.
    void confirmPeer(uint32_t mostMessageBytes = maxFrameBytes);
    // True until the peer is confirmed or the link is closed. Any process may introduce itself, so that alone
    // does not confirm it.
    bool isUnconfirmed() const { return !m_confirmed && !m_closed; }
    // Time at which this side sent its greeting. The peer's greeting may have been under way for longer.
    Millis startedAt() const { return m_startedAt; }
    // Time at which this side last answered a ping of the peer.
    Millis lastPongSent() const { return m_lastPongSent; }

private:
    void received(std::span<const uint8_t> payload);
    void handle(std::span<const uint8_t> payload);
    void checkPeer();

    Timers m_timers;
    FrameLinkPtr m_link;
    NodeIdentity m_self;
    Handlers m_handlers;
    fleet::HelloT m_peer;
    bool m_introduced = false;
    bool m_confirmed = false;
    bool m_closed = false;
    const Millis m_startedAt;
    // Latest time at which the peer is known to have been alive: when this side sent the newest ping that the
    // peer has answered.
    Millis m_peerAliveAt;
    Millis m_lastPongSent;
};

// Bounds the accepted connections whose peer is not known. Any process that reaches the port can open one.
class UnconfirmedLinks
{
public:
    explicit UnconfirmedLinks(size_t most)
        : m_most(most)
    { }

    // Adds a connection. Returns the oldest one if there are too many, for the caller to close.
    NodeLinkPtr add(const NodeLinkPtr &link);
    size_t size() const { return m_links.size(); }

private:
    const size_t m_most;
    // Oldest first. Links that are confirmed or closed are removed by the next call of add.
    std::deque<std::weak_ptr<NodeLink>> m_links;
};

} // namespace turmericwell
