// Tests which entry serves requests during a rolling restart.
#include "fleet/stopschedule.h"

#include <boost/test/unit_test.hpp>

namespace turmericwell {

BOOST_AUTO_TEST_SUITE(StopScheduleTest)

constexpr Millis begin = {10'000};
constexpr Millis grace = {6'000};

// Guards against refusing connections that the platform still routes to the stopping entry.
BOOST_AUTO_TEST_CASE(handsOverAtOnceAndAcceptsUntilThePlatformHasNoticed)
{
    StopSchedule schedule(begin, grace);
    const StopState state{.hasSuccessor = true, .ownsPartitions = false};
    schedule.advance(state, begin);
    BOOST_TEST(schedule.releasesPartitions());
    BOOST_TEST((schedule.advance(state, begin + Millis{2'250}) == StopPhase::Draining));
    BOOST_TEST((schedule.advance(state, begin + Millis{2'300}) == StopPhase::Ended));
}

// Guards against partitions without an owner for seconds during a rolling restart, when the other entries are
// not back yet.
BOOST_AUTO_TEST_CASE(lastEntryServesUntilAnotherIsConnected)
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

// Guards against accepting requests so late that the end of the grace period cuts them off.
BOOST_AUTO_TEST_CASE(acceptsNothingInTheSecondHalfOfItsGrace)
{
    StopSchedule schedule(begin, grace);
    const StopState alone{.ownsPartitions = true, .openRequests = 3};
    BOOST_TEST((schedule.advance(alone, begin + Millis{2'800}) == StopPhase::Closing));
    BOOST_TEST(!schedule.releasesPartitions());
}

// Guards against being killed by the platform: without a successor, everything is released before the grace
// period is over.
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

// Guards against requests that are cut off: open requests are answered until the end of the grace period.
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

// Guards against a request that is cut off without an answer (review/10): one that is still open near the end
// of the grace period gets its last answer while there is time to write it.
BOOST_AUTO_TEST_CASE(openRequestsAreAnsweredBeforeTheEnd)
{
    StopSchedule schedule(begin, grace);
    const StopState busy{.hasSuccessor = true, .openRequests = 1};
    schedule.advance(busy, begin);
    schedule.advance(busy, begin + Millis{2'300});
    BOOST_TEST((schedule.advance(busy, begin + Millis{4'950}) == StopPhase::Closing));
    BOOST_TEST((schedule.advance(busy, begin + Millis{5'000}) == StopPhase::Answering));
    BOOST_TEST((schedule.advance(busy, begin + Millis{5'150}) == StopPhase::Answering));
    BOOST_TEST((schedule.advance({.hasSuccessor = true}, begin + Millis{5'160}) == StopPhase::Ended));
}

// Guards against an owner that retains its partitions because the successor was lost while taking them over.
BOOST_AUTO_TEST_CASE(releaseIsNotReverted)
{
    StopSchedule schedule(begin, grace);
    schedule.advance({.hasSuccessor = true, .ownsPartitions = true}, begin);
    schedule.advance({.ownsPartitions = true}, begin + Millis{50});
    BOOST_TEST(schedule.releasesPartitions());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace turmericwell
