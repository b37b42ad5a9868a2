// HTTP server with one session object per connection, each on its own strand.
#include "net/http.h"

#include <atomic>
#include <boost/asio/post.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <mutex>
#include <set>

namespace turmericwell {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

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

static HttpRequest toRequest(http::request<http::string_body> &&message)
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

namespace {

class HttpSession;

struct ServerShared
{
    HttpServerOptions options;
    HttpServer::Handler handler;
    std::atomic<size_t> openRequests = 0;
    std::atomic<bool> stopping = false;
    // Sessions of the open connections; guarded by the mutex.
    std::mutex mutex;
    std::set<HttpSession *> sessions;
};

class HttpSession : public std::enable_shared_from_this<HttpSession>
{
public:
    HttpSession(TcpSocket socket, std::shared_ptr<ServerShared> shared)
        : m_stream(std::move(socket))
        , m_shared(std::move(shared))
    {
        boost::system::error_code ignored;
        m_stream.socket().set_option(tcp::no_delay(true), ignored);
        const std::lock_guard lock(m_shared->mutex);
        m_shared->sessions.insert(this);
    }
    ~HttpSession()
    {
        const std::lock_guard lock(m_shared->mutex);
        m_shared->sessions.erase(this);
    }
    HttpSession(const HttpSession &) = delete;
    HttpSession &operator=(const HttpSession &) = delete;

    void closeIfIdle()
    {
        asio::post(m_stream.get_executor(), [self = shared_from_this()] {
            if (self->m_reading && self->m_buffer.size() == 0 && !self->m_parser->got_some()) {
                beast::error_code ignored;
                self->m_stream.socket().cancel(ignored);
            }
        });
    }

    void read()
    {
        m_reading = true;
        m_parser.emplace();
        m_parser->body_limit(m_shared->options.maxBodyBytes);
        m_stream.expires_after(std::chrono::milliseconds(m_shared->options.idleTimeout.count));
        http::async_read(
            m_stream, m_buffer, *m_parser,
            [self = shared_from_this()](const beast::error_code &error, size_t) { self->onRead(error); });
    }

private:
    void onRead(const beast::error_code &error)
    {
        m_reading = false;
        if (error == http::error::body_limit) {
            m_keepAlive = false;
            write({.status = 413, .body = R"({"outcome":"not_run","reason":"too_large"})"});
            return;
        }
        // Only malformed HTTP gets an error response. After a transport error or time-out the connection is
        // closed without one.
        const bool badHttp = error.category() == http::make_error_code(http::error::bad_method).category()
            && error != http::error::end_of_stream && error != http::error::partial_message;
        if (error && !badHttp) {
            close();
            return;
        }
        if (error) {
            m_keepAlive = false;
            write(
                {.status = 400, .body = R"({"outcome":"not_run","reason":"bad_input","detail":"bad HTTP"})"});
            return;
        }
        dispatch();
    }

    void dispatch()
    {
        m_stream.expires_never();
        m_keepAlive = m_parser->get().keep_alive();
        ++m_shared->openRequests;
        // Sends status 500 if the handler discards the responder without calling it.
        struct Guard
        {
            std::shared_ptr<HttpSession> session;
            std::atomic<bool> answered = false;
            void answer(HttpResponse response)
            {
                if (!answered.exchange(true))
                    session->postWrite(std::move(response));
            }
            ~Guard() { answer({.status = 500, .body = R"({"outcome":"unknown","reason":"internal"})"}); }
        };
        auto guard = std::make_shared<Guard>();
        guard->session = shared_from_this();
        m_shared->handler(toRequest(m_parser->release()),
                          [guard](HttpResponse response) { guard->answer(std::move(response)); });
    }

    void postWrite(HttpResponse response)
    {
        asio::post(m_stream.get_executor(),
                   [self = shared_from_this(), response = std::move(response)]() mutable {
                       --self->m_shared->openRequests;
                       self->write(std::move(response));
                   });
    }

    void write(HttpResponse response)
    {
        m_response = {};
        m_response.version(11);
        m_response.result(static_cast<unsigned>(response.status));
        m_response.set(http::field::content_type, response.contentType);
        for (const auto &[name, value] : response.headers)
            m_response.set(name, value);
        m_response.body() = std::move(response.body);
        m_response.keep_alive(m_keepAlive && !m_shared->stopping);
        m_response.prepare_payload();
        m_stream.expires_after(std::chrono::milliseconds(m_shared->options.idleTimeout.count));
        http::async_write(m_stream, m_response,
                          [self = shared_from_this()](const beast::error_code &error, size_t) {
                              if (error || self->m_response.need_eof())
                                  self->close();
                              else
                                  self->read();
                          });
    }

    void close()
    {
        beast::error_code ignored;
        m_stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    }

    beast::tcp_stream m_stream;
    std::shared_ptr<ServerShared> m_shared;
    beast::flat_buffer m_buffer;
    std::optional<http::request_parser<http::string_body>> m_parser;
    http::response<http::string_body> m_response;
    bool m_keepAlive = true;
    // True while the session waits for a request or reads one.
    bool m_reading = false;
};

} // namespace

struct HttpServer::State : std::enable_shared_from_this<HttpServer::State>
{
    State(IoContext &context, const Address &address)
        : io(context)
        , acceptor(context, tcp::endpoint(asio::ip::make_address(address.host), address.port))
    { }

    void accept()
    {
        acceptor.async_accept(asio::make_strand(io),
                              [self = shared_from_this()](const beast::error_code &error, TcpSocket socket) {
                                  if (error == asio::error::operation_aborted)
                                      return;
                                  if (!error)
                                      std::make_shared<HttpSession>(std::move(socket), self->shared)->read();
                                  self->accept();
                              });
    }

    IoContext &io;
    tcp::acceptor acceptor;
    std::shared_ptr<ServerShared> shared = std::make_shared<ServerShared>();
};

HttpServer::HttpServer(IoContext &io, const Address &address, HttpServerOptions options, Handler handler)
    : m_state(std::make_shared<State>(io, address))
{
    m_state->shared->options = options;
    m_state->shared->handler = std::move(handler);
    m_state->accept();
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
    std::vector<std::shared_ptr<HttpSession>> open;
    {
        const std::lock_guard lock(m_state->shared->mutex);
        for (HttpSession *session : m_state->shared->sessions) {
            if (std::shared_ptr<HttpSession> alive = session->weak_from_this().lock())
                open.push_back(std::move(alive));
        }
    }
    for (const std::shared_ptr<HttpSession> &session : open)
        session->closeIfIdle();
}

void HttpServer::stopAccepting()
{
    closeAfterResponses();
    asio::post(m_state->acceptor.get_executor(), [state = m_state] {
        beast::error_code ignored;
        state->acceptor.close(ignored);
    });
}

size_t HttpServer::openRequests() const
{
    return m_state->shared->openRequests;
}

} // namespace turmericwell
