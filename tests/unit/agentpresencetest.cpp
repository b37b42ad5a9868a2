// Tests which agents a new owner waits for.
#include "fleet/agentpresence.h"

#include <boost/test/unit_test.hpp>

namespace turmericwell {

BOOST_AUTO_TEST_SUITE(AgentPresenceTests)

constexpr Millis start = {50'000};

// Guards against waiting for a drained agent, which would delay recovery after every planned stop.
BOOST_AUTO_TEST_CASE(drainedAgentHoldsNoRuns)
{
    AgentPresence presence;
    const AgentNumber agent = presence.registered("agent-1", 1, start);
    presence.setWanted(agent, true, start);
    presence.connected(agent, start);
    presence.setLeaving(agent);
    presence.disconnected(agent, start, start + Millis{100});
    BOOST_TEST(presence.mayHoldRuns(start + Millis{100}).empty());
    BOOST_TEST(presence.takeGone(start + Millis{100}).size() == 1);
}

// Guards against new owners that wait 2.5 s for an agent that stays connected after it has left, because the
// store is down and its registration cannot be removed.
BOOST_AUTO_TEST_CASE(leavingAgentIsNotWaitedForWhileItIsConnected)
{
    AgentPresence presence;
    const AgentNumber agent = presence.registered("agent-1", 1, start);
    presence.setWanted(agent, true, start);
    presence.connected(agent, start);
    BOOST_TEST(presence.mayHoldRuns(start).contains(agent));
    presence.setLeaving(agent);
    BOOST_TEST(!presence.mayHoldRuns(start).contains(agent));
    // Its next process may hold runs.
    presence.registered("agent-1", 2, start);
    BOOST_TEST(presence.mayHoldRuns(start).contains(agent));
}

// Guards against a second run of a task: an agent drained, restarted, registered and accepted runs from the
// previous owner, and the next owner did not wait for its report.
BOOST_AUTO_TEST_CASE(agentThatRegistersAgainMayHoldRuns)
{
    AgentPresence presence;
    const AgentNumber agent = presence.registered("agent-1", 1, start);
    presence.setWanted(agent, true, start);
    presence.connected(agent, start);
    presence.setLeaving(agent);
    presence.disconnected(agent, start, start + Millis{100});
    const Millis again = start + Millis{5'000};
    BOOST_TEST(presence.registered("agent-1", 2, again) == agent);
    BOOST_TEST(presence.mayHoldRuns(again).contains(agent));
    // Only its removal ends the wait for a process that has not left.
    const Millis expired = again + AgentPresence::contactExpiry;
    BOOST_TEST(presence.mayHoldRuns(expired).contains(agent));
    presence.removed(agent, expired);
    BOOST_TEST(presence.mayHoldRuns(expired).contains(agent));
    BOOST_TEST(!presence.mayHoldRuns(expired + AgentPresence::goneAfter).contains(agent));
}

// Guards against two runs of a task: a former owner that does not know the new one goes on for longer than it
// takes to remove the registration of an agent on its side.
BOOST_AUTO_TEST_CASE(agentThatIsRemovedDuringATakeoverIsStillWaitedFor)
{
    AgentPresence presence;
    const AgentNumber agent = presence.registered("agent-1", 1, start);
    presence.setWanted(agent, true, start);
    const Millis opened = start + Millis{100};
    const Millis removed = opened + Millis{5'000};
    presence.removed(agent, removed);
    const Millis later = removed + AgentPresence::contactExpiry;
    BOOST_TEST(!presence.mayHoldRuns(later).contains(agent));
    BOOST_TEST(presence.removedSince(opened).contains(agent));
    // Partitions that are opened after the removal do not wait for it.
    BOOST_TEST(presence.removedSince(removed + Millis{1}).empty());
    presence.connected(agent, later);
    BOOST_TEST(presence.removedSince(opened).empty());
    presence.setLeaving(agent);
    presence.disconnected(agent, later, later);
    BOOST_TEST(presence.removedSince(opened).empty());
}

// Guards against waiting for a process that has left: its registration may be read again.
BOOST_AUTO_TEST_CASE(repeatedRegistrationOfALeavingAgentIsNotWaitedFor)
{
    AgentPresence presence;
    const AgentNumber agent = presence.registered("agent-1", 1, start);
    presence.setWanted(agent, true, start);
    presence.connected(agent, start);
    presence.setLeaving(agent);
    presence.disconnected(agent, start, start + Millis{100});
    const Millis again = start + Millis{5'000};
    presence.registered("agent-1", 1, again);
    BOOST_TEST(!presence.mayHoldRuns(again + AgentPresence::contactExpiry).contains(agent));
}

// Guards against removing the registration of an agent that has just registered again and is still being
// dialled.
BOOST_AUTO_TEST_CASE(registrationDefersExpiry)
{
    AgentPresence presence;
    const AgentNumber agent = presence.registered("agent-1", 1, start);
    presence.setWanted(agent, true, start);
    const Millis expired = start + AgentPresence::memberExpiry;
    BOOST_TEST(presence.unreachableAgents(expired).size() == 1);
    presence.registered("agent-1", 1, expired);
    BOOST_TEST(presence.unreachableAgents(expired).empty());
    BOOST_TEST(presence.mayHoldRuns(expired).contains(agent));
}

// Guards against treating runs on an unreachable agent as ended while a lease may still be running.
BOOST_AUTO_TEST_CASE(runsOfALostAgentEndAfterTheBound)
{
    AgentPresence presence;
    const AgentNumber agent = presence.registered("agent-1", 1, start);
    presence.setWanted(agent, true, start);
    presence.connected(agent, start);
    const Millis lost = start + Millis{2'000};
    presence.disconnected(agent, lost - Millis{500}, lost);
    const Millis gone = lost - Millis{500} + AgentPresence::goneAfter;
    BOOST_TEST(presence.takeGone(gone - Millis{1}).empty());
    BOOST_TEST(presence.takeGone(gone).size() == 1);
    BOOST_TEST(presence.takeGone(gone).empty());
    BOOST_TEST(presence.mayHoldRuns(gone).contains(agent));
}

// Guards against a second run of a task: a new owner connects to an agent only when its partition arrives,
// and must wait for the report although the agent registered long ago.
BOOST_AUTO_TEST_CASE(agentThatBecomesWantedMayHoldRuns)
{
    AgentPresence presence;
    const AgentNumber agent = presence.registered("agent-1", 1, start);
    const Millis later = start + Millis{60'000};
    BOOST_TEST(presence.mayHoldRuns(later).empty());
    BOOST_TEST(presence.unreachableAgents(later).empty());
    presence.setWanted(agent, true, later);
    BOOST_TEST(presence.mayHoldRuns(later).contains(agent));
    BOOST_TEST(presence.unreachableAgents(later).empty());
    BOOST_TEST(presence.unreachableAgents(later + AgentPresence::memberExpiry).size() == 1);
}

// Guards against closing a connection that the next partition needs again at once.
BOOST_AUTO_TEST_CASE(unwantedConnectionLingers)
{
    AgentPresence presence;
    const AgentNumber agent = presence.registered("agent-1", 1, start);
    presence.setWanted(agent, true, start);
    presence.connected(agent, start);
    presence.setWanted(agent, false, start + Millis{100});
    BOOST_TEST(presence.superfluousAgents(start + Millis{200}).empty());
    const Millis end = start + Millis{100} + AgentPresence::connectionLinger;
    BOOST_TEST(presence.superfluousAgents(end).size() == 1);
    presence.setWanted(agent, true, end);
    BOOST_TEST(presence.superfluousAgents(end).empty());
}

// Guards against a second run of a task: an entry that was cut off for longer than contactExpiry took over a
// partition as soon as it reached the store, and waited for none of the agents that it had not reached yet.
BOOST_AUTO_TEST_CASE(registeredAgentMayHoldRunsHoweverLongItWasOutOfReach)
{
    AgentPresence presence;
    const AgentNumber agent = presence.registered("agent-1", 1, start);
    presence.setWanted(agent, true, start);
    presence.connected(agent, start);
    presence.disconnected(agent, start, start + Millis{100});
    const Millis later = start + AgentPresence::contactExpiry * 2;
    BOOST_TEST(presence.mayHoldRuns(later).contains(agent));
    // The entry that removed the registration may have been cut off from an agent that others reach (emulate
    // --site qalhat, seed 420050).
    presence.removed(agent, later);
    BOOST_TEST(presence.mayHoldRuns(later + AgentPresence::goneAfter - Millis{1}).contains(agent));
    BOOST_TEST(presence.mayHoldRuns(later + AgentPresence::goneAfter).empty());
}

// Guards against a second run of a task (soak seed 2004): a connection that ends before its first ping has no
// last answer, but the agent counts the connection itself, and answers on earlier ones, as contact.
BOOST_AUTO_TEST_CASE(connectionWithoutAPingIsAContact)
{
    AgentPresence presence;
    const AgentNumber agent = presence.registered("agent-1", 1, start);
    presence.setWanted(agent, true, start);
    presence.connected(agent, start);
    presence.disconnected(agent, {0}, start + Millis{1});
    BOOST_TEST(presence.takeGone(start + AgentPresence::goneAfter - Millis{1}).empty());
    BOOST_TEST(presence.takeGone(start + AgentPresence::goneAfter).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace turmericwell
