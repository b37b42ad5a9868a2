// Bounded reading of requests and writing of responses on one connection.
//
// The parser of Beast bounds headers and bodies, but not what it leaves in the caller's buffer: trailers and
// chunk extensions without an end. The session therefore reads into a buffer that all sessions of a thread
// share, and keeps only the bytes that the parser could not take yet.
#include "net/httpsession.h"

#include <algorithm>
#include <array>
#include <boost/asio/post.hpp>
#include <boost/beast/http/error.hpp>
#include <poll.h>

namespace turmericwell {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

constexpr size_t mostReadBytes = 32'768;
// Memory of a parsed header field beside its text.
constexpr uint64_t fieldBytes = 100;
constexpr size_t mostFields = 256;
// A rejected client may have sent more that is still under way.
constexpr size_t mostDrainedBytes = 1U << 20U;
constexpr int64_t drainMs = 1'000;
// A connection that has not served a request yet is closed before one that has, unless it is younger by more
// than this.
constexpr int64_t unservedRankMs = 10'000;

// When the budget is used up, an incomplete request that holds more than this gives way to others after this
// time.
constexpr uint64_t mostHeldBytes = 4'096;
constexpr int64_t mostHoldingMs = 1'000;
constexpr size_t keptCapacity = 1'024;
// Most requests are answered sooner, and need no look at the connection.
constexpr int64_t peerCheckDelayMs = 300;
constexpr std::string_view interimResponse = "HTTP/1.1 100 Continue\r\n\r\n";
// A client that has ended its side is closed before all others.
constexpr int64_t endedPeerRank = INT64_MIN;

HttpSession::HttpSession(TcpSocket socket, const asio::ip::address &client,
                         std::shared_ptr<HttpServerShared> shared)
    : m_socket(std::move(socket))
    , m_handle(m_socket.native_handle())
    , m_client(client)
    , m_shared(std::move(shared))
{
    boost::system::error_code ignored;
    m_socket.set_option(tcp::no_delay(true), ignored);
    m_socket.non_blocking(true, ignored);
    m_sinceMs = Clock::now().count;
    const std::lock_guard lock(m_shared->mutex);
    m_shared->sessions.insert(this);
    if (m_shared->options.maxConnectionsPerClient > 0)
        ++m_shared->connectionsByClient[m_client];
}

HttpSession::~HttpSession()
{
    if (m_shared->options.budget)
        m_shared->options.budget->release(m_charged);
    const std::lock_guard lock(m_shared->mutex);
    m_shared->sessions.erase(this);
    if (m_shared->options.maxConnectionsPerClient == 0)
        return;
    const auto found = m_shared->connectionsByClient.find(m_client);
    if (--found->second == 0)
        m_shared->connectionsByClient.erase(found);
}

void HttpSession::start()
{
    asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->beginRequest(); });
}

void HttpSession::enter(Phase phase)
{
    const HttpServerOptions &options = m_shared->options;
    const int64_t now = Clock::now().count;
    int64_t limit = INT64_MAX;
    if (phase == Phase::Idle)
        limit = now + options.idleTimeout.count;
    else if (phase == Phase::Header || phase == Phase::Body)
        limit = now + options.readTimeout.count;
    else if (phase == Phase::Writing)
        limit = now + options.writeTimeout.count;
    else if (phase == Phase::Draining)
        limit = now + drainMs;
    m_sinceMs = now;
    m_deadlineMs = limit;
    m_phase = phase;
}

void HttpSession::closeIfIdle()
{
    asio::post(m_socket.get_executor(), [self = shared_from_this()] {
        if (self->m_phase == Phase::Idle)
            self->close();
    });
}

void HttpSession::checkTime(int64_t nowMs)
{
    if (nowMs < m_deadlineMs)
        return;
    asio::post(m_socket.get_executor(), [self = shared_from_this(), nowMs] {
        // The session may have come further since.
        if (nowMs < self->m_deadlineMs)
            return;
        const Phase phase = self->m_phase;
        if (phase == Phase::Header || phase == Phase::Body)
            self->m_shared->rejected("read_time", self->m_client);
        else if (phase == Phase::Writing)
            self->m_shared->rejected("write_time", self->m_client);
        self->close();
    });
}

