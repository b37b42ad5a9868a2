// Tests of the rule on when an entry may start tasks (docs/design.md, section 3.4), with a controlled clock.
#include "membership/currencyguard.h"

#include <boost/test/unit_test.hpp>

using namespace turmericwell;
using namespace turmericwell::literals;

namespace {

// An entry with three agents and one peer, each in contact every 100 ms while it is reachable.
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
                    guard.recordLogRead(stream, now);
                else
                    guard.recordLogFailure(stream);
            }
            for (int i = 0; i < agentsUp; ++i)
                guard.recordAgentContact("agent-" + std::to_string(i), agentVersions, now);
            if (peerUp)
                guard.recordPeerContact("entry-2", peerVersions, now);
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

// Guards against a log outage that stops the service although agents and peers confirm the versions.
BOOST_AUTO_TEST_CASE(logOutageDoesNotStopTheService)
{
    logUp = false;
    run(600'000_ms);
    BOOST_TEST(guard.isCurrent(now));
    BOOST_TEST(!guard.isLogReadable());
}

// Guards against an entry that is disconnected only from the log and misses a withdrawal that others have
// read (G3).
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
    // A leave of this entry makes a newer view, which the agents report even if no peer is reachable.
    peerUp = false;
    guard.peerRemoved("entry-2");
    agentVersions.view = 3;
    run(100_ms);
    BOOST_TEST(!guard.isCurrent(now));
}

// Guards against a disconnected entry that continues to serve while its keys are taken over.
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

// Guards against a minority of agents that is taken for the majority because the others were removed during a
// log outage.
BOOST_AUTO_TEST_CASE(minorityOfTheAgentsNeverSuffices)
{
    logUp = false;
    agentsUp = 1;
    run(600'000_ms);
    BOOST_TEST(!guard.isCurrent(now));
}

// Guards against dead agents that count permanently: with enough of them, no majority could be reached during
// an outage of the log.
BOOST_AUTO_TEST_CASE(deadAgentIsRemovedWhileTheLogIsReadable)
{
    agentsUp = 1;
    run(61'000_ms);
    BOOST_TEST(guard.knownAgents().size() == 1U);
    logUp = false;
    run(10'000_ms);
    BOOST_TEST(guard.isCurrent(now));
}

// Guards against an entry that counts as current while it reads the configuration but not the roster.
BOOST_AUTO_TEST_CASE(bothStreamsMustBeRead)
{
    agentsUp = 0;
    logUp = false;
    for (int i = 0; i < 50; ++i) {
        run(100_ms);
        guard.recordLogRead(GuardedStream::Config, now);
    }
    BOOST_TEST(!guard.isCurrent(now));
}

// Guards against heartbeats that were in a socket buffer during a pause and are taken for fresh evidence.
BOOST_AUTO_TEST_CASE(bufferedHeartbeatsAfterAPauseAreNoEvidence)
{
    logUp = false;
    run(5'000_ms);
    now += 10'000_ms;
    BOOST_TEST(!guard.isCurrent(now));
    for (int i = 0; i < 3; ++i)
        guard.recordAgentContact("agent-" + std::to_string(i), agentVersions, now);
    BOOST_TEST(!guard.isCurrent(now));
    run(500_ms);
    BOOST_TEST(!guard.isCurrent(now));
    run(1'000_ms);
    BOOST_TEST(guard.isCurrent(now));
}

// Guards against an unresponsive peer that stops every other entry during a log outage.
BOOST_AUTO_TEST_CASE(unresponsivePeerDoesNotCount)
{
    logUp = false;
    peerUp = false;
    run(10'000_ms);
    BOOST_TEST(guard.isCurrent(now));
}

BOOST_AUTO_TEST_SUITE_END()
