// Estimates of run times, learned for each queue.
//
// Load pattern: declared run times are off by tens of percent. The estimate is the mean of two values: the
// declared run time times the queue's average ratio of actual to declared time, and the queue's average
// actual run time.
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

    // Load pattern: tasks of a few milliseconds and of seconds on the same workers. A task can start once the
    // tasks ahead of it have started; they need not have ended. The wait therefore depends on how long a
    // processor stays occupied on average: this time divided by the capacity is the wait that each queued
    // unit of processors adds.
    void observeTurnover(std::string_view service, uint32_t cpuMilli, Millis actual);
    // Mean run time of recently ended runs, weighted by their processors; defaultValue until there are enough
    // samples.
    Millis turnover(std::string_view service, Millis defaultValue) const;

private:
    struct Average
    {
        double actualMs = 0;
        // Actual run time divided by the declared one.
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