bool HttpSession::isPeerCheckDue(int64_t nowMs) const
{
    return m_phase == Phase::Handling && nowMs - m_sinceMs >= peerCheckDelayMs;
}

// A client that has closed the connection answers any data with a reset, while one that has only ended its
// side skips the interim response and reads on.
void HttpSession::checkPeer()
{
    asio::post(m_socket.get_executor(), [self = shared_from_this()] {
        if (self->m_phase != Phase::Handling)
            return;
        pollfd polled{.fd = self->m_handle, .events = POLLRDHUP, .revents = 0};
        if (::poll(&polled, 1, 0) <= 0)
            return;
        const bool hasLeft = (polled.revents & (POLLHUP | POLLERR)) != 0;
        if (hasLeft || !self->m_takesInterim) {
            self->close();
        } else if (!std::exchange(self->m_peerProbed, true)) {
            boost::system::error_code error;
            self->m_socket.write_some(asio::buffer(interimResponse), error);
        }
    });
}

void HttpSession::evict()
{
    m_evicting = true;
    asio::post(m_socket.get_executor(), [self = shared_from_this()] {
        self->m_evicting = false;
        if (self->evictionRank())
            self->close();
    });
}

std::optional<int64_t> HttpSession::evictionRank() const
{
    const Phase phase = m_phase;
    if (phase == Phase::Handling && m_peerEnded && !m_evicting)
        return endedPeerRank;
    const bool mayClose = phase == Phase::Idle || phase == Phase::Header || phase == Phase::Body
        || phase == Phase::Writing || phase == Phase::Draining;
    if (!mayClose || m_evicting)
        return std::nullopt;
    return m_sinceMs - (m_served ? 0 : unservedRankMs);
}

bool HttpSession::holdsIncompleteRequest(int64_t nowMs) const
{
    const Phase phase = m_phase;
    return (phase == Phase::Header || phase == Phase::Body) && m_charged > mostHeldBytes
        && nowMs - m_sinceMs > mostHoldingMs;
}

void HttpSession::beginRequest()
{
    m_parser.reset();
    m_messageBytes = 0;
    m_headerBytes = 0;
    m_output.clear();
    // An idle connection keeps no large buffers.
    if (m_output.capacity() > keptCapacity)
        std::string().swap(m_output);
    if (m_unparsed.empty() && m_unparsed.capacity() > keptCapacity)
        std::string().swap(m_unparsed);
    enter(Phase::Idle);
    chargeHeld();
    if (m_unparsed.empty() || consume({}))
        waitReadable();
}

void HttpSession::waitReadable()
{
    m_socket.async_wait(tcp::socket::wait_read,
                        [self = shared_from_this()](const boost::system::error_code &error) {
                            if (error)
                                self->close();
                            else
                                self->readAvailable();
                        });
}

void HttpSession::readAvailable()
{
    if (m_phase == Phase::Closed)
        return;
    static thread_local std::array<char, mostReadBytes> scratch;
    boost::system::error_code error;
    const size_t bytes = m_socket.read_some(asio::buffer(scratch), error);
    if (error == asio::error::would_block || error == asio::error::try_again) {
        waitReadable();
        return;
    }
    if (error) {
        close();
        return;
    }
    if (m_phase == Phase::Draining) {
        m_drained += bytes;
        if (m_drained > mostDrainedBytes)
            close();
        else
            waitReadable();
        return;
    }
    if (consume({scratch.data(), bytes}))
        waitReadable();
}

