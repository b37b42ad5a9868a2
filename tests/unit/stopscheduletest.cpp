// Stop schedule: who serves while entries are restarted in turn.
#include "fleet/stopschedule.h"

#include <boost/test/unit_test.hpp>

namespace turmericwell {

BOOST_AUTO_TEST_SUITE(StopScheduleTest)

constexpr Millis begin = {10'000};
constexpr Millis grace = {6'000};

// Guards against connections that the platform sends to an entry which refuses them.
BOOST_AUTO_TEST_CASE(handsOverAtOnceAndAcceptsUntilThePlatformHasNoticed)
{
    StopSchedule schedule(begin, grace);
    const StopState state{.hasSuccessor = true, .ownsPartitions = false};
    schedule.advance(state, begin);
    BOOST_TEST(schedule.releasesPartitions());
    BOOST_TEST((schedule.advance(state, begin + Millis{2'250}) == StopPhase::Draining));
    BOOST_TEST((schedule.advance(state, begin + Millis{2'300}) == StopPhase::Ended));
}

// Guards against seconds without an owner: the entries are restarted in turn and the others are not back yet.
BOOST_AUTO_TEST_CASE(lastEntryServesUntilAnotherOneIsThere)
{
    StopSchedule schedule(begin, grace);
    const StopState alone{.ownsPartitions = true, .openRequests = 3};
    schedule.advance(alone, begin);
    BOOST_TEST((schedule.advance(alone, begin + Millis{2'550}) == StopPhase::Draining));
    BOOST_TEST(!schedule.releasesPartitions());
    const Millis back = begin + Millis{2'600};
    BOOST_TEST(
        (schedule.advance({.hasSuccessor = true, .ownsPartitions = true}, back) == StopPhase::Closing));
    BOOST_TEST(schedule.releasesPartitions());
}

// Guards against requests that are taken so late that the end of the grace cuts them.
BOOST_AUTO_TEST_CASE(acceptsNothingInTheSecondHalfOfItsGrace)
{
    StopSchedule schedule(begin, grace);
    const StopState alone{.ownsPartitions = true, .openRequests = 3};
    BOOST_TEST((schedule.advance(alone, begin + Millis{2'800}) == StopPhase::Closing));
    BOOST_TEST(!schedule.releasesPartitions());
}

// Guards against an end by force: without a successor everything is given up before the grace is over.
BOOST_AUTO_TEST_CASE(endsWithinTheGraceWithoutASuccessor)
{
    StopSchedule schedule(begin, grace);
    const StopState alone{.ownsPartitions = true, .openRequests = 3};
    StopPhase phase = StopPhase::Draining;
    Millis releasedAt;
    Millis now = begin;
    for (; now < begin + grace && phase != StopPhase::Ended; now += Millis{50}) {
        phase = schedule.advance(alone, now);
        if (schedule.releasesPartitions() && releasedAt == Millis{})
            releasedAt = now;
    }
    BOOST_TEST((phase == StopPhase::Ended));
    BOOST_TEST((releasedAt >= begin + Millis{4'000}));
    BOOST_TEST((now <= begin + grace - Millis{700}));
}

// Guards against requests that are cut: open ones are answered, up to the end of the grace.
BOOST_AUTO_TEST_CASE(waitsForOpenRequestsAndForItsPartitions)
{
    StopSchedule schedule(begin, grace);
    const StopState busy{.hasSuccessor = true, .openRequests = 1};
    schedule.advance(busy, begin);
    schedule.advance(busy, begin + Millis{2'300});
    BOOST_TEST((schedule.advance(busy, begin + Millis{3'000}) == StopPhase::Closing));
    BOOST_TEST((schedule.advance({.hasSuccessor = true, .ownsPartitions = true}, begin + Millis{3'050})
                == StopPhase::Closing));
    BOOST_TEST((schedule.advance({.hasSuccessor = true}, begin + Millis{3'100}) == StopPhase::Ended));
}

// Guards against an owner that keeps its partitions because the successor was lost while it took them.
BOOST_AUTO_TEST_CASE(releaseIsNotTakenBack)
{
    StopSchedule schedule(begin, grace);
    schedule.advance({.hasSuccessor = true, .ownsPartitions = true}, begin);
    schedule.advance({.ownsPartitions = true}, begin + Millis{50});
    BOOST_TEST(schedule.releasesPartitions());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace turmericwell
