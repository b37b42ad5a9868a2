// HTTP/1.1 server and client based on Boost.Beast. Only the source files include Beast headers.
#pragma once

#include "net/address.h"
#include "net/framelink.h"
#include "turmericwell/millis.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace turmericwell {

// Whether the client of a request still waits for the response. Thread-safe.
class ClientPresence
{
public:
    // The handler is called once if the client closes its connection before it has the response, and at once
    // if it has done so already.
    void setOnLeft(std::function<void()> handler);
    void setLeft();

private:
    std::mutex m_mutex;
    bool m_hasLeft = false;
    std::function<void()> m_onLeft;
};

struct HttpRequest
{
    std::string method;
    // Path without the query string, still percent-encoded.
    std::string path;
    std::map<std::string, std::string> query;
    // Keyed by header name in lower case.
    std::map<std::string, std::string> headers;
    std::string body;
    // Only of requests that an HttpServer has received.
    std::shared_ptr<ClientPresence> client = {};
};

struct HttpResponse
{
    int status = 200;
    std::map<std::string, std::string> headers;
    std::string body;
    std::string contentType = "application/json";
};

// Sends the response. Callable from any thread; only the first call has an effect. Discarding it without a
// call sends status 500.
using HttpResponder = std::function<void(HttpResponse)>;

class ByteBudget;

// A request beyond a limit is answered with an error status, or its connection is closed; the handler does
// not get it.
struct HttpServerOptions
{
    uint32_t maxBodyBytes = 4U << 20U;
    // For the start line and the headers together, for the header of a chunk, and for the trailers.
    uint32_t maxHeaderBytes = 32'768;
    // Limits the wait for the next request on a connection.
    Millis idleTimeout = {60'000};
    // Limits the reading of a header from its first byte, and that of the rest of the message after it.
    Millis readTimeout = {60'000};
    Millis writeTimeout = {60'000};
    // At the limit, connections that have waited the longest are closed for new ones. 0: no limit.
    size_t maxConnections = 0;
    // Further connections from the same address are closed. 0: no limit.
    size_t maxConnectionsPerClient = 0;
    // Sizes of the kernel's buffers of each connection; 0: as the kernel chooses.
    int socketBufferBytes = 0;
    // Bounds the bytes of requests that are being read or handled; may be null, and shared by several
    // servers.
    std::shared_ptr<ByteBudget> budget;
    // Called with the name of the limit and the client's address for each request or connection that is
    // rejected by a limit. May be empty; callable from any thread.
    std::function<void(std::string_view limit, const std::string &client)> onRejected;
};

// Accepts connections until destroyed or until stopAccepting is called.
class HttpServer
{
public:
    using Handler = std::function<void(HttpRequest, HttpResponder)>;

    HttpServer(IoContext &io, const Address &address, HttpServerOptions options, Handler handler);
    ~HttpServer();

    // Closes each connection after its next response. New connections are still accepted.
    void closeAfterResponses();
    // Closes the connections on which no request is being received or processed.
    void closeIdle();
    void stopAccepting();
    // Number of requests that were received and not yet answered.
    size_t openRequests() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

struct HttpResult
{
    // Empty if no complete response was received; error then holds the reason.
    std::optional<HttpResponse> response;
    std::string error;
    // False only if the peer cannot have received any part of the request.
    bool sent = false;
    // The request was not sent because the caller's maySend returned false.
    bool withheld = false;
    // The response may be a second one to an earlier request; the outcome of this one is unknown.
    bool isOutdated = false;
};

struct HttpClientOptions
{
    size_t maxConnections = 8;
    // A response with a larger body fails the request.
    uint64_t maxBodyBytes = 16U << 20U;
    // The same for its headers, the header of a chunk, and its trailers.
    uint32_t maxHeaderBytes = 65'536;
    Millis connectTimeout = {1'000};
    // Returns a number that rises with each response of the peer, or nullopt for a response without one. If
    // set, HttpResult::isOutdated marks the responses that may belong to an earlier request.
    std::function<std::optional<uint64_t>(const HttpResponse &)> responseNumber;
};

// Sends requests to one address over persistent connections. While maxConnections are in use, further
// requests are queued in FIFO order. A request is never retransmitted.
//
// HTTP matches a response with its request by the order on the connection only. A peer that answers a request
// twice shifts that order, and a late second response looks like the response to the next request. What can
// be noticed leaves the request without a response and closes the connection: data on an idle connection, and
// data after the response to a request that is not the first of its connection. A caller whose decisions must
// not rest on the response to another request sets HttpClientOptions::responseNumber. A second response
// repeats one that was received before on the same connection, so its number is not higher than the last one
// there. The connection is closed after it, and after a response without a number, so that no later response
// is shifted.
class HttpClient
{
public:
    HttpClient(IoContext &io, Address address, HttpClientOptions options = {});
    ~HttpClient();

    // Thread-safe. The callback runs once, on a thread of the io context. The timeout applies from the start
    // of sending to the complete response, not to queueing or connecting.
    void request(HttpRequest request, Millis timeout, std::function<void(HttpResult)> onDone);
    // Calls maySend once a connection is established, and sends the request only if it returns true.
    void request(HttpRequest request, Millis timeout, std::function<bool()> maySend,
                 std::function<void(HttpResult)> onDone);

private:
    struct State;
    std::shared_ptr<State> m_state;
};

// Decodes percent-encoding (%XX); returns nullopt if the text contains an invalid escape sequence.
std::optional<std::string> percentDecode(std::string_view text);
// Encodes a value for a query; letters, digits and "-._~" stay as they are.
std::string percentEncode(std::string_view text);

} // namespace turmericwell
