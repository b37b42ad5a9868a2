// HTTP/1.1 server and client on Boost.Beast. Beast itself stays in the source files.
#pragma once

#include "net/address.h"
#include "net/framelink.h"
#include "turmericwell/millis.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace turmericwell {

struct HttpRequest
{
    std::string method;
    // Path without the query, still percent-encoded.
    std::string path;
    std::map<std::string, std::string> query;
    // Header names are in lower case.
    std::map<std::string, std::string> headers;
    std::string body;
};

struct HttpResponse
{
    int status = 200;
    std::map<std::string, std::string> headers;
    std::string body;
    std::string contentType = "application/json";
};

// May be called once, from any thread. Dropping it unused closes the connection with status 500.
using HttpResponder = std::function<void(HttpResponse)>;

struct HttpServerOptions
{
    uint32_t maxBodyBytes = 4U << 20U;
    // A connection without a request for this long is closed.
    Millis idleTimeout = {60'000};
};

// Accepts connections until it is destroyed or stopAccepting is called.
class HttpServer
{
public:
    using Handler = std::function<void(HttpRequest, HttpResponder)>;

    HttpServer(IoContext &io, const Address &address, HttpServerOptions options, Handler handler);
    ~HttpServer();

    // Connections are closed after the next response; new ones are still accepted.
    void closeAfterResponses();
    // Closes the connections on which no request is being read or answered.
    void closeIdle();
    void stopAccepting();
    // Requests that were read and not answered yet.
    size_t openRequests() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

struct HttpResult
{
    // Empty if no whole response was received; then error says why.
    std::optional<HttpResponse> response;
    std::string error;
    // False only if the peer cannot have received any part of the request.
    bool sent = false;
    // The caller's check right before sending forbade it.
    bool withheld = false;
};

struct HttpClientOptions
{
    size_t maxConnections = 8;
    // A response with a larger body is an error.
    uint64_t maxBodyBytes = 16U << 20U;
    Millis connectTimeout = {1'000};
};

// Sends requests to one address over kept connections. Requests beyond maxConnections wait in order. A
// request is never sent twice.
class HttpClient
{
public:
    HttpClient(IoContext &io, Address address, HttpClientOptions options = {});
    ~HttpClient();

    // Thread-safe. The callback runs once, on a thread of the context.
    void request(HttpRequest request, Millis timeout, std::function<void(HttpResult)> onDone);
    // Sends only if maySend returns true once a connection is ready.
    void request(HttpRequest request, Millis timeout, std::function<bool()> maySend,
                 std::function<void(HttpResult)> onDone);

private:
    struct State;
    std::shared_ptr<State> m_state;
};

// Decodes %XX; returns nothing if the text is not well formed.
std::optional<std::string> percentDecode(std::string_view text);

} // namespace turmericwell
