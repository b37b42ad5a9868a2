// Frames between hosts as events.
#include "emulator/emulatednetwork.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <deque>

namespace turmericwell {

constexpr uint16_t emulatedPort = 1;
static constexpr const char *hostPrefix = "10.0.0.";

// One end of a connection.
class EmulatedLink : public FrameLink, public std::enable_shared_from_this<EmulatedLink>
{
public:
    EmulatedLink(EmulatedNetwork &network, HostNumber host, uint64_t life)
        : m_network(network)
        , m_host(host)
        , m_life(life)
    { }

    static void pair(const std::shared_ptr<EmulatedLink> &a, const std::shared_ptr<EmulatedLink> &b)
    {
        a->m_peer = b;
        b->m_peer = a;
    }

    void start(Handlers handlers) override
    {
        m_handlers = std::move(handlers);
        m_started = true;
        handOver();
    }
    void send(std::vector<uint8_t> frame) override
    {
        flush();
        transmit(std::move(frame));
    }
    void sendLater(std::vector<uint8_t> frame) override { m_unflushed.push_back(std::move(frame)); }
    void flush() override
    {
        for (std::vector<uint8_t> &frame : std::exchange(m_unflushed, {}))
            transmit(std::move(frame));
    }
    void closeAfterWrites() override { close("closed by this process"); }
    void close(const std::string &reason) override
    {
        m_network.postTo(m_host, m_life, [self = shared_from_this(), reason] { self->finish(reason, true); });
    }
    uint64_t bytesSent() const override { return m_bytesSent; }
    uint64_t bytesReceived() const override { return m_bytesReceived; }
    std::string remoteText() const override
    {
        const std::shared_ptr<EmulatedLink> peer = m_peer.lock();
        return peer ? EmulatedNetwork::addressOf(peer->m_host).text() : std::string();
    }

    // The process is gone: nothing of it runs any more.
    void abandon(bool resetsPeer)
    {
        if (!m_closed && resetsPeer)
            transmitEnd();
        m_closed = true;
        m_handlers = {};
        m_arrived.clear();
    }

private:
    void transmit(std::vector<uint8_t> frame)
    {
        const std::shared_ptr<EmulatedLink> peer = m_peer.lock();
        if (m_closed || !peer)
            return;
        m_bytesSent += frame.size();
        ++m_network.m_frames;
        peer->expect(std::move(frame), m_host);
    }
    void transmitEnd()
    {
        if (const std::shared_ptr<EmulatedLink> peer = m_peer.lock())
            peer->expect({}, m_host);
    }
    // A frame is under way to this end; an empty one stands for the end of the connection.
    void expect(std::vector<uint8_t> frame, HostNumber from)
    {
        EventQueue &events = m_network.m_events;
        m_lastDue = std::max(m_lastDue, events.now() + m_network.drawDelay());
        m_underWay.push_back(std::move(frame));
        events.at(m_lastDue, [self = shared_from_this(), from] { self->arrive(from); });
    }
    void arrive(HostNumber from)
    {
        const Millis healed = m_network.cutUntil(from, m_host);
        if (healed > m_network.m_events.now()) {
            m_lastDue = std::max(m_lastDue, healed);
            m_network.m_events.at(healed, [self = shared_from_this(), from] { self->arrive(from); });
            return;
        }
        if (m_underWay.empty())
            return;
        std::vector<uint8_t> frame = std::move(m_underWay.front());
        m_underWay.pop_front();
        if (m_closed || m_network.lifeOf(m_host) != m_life)
            return;
        m_arrived.push_back(std::move(frame));
        m_network.postTo(m_host, m_life, [self = shared_from_this()] { self->handOver(); });
    }
    void handOver()
    {
        while (m_started && !m_closed && !m_arrived.empty()) {
            const std::vector<uint8_t> frame = std::move(m_arrived.front());
            m_arrived.pop_front();
            if (frame.empty()) {
                finish("closed by the peer", false);
                return;
            }
            m_bytesReceived += frame.size();
            m_handlers.onFrame(std::span<const uint8_t>(frame).subspan(frameHeaderBytes));
        }
    }
    void finish(const std::string &reason, bool tellsPeer)
    {
        if (m_closed)
            return;
        if (tellsPeer) {
            flush();
            transmitEnd();
        }
        m_closed = true;
        const Handlers handlers = std::exchange(m_handlers, {});
        if (handlers.onClosed)
            handlers.onClosed(reason);
    }

    EmulatedNetwork &m_network;
    const HostNumber m_host;
    const uint64_t m_life;
    std::weak_ptr<EmulatedLink> m_peer;
    Handlers m_handlers;
    bool m_started = false;
    bool m_closed = false;
    std::vector<std::vector<uint8_t>> m_unflushed;
    // Frames on their way to this end, and those that wait for the process.
    std::deque<std::vector<uint8_t>> m_underWay;
    std::deque<std::vector<uint8_t>> m_arrived;
    Millis m_lastDue;
    uint64_t m_bytesSent = 0;
    uint64_t m_bytesReceived = 0;
};

class HostNetwork : public LinkNetwork
{
public:
    HostNetwork(EmulatedNetwork &network, HostNumber host)
        : m_network(network)
        , m_host(host)
    { }

