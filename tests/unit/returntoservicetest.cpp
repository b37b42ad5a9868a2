// Tests how soon all processes serve again after they were down at once.
#include "emulator/returntoservice.h"

#include <boost/test/unit_test.hpp>

namespace turmericwell {

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

BOOST_AUTO_TEST_SUITE_END()

} // namespace turmericwell
