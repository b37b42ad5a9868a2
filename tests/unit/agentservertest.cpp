// Tests of the agent process from the side of an entry: the test accepts the agent's connection as an entry.
#include "agentd/agentserver.h"

#include "net/http.h"
#include "proto/codec.h"

#include <boost/test/unit_test.hpp>

#include <functional>

namespace turmericwell {

namespace {

Address unusedAddress(IoContext &io)
{
    boost::asio::ip::tcp::acceptor probe(io, {boost::asio::ip::make_address("127.0.0.1"), 0});
    return {.host = "127.0.0.1", .port = probe.local_endpoint().port()};
}

// An entry that answers the agent's Hello but never confirms that the configuration is current.
struct EntryWithoutEvidence
{
    explicit EntryWithoutEvidence(IoContext &io)
        : address(unusedAddress(io))
        , listener(io, address, [this](const FrameLinkPtr &accepted) { accept(accepted); })
    { }

    void accept(const FrameLinkPtr &accepted)
    {
        link = accepted;
        link->start({.onFrame = [this](std::span<const uint8_t> payload) { received(payload); },
                     .onClosed = [](const std::string &) {}});
    }

    void received(std::span<const uint8_t> payload)
    {
        const auto message = decodeMessage(payload);
        if (!message || (*message)->body.type != wire::Body::Hello)
            return;
        hellos.push_back(*(*message)->body.AsHello());
        wire::WelcomeT welcome;
        welcome.entry = "entry-1";
        welcome.incarnation = 1;
        link->send(encodeMessage(std::move(welcome)));
    }

    Address address;
    FrameLinkPtr link;
    std::vector<wire::HelloT> hellos;
    FrameListener listener;
};

bool runUntil(IoContext &io, const std::function<bool()> &isDone)
{
    const Millis end = Clock::now() + Millis{5'000};
    while (!isDone() && Clock::now() < end)
        io.run_for(std::chrono::milliseconds(5));
    return isDone();
}

} // namespace

BOOST_AUTO_TEST_SUITE(AgentServerTest)

// Guards against tasks that are sent to an agent right after its target was announced, which it would reject
// as stale because no entry has confirmed yet that its configuration is current.
BOOST_AUTO_TEST_CASE(targetAnnouncedBeforeEvidenceAcceptsNoTasks)
{
    IoContext io;
    EntryWithoutEvidence entry(io);
    const Address listen = unusedAddress(io);
    AgentSettings settings{.name = "agent-1", .zone = "patan", .worker = "w"};
    settings.listen = listen;
    settings.entries = {entry.address};
    AgentServer agent(io, settings);
    BOOST_TEST_REQUIRE(runUntil(io, [&] { return !entry.hellos.empty(); }));

    HttpClient target(io, listen);
    target.request(
        {.method = "POST",
         .path = "/v1/announce",
         .body = R"({"target":"t","service":"kiosk","slots":4,"connections":4,"address":"127.0.0.1:1"})"},
        Millis{1'000}, [](const HttpResult &result) { BOOST_TEST(result.response->status == 200); });
    BOOST_TEST_REQUIRE(runUntil(io, [&] { return entry.hellos.back().target->slots == 4; }));
    BOOST_TEST(entry.hellos.back().leaving);
    entry.link->close("the test ends");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace turmericwell
