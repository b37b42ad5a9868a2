// Framed connections over Asio TCP sockets. All handlers of a link run on its socket's strand.
#include "net/framelink.h"

#include <boost/asio/bind_executor.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

namespace turmericwell {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr size_t readBufferBytes = 8'192;
// Without a free descriptor each accept fails at once.
constexpr std::chrono::milliseconds acceptBackoff{50};

FrameHeader decodeFrameHeader(std::span<const uint8_t, frameHeaderBytes> bytes)
{
    FrameHeader header;
    for (int i = 3; i >= 0; --i)
        header.payloadBytes = (header.payloadBytes << 8U) | bytes[i];
    header.version = static_cast<uint16_t>(bytes[4] | (bytes[5] << 8U));
    return header;
}

std::string frameHeaderProblem(const FrameHeader &header)
{
    if (header.version != protocolVersion)
        return "unsupported protocol version " + std::to_string(header.version) + ", expected "
            + std::to_string(protocolVersion);
    if (header.payloadBytes == 0 || header.payloadBytes > maxFrameBytes)
        return "frame payload of " + std::to_string(header.payloadBytes) + " bytes is not within 1 to "
            + std::to_string(maxFrameBytes) + " bytes";
    return {};
}

void writeFrameHeader(std::span<uint8_t> frame)
{
    const auto payloadBytes = static_cast<uint32_t>(frame.size() - frameHeaderBytes);
    for (unsigned i = 0; i < 4; ++i)
        frame[i] = static_cast<uint8_t>(payloadBytes >> (8U * i));
    frame[4] = protocolVersion & 0xffU;
    frame[5] = protocolVersion >> 8U;
}

TcpFrameLink::TcpFrameLink(TcpSocket socket)
    : m_socket(std::move(socket))
    , m_buffer(readBufferBytes)
{
    boost::system::error_code ignored;
    m_socket.set_option(tcp::no_delay(true), ignored);
    const tcp::endpoint remote = m_socket.remote_endpoint(ignored);
    m_remoteText = remote.address().to_string() + ":" + std::to_string(remote.port());
}

void TcpFrameLink::start(Handlers handlers)
{
    m_handlers = std::move(handlers);
    asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->readSome(); });
}

void TcpFrameLink::enqueue(std::vector<uint8_t> frame)
{
    if (m_closed)
        return;
    m_queuedBytes += frame.size();
    if (m_queuedBytes > maxQueuedBytes) {
        finish("peer does not read: send queue of " + std::to_string(m_queuedBytes)
               + " bytes exceeds the limit of " + std::to_string(maxQueuedBytes) + " bytes");
        return;
    }
    m_queue.push_back(std::move(frame));
}

void TcpFrameLink::send(std::vector<uint8_t> frame)
{
    asio::post(m_socket.get_executor(), [self = shared_from_this(), frame = std::move(frame)]() mutable {
        self->enqueue(std::move(frame));
        if (self->m_writing.empty())
            self->writeQueued();
    });
}

void TcpFrameLink::sendLater(std::vector<uint8_t> frame)
{
    m_unflushed = true;
    asio::post(m_socket.get_executor(), [self = shared_from_this(), frame = std::move(frame)]() mutable {
        self->enqueue(std::move(frame));
    });
}

void TcpFrameLink::flush()
{
    if (!m_unflushed.exchange(false))
        return;
    asio::post(m_socket.get_executor(), [self = shared_from_this()] {
        if (self->m_writing.empty())
            self->writeQueued();
    });
}

void TcpFrameLink::closeAfterWrites()
{
    asio::post(m_socket.get_executor(), [self = shared_from_this()] {
        self->m_closeAfterWrites = true;
        if (!self->m_writing.empty())
            return;
        if (self->m_queue.empty())
            self->finish("closed by this process");
        else
            self->writeQueued();
    });
}

void TcpFrameLink::close(const std::string &reason)
{
    asio::post(m_socket.get_executor(), [self = shared_from_this(), reason] { self->finish(reason); });
}

// Reads whatever is available, up to the free buffer space, in one call instead of header and payload
// separately: the typical load is thousands of small frames per second from many peers.
void TcpFrameLink::readSome()
{
    if (m_closed)
        return;
    m_socket.async_read_some(
        asio::buffer(m_buffer.data() + m_received, m_buffer.size() - m_received),
        [self = shared_from_this()](const boost::system::error_code &error, size_t bytes) {
            if (error) {
                self->finish(error.message());
                return;
            }
            // The link may have been closed after the read completed but before this handler ran.
            if (self->m_closed)
                return;
            self->m_received += bytes;
            self->m_bytesReceived += bytes;
            if (self->takeFrames())
                self->readSome();
        });
}

