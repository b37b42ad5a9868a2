// Times at which clients of rejected jobs are asked to submit them again.
//
// Load pattern: a burst is rejected within a few hundred milliseconds. If all clients are told the same time,
// they return together and are rejected again.
//
// The room that is expected to be left in each interval of the next seconds is booked by the rejected jobs,
// the earliest interval first. A job that returns finds its room reserved, and one that is rejected again
// books before those rejected later, because it may use room that is kept from first rejections.
#pragma once

#include "jobs/taskid.h"
#include "turmericwell/millis.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>

namespace turmericwell {

class ReturnSchedule
{
public:
    // The protocol's answer is in whole seconds, so a return time is a whole number of seconds away.
    static constexpr Millis second = {1'000};
    static constexpr int64_t mostSeconds = 8;
    static constexpr Millis interval = {250};
    // Jobs whose return is remembered; the oldest are forgotten first.
    static constexpr size_t mostReturns = 4'096;
    // A job that has not come back this long after its time is no longer expected.
    static constexpr Millis grace = {500};

    struct Request
    {
        JobId job = 0;
        // Processors times run time, in thousandths of a core times milliseconds.
        double work = 0;
        int64_t cpuMilli = 0;
        // Work per millisecond that is expected to be left for returning jobs.
        double spareRate = 0;
        // Time before which no room is expected.
        Millis roomIn;
    };

    // Books the return of a rejected job and returns the time until then, in whole seconds.
    Millis book(const Request &request, Millis now);
    // Whether the job was told to return about now.
    bool isReturning(JobId job, Millis now) const;
    // Number of times the job has been rejected; 0 if it is not known.
    uint32_t rejections(JobId job) const;
    // Processors reserved for the jobs that are expected to return within the given time, without those that
    // should have come already.
    int64_t promisedMilli(Millis within, Millis now) const;
    // The job has been admitted or has ended: its room is no longer reserved.
    void release(JobId job);
    void forgetOld(Millis now);
    size_t size() const { return m_returns.size(); }

private:
    struct Return
    {
        Millis at;
        int64_t cpuMilli = 0;
        double work = 0;
        uint32_t rejections = 0;
        uint64_t serial = 0;
    };

    struct Slot
    {
        // Number of the interval since the start of the clock; the slot is reused when it has passed.
        int64_t number = -1;
        double work = 0;
        int64_t cpuMilli = 0;
    };

    // Intervals up to the last return, its grace and one for the round-up.
    static constexpr size_t slots = 64;

    static int64_t intervalOf(Millis time) { return time.count / interval.count; }
    Slot &slotAt(int64_t number);
    void unbook(const Return &booked);

    std::array<Slot, slots> m_slots{};
    std::unordered_map<JobId, Return> m_returns;
    // The same jobs by time of booking, with the serial of the booking.
    std::deque<std::pair<JobId, uint64_t>> m_order;
    uint64_t m_lastSerial = 0;
};

} // namespace turmericwell
