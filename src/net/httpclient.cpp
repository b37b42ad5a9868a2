// HTTP client with a bounded pool of persistent connections to one address.
#include "net/http.h"

#include <boost/asio/post.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <deque>
#include <mutex>
#include <sys/socket.h>

namespace turmericwell {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

namespace {

struct Call
{
    HttpRequest request;
    Millis timeout;
    // Optional check right before sending; may be empty.
    std::function<bool()> maySend;
    std::function<void(HttpResult)> onDone;
};

// Returns true if the peer has closed an idle connection or sent unsolicited data on it.
bool isStale(tcp::socket &socket)
{
    char byte = 0;
    const ssize_t received = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

http::request<http::string_body> toMessage(HttpRequest &&request, const std::string &host)
{
    http::request<http::string_body> message;
    message.version(11);
    message.method_string(request.method);
    message.target(request.path);
    message.set(http::field::host, host);
    for (const auto &[name, value] : request.headers)
        message.set(name, value);
    message.body() = std::move(request.body);
    message.prepare_payload();
    return message;
}

} // namespace

struct HttpClient::State : std::enable_shared_from_this<HttpClient::State>
{
    class Connection;
    using ConnectionPtr = std::shared_ptr<Connection>;

    State(IoContext &context, Address peer, HttpClientOptions clientOptions)
        : io(context)
        , address(std::move(peer))
        , options(std::move(clientOptions))
    { }

    void submit(Call call);
    void release(const ConnectionPtr &connection, bool reusable);

    IoContext &io;
    const Address address;
    const HttpClientOptions options;
    // Guards the members below; never locked while a callback runs.
    std::mutex mutex;
    std::deque<Call> waiting;
    // The one that has been idle the longest is used next: two responses on one connection within the
    // resolution of their numbers could not be told from a repeated one.
    std::deque<ConnectionPtr> idle;
    size_t open = 0;
};

class HttpClient::State::Connection : public std::enable_shared_from_this<Connection>
{
public:
    explicit Connection(std::shared_ptr<State> owner)
        : m_owner(std::move(owner))
        , m_stream(asio::make_strand(m_owner->io))
        , m_buffer(m_owner->options.maxHeaderBytes)
    { }

    // Starts a call. The connection holds a reference to the client's state until the call finishes; an idle
    // connection holds none, so that it does not keep the state alive.
    void run(std::shared_ptr<State> owner, Call call)
    {
        m_owner = std::move(owner);
        asio::post(m_stream.get_executor(), [self = shared_from_this(), call = std::move(call)]() mutable {
            self->begin(std::move(call));
        });
    }

private:
    void begin(Call call)
    {
        m_call = std::move(call);
        m_message = toMessage(std::move(m_call.request), m_owner->address.text());
        if (m_connected && !isStale(m_stream.socket())) {
            write();
            return;
        }
        m_connected = false;
        m_responses = 0;
        m_lastNumber.reset();
        m_buffer.clear();
        beast::error_code ignored;
        m_stream.socket().close(ignored);
        m_stream.expires_after(std::chrono::milliseconds(m_owner->options.connectTimeout.count));
        const tcp::endpoint endpoint(asio::ip::make_address(m_owner->address.host), m_owner->address.port);
        m_stream.async_connect(endpoint, [self = shared_from_this()](const beast::error_code &error) {
            if (error) {
                self->finish({.error = error.message(), .sent = false});
                return;
            }
            beast::error_code optionError;
            self->m_stream.socket().set_option(tcp::no_delay(true), optionError);
            self->m_connected = true;
            self->write();
        });
    }

    void write()
    {
        if (m_call.maySend && !m_call.maySend()) {
            finish({.error = "withheld", .sent = false, .withheld = true});
            return;
        }
        m_stream.expires_after(std::chrono::milliseconds(m_call.timeout.count));
        http::async_write(m_stream, m_message,
                          [self = shared_from_this()](const beast::error_code &error, size_t) {
                              if (error)
                                  self->finish({.error = error.message(), .sent = true});
                              else
                                  self->read();
                          });
    }

