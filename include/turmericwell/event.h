// Typed events of the timeline: one for each decision that changes whether or where a task runs.
#pragma once

#include "turmericwell/millis.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace turmericwell {

enum class EventKind : uint8_t {
    ProcessStarted,
    ProcessStopping,
    ConfigAccepted,
    ConfigRefused,
    EntryJoined,
    EntryLeft,
    AgentConnected,
    AgentLost,
    SubmissionAccepted,
    SubmissionAttached,
    SubmissionRefused,
    SubmissionForwarded,
    TaskQueued,
    TaskSent,
    TaskStarted,
    TaskFinished,
    TaskRefused,
    TaskRevoked,
    TaskRetried,
    SubmissionAnswered,
    TargetEjected,
    TargetRestored,
    TakeoverStarted,
    TakeoverFinished,
    ZoneWithdrawn,
    ZoneReturned,
    BecameStale,
    BecameCurrent,
};

std::string_view toString(EventKind kind);

// Fields that do not apply to the kind of event are empty or zero.
struct Event
{
    EventKind kind = EventKind::ProcessStarted;
    // Wall-clock time of the process that recorded the event.
    Millis time;
    std::string process;
    std::string zone;
    // Sequence number among the events of the process; without gaps unless the buffer has overflowed.
    uint64_t sequence = 0;
    std::string job;
    std::string task;
    std::string target;
    uint64_t configVersion = 0;
    std::string reason;
    // Process and sequence number of the event that caused this event.
    std::string causeProcess;
    uint64_t causeSequence = 0;
};

} // namespace turmericwell
