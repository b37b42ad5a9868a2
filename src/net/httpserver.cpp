// HTTP server: accepts a bounded number of connections and enforces their time limits.
#include "net/httpsession.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

namespace turmericwell {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

// Time limits are checked for all connections together, so that a request costs no timer.
constexpr std::chrono::milliseconds timeCheckInterval{100};
// Without a free descriptor each accept fails at once.
constexpr std::chrono::milliseconds acceptBackoff{50};
// Part of the connections that is closed together when there are too many, so that the search for them is
// rare.
constexpr size_t evictionDivisor = 64;
constexpr int listenBacklog = 1'024;

// Clients that leave while their request is handled are looked for at this interval.
constexpr int64_t peerCheckIntervalMs = 300;

void ClientPresence::setOnLeft(std::function<void()> handler)
{
    {
        const std::lock_guard lock(m_mutex);
        if (!m_hasLeft) {
            m_onLeft = std::move(handler);
            return;
        }
    }
    handler();
}

void ClientPresence::setLeft()
{
    std::function<void()> handler;
    {
        const std::lock_guard lock(m_mutex);
        m_hasLeft = true;
        handler = std::exchange(m_onLeft, {});
    }
    if (handler)
        handler();
}

std::optional<std::string> percentDecode(std::string_view text)
{
    std::string result;
    const auto digit = [](char c) {
        if (c >= '0' && c <= '9')
            return c - '0';
        const char lower = static_cast<char>(c | 0x20);
        return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
    };
    for (size_t i = 0; i < text.size(); ++i) {
        if (text[i] != '%') {
            result.push_back(text[i]);
            continue;
        }
        if (i + 2 >= text.size() || digit(text[i + 1]) < 0 || digit(text[i + 2]) < 0)
            return std::nullopt;
        result.push_back(static_cast<char>(digit(text[i + 1]) * 16 + digit(text[i + 2])));
        i += 2;
    }
    return result;
}

std::string percentEncode(std::string_view text)
{
    static constexpr std::string_view digits = "0123456789ABCDEF";
    static constexpr std::string_view unreserved = "-._~";
    std::string result;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (std::isalnum(byte) || unreserved.find(c) != std::string_view::npos) {
            result.push_back(c);
            continue;
        }
        result.push_back('%');
        result.push_back(digits[byte >> 4U]);
        result.push_back(digits[byte & 0xfU]);
    }
    return result;
}

static std::map<std::string, std::string> parseQuery(std::string_view text)
{
    std::map<std::string, std::string> result;
    while (!text.empty()) {
        const std::string_view pair = text.substr(0, text.find('&'));
        text.remove_prefix(std::min(text.size(), pair.size() + 1));
        const size_t equals = pair.find('=');
        const std::string_view value = equals == std::string_view::npos ? "" : pair.substr(equals + 1);
        result[std::string(pair.substr(0, equals))] = percentDecode(value).value_or(std::string(value));
    }
    return result;
}