    std::unique_ptr<LinkListener> listen(const Address &, OnLink onAccept) override
    {
        m_network.listen(m_host, std::move(onAccept));
        return std::make_unique<LinkListener>();
    }
    void dial(const Address &address, Millis timeout, OnLink onDone) override
    {
        const auto host =
            static_cast<HostNumber>(std::stoul(address.host.substr(std::string_view(hostPrefix).size())));
        m_network.dial(m_host, host, timeout, std::move(onDone));
    }

private:
    EmulatedNetwork &m_network;
    const HostNumber m_host;
};

EmulatedNetwork::EmulatedNetwork(EmulatedNetworkOptions options, EventQueue &events)
    : m_options(options)
    , m_events(events)
    , m_random(options.seed)
{ }

EmulatedNetwork::~EmulatedNetwork() = default;

Address EmulatedNetwork::addressOf(HostNumber host)
{
    return {.host = hostPrefix + std::to_string(host), .port = emulatedPort};
}

void EmulatedNetwork::up(HostNumber host, IoContext &io)
{
    m_hosts[host] = {.io = &io, .life = ++m_lives};
}

void EmulatedNetwork::down(HostNumber host, bool resetsConnections)
{
    auto gone = m_hosts.extract(host);
    if (!gone)
        return;
    for (const std::weak_ptr<EmulatedLink> &weak : gone.mapped().links) {
        if (const std::shared_ptr<EmulatedLink> link = weak.lock())
            link->abandon(resetsConnections);
    }
}

void EmulatedNetwork::cut(HostNumber from, HostNumber to, Millis until)
{
    Millis &end = m_cuts[{from, to}];
    end = std::max(end, until);
}

Millis EmulatedNetwork::cutUntil(HostNumber from, HostNumber to) const
{
    const auto found = m_cuts.find({from, to});
    return found == m_cuts.end() ? Millis{} : found->second;
}

bool EmulatedNetwork::isCut(HostNumber from, HostNumber to) const
{
    return cutUntil(from, to) > m_events.now();
}

uint64_t EmulatedNetwork::lifeOf(HostNumber host) const
{
    const auto found = m_hosts.find(host);
    return found == m_hosts.end() ? 0 : found->second.life;
}

void EmulatedNetwork::postTo(HostNumber host, uint64_t life, std::function<void()> call)
{
    const auto found = m_hosts.find(host);
    if (found == m_hosts.end() || found->second.life != life)
        return;
    // The context goes together with its process, so the call need not look again.
    boost::asio::post(*found->second.io, std::move(call));
}

Millis EmulatedNetwork::drawDelay()
{
    return {std::uniform_int_distribution<int64_t>(m_options.leastDelay.count,
                                                   m_options.mostDelay.count)(m_random)};
}

std::unique_ptr<LinkNetwork> EmulatedNetwork::networkOf(HostNumber host)
{
    return std::make_unique<HostNetwork>(*this, host);
}

void EmulatedNetwork::listen(HostNumber host, LinkNetwork::OnLink onAccept)
{
    m_hosts.at(host).onAccept = std::move(onAccept);
}

void EmulatedNetwork::dial(HostNumber from, HostNumber to, Millis timeout, LinkNetwork::OnLink onDone)
{
    const uint64_t life = m_hosts.at(from).life;
    const auto finish = [this, from, life, onDone = std::move(onDone)](HostNumber peer, bool reached) {
        if (lifeOf(from) != life)
            return;
        if (reached)
            connect(from, peer, onDone);
        else
            postTo(from, life, [onDone] { onDone(nullptr); });
    };
    if (isCut(from, to) || isCut(to, from)) {
        m_events.after(timeout, [finish, to] { finish(to, false); });
        return;
    }
    m_events.after(drawDelay() + drawDelay(), [this, finish, to] {
        const auto host = m_hosts.find(to);
        finish(to, host != m_hosts.end() && host->second.onAccept);
    });
}

void EmulatedNetwork::connect(HostNumber from, HostNumber to, const LinkNetwork::OnLink &onDone)
{
    Host &dialler = m_hosts.at(from);
    Host &listener = m_hosts.at(to);
    const auto near = std::make_shared<EmulatedLink>(*this, from, dialler.life);
    const auto far = std::make_shared<EmulatedLink>(*this, to, listener.life);
    EmulatedLink::pair(near, far);
    dialler.links.push_back(near);
    listener.links.push_back(far);
    // The queues of a process keep the link until it has taken it.
    postTo(from, dialler.life, [onDone, near] { onDone(near); });
    postTo(to, listener.life, [onAccept = listener.onAccept, far] { onAccept(far); });
}

} // namespace turmericwell
