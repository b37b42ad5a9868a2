// Tests of the HTTP client beside a server that answers a request twice, at once or after the next request.
#include "net/http.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <atomic>
#include <thread>

namespace turmericwell {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

enum class SecondAnswer : uint8_t { None, AtOnce, AfterTheNextRequest };

// Answers each request with its number, counted over all connections, and the first request on each
// connection twice unless told otherwise.
class RepeatingServer
{
public:
    explicit RepeatingServer(SecondAnswer second)
        : m_second(second)
        , m_acceptor(m_io, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
        , m_thread([this] { serve(); })
    { }

    ~RepeatingServer()
    {
        m_stopping = true;
        boost::system::error_code ignored;
        tcp::socket(m_io).connect(m_acceptor.local_endpoint(), ignored);
        m_thread.join();
    }

    RepeatingServer(const RepeatingServer &) = delete;
    RepeatingServer &operator=(const RepeatingServer &) = delete;

    Address address() const { return {.host = "127.0.0.1", .port = m_acceptor.local_endpoint().port()}; }
    uint32_t connections() const { return m_connections; }

private:
    void serve()
    {
        while (true) {
            tcp::socket socket = m_acceptor.accept();
            if (m_stopping)
                return;
            ++m_connections;
            try {
                serveConnection(socket);
            } catch (const boost::system::system_error &) {
                // The client has closed the connection.
            }
        }
    }

    void serveConnection(tcp::socket &socket)
    {
        const std::string first = readRequest(socket);
        const bool atOnce = m_second == SecondAnswer::AtOnce;
        asio::write(socket, asio::buffer(atOnce ? first + first : first));
        for (bool isSecondRequest = true;; isSecondRequest = false) {
            const std::string answer = readRequest(socket);
            if (isSecondRequest && m_second == SecondAnswer::AfterTheNextRequest) {
                asio::write(socket, asio::buffer(first));
                std::this_thread::sleep_for(std::chrono::milliseconds(5));
            }
            asio::write(socket, asio::buffer(answer));
        }
    }

    // Returns the answer to the request.
    std::string readRequest(tcp::socket &socket)
    {
        asio::streambuf buffer;
        asio::read_until(socket, buffer, "\r\n\r\n");
        const std::string body = std::to_string(++m_requests);
        return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    const SecondAnswer m_second;
    IoContext m_io;
    tcp::acceptor m_acceptor;
    std::atomic<bool> m_stopping = false;
    std::atomic<uint32_t> m_connections = 0;
    uint32_t m_requests = 0;
    std::thread m_thread;
};

std::optional<uint64_t> numberOf(const HttpResponse &response)
{
    return std::stoull(response.body);
}

// Returns the body of the response, or an empty text if the request counts as unanswered.
std::string request(IoContext &io, HttpClient &client)
{
    std::string body;
    client.request({.method = "GET", .path = "/"}, Millis{1'000}, [&](const HttpResult &result) {
        body = result.response && !result.isOutdated ? result.response->body : "";
    });
    io.restart();
    io.run();
    return body;
}

} // namespace

BOOST_AUTO_TEST_SUITE(HttpClientTest)

// Guards against a second answer, received together with the first, that is read as the next answer.
BOOST_AUTO_TEST_CASE(answerThatIsSentTwiceAtOnceIsReadOnce)
{
    RepeatingServer server(SecondAnswer::AtOnce);
    IoContext io;
    HttpClient client(io, server.address(), {.maxConnections = 1});
    BOOST_TEST(request(io, client) == "1");
    BOOST_TEST(request(io, client) == "2");
    BOOST_TEST(request(io, client) == "3");
}

// Guards against a late second answer that is read as the answer to the next request, and against a
// connection on which all answers after it are shifted by one.
BOOST_AUTO_TEST_CASE(lateSecondAnswerIsNoAnswerToTheNextRequest)
{
    RepeatingServer server(SecondAnswer::AfterTheNextRequest);
    IoContext io;
    HttpClient client(io, server.address(), {.maxConnections = 1, .responseNumber = numberOf});
    BOOST_TEST(request(io, client) == "1");
    BOOST_TEST(request(io, client).empty());
    BOOST_TEST(request(io, client) == "3");
    BOOST_TEST(server.connections() == 2U);
}

// Guards against a second answer without a number that is read as the answer to the next request.
BOOST_AUTO_TEST_CASE(connectionIsNotReusedAfterAnAnswerWithoutANumber)
{
    RepeatingServer server(SecondAnswer::AfterTheNextRequest);
    IoContext io;
    HttpClient client(io, server.address(), {.maxConnections = 1, .responseNumber = [](const HttpResponse &) {
                                                 return std::nullopt;
                                             }});
    BOOST_TEST(request(io, client) == "1");
    BOOST_TEST(request(io, client) == "2");
    BOOST_TEST(server.connections() == 2U);
}

// Guards against a new connection for each request: a peer that answers once is called on one connection.
BOOST_AUTO_TEST_CASE(connectionIsReused)
{
    RepeatingServer server(SecondAnswer::None);
    IoContext io;
    HttpClient client(io, server.address(), {.maxConnections = 1, .responseNumber = numberOf});
    BOOST_TEST(request(io, client) == "1");
    BOOST_TEST(request(io, client) == "2");
    BOOST_TEST(request(io, client) == "3");
    BOOST_TEST(server.connections() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace turmericwell
