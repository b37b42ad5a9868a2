// Average slack of recent jobs by priority, used to limit the queue length for more urgent jobs.
//
// Load pattern: bursts beyond the capacity of all workers, with kinds of jobs that tolerate different waits.
// Jobs that tolerate long waits would still be admitted when the queue is so long that all short, urgent jobs
// are rejected. Admission therefore also limits a job's wait to the shortest average slack of the jobs that
// are more urgent by their declared priority.
#pragma once

#include "turmericwell/millis.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace turmericwell {

class UrgentSlack
{
public:
    // A priority without a new job for longer than this is ignored.
    static constexpr Millis retention = {3'000};

    // Records the slack of a newly submitted job.
    void observe(std::string_view service, uint32_t priority, Millis slack, Millis now);
    // Shortest average slack among the more urgent priorities with recent jobs; nullopt if there are none. A
    // lower number is more urgent.
    std::optional<Millis> shortest(std::string_view service, uint32_t priority, Millis now) const;

private:
    struct Mean
    {
        double slackMs = 0;
        Millis lastSeen;
    };

    std::map<std::string, std::map<uint32_t, Mean>, std::less<>> m_means;
};

} // namespace turmericwell
