// Tests of the connections between entries, with two hubs on loopback.
#include "entry/peerhub.h"

#include <boost/test/unit_test.hpp>

using namespace turmericwell;

namespace {

Address freeAddress(IoContext &io)
{
    boost::asio::ip::tcp::acceptor probe(io, {boost::asio::ip::make_address("127.0.0.1"), 0});
    return {.host = "127.0.0.1", .port = probe.local_endpoint().port()};
}

// Hub and listener of one entry.
struct Peer
{
    Peer(IoContext &context, const std::string &name, const Address &listen)
        : address(listen)
        , dispatcher({})
        , hub(context, {.id = {.name = name, .incarnation = 1}, .address = listen.text(), .zone = "z"},
              dispatcher, handlers())
        , listener(context, listen, [this](const FrameLinkPtr &link) { accept(link); })
    { }

    PeerHub::Handlers handlers()
    {
        return {.onHeard = [](const std::string &, const wire::PeerPingT &) {},
                .onGone = [this](const std::string &) { ++lostPeers; },
                .perform = [](const DispatchActions &) {},
                .onForward = [this](const SubmissionRequest &request,
                                    PeerHub::AnswerHandler reply) { received(request, std::move(reply)); },
                .onLookup = [](const Fingerprint &, bool, const PeerHub::AnswerHandler &) {},
                .onConfigPull = [](const std::string &, const wire::ConfigPullT &) {},
                .onConfigPush = [](const wire::ConfigPushT &) {},
                .onHandover = [](const ProcessId &, const wire::HandoverT &) {},
                .status = [] { return wire::PeerPingT{}; }};
    }

    void received(const SubmissionRequest &request, PeerHub::AnswerHandler reply)
    {
        if (delayReplies)
            delayedReplies.push_back(std::move(reply));
        else
            reply({.outcome = Outcome::Complete, .reason = request.keyText});
    }

    void accept(const FrameLinkPtr &link)
    {
        lastAccepted = link;
        link->start({.onFrame =
                         [this, weak = std::weak_ptr(link)](std::span<const uint8_t> payload) {
                             const auto message = decodeMessage(payload);
                             if (message)
                                 hub.handle(weak.lock(), **message);
                         },
                     .onClosed = [this, weak = std::weak_ptr(link)](
                                     const std::string &) { hub.closed(weak.lock()); }});
    }

