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

private:
    struct Average
    {
        double actualMs = 0;
        // Actual over declared.
        double ratio = 1;
        uint32_t samples = 0;
    };

    std::map<std::string, Average, std::less<>> m_averages;
};

} // namespace turmericwell