bool TcpFrameLink::takeFrames()
{
    std::span<const uint8_t> rest(m_buffer.data(), m_received);
    size_t wanted = frameHeaderBytes;
    while (rest.size() >= frameHeaderBytes) {
        const FrameHeader header = decodeFrameHeader(rest.first<frameHeaderBytes>());
        std::string problem = frameHeaderProblem(header);
        if (problem.empty() && header.payloadBytes > m_mostPayloadBytes)
            problem = "frame payload of " + std::to_string(header.payloadBytes)
                + " bytes exceeds the limit of " + std::to_string(m_mostPayloadBytes)
                + " bytes for a peer that has not introduced itself";
        if (!problem.empty()) {
            finish(problem);
            return false;
        }
        wanted = frameHeaderBytes + header.payloadBytes;
        if (rest.size() < wanted)
            break;
        m_handlers.onFrame(rest.subspan(frameHeaderBytes, header.payloadBytes));
        if (m_closed)
            return false;
        rest = rest.subspan(wanted);
        wanted = frameHeaderBytes;
    }
    std::copy(rest.begin(), rest.end(), m_buffer.begin());
    m_received = rest.size();
    // The buffer grows as the bytes of a large frame arrive: its header alone takes no memory.
    m_buffer.resize(std::max(std::min(wanted, 2 * m_received), readBufferBytes));
    return true;
}

void TcpFrameLink::writeQueued()
{
    if (m_closed || m_queue.empty())
        return;
    m_writing.assign(std::make_move_iterator(m_queue.begin()), std::make_move_iterator(m_queue.end()));
    m_queue.clear();
    std::vector<asio::const_buffer> buffers;
    buffers.reserve(m_writing.size());
    for (const std::vector<uint8_t> &frame : m_writing)
        buffers.emplace_back(frame.data(), frame.size());
    asio::async_write(m_socket, buffers,
                      [self = shared_from_this()](const boost::system::error_code &error, size_t bytes) {
                          self->m_bytesSent += bytes;
                          self->m_queuedBytes -= bytes;
                          self->m_writing.clear();
                          if (error)
                              self->finish(error.message());
                          else if (!self->m_queue.empty())
                              self->writeQueued();
                          else if (self->m_closeAfterWrites)
                              self->finish("closed by this process");
                      });
}

void TcpFrameLink::finish(const std::string &reason)
{
    if (m_closed)
        return;
    m_closed = true;
    boost::system::error_code ignored;
    m_socket.shutdown(tcp::socket::shutdown_both, ignored);
    m_socket.close(ignored);
    m_queue.clear();
    // The handlers may hold the last reference to other objects, so they are released only after onClosed.
    const Handlers handlers = std::move(m_handlers);
    m_handlers = {};
    if (handlers.onClosed)
        handlers.onClosed(reason);
}

struct FrameListener::State : std::enable_shared_from_this<FrameListener::State>
{
    State(IoContext &context, const Address &address, std::function<void(FrameLinkPtr)> handler)
        : io(context)
        , acceptor(context, tcp::endpoint(asio::ip::make_address(address.host), address.port))
        , timer(context)
        , onAccept(std::move(handler))
    { }

    void accept()
    {
        acceptor.async_accept(
            asio::make_strand(io),
            [self = shared_from_this()](const boost::system::error_code &error, TcpSocket socket) {
                if (error == asio::error::operation_aborted || !self->acceptor.is_open())
                    return;
                if (!error)
                    self->onAccept(std::make_shared<TcpFrameLink>(std::move(socket)));
                if (!error || error == asio::error::connection_aborted) {
                    self->accept();
                    return;
                }
                self->timer.expires_after(acceptBackoff);
                self->timer.async_wait([self](const boost::system::error_code &) { self->accept(); });
            });
    }

    IoContext &io;
    tcp::acceptor acceptor;
    asio::steady_timer timer;
    std::function<void(FrameLinkPtr)> onAccept;
};

FrameListener::FrameListener(IoContext &io, const Address &address,
                             std::function<void(FrameLinkPtr)> onAccept)
    : m_state(std::make_shared<State>(io, address, std::move(onAccept)))
{
    m_state->accept();
}

FrameListener::~FrameListener()
{
    asio::post(m_state->acceptor.get_executor(), [state = m_state] {
        boost::system::error_code ignored;
        state->acceptor.close(ignored);
        state->timer.cancel();
    });
}

void dialFrameLink(IoContext &io, const Address &address, Millis timeout,
                   std::function<void(FrameLinkPtr)> onDone)
{
    struct Attempt
    {
        TcpSocket socket;
        asio::steady_timer timer;
    };
    const auto strand = asio::make_strand(io);
    auto attempt =
        std::make_shared<Attempt>(Attempt{.socket = TcpSocket(strand), .timer = asio::steady_timer(strand)});
    attempt->timer.expires_after(std::chrono::milliseconds(timeout.count));
    attempt->timer.async_wait([attempt](const boost::system::error_code &error) {
        boost::system::error_code ignored;
        if (!error)
            attempt->socket.close(ignored);
    });
    const tcp::endpoint endpoint(asio::ip::make_address(address.host), address.port);
    attempt->socket.async_connect(
        endpoint, [attempt, onDone = std::move(onDone)](const boost::system::error_code &error) {
            attempt->timer.cancel();
            if (error || !attempt->socket.is_open())
                onDone(nullptr);
            else
                onDone(std::make_shared<TcpFrameLink>(std::move(attempt->socket)));
        });
}

std::unique_ptr<LinkListener> TcpNetwork::listen(const Address &address, OnLink onAccept)
{
    return std::make_unique<FrameListener>(m_io, address, std::move(onAccept));
}

void TcpNetwork::dial(const Address &address, Millis timeout, OnLink onDone)
{
    dialFrameLink(m_io, address, timeout, std::move(onDone));
}

} // namespace turmericwell
