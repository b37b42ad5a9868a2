// Forwarding of both directions of a connection, with faults.
#include "standin/proxylink.h"

#include <array>
#include <boost/asio/write.hpp>
#include <deque>
#include <iostream>

namespace turmericwell {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr size_t chunkBytes = 64U << 10U;
// A receiver that does not read stops the sender, as it would without the proxy.
constexpr size_t maxHeldBytes = 4U << 20U;

struct Chunk
{
    std::vector<uint8_t> bytes;
    Millis due;
};

} // namespace

class ProxyConnection : public std::enable_shared_from_this<ProxyConnection>
{
public:
    ProxyConnection(ProxyLink &link, tcp::socket socket)
        : m_link(&link)
        , m_up{.direction = Direction::Up,
               .from = std::move(socket),
               .frames = FrameTracker(link.m_settings.stream)}
        , m_down{.direction = Direction::Down,
                 .from = tcp::socket(link.m_io),
                 .frames = FrameTracker(link.m_settings.stream)}
        , m_upTimer(link.m_io)
        , m_downTimer(link.m_io)
    { }

    void start()
    {
        if (isActive(FaultKind::Reset, Direction::Up)) {
            abort();
            return;
        }
        const tcp::endpoint to(asio::ip::make_address(m_link->m_settings.to.host),
                               m_link->m_settings.to.port);
        m_down.from.async_connect(to, [self = shared_from_this()](const boost::system::error_code &error) {
            if (self->m_closed)
                return;
            if (error) {
                self->abort();
                return;
            }
            boost::system::error_code ignored;
            self->m_up.from.set_option(tcp::no_delay(true), ignored);
            self->m_down.from.set_option(tcp::no_delay(true), ignored);
            self->read(self->m_up);
            self->read(self->m_down);
        });
    }

    void tick()
    {
        if (isActive(FaultKind::Reset, Direction::Up) || isActive(FaultKind::Reset, Direction::Down)) {
            abort();
            return;
        }
        if (!m_halfOpen && m_down.from.is_open() && isActive(FaultKind::HalfOpen, Direction::Up))
            openHalf();
        forward(m_up);
        forward(m_down);
    }

    // Closes both sides with a reset, so that neither regards the stream as complete.
    void abort() { close(true); }

private:
    struct Pipe
    {
        Direction direction = Direction::Up;
        tcp::socket from;
        std::array<uint8_t, chunkBytes> buffer{};
        std::deque<Chunk> held = {};
        size_t heldBytes = 0;
        FrameTracker frames;
        bool writing = false;
        bool reading = false;
        bool ended = false;
    };

    tcp::socket &sink(const Pipe &pipe) { return &pipe == &m_up ? m_down.from : m_up.from; }
    asio::steady_timer &timer(const Pipe &pipe) { return &pipe == &m_up ? m_upTimer : m_downTimer; }

    FaultSubject subject(Direction direction) const
    {
        return {.link = m_link->m_settings.name, .peer = m_peer, .direction = direction};
    }

    bool isActive(FaultKind kind, Direction direction) const
    {
        return m_link->m_faults.isActive(kind, subject(direction), Clock::now());
    }

    bool take(FaultKind kind, Direction direction)
    {
        return m_link->m_faults.take(kind, subject(direction), Clock::now());
    }

    void read(Pipe &pipe)
    {
        if (m_closed || pipe.ended || pipe.reading || pipe.heldBytes > maxHeldBytes)
            return;
        pipe.reading = true;
        pipe.from.async_read_some(
            asio::buffer(pipe.buffer),
            [self = shared_from_this(), &pipe](const boost::system::error_code &error, size_t count) {
                pipe.reading = false;
                if (!self->m_closed)
                    self->onRead(pipe, error, count);
            });
    }

    void onRead(Pipe &pipe, const boost::system::error_code &error, size_t count)
    {
        // The closed side of a half-open connection must not end the open one.
        if (m_halfOpen && &pipe == &m_down)
            return;
        if (error) {
            pipe.ended = true;
            if (error != asio::error::eof)
                abort();
            else
                forward(pipe);
            return;
        }
        m_link->m_bytes += count;
        if (m_halfOpen) {
            read(pipe);
            return;
        }
        const std::span<const uint8_t> bytes(pipe.buffer.data(), count);
        pipe.frames.consume(bytes);
        const Millis now = Clock::now();
        pipe.held.push_back({.bytes = {bytes.begin(), bytes.end()},
                             .due = now + m_link->m_faults.delay(subject(pipe.direction), now)});
        pipe.heldBytes += count;
        if (hasFrames() && pipe.direction == Direction::Up && m_peer.empty() && pipe.frames.sender())
            m_peer = *pipe.frames.sender();
        forward(pipe);
        read(pipe);
    }

