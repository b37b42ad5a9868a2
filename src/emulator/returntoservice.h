// How soon an emulated day is served again after all processes were down, and what was served meanwhile.
#pragma once

#include "emulator/emulationcheck.h"

namespace turmericwell {

// A span of a day, counted from the beginning of the traffic.
struct DaySpan
{
    Millis begin;
    Millis end;
};

// Counts the jobs that were submitted for the first time in the span.
KindService serviceWithin(const EmulationRecord &record, const EmulationOptions &options, DaySpan span);

// Time from `startedAt`, which counts from the beginning of the traffic, after which the jobs that are
// submitted in any 200 ms are in time as often as `share` times the jobs before `wasUntil` were. Empty if
// this is not reached within 6 s.
std::optional<Millis> timeUntilServed(const EmulationRecord &record, const EmulationOptions &options,
                                      Millis wasUntil, Millis startedAt, double share);

} // namespace turmericwell
