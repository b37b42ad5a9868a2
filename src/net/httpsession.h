// One connection of the HTTP server. Included by the server's source files only, since it includes Beast.
#pragma once

#include "net/bytebudget.h"
#include "net/http.h"

#include <atomic>
#include <boost/asio/strand.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <mutex>
#include <set>
#include <span>

namespace turmericwell {

class HttpSession;

// State that the sessions of a server share.
struct HttpServerShared
{
    HttpServerOptions options;
    HttpServer::Handler handler;
    std::atomic<size_t> openRequests = 0;
    std::atomic<bool> stopping = false;
    // Guards the members below.
    std::mutex mutex;
    // Sessions of the open connections.
    std::set<HttpSession *> sessions;
    // Only if the connections of each client are limited: their number by address.
    std::map<boost::asio::ip::address, size_t> connectionsByClient;

    // The address is unspecified if none is known.
    void rejected(std::string_view limit, const boost::asio::ip::address &client) const;
    size_t connectionCount();
    size_t connectionsOf(const boost::asio::ip::address &client);
    std::vector<std::shared_ptr<HttpSession>> openSessions();
    // Finds out which clients have closed their side of the connection while their request is handled.
    static void updatePeers(std::span<const std::shared_ptr<HttpSession>> sessions);
    // Closes up to `most` connections, in the order of HttpSession::evictionRank. Returns false if none may
    // be closed.
    bool evictConnections(size_t most);
    // Closes connections that have held much of the budget for a while and whose request is not complete.
    void evictHolders(int64_t nowMs);

private:
    std::atomic<int64_t> m_nextEvictionMs = 0;
};

// Body of a request in a string. Memory is taken as the bytes arrive, not for the length that the client
// announces.
struct ReceivedBody
{
    using value_type = std::string;

    // Beast requires this name.
    class reader // NOLINT(readability-identifier-naming)
    {
    public:
        template <bool isRequest, typename Fields>
        reader(boost::beast::http::header<isRequest, Fields> &, value_type &body)
            : m_body(body)
        { }
        void init(const boost::optional<uint64_t> &length, boost::beast::error_code &error)
        {
            m_length = length.value_or(0);
            error = {};
        }
        template <typename Buffers>
        size_t put(const Buffers &buffers, boost::beast::error_code &error)
        {
            const size_t bytes = boost::asio::buffer_size(buffers);
            // The announced length is reserved at once when a part of it has arrived, so that the string does
            // not grow beyond it.
            if (m_body.size() + bytes > m_body.capacity() && m_body.size() + bytes > m_length / 8)
                m_body.reserve(std::max<size_t>(m_length, m_body.size() + bytes));
            for (const boost::asio::const_buffer part : boost::beast::buffers_range_ref(buffers))
                m_body.append(static_cast<const char *>(part.data()), part.size());
            error = {};
            return bytes;
        }
        void finish(boost::beast::error_code &error) { error = {}; }

    private:
        value_type &m_body;
        uint64_t m_length = 0;
    };
};

HttpRequest toHttpRequest(boost::beast::http::request<ReceivedBody> &&message);

// All handlers run on the strand of the socket. Between requests a session holds no buffer.
class HttpSession : public std::enable_shared_from_this<HttpSession>
{
public:
    HttpSession(TcpSocket socket, const boost::asio::ip::address &client,
                std::shared_ptr<HttpServerShared> shared);
    ~HttpSession();
    HttpSession(const HttpSession &) = delete;
    HttpSession &operator=(const HttpSession &) = delete;

    void start();
    // The calls below are callable from any thread.
    void closeIfIdle();
    // Closes the connection if its time limit is exceeded.
    void checkTime(int64_t nowMs);
    // True if a request has been handled for long enough that its client may have left.
    bool isPeerCheckDue(int64_t nowMs) const;
    int handle() const { return m_handle; }
    bool hasPeerEnded() const { return m_peerEnded; }
    void setPeerEnded(bool hasEnded) { m_peerEnded = hasEnded; }
    // Closes the connection if the client that has ended its side does not read any more either.
    void checkPeer();
    // Closes the connection unless a request is being handled whose client may still wait.
    void evict();
    // Position in the order in which connections are closed to make room for others: the lowest first, and
    // nullopt for a connection that must stay.
    std::optional<int64_t> evictionRank() const;
    bool holdsIncompleteRequest(int64_t nowMs) const;

private:
    enum class Phase : uint8_t {
        // Waits for the first byte of a request.
        Idle,
        Header,
        Body,
        // The handler has the request.
        Handling,
        Writing,
        // Discards what the client still sends, so that it can read the last response.
        Draining,
        Closed,
    };
    using Parser = boost::beast::http::request_parser<ReceivedBody>;

    void enter(Phase phase);
    void beginRequest();
    void waitReadable();
    void readAvailable();
    // Returns false if the session has ended or the request was rejected.
    bool consume(std::string_view data);
    bool parse(std::string_view data, size_t &used);
    bool withinLimits();
    bool chargeHeld();
    void reject(int status, std::string_view limit, std::string_view reason);
    void rejectMalformed(const boost::beast::error_code &error);
    void dispatch();
    void answer(const HttpResponse &response);
    void write(const HttpResponse &response);
    void continueWriting();
    void written();
    void close();

    TcpSocket m_socket;
    // Descriptor of the socket; -1 once it is closed.
    std::atomic<int> m_handle;
    const boost::asio::ip::address m_client;
    std::shared_ptr<HttpServerShared> m_shared;
    std::optional<Parser> m_parser;
    // Received bytes that the parser has not taken: the start of an incomplete line, or the next request.
    std::string m_unparsed;
    std::string m_output;
    size_t m_outputSent = 0;
    // Bytes of the current message, including the overhead of its chunks.
    uint64_t m_messageBytes = 0;
    uint64_t m_headerBytes = 0;
    // Bytes of the budget that this session holds.
    std::atomic<uint64_t> m_charged = 0;
    size_t m_drained = 0;
    bool m_keepAlive = true;
    bool m_drainAfterWrite = false;
    // Has served a request.
    std::atomic<bool> m_served = false;
    std::atomic<bool> m_evicting = false;
    // The client has ended its side of the connection while its request is handled.
    std::atomic<bool> m_peerEnded = false;
    // An interim response has been sent to find out whether such a client still reads.
    bool m_peerProbed = false;
    // The client understands interim responses.
    bool m_takesInterim = false;
    // Of the request that is being handled.
    std::shared_ptr<ClientPresence> m_presence;
    std::atomic<Phase> m_phase = Phase::Idle;
    // When the phase began, and its time limit, on the steady clock.
    std::atomic<int64_t> m_sinceMs = 0;
    std::atomic<int64_t> m_deadlineMs = INT64_MAX;
};

} // namespace turmericwell
