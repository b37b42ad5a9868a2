// Handshake and pings of a connection between processes.
#include "fleet/nodelink.h"

namespace turmericwell {

constexpr Millis pingInterval = {300};
// Allows for three unanswered pings. Must be shorter than the time after which an agent stops the runs of an
// unresponsive owner.
constexpr Millis pingTimeout = {1'050};
// The hello is the first message on a connection, so it takes no longer than the answer to a ping.
constexpr Millis helloTimeout = {3'000};
// A hello has a few names, and ordinary messages are not longer either.
constexpr uint32_t mostUnconfirmedBytes = 16'384;

NodeLink::NodeLink(IoContext &io, FrameLinkPtr link, const NodeIdentity &self)
    : m_timers(io)
    , m_link(std::move(link))
    , m_self(self)
    , m_startedAt(Clock::now())
    , m_peerAliveAt(m_startedAt)
{ }

void NodeLink::start(Handlers handlers)
{
    m_handlers = std::move(handlers);
    m_link->limitFrames(mostUnconfirmedBytes);
    m_link->start({.onFrame = [self = shared_from_this()](
                                  std::span<const uint8_t> payload) { self->received(payload); },
                   .onClosed =
                       [self = shared_from_this()](const std::string &reason) {
                           if (std::exchange(self->m_closed, true))
                               return;
                           const Handlers last = std::exchange(self->m_handlers, {});
                           if (last.onClosed)
                               last.onClosed(self, reason);
                       }});
    fleet::HelloT hello;
    hello.node = m_self.name;
    hello.incarnation = m_self.incarnation;
    hello.role = m_self.role;
    hello.zone = m_self.zone;
    send(std::move(hello));
    checkPeer();
}

void NodeLink::close(const std::string &reason)
{
    m_link->close(reason);
}

void NodeLink::confirmPeer(uint32_t mostMessageBytes)
{
    m_confirmed = true;
    m_link->limitFrames(mostMessageBytes);
}

void NodeLink::checkPeer()
{
    if (m_closed)
        return;
    const Millis now = Clock::now();
    if (now - m_peerAliveAt > pingTimeout) {
        close("peer is silent: no answer to pings for " + std::to_string((now - m_peerAliveAt).count)
              + " ms");
        return;
    }
    if (!m_introduced && now - m_startedAt > helloTimeout) {
        close("peer has not introduced itself for " + std::to_string((now - m_startedAt).count) + " ms");
        return;
    }
    ping();
    m_timers.after(pingInterval, [weak = weak_from_this()] {
        if (const NodeLinkPtr self = weak.lock())
            self->checkPeer();
    });
}

void NodeLink::ping()
{
    fleet::PingT ping;
    ping.sent_ms = Clock::now().count;
    send(ping);
}

void NodeLink::received(std::span<const uint8_t> payload)
{
    // An error while one message is handled ends the connection that brought it, not the process.
    try {
        handle(payload);
    } catch (const std::exception &error) {
        close("message of " + std::to_string(payload.size()) + " bytes failed: " + error.what());
    }
}

void NodeLink::handle(std::span<const uint8_t> payload)
{
    const std::unique_ptr<fleet::EnvelopeT> envelope = decodeFleetMessage(payload);
    if (!envelope) {
        close("message of " + std::to_string(payload.size()) + " bytes cannot be decoded");
        return;
    }
    if (m_closed)
        return;
    if (const fleet::HelloT *hello = envelope->body.AsHello()) {
        if (!std::exchange(m_introduced, true)) {
            m_peer = *hello;
            m_handlers.onHello(shared_from_this(), m_peer);
        }
    } else if (const fleet::PingT *ping = envelope->body.AsPing()) {
        fleet::PongT pong = m_handlers.makePong();
        pong.sent_ms = ping->sent_ms;
        m_lastPongSent = Clock::now();
        send(std::move(pong));
    } else if (const fleet::PongT *pong = envelope->body.AsPong()) {
        if (Millis{pong->sent_ms} > Clock::now()) {
            close("pong for a ping that was not sent");
            return;
        }
        // The pong only proves that the peer was alive when this side sent the ping. Its arrival time proves
        // nothing: the pong may have been waiting in a buffer while this process was paused.
        m_peerAliveAt = std::max(m_peerAliveAt, Millis{pong->sent_ms});
        if (m_introduced)
            m_handlers.onPong(shared_from_this(), {pong->sent_ms}, *pong);
    } else if (m_introduced) {
        m_handlers.onMessage(shared_from_this(), *envelope);
    }
}

NodeLinkPtr UnconfirmedLinks::add(const NodeLinkPtr &link)
{
    std::erase_if(m_links, [](const std::weak_ptr<NodeLink> &item) {
        const NodeLinkPtr unconfirmed = item.lock();
        return !unconfirmed || !unconfirmed->isUnconfirmed();
    });
    m_links.push_back(link);
    if (m_links.size() <= m_most)
        return nullptr;
    NodeLinkPtr oldest = m_links.front().lock();
    m_links.pop_front();
    return oldest;
}

} // namespace turmericwell
