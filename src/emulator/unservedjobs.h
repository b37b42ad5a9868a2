// Why jobs of an emulated day were not served, from the records of clients and workers.
#pragma once

#include "emulator/emulation.h"

#include <string_view>

namespace turmericwell {

enum class UnservedCause : uint8_t {
    // Every try was refused.
    Refused,
    // A task failed as often as is allowed.
    Failed,
    // For standstillBound or longer nothing of the job ran although the workers were up to half in use and no
    // trouble was active.
    StandingStill,
    // Nothing of the job ran for most of its wait, and the workers were more than half in use.
    WithoutCapacity,
    // Nothing of the job ran for most of its wait, while a trouble was active and processors were free.
    DuringTrouble,
    // The job ran, and its client got no answer in time.
    WithoutAnswer,
};

inline constexpr Millis standstillBound = {3'000};

struct UnservedCounts
{
    uint32_t refused = 0;
    uint32_t failed = 0;
    uint32_t standingStill = 0;
    uint32_t withoutCapacity = 0;
    uint32_t duringTrouble = 0;
    uint32_t withoutAnswer = 0;
    // One of the jobs that stood still, for the trace; 0 if there is none.
    JobId exampleOfStandingStill = 0;

    uint32_t total() const
    {
        return refused + failed + standingStill + withoutCapacity + duringTrouble + withoutAnswer;
    }
    bool operator==(const UnservedCounts &) const = default;
};

// Counts the jobs that were neither completed nor cancelled.
UnservedCounts countUnserved(const EmulationRecord &record, const EmulationOptions &options);

} // namespace turmericwell
