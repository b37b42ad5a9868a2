// Connection between two processes of the system: introduction, liveness, and typed messages.
//
// Both sides ping. A connection whose pings stay unanswered is closed, because a connection can go silent
// without a reset.
#pragma once

#include "net/framelink.h"
#include "net/timers.h"
#include "proto/fleetcodec.h"

#include <functional>
#include <memory>
#include <set>
#include <string>

namespace turmericwell {

struct NodeIdentity
{
    std::string name;
    // Start of the process, in Unix milliseconds.
    uint64_t incarnation = 0;
    fleet::ProcessRole role = fleet::ProcessRole::Entry;
    std::string zone;
};

class NodeLink;
using NodeLinkPtr = std::shared_ptr<NodeLink>;

class NodeLink : public std::enable_shared_from_this<NodeLink>
{
public:
    // Each gets the link, so that no handler has to hold it.
    struct Handlers
    {
        // The peer has introduced itself. Called once, before any message.
        std::function<void(const NodeLinkPtr &link, const fleet::HelloT &hello)> onHello;
        std::function<void(const NodeLinkPtr &link, fleet::EnvelopeT &envelope)> onMessage;
        // The peer has answered a ping that was sent at the given time.
        std::function<void(const NodeLinkPtr &link, Millis pingSentAt, const fleet::PongT &pong)> onPong;
        std::function<void(const NodeLinkPtr &link, const std::string &reason)> onClosed;
        // Content of the answers to the peer's pings.
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
    // The message waits for the next other one, or for flush.
    template <typename Body>
    void sendLater(Body body)
    {
        m_link->sendLater(encodeFleetMessage(std::move(body)));
    }
    void flush() { m_link->flush(); }
    const fleet::HelloT &peer() const { return m_peer; }
    // When this side last answered a ping of the peer.
    Millis lastPongSent() const { return m_lastPongSent; }

private:
    void received(std::span<const uint8_t> payload);
    void checkPeer();

    Timers m_timers;
    FrameLinkPtr m_link;
    NodeIdentity m_self;
    Handlers m_handlers;
    fleet::HelloT m_peer;
    bool m_introduced = false;
    bool m_closed = false;
    Millis m_lastHeard;
    Millis m_lastPongSent;
};

} // namespace turmericwell
