// Tests of ReturnSchedule: a crowd of clients that are rejected within a short time.
#include "jobs/returnschedule.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <vector>

namespace turmericwell {

BOOST_AUTO_TEST_SUITE(ReturnScheduleTest)

namespace {

constexpr Millis start = {100'000};

// A job of 1,000 thousandths of a core for 100 ms, where 2,000 are left for returning jobs.
ReturnSchedule::Request request(JobId job)
{
    return {.job = job, .work = 100'000, .cpuMilli = 1'000, .spareRate = 2'000};
}

} // namespace

// Load pattern: 60 jobs rejected within 60 ms. Guards against clients that return together, and against an
// order in which later rejections return first.
BOOST_AUTO_TEST_CASE(returnsSpreadOverTheRoomInOrderOfRejection)
{
    ReturnSchedule schedule;
    std::map<int64_t, uint32_t> bySecond;
    Millis last;
    // Five jobs fit into an interval of 250 ms, of which a quarter is kept for repeated rejections: the first
    // 24 jobs find room.
    for (JobId job = 1; job <= 60; ++job) {
        const Millis now = start + Millis{static_cast<int64_t>(job)};
        const Millis wait = schedule.book(request(job), now);
        BOOST_TEST(wait.count % 1'000 == 0);
        // Beyond the horizon the rest is spread evenly.
        BOOST_TEST((wait >= last || job > 24));
        last = wait;
        ++bySecond[wait.count / 1'000];
    }
    BOOST_TEST(bySecond.size() == 8U);
    for (const auto &[second, count] : bySecond)
        BOOST_TEST(count <= 10U);
}

// Guards against a client that is rejected a second time and returns after clients that came later.
BOOST_AUTO_TEST_CASE(repeatedRejectionBooksKeptRoom)
{
    ReturnSchedule schedule;
    BOOST_TEST((schedule.book(request(1), start) == Millis{1'000}));
    const Millis later = start + Millis{1'000};
    for (JobId job = 2; job <= 4; ++job)
        BOOST_TEST((schedule.book(request(job), later) == Millis{1'000}));
    BOOST_TEST((schedule.book(request(5), later) == Millis{2'000}));
    BOOST_TEST(schedule.isReturning(1, later));
    BOOST_TEST((schedule.book(request(1), later) == Millis{1'000}));
    BOOST_TEST(schedule.rejections(1) == 2U);
}

// Guards against room that stays reserved for jobs that are admitted or never come back.
BOOST_AUTO_TEST_CASE(promisedRoomEndsWithItsInterval)
{
    ReturnSchedule schedule;
    for (JobId job = 1; job <= 3; ++job)
        schedule.book(request(job), start);
    BOOST_TEST(schedule.promisedMilli({500}, start) == 0);
    const Millis due = start + Millis{1'000};
    BOOST_TEST(schedule.promisedMilli({250}, due) == 3'000);
    BOOST_TEST(schedule.promisedMilli({125}, due) == 1'500);
    schedule.release(1);
    BOOST_TEST(schedule.promisedMilli({250}, due) == 2'000);
    BOOST_TEST(schedule.promisedMilli({250}, due + Millis{250}) == 0);
    BOOST_TEST(!schedule.isReturning(2, due + Millis{501}));
    schedule.forgetOld(due + Millis{501});
    BOOST_TEST(schedule.size() == 0U);
}

// Guards against a return before room is expected, and against a load of rejections that grows without bound.
BOOST_AUTO_TEST_CASE(memoryAndTimesAreBounded)
{
    ReturnSchedule schedule;
    ReturnSchedule::Request late = request(1);
    late.roomIn = {3'200};
    BOOST_TEST((schedule.book(late, start) == Millis{4'000}));
    late.job = 2;
    late.roomIn = {60'000};
    BOOST_TEST((schedule.book(late, start) == Millis{8'000}));
    for (JobId job = 3; job < 20'000; ++job)
        schedule.book(request(job), start);
    BOOST_TEST(schedule.size() <= ReturnSchedule::mostReturns);
    // Without any spare room the answers are still spread.
    ReturnSchedule full;
    std::map<int64_t, uint32_t> bySecond;
    for (JobId job = 1; job <= 800; ++job) {
        ReturnSchedule::Request noRoom = request(job);
        noRoom.spareRate = 0;
        ++bySecond[full.book(noRoom, start).count];
    }
    BOOST_TEST(bySecond.size() == 8U);
    for (const auto &[wait, count] : bySecond)
        BOOST_TEST(count == 100U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace turmericwell
