// Framed connections: reassembly of frames from reads of any size, closing, and deferred sending.
#include "net/framelink.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

namespace turmericwell {

namespace asio = boost::asio;

namespace {

std::vector<uint8_t> frameOf(std::vector<uint8_t> payload)
{
    std::vector<uint8_t> frame(frameHeaderBytes + payload.size());
    std::copy(payload.begin(), payload.end(), frame.begin() + frameHeaderBytes);
    writeFrameHeader(frame);
    return frame;
}

// A link that records the frames it receives, and a plain socket connected to it.
struct FrameLinkFixture
{
    FrameLinkFixture()
        : socket(io)
    {
        asio::ip::tcp::acceptor acceptor(io, {asio::ip::address_v4::loopback(), 0});
        socket.connect(acceptor.local_endpoint());
        link = std::make_shared<TcpFrameLink>(acceptor.accept());
        link->start({.onFrame =
                         [this](std::span<const uint8_t> payload) {
                             received.emplace_back(payload.begin(), payload.end());
                             if (closesOnFrame)
                                 link->close("closed by the handler");
                         },
                     .onClosed = [this](const std::string &reason) { closed = reason; }});
    }

    void run()
    {
        io.restart();
        io.run_for(std::chrono::milliseconds(100));
    }

    IoContext io;
    TcpSocket socket;
    FrameLinkPtr link;
    std::vector<std::vector<uint8_t>> received;
    std::string closed;
    bool closesOnFrame = false;
};

} // namespace

BOOST_AUTO_TEST_SUITE(FrameLinkTest)

// Guards against lost or merged frames when a read returns several frames or part of one.
BOOST_FIXTURE_TEST_CASE(framesAreFoundInAnyPieces, FrameLinkFixture)
{
    std::vector<uint8_t> bytes;
    const std::vector<std::vector<uint8_t>> payloads = {{1}, std::vector<uint8_t>(30'000, 2), {3, 3}, {4}};
    for (const auto &payload : payloads) {
        const std::vector<uint8_t> frame = frameOf(payload);
        bytes.insert(bytes.end(), frame.begin(), frame.end());
    }
    constexpr size_t firstPiece = 5;
    constexpr size_t secondPiece = 9'000;
    size_t sent = 0;
    for (const size_t piece : {firstPiece, secondPiece, bytes.size() - firstPiece - secondPiece}) {
        asio::write(socket, asio::buffer(bytes.data() + sent, piece));
        sent += piece;
        run();
    }
    BOOST_TEST((received == payloads));
    BOOST_TEST(closed.empty());
}

// Guards against interpreting bytes of another protocol as a frame length.
BOOST_FIXTURE_TEST_CASE(unknownVersionClosesTheLink, FrameLinkFixture)
{
    std::vector<uint8_t> frame = frameOf({1});
    frame[4] = 0xff;
    asio::write(socket, asio::buffer(frame));
    run();
    BOOST_TEST(received.empty());
    BOOST_TEST(!closed.empty());
}

// Guards against calling a released handler: a read that completed before the link was closed still runs its
// completion handler afterwards.
BOOST_FIXTURE_TEST_CASE(bytesThatWereReadBeforeTheCloseAreDropped, FrameLinkFixture)
{
    closesOnFrame = true;
    std::vector<uint8_t> bytes = frameOf({1});
    const std::vector<uint8_t> large = frameOf(std::vector<uint8_t>(30'000, 2));
    bytes.insert(bytes.end(), large.begin(), large.end());
    asio::write(socket, asio::buffer(bytes));
    run();
    BOOST_TEST(received.size() == 1U);
    BOOST_TEST(closed == "closed by the handler");
}

// Guards against frames queued by sendLater that are never sent or are sent out of order.
BOOST_FIXTURE_TEST_CASE(laterFramesLeaveInOrder, FrameLinkFixture)
{
    link->sendLater(frameOf({1}));
    run();
    BOOST_TEST(socket.available() == 0U);
    link->flush();
    run();
    BOOST_TEST(socket.available() == frameHeaderBytes + 1);
    link->sendLater(frameOf({2}));
    link->send(frameOf({3}));
    run();
    std::vector<uint8_t> bytes(3 * (frameHeaderBytes + 1));
    BOOST_TEST_REQUIRE(socket.available() == bytes.size());
    asio::read(socket, asio::buffer(bytes));
    BOOST_TEST(bytes[frameHeaderBytes] == 1);
    BOOST_TEST(bytes.back() == 3);
    link->close("end of the test");
    run();
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace turmericwell
