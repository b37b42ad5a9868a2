// Run times of tasks, learned by queue.
//
// Load pattern: declared run times are off by tens of percent. The estimate is the mean of the declared
// figure, corrected by what the queue's tasks take on average, and of the average itself.
#pragma once

#include "turmericwell/millis.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace turmericwell {

class RunTimes
{
public:
    void observe(std::string_view queue, uint32_t declaredMs, Millis actual);
    uint32_t estimateMs(std::string_view queue, uint32_t declaredMs) const;

    // Load pattern: tasks of a few milliseconds and of seconds on the same workers. A waiting task takes up
    // its processors, but the ones before it only have to start, not to end. So what counts is how long
    // processors stay taken on average: that time divided by the capacity is the wait for each unit that
    // waits before.
    void observeTurnover(std::string_view service, uint32_t cpuMilli, Millis actual);
    // Mean run time, by processors, of the runs that have ended lately; the default until enough have.
    Millis turnover(std::string_view service, Millis defaultValue) const;

private:
    struct Average
    {
        double actualMs = 0;
        // Actual over declared.
        double ratio = 1;
        uint32_t samples = 0;
    };

    struct Turnover
    {
        double cpuMilli = 0;
        double cpuMs = 0;
        uint32_t samples = 0;
    };

    std::map<std::string, Average, std::less<>> m_averages;
    std::map<std::string, Turnover, std::less<>> m_turnovers;
};

} // namespace turmericwell
