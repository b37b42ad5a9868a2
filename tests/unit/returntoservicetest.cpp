// Tests how soon all processes serve again after they were down at once.
#include "emulator/returntoservice.h"
#include "emulator/emulationsites.h"
#include "fleet/membershipplan.h"

#include <boost/test/unit_test.hpp>

namespace turmericwell {

namespace {

// Ten entries and sixty agents at half of their capacity, with best-effort jobs only.
EmulationOptions dayOfManyAgents(uint64_t seed)
{
    EmulationOptions day = *emulatedSite("himal");
    day.seed = seed;
    day.size = {.entries = 10, .agents = 60};
    day.partitions = 16;
    day.traffic.load = 3.8;
    day.traffic.keptShare = 0;
    day.traffic.deadline = {1'500};
    day.length = {10'000};
    day.finish = {3'000};
    day.spreadsAnnouncements = true;
    return day;
}

std::string firstBroken(const std::vector<BrokenPromise> &broken)
{
    return broken.empty() ? std::string() : broken.front().what;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ReturnToServiceTest)

// Guards against a measurement that finds a day served that is not, or the other way round.
BOOST_AUTO_TEST_CASE(timeIsMeasuredFromTheStart)
{
    EmulationOptions day;
    day.traffic.kinds = {{.queue = "q", .perSecond = 1, .tasks = 1, .meanRunTime = {10}}};
    day.length = {10'000};
    EmulationRecord record;
    record.begin = {1'000'000};
    const auto addJob = [&](Millis sentAt, bool isServed) {
        JobOutcome job;
        job.job = record.jobs.size() + 1;
        job.sentAt = record.begin + sentAt;
        job.longestTask = {10};
        job.onlyRefused = !isServed;
        if (isServed)
            job.completedAt = job.sentAt + Millis{20};
        record.jobs.push_back(job);
    };
    // Served except from 5,000 to 5,700 ms.
    for (Millis at = {1'000}; at < Millis{9'000}; at += Millis{10})
        addJob(at, at < Millis{5'000} || at >= Millis{5'700});
    const auto served = [&](double share) {
        return timeUntilServed(record, day, {4'000}, {5'200}, share).value_or(Millis{-1}).count;
    };
    BOOST_TEST(served(0.5) == 400);
    BOOST_TEST(served(0.9) == 480);
    const KindService service = serviceWithin(record, day, {.begin = {5'000}, .end = {6'000}});
    BOOST_TEST(service.asked == 100U);
    BOOST_TEST(service.inTime == 30U);
    BOOST_TEST(service.refused == 70U);
}

// Guards against entries that wait for processes which the member list names already, while all calls are
// refused.
BOOST_AUTO_TEST_CASE(entryOfAnEstablishedFleetJoinsAtOnce)
{
    MembershipPlan plan;
    plan.setFleetKnown();
    BOOST_TEST(plan.advance(2, 60, {1'000}).value_or(9) == 2U);
    // Later changes wait as usual.
    BOOST_TEST(!plan.advance(1, 60, {1'100}).has_value());
    BOOST_TEST(!plan.advance(1, 60, {4'050}).has_value());
    BOOST_TEST(plan.advance(1, 60, {4'100}).value_or(9) == 1U);
}

// Guards against seconds without service after all processes were down at once, with the workers up.
BOOST_AUTO_TEST_CASE(serviceIsBackSoonAfterAllProcessesWereDown)
{
    EmulationOptions day = dayOfManyAgents(1);
    day.servesUntilTaken = true;
    day.joinsKnownFleetAtOnce = true;
    constexpr Millis at = {3'000};
    constexpr Millis length = {1'000};
    day.plan = planOf(OutageOfAll{.at = at, .length = length});
    const EmulationRecord record = Emulation(day).run();
    BOOST_TEST(firstBroken(checkPromises(record, day)) == "");
    constexpr Millis never = {60'000};
    BOOST_TEST(timeUntilServed(record, day, at, at + length, 0.5).value_or(never).count <= 600);
    BOOST_TEST(timeUntilServed(record, day, at, at + length, 0.9).value_or(never).count <= 1'200);
}

// Guards against a third of the jobs being refused while entries are restarted in turn and the store is slow:
// each partition that changed its owner stood still for several calls to the store.
BOOST_AUTO_TEST_CASE(partitionsAreServedWhileTheyChangeOwnersSlowly)
{
    EmulationOptions day = dayOfManyAgents(1);
    day.servesUntilTaken = true;
    constexpr Millis begin = {3'000};
    constexpr Millis length = {6'000};
    day.plan = planOf(SlowRestart{.at = begin, .length = length, .storeFactor = 65, .gap = {1'000}});
    const EmulationRecord record = Emulation(day).run();
    BOOST_TEST(firstBroken(checkPromises(record, day)) == "");
    const KindService service = serviceWithin(record, day, {.begin = begin, .end = begin + length});
    BOOST_TEST(service.asked > 2'500U);
    BOOST_TEST(service.refused * 50 < service.asked);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace turmericwell