    void read()
    {
        m_parser.emplace();
        m_parser->body_limit(m_owner->options.maxBodyBytes);
        m_parser->header_limit(m_owner->options.maxHeaderBytes);
        http::async_read(m_stream, m_buffer, *m_parser,
                         [self = shared_from_this()](const beast::error_code &error, size_t) {
                             if (error)
                                 self->finish({.error = error.message(), .sent = true});
                             else
                                 self->complete();
                         });
    }

    void complete()
    {
        const bool hasSurplus = m_buffer.size() > 0;
        if (hasSurplus && m_responses > 0) {
            // Either this response or the data after it belongs to an earlier request.
            finish({.error = "data after the response", .sent = true});
            return;
        }
        ++m_responses;
        m_connected = !hasSurplus && m_parser->get().keep_alive();
        auto message = m_parser->release();
        HttpResponse response;
        response.status = static_cast<int>(message.result_int());
        for (const auto &field : message) {
            std::string name(std::string_view(field.name_string()));
            std::transform(name.begin(), name.end(), name.begin(),
                           [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
            response.headers[name] = std::string_view(field.value());
        }
        response.body = std::move(message.body());
        const bool isOutdated = m_owner->options.responseNumber && !recordNumber(response);
        finish({.response = std::move(response), .sent = true, .isOutdated = isOutdated});
    }

    // Returns false if the response may be a second one to an earlier request.
    bool recordNumber(const HttpResponse &response)
    {
        const std::optional<uint64_t> number = m_owner->options.responseNumber(response);
        const bool isNew = !number || !m_lastNumber || *number > *m_lastNumber;
        m_connected = m_connected && number && isNew;
        m_lastNumber = number;
        return isNew;
    }

    void finish(HttpResult result)
    {
        const bool reusable = result.response.has_value() && m_connected;
        if (!reusable) {
            m_connected = false;
            m_buffer.clear();
            beast::error_code ignored;
            m_stream.socket().close(ignored);
        }
        m_stream.expires_never();
        const auto onDone = std::move(m_call.onDone);
        m_call = {};
        const std::shared_ptr<State> owner = std::move(m_owner);
        owner->release(shared_from_this(), reusable);
        onDone(std::move(result));
    }

    std::shared_ptr<State> m_owner;
    beast::tcp_stream m_stream;
    // Its limit bounds what the parser leaves in it: trailers and headers of chunks without an end.
    beast::flat_buffer m_buffer;
    http::request<http::string_body> m_message;
    std::optional<http::response_parser<http::string_body>> m_parser;
    Call m_call;
    // Responses received on the present connection.
    uint64_t m_responses = 0;
    // Number of the last response on the present connection, if the client's responses have numbers.
    std::optional<uint64_t> m_lastNumber;
    bool m_connected = false;
};

void HttpClient::State::submit(Call call)
{
    ConnectionPtr connection;
    {
        const std::lock_guard lock(mutex);
        if (!idle.empty()) {
            connection = std::move(idle.front());
            idle.pop_front();
        } else if (open < options.maxConnections) {
            ++open;
            connection = std::make_shared<Connection>(shared_from_this());
        } else {
            waiting.push_back(std::move(call));
            return;
        }
    }
    connection->run(shared_from_this(), std::move(call));
}

void HttpClient::State::release(const ConnectionPtr &connection, bool reusable)
{
    Call next;
    {
        const std::lock_guard lock(mutex);
        if (waiting.empty()) {
            if (reusable)
                idle.push_back(connection);
            else
                --open;
            return;
        }
        next = std::move(waiting.front());
        waiting.pop_front();
    }
    connection->run(shared_from_this(), std::move(next));
}

HttpClient::HttpClient(IoContext &io, Address address, HttpClientOptions options)
    : m_state(std::make_shared<State>(io, std::move(address), std::move(options)))
{ }

HttpClient::~HttpClient() = default;

void HttpClient::request(HttpRequest request, Millis timeout, std::function<void(HttpResult)> onDone)
{
    this->request(std::move(request), timeout, nullptr, std::move(onDone));
}

void HttpClient::request(HttpRequest request, Millis timeout, std::function<bool()> maySend,
                         std::function<void(HttpResult)> onDone)
{
    m_state->submit({.request = std::move(request),
                     .timeout = timeout,
                     .maySend = std::move(maySend),
                     .onDone = std::move(onDone)});
}

} // namespace turmericwell
