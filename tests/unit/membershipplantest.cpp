// Tests which entries own partitions, in proportion to their processors.
#include "fleet/membershipplan.h"

#include <boost/test/unit_test.hpp>
#include <vector>

namespace turmericwell {

namespace {

std::vector<EntryCapacity> entries(size_t count, double processors, const std::string &prefix)
{
    std::vector<EntryCapacity> result;
    for (size_t number = 0; number < count; ++number)
        result.push_back({.name = prefix + std::to_string(number), .processors = processors});
    return result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(MembershipPlanTest)

// Guards against small entries that own partitions although larger ones could, in a fleet with more entries
// than partitions.
BOOST_AUTO_TEST_CASE(partitionsGoToTheLargestEntries)
{
    std::vector<EntryCapacity> others = entries(17, 0.5, "large-");
    for (const EntryCapacity &small : entries(37, 0.12, "small-"))
        others.push_back(small);
    BOOST_TEST(membershipsFor({.name = "large-x", .processors = 0.5}, others, 16, 0) == 0U);
    BOOST_TEST(membershipsFor({.name = "large", .processors = 0.5}, others, 16, 0) == 1U);
    BOOST_TEST(membershipsFor({.name = "small", .processors = 0.12}, others, 16, 0) == 0U);
}

// Guards against partitions without an owner when the large entries are lost.
BOOST_AUTO_TEST_CASE(smallEntriesTakeOverWhenFewLargeOnesAreLeft)
{
    std::vector<EntryCapacity> others = entries(15, 0.5, "large-");
    for (const EntryCapacity &small : entries(30, 0.12, "small-"))
        others.push_back(small);
    BOOST_TEST(membershipsFor({.name = "a", .processors = 0.12}, others, 16, 0) == 1U);
    BOOST_TEST(membershipsFor({.name = "z", .processors = 0.12}, others, 16, 0) == 0U);
    BOOST_TEST(membershipsFor({.name = "z", .processors = 0.12}, {}, 16, 0) == maxMemberships);
}

// Guards against a large entry that owns as much as small ones because its memberships are limited.
BOOST_AUTO_TEST_CASE(limitOfTheLargestEntryKeepsTheProportions)
{
    const EntryCapacity large{.name = "a", .processors = 0.5};
    const EntryCapacity small{.name = "b", .processors = 0.125};
    BOOST_TEST(membershipsFor(large, std::vector{small}, 8, 0) == 4U);
    BOOST_TEST(membershipsFor(small, std::vector{large}, 8, 0) == 1U);
}

// Guards against partitions that move because the share of an entry has changed a little.
BOOST_AUTO_TEST_CASE(countIsKeptWhileItIsAboutRight)
{
    const EntryCapacity self{.name = "a", .processors = 0.25};
    BOOST_TEST(membershipsFor(self, entries(3, 0.25, "b"), 8, 0) == 2U);
    BOOST_TEST(membershipsFor(self, entries(2, 0.25, "b"), 8, 2) == 2U);
    BOOST_TEST(membershipsFor(self, entries(1, 0.25, "b"), 8, 2) == 4U);
}

// Guards against joins and leaves while the other entries of a starting fleet become known.
BOOST_AUTO_TEST_CASE(changesWaitUntilTheFleetHasSettled)
{
    MembershipPlan plan;
    BOOST_TEST(!plan.advance(4, 10, {1'000}).has_value());
    BOOST_TEST(!plan.advance(1, 10, {1'150}).has_value());
    BOOST_TEST(!plan.advance(1, 10, {1'300}).has_value());
    BOOST_TEST(plan.advance(1, 10, {1'350}).value_or(9) == 1U);
    BOOST_TEST(!plan.advance(0, 10, {2'000}).has_value());
    BOOST_TEST(!plan.advance(1, 10, {3'000}).has_value());
    BOOST_TEST(!plan.advance(0, 10, {4'000}).has_value());
    BOOST_TEST(plan.advance(0, 10, {7'000}).value_or(9) == 0U);
}

// Guards against an owner that chooses the agents of its partitions while most agents are unknown, and
// against waiting for ever in a fleet that never settles.
BOOST_AUTO_TEST_CASE(firstJoinWaitsForTheAgents)
{
    MembershipPlan plan;
    size_t agents = 0;
    Millis now{1'000};
    while (now < Millis{2'450}) {
        BOOST_TEST(!plan.advance(1, ++agents, now).has_value());
        now += Millis{50};
    }
    BOOST_TEST(plan.advance(1, ++agents, {2'500}).value_or(9) == 1U);
    MembershipPlan settled;
    BOOST_TEST(!settled.advance(1, 7, {1'000}).has_value());
    BOOST_TEST(settled.advance(1, 7, {1'200}).value_or(9) == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace turmericwell
