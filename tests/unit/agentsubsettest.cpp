// Tests the agents of a partition, and that a change of the subset never leaves a run that a later owner does
// not ask for.
#include "fleet/agentsubset.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

namespace turmericwell {

namespace {

constexpr uint32_t partitions = 16;
constexpr uint32_t mostLevel = 2;

std::vector<std::string> agentNames(size_t count)
{
    std::vector<std::string> names;
    for (size_t number = 0; number < count; ++number)
        names.push_back("side-" + std::to_string(number));
    return names;
}

} // namespace

BOOST_AUTO_TEST_SUITE(AgentSubsetTest)

// Guards against a worker that no partition uses, and against links that grow with the fleet.
BOOST_AUTO_TEST_CASE(eachAgentServesTheSameNumberOfPartitions)
{
    for (uint32_t level = 0; level <= mostLevel; ++level) {
        for (const std::string &agent : agentNames(300)) {
            uint32_t served = 0;
            for (uint32_t partition = 0; partition < partitions; ++partition)
                served += isInAgentSubset(agent, partition, level) ? 1 : 0;
            BOOST_TEST(served == partitions >> level);
        }
    }
}

// Guards against partitions whose agents are far fewer than those of others.
BOOST_AUTO_TEST_CASE(agentsAreSpreadOverThePartitions)
{
    for (uint32_t partition = 0; partition < partitions; ++partition) {
        size_t agents = 0;
        for (const std::string &agent : agentNames(240))
            agents += isInAgentSubset(agent, partition, mostLevel) ? 1 : 0;
        BOOST_TEST(agents > 240U / 4 / 2);
        BOOST_TEST(agents < 240U / 4 * 2);
    }
}

// Guards against runs on agents that a later owner does not ask: a narrower subset must lie within the wider
// one.
BOOST_AUTO_TEST_CASE(narrowerSubsetsAreContainedInWiderOnes)
{
    for (const std::string &agent : agentNames(100)) {
        for (uint32_t partition = 0; partition < partitions; ++partition) {
            if (isInAgentSubset(agent, partition, 2)) {
                BOOST_TEST(isInAgentSubset(agent, partition, 1));
                BOOST_TEST(isInAgentSubset(agent, partition, 0));
            }
        }
    }
}

// Guards against a level that alternates while the number of agents is close to a threshold.
BOOST_AUTO_TEST_CASE(levelFollowsTheFleetWithHysteresis)
{
    BOOST_TEST(agentSubsetLevel(72, partitions, 0) == 0U);
    BOOST_TEST(agentSubsetLevel(240, partitions, 0) == 2U);
    BOOST_TEST(agentSubsetLevel(190, partitions, 0) == 1U);
    BOOST_TEST(agentSubsetLevel(190, partitions, 2) == 2U);
    BOOST_TEST(agentSubsetLevel(150, partitions, 2) == 1U);
    BOOST_TEST(agentSubsetLevel(5'000, partitions, 0) == 2U);
    BOOST_TEST(agentSubsetLevel(5'000, 8, 0) == 1U);
}

// Guards against orders on agents that a later owner would not ask, because the level was not stored before.
BOOST_AUTO_TEST_CASE(firstLevelIsStoredBeforeOrders)
{
    PartitionSubset subset;
    BOOST_TEST(!subset.mayPlace());
    BOOST_TEST(subset.advance(2, false, {1'000}).value_or(9) == 2U);
    BOOST_TEST(!subset.mayPlace());
    BOOST_TEST(!subset.advance(2, false, {1'100}).has_value());
    subset.stored(2);
    BOOST_TEST(subset.mayPlace());
    BOOST_TEST(subset.reach() == 2U);
    BOOST_TEST(subset.placement() == 2U);
}

// Guards against the same fault when the fleet has shrunk and the subset is widened.
BOOST_AUTO_TEST_CASE(widerSubsetIsUsedOnlyOnceItIsStored)
{
    PartitionSubset subset(2);
    BOOST_TEST(subset.advance(1, false, {1'000}).value_or(9) == 1U);
    BOOST_TEST(subset.reach() == 2U);
    BOOST_TEST(subset.placement() == 2U);
    subset.stored(1);
    subset.advance(1, false, {1'100});
    BOOST_TEST(subset.reach() == 1U);
    BOOST_TEST(subset.placement() == 1U);
}

// Guards against a subset that is set back to a level which an outdated answer of the store names.
BOOST_AUTO_TEST_CASE(levelThatIsNotBeingStoredChangesNothing)
{
    PartitionSubset subset;
    subset.advance(2, false, {1'000});
    BOOST_TEST(!subset.stored(1));
    BOOST_TEST(!subset.mayPlace());
    BOOST_TEST(subset.stored(2));
    BOOST_TEST(!subset.stored(2));
    BOOST_TEST(!subset.stored(0));
    BOOST_TEST(subset.mayPlace());
    BOOST_TEST(subset.reach() == 2U);
    BOOST_TEST(subset.placement() == 2U);
}

// Guards against giving up agents that still run tasks of the partition.
BOOST_AUTO_TEST_CASE(subsetIsNarrowedOnceTheOtherAgentsAreDrained)
{
    PartitionSubset subset(0);
    BOOST_TEST(!subset.advance(2, true, {1'000}).has_value());
    BOOST_TEST(subset.placement() == 2U);
    BOOST_TEST(subset.reach() == 0U);
    BOOST_TEST(subset.isNarrowing());
    BOOST_TEST(!subset.advance(2, false, {2'000}).has_value());
    const Millis almost = Millis{2'000} + PartitionSubset::narrowingDelay - Millis{1};
    BOOST_TEST(!subset.advance(2, false, almost).has_value());
    // A run that is found meanwhile starts the delay anew.
    BOOST_TEST(!subset.advance(2, true, almost).has_value());
    BOOST_TEST(!subset.advance(2, false, almost + Millis{1}).has_value());
    const Millis drained = almost + Millis{1} + PartitionSubset::narrowingDelay;
    BOOST_TEST(subset.advance(2, false, drained).value_or(9) == 2U);
    subset.stored(2);
    BOOST_TEST(subset.reach() == 2U);
    BOOST_TEST(!subset.isNarrowing());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace turmericwell
