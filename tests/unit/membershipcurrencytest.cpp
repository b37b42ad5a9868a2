// Tests of the rule on when an entry may start tasks (docs/design.md, section 3.4), with a controlled clock.
#include "membership/currencyguard.h"

#include <boost/test/unit_test.hpp>

using namespace turmericwell;
using namespace turmericwell::literals;

namespace {

// An entry with three agents and one peer, each heard every 100 ms while it is within reach.
struct GuardFixture
{
    GuardFixture()
    {
        guard.setOwn({.config = 1, .view = 2});
        run(2'000_ms);
    }

    void run(Millis span)
    {
        for (const Millis end = now + span; now < end;) {
            now += 100_ms;
            guard.tick(now);
            for (const GuardedStream stream : {GuardedStream::Config, GuardedStream::Roster}) {
                if (logUp)
                    guard.logRead(stream, now);
                else
                    guard.logFailed(stream);
            }
            for (int i = 0; i < agentsUp; ++i)
                guard.agentHeard("agent-" + std::to_string(i), agentVersions, now);
            if (peerUp)
                guard.peerHeard("entry-2", peerVersions, now);
        }
    }

    CurrencyGuard guard{CurrencyOptions{}};
    Millis now = 1'000'000_ms;
    bool logUp = true;
    bool peerUp = true;
    int agentsUp = 3;
    KnownVersions agentVersions = {.config = 1, .view = 2};
    KnownVersions peerVersions = {.config = 1, .view = 2};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(membershipcurrency, GuardFixture)

// Guards against a log outage that stops the service.
BOOST_AUTO_TEST_CASE(logOutageDoesNotStopTheService)
{
    logUp = false;
    run(600'000_ms);
    BOOST_TEST(guard.isCurrent(now));
    BOOST_TEST(!guard.isLogReadable());
}

// Guards against an entry that is cut off from the log only and misses a withdrawal that others have read
// (G3).
BOOST_AUTO_TEST_CASE(entryCutOffFromTheLogStopsWhenOthersKnowMore)
{
    logUp = false;
    run(5'000_ms);
    BOOST_TEST(guard.isCurrent(now));
    peerVersions.config = 2;
    run(100_ms);
    BOOST_TEST(!guard.isCurrent(now));
    guard.setOwn({.config = 2, .view = 2});
    BOOST_TEST(guard.isCurrent(now));
    // A leave of this entry is a newer view, which the agents report even if no peer is within reach.
    peerUp = false;
    guard.peerRemoved("entry-2");
    agentVersions.view = 3;
    run(100_ms);
    BOOST_TEST(!guard.isCurrent(now));
}

// Guards against an entry that goes on while its keys are taken over.
BOOST_AUTO_TEST_CASE(entryCutOffFromEverythingStopsWithinTheBound)
{
    logUp = false;
    peerUp = false;
    agentsUp = 0;
    run(2'900_ms);
    BOOST_TEST(guard.isCurrent(now));
    run(200_ms);
    BOOST_TEST(!guard.isCurrent(now));
    run(600'000_ms);
    BOOST_TEST(!guard.isCurrent(now));
}

// Guards against a minority that counts as all agents there are because the others were forgotten.
BOOST_AUTO_TEST_CASE(minorityOfTheAgentsNeverSuffices)
{
    logUp = false;
    agentsUp = 1;
    run(600'000_ms);
    BOOST_TEST(!guard.isCurrent(now));
}

// Guards against dead agents that count for ever: after enough of them no outage of the log could be
// survived.
BOOST_AUTO_TEST_CASE(deadAgentIsForgottenWhileTheLogCanBeRead)
{
    agentsUp = 1;
    run(61'000_ms);
    BOOST_TEST(guard.knownAgents().size() == 1U);
    logUp = false;
    run(10'000_ms);
    BOOST_TEST(guard.isCurrent(now));
}

// Guards against a roster that is not read while the configuration is.
BOOST_AUTO_TEST_CASE(bothStreamsMustBeRead)
{
    agentsUp = 0;
    logUp = false;
    for (int i = 0; i < 50; ++i) {
        run(100_ms);
        guard.logRead(GuardedStream::Config, now);
    }
    BOOST_TEST(!guard.isCurrent(now));
}

// Guards against heartbeats that waited in a socket buffer during a pause and count as fresh.
BOOST_AUTO_TEST_CASE(bufferedHeartbeatsAfterAPauseAreNoEvidence)
{
    logUp = false;
    run(5'000_ms);
    now += 10'000_ms;
    BOOST_TEST(!guard.isCurrent(now));
    for (int i = 0; i < 3; ++i)
        guard.agentHeard("agent-" + std::to_string(i), agentVersions, now);
    BOOST_TEST(!guard.isCurrent(now));
    run(500_ms);
    BOOST_TEST(!guard.isCurrent(now));
    run(1'000_ms);
    BOOST_TEST(guard.isCurrent(now));
}

// Guards against a frozen peer that stops every other entry during a log outage.
BOOST_AUTO_TEST_CASE(silentPeerIsOutOfReach)
{
    logUp = false;
    peerUp = false;
    run(10'000_ms);
    BOOST_TEST(guard.isCurrent(now));
}

BOOST_AUTO_TEST_SUITE_END()
