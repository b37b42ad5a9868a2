// When an entry that has been told to stop gives up its partitions and its connections. No input or output;
// time is passed in.
//
// Load pattern: entries are restarted in turn, and the next one is told to stop before the former one is
// back. The last entry goes on serving what reaches it until another one can take its partitions, as far as
// its grace allows.
#pragma once

#include "turmericwell/millis.h"

#include <cstdint>
#include <string_view>

namespace turmericwell {

enum class StopPhase : uint8_t {
    // Not ready any more. Connections are accepted until the platform has noticed.
    Draining,
    // Open requests are answered, new connections are refused.
    Closing,
    Ended,
};

constexpr std::string_view stopPhaseName(StopPhase phase)
{
    switch (phase) {
    case StopPhase::Draining:
        return "draining";
    case StopPhase::Closing:
        return "closing";
    case StopPhase::Ended:
        break;
    }
    return "ended";
}

struct StopState
{
    // Another entry that does not stop itself is connected.
    bool hasSuccessor = false;
    bool ownsPartitions = false;
    size_t openRequests = 0;
};

class StopSchedule
{
public:
    StopSchedule(Millis begin, Millis grace);

    // Call regularly; phases only move forward.
    StopPhase advance(const StopState &state, Millis now);
    StopPhase phase() const { return m_phase; }
    // The partitions can go to another entry, or have to be given up because the grace is nearly over.
    bool releasesPartitions() const { return m_releases; }

private:
    // The platform sends new connections until two of its checks, a second apart, have failed.
    static constexpr Millis drainTime = {2'300};
    // Without a successor connections are accepted for longer. A request that is taken in the second half of
    // a grace of 6 s may not be answered in time.
    static constexpr Millis longestDrainTime = {2'800};
    // Part of the grace that is left for the end of the process.
    static constexpr Millis endMargin = {800};
    // Part of the grace in which records are stored and the group is left.
    static constexpr Millis releaseTime = {1'000};

    const Millis m_begin;
    const Millis m_grace;
    StopPhase m_phase = StopPhase::Draining;
    bool m_releases = false;
};

} // namespace turmericwell
