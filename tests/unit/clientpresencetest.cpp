// Tests of clients that close their connection, or their side of it, while the server handles their request.
#include "net/http.h"

#include <atomic>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <thread>

namespace turmericwell {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

// A server that answers each request when it is told to.
class HeldServer
{
public:
    HeldServer()
    {
        tcp::acceptor probe(m_io, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
        m_endpoint = probe.local_endpoint();
        probe.close();
        m_server = std::make_unique<HttpServer>(m_io, Address{.host = "127.0.0.1", .port = m_endpoint.port()},
                                                HttpServerOptions{},
                                                [this](const HttpRequest &request, HttpResponder respond) {
                                                    request.client->setOnLeft([this] { m_hasLeft = true; });
                                                    m_respond = std::move(respond);
                                                    m_hasRequest = true;
                                                });
        m_thread = std::thread([this] { m_io.run(); });
    }
    ~HeldServer()
    {
        m_io.stop();
        m_thread.join();
        m_respond = {};
    }
    HeldServer(const HeldServer &) = delete;
    HeldServer &operator=(const HeldServer &) = delete;

    // Connects and sends a request, and waits until the server handles it.
    tcp::socket request(std::string_view version)
    {
        tcp::socket socket(m_clientIo);
        socket.connect(m_endpoint);
        asio::write(socket, asio::buffer("GET / HTTP/" + std::string(version) + "\r\nHost: x\r\n\r\n"));
        waitFor(m_hasRequest);
        return socket;
    }
    bool waitUntilLeft() { return waitFor(m_hasLeft); }
    bool hasLeft() const { return m_hasLeft; }
    void respond() { m_respond({.body = "late"}); }

private:
    // The limit only bounds a hang.
    static bool waitFor(const std::atomic<bool> &condition)
    {
        for (int i = 0; i < 2'000 && !condition; ++i)
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        return condition;
    }

    IoContext m_io;
    IoContext m_clientIo;
    tcp::endpoint m_endpoint;
    HttpResponder m_respond;
    std::atomic<bool> m_hasRequest = false;
    std::atomic<bool> m_hasLeft = false;
    std::unique_ptr<HttpServer> m_server;
    std::thread m_thread;
};

} // namespace

BOOST_AUTO_TEST_SUITE(ClientPresenceTest)

// Guards against work that goes on for a client that has closed its connection.
BOOST_AUTO_TEST_CASE(clientThatClosesIsNoticed)
{
    for (const std::string_view version : {"1.1", "1.0"}) {
        HeldServer server;
        server.request(version).close();
        BOOST_TEST(server.waitUntilLeft());
    }
}

// Guards against the same if further requests are waiting in the connection, behind which the end is not
// read.
BOOST_AUTO_TEST_CASE(clientThatClosesBehindFurtherRequestsIsNoticed)
{
    HeldServer server;
    tcp::socket socket = server.request("1.1");
    asio::write(socket, asio::buffer(std::string("GET / HTTP/1.1\r\nHost: x\r\n\r\n")));
    socket.close();
    BOOST_TEST(server.waitUntilLeft());
}

// Guards against a connection that is closed although its client has only ended its own side, and still
// reads.
BOOST_AUTO_TEST_CASE(clientThatEndsItsSideIsAnswered)
{
    HeldServer server;
    tcp::socket socket = server.request("1.1");
    socket.shutdown(tcp::socket::shutdown_send);
    // The interim response tells that the server has looked at the connection.
    std::string text;
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
    asio::read(socket, asio::dynamic_buffer(text), asio::transfer_exactly(interim.size()));
    BOOST_TEST(text == interim);
    std::this_thread::sleep_for(std::chrono::milliseconds(700));
    BOOST_TEST(!server.hasLeft());
    server.respond();
    boost::system::error_code error;
    asio::read(socket, asio::dynamic_buffer(text), error);
    BOOST_TEST(text.ends_with("late"));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace turmericwell