bool HttpSession::consume(std::string_view data)
{
    if (m_phase == Phase::Idle) {
        enter(Phase::Header);
        m_parser.emplace();
        m_parser->eager(true);
        m_parser->body_limit(m_shared->options.maxBodyBytes);
        m_parser->header_limit(m_shared->options.maxHeaderBytes);
    }
    const bool hasRest = !m_unparsed.empty();
    if (hasRest)
        m_unparsed.append(data);
    const std::string_view input = hasRest ? std::string_view(m_unparsed) : data;
    size_t used = 0;
    if (!parse(input, used))
        return false;
    m_messageBytes += used;
    if (hasRest)
        m_unparsed.erase(0, used);
    else
        m_unparsed.assign(input.substr(used));
    if (!withinLimits())
        return false;
    if (!m_parser->is_done())
        return true;
    dispatch();
    return false;
}

bool HttpSession::parse(std::string_view data, size_t &used)
{
    while (used < data.size() && !m_parser->is_done()) {
        beast::error_code error;
        const size_t taken = m_parser->put(asio::buffer(data.substr(used)), error);
        used += taken;
        if (error == http::error::need_more)
            return true;
        if (error) {
            rejectMalformed(error);
            return false;
        }
        if (taken == 0)
            return true;
    }
    return true;
}

bool HttpSession::withinLimits()
{
    const HttpServerOptions &options = m_shared->options;
    const bool isComplete = m_parser->is_done();
    const bool hasHeader = m_parser->is_header_done();
    if (m_phase == Phase::Header || isComplete) {
        // Fields are kept in parsed form while the header is incomplete, where short ones take many times
        // their size.
        const auto &fields = m_parser->get();
        const auto count = static_cast<size_t>(std::distance(fields.begin(), fields.end()));
        if (count > mostFields) {
            reject(431, "header", "too many header fields");
            return false;
        }
        m_headerBytes = std::min<uint64_t>(m_messageBytes, options.maxHeaderBytes) + count * fieldBytes;
        if (hasHeader && !isComplete && m_phase == Phase::Header)
            enter(Phase::Body);
    }
    // While a message is incomplete, this is the start of its header, of a chunk's header or of the trailers.
    if (!isComplete && m_unparsed.size() > options.maxHeaderBytes) {
        reject(431, hasHeader ? "chunk" : "header", "too_large");
        return false;
    }
    // Chunks of one byte, the smallest, have six bytes each.
    const uint64_t mostBytes = 2 * uint64_t{options.maxHeaderBytes} + 6 * uint64_t{options.maxBodyBytes};
    if (m_messageBytes > mostBytes) {
        reject(413, "message", "too_large");
        return false;
    }
    if (chargeHeld())
        return true;
    m_shared->evictHolders(Clock::now().count);
    reject(503, "buffered_bytes", "busy");
    return false;
}

// Returns false if the budget does not allow what the session holds; it then keeps what was charged before.
bool HttpSession::chargeHeld()
{
    ByteBudget *const budget = m_shared->options.budget.get();
    if (!budget)
        return true;
    const uint64_t charged = m_charged;
    uint64_t held = m_unparsed.size() + m_headerBytes;
    // The memory of a body of known length is reserved early. A chunked one takes at most twice its size.
    if (m_parser && m_parser->is_header_done()) {
        const std::string &body = m_parser->get().body();
        held += m_parser->content_length() ? body.capacity() : body.size();
    }
    if (held > charged) {
        if (!budget->reserve(charged, held - charged))
            return false;
    } else if (held < charged) {
        budget->release(charged - held);
    }
    m_charged = held;
    return true;
}

void HttpSession::rejectMalformed(const beast::error_code &error)
{
    if (error == http::error::body_limit)
        reject(413, "body", "too_large");
    else if (error == http::error::header_limit || error == http::error::buffer_overflow)
        reject(431, "header", "too_large");
    else
        reject(400, "syntax", "bad HTTP");
}

void HttpSession::reject(int status, std::string_view limit, std::string_view reason)
{
    m_shared->rejected(limit, m_client);
    m_keepAlive = false;
    m_parser.reset();
    std::string().swap(m_unparsed);
    m_drainAfterWrite = true;
    m_headerBytes = 0;
    chargeHeld();
    HttpResponse response{.status = status};
    if (status == 400)
        response.body = R"({"outcome":"not_run","reason":"bad_input","detail":"bad HTTP"})";
    else
        response.body = R"({"outcome":"not_run","reason":")" + std::string(reason) + R"("})";
    if (status == 503)
        response.headers["Retry-After"] = "1";
    write(response);
}

