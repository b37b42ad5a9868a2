// Decides when a stopping entry releases its partitions and closes its connections. Performs no input or
// output; the caller passes the time.
//
// Load pattern: a rolling restart, in which an entry is told to stop before the previously restarted entry is
// back. The last remaining entry keeps serving requests until another entry can take over its partitions, as
// far as its grace period allows.
#pragma once

#include "turmericwell/millis.h"

#include <cstdint>
#include <string_view>

namespace turmericwell {

enum class StopPhase : uint8_t {
    // The entry reports that it is not ready, but accepts connections until the platform has noticed.
    Draining,
    // Open requests are still answered; new connections are refused.
    Closing,
    // Requests that are still open are answered without an outcome, and the answers are written.
    Answering,
    Ended,
};

constexpr std::string_view stopPhaseName(StopPhase phase)
{
    switch (phase) {
    case StopPhase::Draining:
        return "draining";
    case StopPhase::Closing:
        return "closing";
    case StopPhase::Answering:
        return "answering";
    case StopPhase::Ended:
        break;
    }
    return "ended";
}

struct StopState
{
    // Another entry is connected and is not stopping.
    bool hasSuccessor = false;
    bool ownsPartitions = false;
    size_t openRequests = 0;
};

class StopSchedule
{
public:
    StopSchedule(Millis begin, Millis grace);

    // Must be called regularly. Phases only move forward.
    StopPhase advance(const StopState &state, Millis now);
    StopPhase phase() const { return m_phase; }
    // True once another entry can take over the partitions, or once they must be released because the grace
    // period is nearly over.
    bool releasesPartitions() const { return m_releases; }

private:
    // The platform routes new connections here until two of its readiness checks, a second apart, have
    // failed.
    static constexpr Millis drainTime = {2'300};
    // Without a successor, connections are accepted for longer. A request accepted in the second half of a
    // grace period of 6 s may not be answered in time.
    static constexpr Millis longestDrainTime = {2'800};
    // Part of the grace period reserved for shutting down the process.
    static constexpr Millis endMargin = {800};
    // Time before that for writing the last answers.
    static constexpr Millis answerTime = {200};
    // Part of the grace period reserved for storing records and leaving the group.
    static constexpr Millis releaseTime = {1'000};

    const Millis m_begin;
    const Millis m_grace;
    StopPhase m_phase = StopPhase::Draining;
    bool m_releases = false;
};

} // namespace turmericwell