    Address address;
    int lostPeers = 0;
    bool delayReplies = false;
    std::vector<PeerHub::AnswerHandler> delayedReplies;
    FrameLinkPtr lastAccepted;
    Dispatcher dispatcher;
    PeerHub hub;
    FrameListener listener;
};

struct TwoPeers
{
    // The time limit only prevents a hang; the tests do not depend on its value.
    bool runUntil(const std::function<bool()> &condition)
    {
        const Millis end = Clock::now() + Millis{10'000};
        while (!condition() && Clock::now() < end)
            io.run_for(std::chrono::milliseconds(5));
        return condition();
    }

    bool connect()
    {
        high.hub.connectToAddress(low.address);
        return runUntil([this] { return low.hub.isConnected("entry-2") && high.hub.isConnected("entry-1"); });
    }

    // Forwards a submission. Returns the key text from the answer, or nothing if no answer was received.
    std::optional<std::string> forwardTo(Peer &from, const std::string &to)
    {
        std::optional<std::string> result;
        const bool sent = from.hub.forward(
            {.name = to, .incarnation = 1}, {.keyText = "k", .tasks = {"1"}},
            [&result](const std::optional<Answer> &answer) { result = answer ? answer->reason : "lost"; });
        return sent && runUntil([&] { return result.has_value(); }) ? result : std::nullopt;
    }

    IoContext io;
    Peer low{io, "entry-1", freeAddress(io)};
    Peer high{io, "entry-2", freeAddress(io)};
};

} // namespace

BOOST_AUTO_TEST_SUITE(membershippeers)

// Guards against two sides that use different connections, so that each discards the messages of the other.
BOOST_AUTO_TEST_CASE(bothSidesUseTheSameConnectionWhenBothDial)
{
    TwoPeers peers;
    BOOST_REQUIRE(peers.connect());
    peers.low.hub.connectToAddress(peers.high.address);
    peers.runUntil([&] { return peers.high.lastAccepted != nullptr; });
    peers.io.run_for(std::chrono::milliseconds(50));
    BOOST_TEST((peers.forwardTo(peers.high, "entry-1") == "k"));
    BOOST_TEST((peers.forwardTo(peers.low, "entry-2") == "k"));
}

// Guards against an entry that is never connected because only an entry with a lower name has its address in
// the settings.
BOOST_AUTO_TEST_CASE(rejectedEntryIsDialledInTheOtherDirection)
{
    TwoPeers peers;
    peers.low.hub.connectToAddress(peers.high.address);
    BOOST_REQUIRE(peers.runUntil(
        [&] { return peers.low.hub.isConnected("entry-2") && peers.high.hub.isConnected("entry-1"); }));
    BOOST_TEST((peers.forwardTo(peers.high, "entry-1") == "k"));
    BOOST_TEST((peers.forwardTo(peers.low, "entry-2") == "k"));
}

// Guards against a forward that waits forever after its connection was lost, and against an answer that is
// matched to another request on the next connection.
BOOST_AUTO_TEST_CASE(lostConnectionEndsTheForwardAndDropsItsAnswer)
{
    TwoPeers peers;
    BOOST_REQUIRE(peers.connect());
    peers.low.delayReplies = true;
    int replies = 0;
    bool lost = false;
    BOOST_REQUIRE(peers.high.hub.forward({.name = "entry-1", .incarnation = 1}, {.keyText = "k"},
                                         [&](const std::optional<Answer> &answer) {
                                             ++replies;
                                             lost = !answer;
                                         }));
    BOOST_REQUIRE(peers.runUntil([&] { return !peers.low.delayedReplies.empty(); }));
    peers.low.lastAccepted->close("test");
    BOOST_TEST(peers.runUntil([&] { return lost; }));
    BOOST_REQUIRE(peers.runUntil([&] { return !peers.high.hub.isConnected("entry-1"); }));
    BOOST_REQUIRE(peers.connect());
    peers.low.delayedReplies.front()({.outcome = Outcome::Complete, .reason = "late"});
    peers.low.delayReplies = false;
    BOOST_TEST((peers.forwardTo(peers.high, "entry-1") == "k"));
    BOOST_TEST(replies == 1);
}

// Guards against a forward that is sent to an earlier incarnation because the named one has not joined yet.
BOOST_AUTO_TEST_CASE(forwardNeedsTheNamedIncarnation)
{
    TwoPeers peers;
    BOOST_REQUIRE(peers.connect());
    BOOST_TEST(!peers.high.hub.forward({.name = "entry-1", .incarnation = 2}, {},
                                       [](const std::optional<Answer> &) {}));
}

// Guards against a stopped hub that leaves a connection open, which the peer would see as an unresponsive
// entry.
BOOST_AUTO_TEST_CASE(closedHubEndsItsConnectionsAndDialsNoMore)
{
    TwoPeers peers;
    BOOST_REQUIRE(peers.connect());
    peers.high.hub.closeAll();
    BOOST_TEST(peers.runUntil([&] { return peers.high.lostPeers == 1 && peers.low.lostPeers == 1; }));
    peers.high.lastAccepted = nullptr;
    peers.low.lastAccepted = nullptr;
    peers.high.hub.connectToAddress(peers.low.address);
    peers.io.run_for(std::chrono::milliseconds(50));
    BOOST_TEST((peers.low.lastAccepted == nullptr));
}

// Guards against an unresponsive peer that blocks callers for as long as the connection stays open.
BOOST_AUTO_TEST_CASE(unresponsiveConnectionIsClosed)
{
    TwoPeers peers;
    BOOST_REQUIRE(peers.connect());
    peers.high.hub.closeSilent(Clock::now() + Millis{5'000}, Millis{4'000});
    BOOST_TEST(peers.runUntil([&] { return peers.high.lostPeers == 1 && peers.low.lostPeers == 1; }));
}

BOOST_AUTO_TEST_SUITE_END()