void HttpSession::dispatch()
{
    constexpr unsigned http11 = 11;
    enter(Phase::Handling);
    m_keepAlive = m_parser->get().keep_alive();
    m_takesInterim = m_parser->get().version() >= http11;
    m_peerEnded = false;
    m_peerProbed = false;
    m_presence = std::make_shared<ClientPresence>();
    ++m_shared->openRequests;
    // Sends status 500 if the handler discards the responder without calling it.
    struct Guard
    {
        std::shared_ptr<HttpSession> session;
        std::atomic<bool> answered = false;
        void answer(HttpResponse response)
        {
            if (answered.exchange(true))
                return;
            asio::post(session->m_socket.get_executor(),
                       [self = session, response = std::move(response)] { self->answer(response); });
        }
        ~Guard() { answer({.status = 500, .body = R"({"outcome":"unknown","reason":"internal"})"}); }
    };
    auto guard = std::make_shared<Guard>();
    guard->session = shared_from_this();
    HttpRequest request = toHttpRequest(m_parser->release());
    request.client = m_presence;
    m_parser.reset();
    // The charge of the request stays until it is answered: the handler may hold parts of it.
    m_shared->handler(std::move(request),
                      [guard](HttpResponse response) { guard->answer(std::move(response)); });
}

void HttpSession::answer(const HttpResponse &response)
{
    --m_shared->openRequests;
    m_presence.reset();
    m_served = true;
    write(response);
}

void HttpSession::write(const HttpResponse &response)
{
    if (m_phase == Phase::Closed)
        return;
    enter(Phase::Writing);
    m_keepAlive = m_keepAlive && !m_shared->stopping;
    const std::string_view reason = http::obsolete_reason(static_cast<http::status>(response.status));
    m_output.append("HTTP/1.1 ").append(std::to_string(response.status)).append(" ").append(reason);
    m_output.append("\r\nContent-Type: ").append(response.contentType);
    for (const auto &[name, value] : response.headers)
        m_output.append("\r\n").append(name).append(": ").append(value);
    if (!m_keepAlive)
        m_output.append("\r\nConnection: close");
    m_output.append("\r\nContent-Length: ").append(std::to_string(response.body.size()));
    m_output.append("\r\n\r\n").append(response.body);
    m_outputSent = 0;
    continueWriting();
}

void HttpSession::continueWriting()
{
    if (m_phase == Phase::Closed)
        return;
    boost::system::error_code error;
    while (m_outputSent < m_output.size() && !error)
        m_outputSent += m_socket.write_some(
            asio::buffer(m_output.data() + m_outputSent, m_output.size() - m_outputSent), error);
    if (!error) {
        written();
        return;
    }
    if (error != asio::error::would_block && error != asio::error::try_again) {
        close();
        return;
    }
    m_socket.async_wait(tcp::socket::wait_write,
                        [self = shared_from_this()](const boost::system::error_code &waitError) {
                            if (waitError)
                                self->close();
                            else
                                self->continueWriting();
                        });
}

void HttpSession::written()
{
    if (m_keepAlive) {
        beginRequest();
        return;
    }
    boost::system::error_code ignored;
    m_socket.shutdown(tcp::socket::shutdown_send, ignored);
    if (!m_drainAfterWrite) {
        close();
        return;
    }
    enter(Phase::Draining);
    waitReadable();
}

void HttpSession::close()
{
    if (m_phase == Phase::Closed)
        return;
    enter(Phase::Closed);
    m_handle = -1;
    boost::system::error_code ignored;
    m_socket.close(ignored);
    if (const std::shared_ptr<ClientPresence> presence = std::exchange(m_presence, nullptr))
        presence->setLeft();
}

} // namespace turmericwell