    // The opening frame is held until it is whole, so that faults for one process apply from its first byte.
    bool isNamed() const { return !hasFrames() || m_up.frames.sender().has_value(); }
    bool hasFrames() const { return m_link->m_settings.stream != StreamKind::Opaque; }

    void forward(Pipe &pipe)
    {
        if (m_closed || m_halfOpen || pipe.writing || !isNamed() || isActive(FaultKind::Drop, pipe.direction))
            return;
        if (pipe.held.empty()) {
            if (pipe.ended)
                endSink(pipe);
            return;
        }
        const Millis now = Clock::now();
        if (pipe.held.front().due > now) {
            timer(pipe).expires_after(std::chrono::milliseconds((pipe.held.front().due - now).count));
            timer(pipe).async_wait(
                [self = shared_from_this(), &pipe](const boost::system::error_code &error) {
                    if (!error)
                        self->forward(pipe);
                });
            return;
        }
        if (pipe.direction == Direction::Down && take(FaultKind::LoseAnswer, Direction::Down)) {
            abort();
            return;
        }
        const bool truncate = take(FaultKind::Truncate, pipe.direction);
        Chunk chunk = std::move(pipe.held.front());
        pipe.held.pop_front();
        pipe.heldBytes -= chunk.bytes.size();
        // Without its last byte the chunk ends inside a frame or message unless that byte began the next one.
        if (truncate)
            chunk.bytes.pop_back();
        write(pipe, std::move(chunk.bytes), truncate);
    }

    void write(Pipe &pipe, std::vector<uint8_t> bytes, bool closeAfter)
    {
        pipe.writing = true;
        const auto data = std::make_shared<std::vector<uint8_t>>(std::move(bytes));
        asio::async_write(sink(pipe), asio::buffer(*data),
                          [self = shared_from_this(), &pipe, data,
                           closeAfter](const boost::system::error_code &error, size_t) {
                              pipe.writing = false;
                              if (self->m_closed)
                                  return;
                              if (error) {
                                  self->abort();
                              } else if (closeAfter) {
                                  self->close(false);
                              } else {
                                  self->forward(pipe);
                                  self->read(pipe);
                              }
                          });
    }

    void endSink(Pipe &pipe)
    {
        boost::system::error_code ignored;
        sink(pipe).shutdown(tcp::socket::shutdown_send, ignored);
        if (m_up.ended && m_down.ended && m_up.held.empty() && m_down.held.empty())
            close(false);
    }

    void openHalf()
    {
        m_halfOpen = true;
        m_up.held.clear();
        m_up.heldBytes = 0;
        m_down.ended = true;
        boost::system::error_code ignored;
        m_down.from.close(ignored);
        read(m_up);
    }

    void close(bool reset)
    {
        if (m_closed)
            return;
        m_closed = true;
        boost::system::error_code ignored;
        for (tcp::socket *socket : {&m_up.from, &m_down.from}) {
            if (reset)
                socket->set_option(asio::socket_base::linger(true, 0), ignored);
            socket->close(ignored);
        }
        m_upTimer.cancel();
        m_downTimer.cancel();
        m_link->m_connections.erase(shared_from_this());
    }

    ProxyLink *m_link;
    std::string m_peer;
    Pipe m_up;
    Pipe m_down;
    asio::steady_timer m_upTimer;
    asio::steady_timer m_downTimer;
    bool m_halfOpen = false;
    bool m_closed = false;
};

ProxyLink::ProxyLink(IoContext &io, ProxyLinkSettings settings, FaultSet &faults)
    : m_io(io)
    , m_settings(std::move(settings))
    , m_faults(faults)
    , m_acceptor(io, tcp::endpoint(asio::ip::make_address(m_settings.listen.host), m_settings.listen.port))
{
    accept();
}

ProxyLink::~ProxyLink() = default;

void ProxyLink::accept()
{
    m_acceptor.async_accept([this](const boost::system::error_code &error, tcp::socket socket) {
        if (error == asio::error::operation_aborted)
            return;
        if (!error) {
            const auto connection = std::make_shared<ProxyConnection>(*this, std::move(socket));
            m_connections.insert(connection);
            connection->start();
        }
        accept();
    });
}

void ProxyLink::tick()
{
    const auto connections = m_connections;
    for (const auto &connection : connections)
        connection->tick();
}

} // namespace turmericwell