HttpRequest toHttpRequest(http::request<ReceivedBody> &&message)
{
    HttpRequest result;
    result.method = std::string_view(message.method_string());
    const std::string_view target = message.target();
    const size_t question = target.find('?');
    result.path = target.substr(0, question);
    if (question != std::string_view::npos)
        result.query = parseQuery(target.substr(question + 1));
    for (const auto &field : message) {
        std::string name(std::string_view(field.name_string()));
        std::transform(name.begin(), name.end(), name.begin(),
                       [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        result.headers[name] = std::string_view(field.value());
    }
    result.body = std::move(message.body());
    return result;
}

struct HttpServer::State : std::enable_shared_from_this<HttpServer::State>
{
    State(IoContext &context, const Address &address)
        : io(context)
        , acceptor(asio::make_strand(context))
        , acceptTimer(acceptor.get_executor())
        , checkTimer(acceptor.get_executor())
        , endpoint(asio::ip::make_address(address.host), address.port)
    { }

    void listen();
    void accept();
    void accepted(TcpSocket socket);
    bool hasRoom(const asio::ip::address &client);
    void checkTimes();
    static void checkPeers(std::span<const std::shared_ptr<HttpSession>> sessions, int64_t nowMs);

    IoContext &io;
    // The handlers of the acceptor and of the timers run on one strand.
    tcp::acceptor acceptor;
    asio::steady_timer acceptTimer;
    asio::steady_timer checkTimer;
    const tcp::endpoint endpoint;
    std::shared_ptr<HttpServerShared> shared = std::make_shared<HttpServerShared>();
    bool isCheckingTimes = false;
    int64_t nextPeerCheckMs = 0;
};

void HttpServer::State::listen()
{
    acceptor.open(endpoint.protocol());
    acceptor.set_option(tcp::acceptor::reuse_address(true));
    // Connections inherit the sizes. By default the kernel lets these buffers grow to megabytes each.
    if (const int bytes = shared->options.socketBufferBytes; bytes > 0) {
        acceptor.set_option(asio::socket_base::receive_buffer_size(bytes));
        acceptor.set_option(asio::socket_base::send_buffer_size(bytes));
    }
    acceptor.bind(endpoint);
    acceptor.listen(listenBacklog);
    accept();
}

void HttpServer::State::accept()
{
    acceptor.async_accept(
        asio::make_strand(io),
        [self = shared_from_this()](const boost::system::error_code &error, TcpSocket socket) {
            if (error == asio::error::operation_aborted || !self->acceptor.is_open())
                return;
            if (!error)
                self->accepted(std::move(socket));
            if (!error || error == asio::error::connection_aborted) {
                self->accept();
                return;
            }
            self->shared->rejected("descriptors", {});
            self->shared->evictConnections(1 + self->shared->connectionCount() / evictionDivisor);
            self->acceptTimer.expires_after(acceptBackoff);
            self->acceptTimer.async_wait([self](const boost::system::error_code &) { self->accept(); });
        });
}

void HttpServer::State::accepted(TcpSocket socket)
{
    boost::system::error_code error;
    const tcp::endpoint remote = socket.remote_endpoint(error);
    // The client may have closed the connection already.
    if (error || !hasRoom(remote.address()))
        return;
    std::make_shared<HttpSession>(std::move(socket), remote.address(), shared)->start();
    if (!std::exchange(isCheckingTimes, true))
        checkTimes();
}

bool HttpServer::State::hasRoom(const asio::ip::address &client)
{
    const HttpServerOptions &options = shared->options;
    if (options.maxConnectionsPerClient > 0
        && shared->connectionsOf(client) >= options.maxConnectionsPerClient) {
        shared->rejected("connections_per_client", client);
        return false;
    }
    if (options.maxConnections == 0 || shared->connectionCount() < options.maxConnections)
        return true;
    shared->rejected("connections", client);
    return shared->evictConnections(1 + options.maxConnections / evictionDivisor);
}

void HttpServer::State::checkTimes()
{
    const int64_t now = Clock::now().count;
    const std::vector<std::shared_ptr<HttpSession>> open = shared->openSessions();
    for (const std::shared_ptr<HttpSession> &session : open)
        session->checkTime(now);
    if (now >= nextPeerCheckMs) {
        nextPeerCheckMs = now + peerCheckIntervalMs;
        checkPeers(open, now);
    }
    isCheckingTimes = !open.empty();
    if (!isCheckingTimes)
        return;
    checkTimer.expires_after(timeCheckInterval);
    checkTimer.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
        if (!error)
            self->checkTimes();
    });
}

void HttpServer::State::checkPeers(std::span<const std::shared_ptr<HttpSession>> sessions, int64_t nowMs)
{
    std::vector<std::shared_ptr<HttpSession>> due;
    for (const std::shared_ptr<HttpSession> &session : sessions) {
        if (session->isPeerCheckDue(nowMs))
            due.push_back(session);
    }
    HttpServerShared::updatePeers(due);
    for (const std::shared_ptr<HttpSession> &session : due) {
        if (session->hasPeerEnded())
            session->checkPeer();
    }
}

HttpServer::HttpServer(IoContext &io, const Address &address, HttpServerOptions options, Handler handler)
    : m_state(std::make_shared<State>(io, address))
{
    m_state->shared->options = std::move(options);
    m_state->shared->handler = std::move(handler);
    m_state->listen();
}

HttpServer::~HttpServer()
{
    stopAccepting();
}

void HttpServer::closeAfterResponses()
{
    m_state->shared->stopping = true;
}

void HttpServer::closeIdle()
{
    for (const std::shared_ptr<HttpSession> &session : m_state->shared->openSessions())
        session->closeIfIdle();
}

void HttpServer::stopAccepting()
{
    closeAfterResponses();
    asio::post(m_state->acceptor.get_executor(), [state = m_state] {
        boost::system::error_code ignored;
        state->acceptor.close(ignored);
        state->acceptTimer.cancel();
    });
}

size_t HttpServer::openRequests() const
{
    return m_state->shared->openRequests;
}

} // namespace turmericwell
