// Fuzz target: connections of the HTTP server. A part of the input is sent again and again; after each piece,
// what the server keeps must be within the limits, and after the end of the connection nothing.
#include "net/bytebudget.h"
#include "net/http.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <cstdio>
#include <cstdlib>
#include <sanitizer/allocator_interface.h>
#include <span>
#include <vector>

namespace turmericwell {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr uint32_t maxHeaderBytes = 1'024;
constexpr uint32_t maxBodyBytes = 4'096;
// One connection: the parsed header and its fields, unparsed bytes, a body whose buffer may be twice its
// size, and the response.
constexpr size_t mostKeptBytes = 96 * 1'024;

// Much more than a connection may keep.
constexpr size_t mostSentBytes = 192 * 1'024;
// Bounds the time that an input takes.
constexpr size_t mostPieces = 48;
constexpr size_t pieceUnit = 64;

void require(bool condition, const char *what)
{
    if (condition)
        return;
    std::fprintf(stderr, "fuzz_http: %s\n", what);
    std::abort();
}

class Target
{
public:
    Target()
    {
        tcp::acceptor probe(m_io, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
        m_endpoint = probe.local_endpoint();
        probe.close();
        m_server = std::make_unique<HttpServer>(
            m_io, Address{.host = "127.0.0.1", .port = m_endpoint.port()},
            HttpServerOptions{
                .maxBodyBytes = maxBodyBytes, .maxHeaderBytes = maxHeaderBytes, .budget = m_budget},
            [](const HttpRequest &request, const HttpResponder &respond) {
                require(request.body.size() <= maxBodyBytes, "a body is beyond the limit");
                respond({.body = std::to_string(request.body.size())});
            });
    }

    // The first byte says how large the pieces are in which the others are sent, the second one how much of
    // them is sent once, and the third one how often the rest is.
    void play(std::span<const uint8_t> input)
    {
        constexpr size_t settings = 3;
        if (input.size() <= settings)
            return;
        const std::vector<uint8_t> stream = expand(input.subspan(settings), input[1], input[2]);
        const size_t pieceBytes = std::max(1 + input[0] * pieceUnit, stream.size() / mostPieces);
        std::span<const uint8_t> data = stream;
        const size_t before = __sanitizer_get_current_allocated_bytes();
        {
            tcp::socket client(m_clientIo);
            client.connect(m_endpoint);
            client.set_option(asio::socket_base::linger(true, 0));
            for (bool isOpen = true; isOpen && !data.empty();) {
                const std::span<const uint8_t> piece = data.first(std::min(pieceBytes, data.size()));
                data = data.subspan(piece.size());
                boost::system::error_code error;
                asio::const_buffer buffer(piece.data(), piece.size());
                client.write_some(buffer, error);
                isOpen = !error;
                handleEvents();
                const size_t now = __sanitizer_get_current_allocated_bytes();
                require(now <= before + mostKeptBytes, "a connection keeps more than the limits allow");
            }
        }
        handleEvents();
        require(m_budget->used() == 0, "bytes of a closed connection stay in the budget");
    }

private:
    static std::vector<uint8_t> expand(std::span<const uint8_t> data, size_t onceShare, size_t repetitions)
    {
        const size_t once = data.size() * onceShare / 256;
        const std::span<const uint8_t> repeated = data.subspan(once);
        std::vector<uint8_t> stream(data.begin(), data.end());
        for (size_t i = 0; i < repetitions * 16 && stream.size() + repeated.size() <= mostSentBytes; ++i)
            stream.insert(stream.end(), repeated.begin(), repeated.end());
        return stream;
    }

    void handleEvents()
    {
        m_io.restart();
        while (m_io.poll() > 0)
            m_io.restart();
    }

    IoContext m_io;
    IoContext m_clientIo;
    tcp::endpoint m_endpoint;
    std::shared_ptr<ByteBudget> m_budget = std::make_shared<ByteBudget>(1U << 20U);
    std::unique_ptr<HttpServer> m_server;
};

} // namespace

} // namespace turmericwell

extern "C" int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    static turmericwell::Target target;
    target.play({data, size});
    return 0;
}
