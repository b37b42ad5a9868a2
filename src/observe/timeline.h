// Merges the events of many processes into one order and tells them in sentences.
#pragma once

#include "turmericwell/event.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace turmericwell {

// Empty text means that a field does not restrict the events.
struct TimelineFilter
{
    // Fingerprint of the submission in hexadecimal form.
    std::string job;
    std::string task;
    std::string zone;
    // Name of a target or of its agent.
    std::string target;
};

// Keeps the events that match. Entries name the agent of a target, agents their target and zone; the events
// of the agents tell which belong together, so all of them must be among `events`.
std::vector<Event> filterTimeline(std::span<const Event> events, const TimelineFilter &filter);

// Removes duplicates and fills in causes that follow from task, job and configuration version. The order
// respects the sequence within a process and puts each event after its cause; otherwise it is by time.
std::vector<Event> mergeTimeline(std::vector<Event> events);

// One line for each event, with the waiting and running times that events of one process give.
std::vector<std::string> timelineText(std::span<const Event> events);

// What a reason of the public contract means; empty if it is not known.
std::string_view explainReason(std::string_view reason);

// At most that many events: all that explain a decision come before those of the normal path of a task.
std::vector<Event> selectForShipping(std::span<const Event> events, size_t most);

} // namespace turmericwell
