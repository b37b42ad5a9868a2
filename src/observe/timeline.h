// Merges the events of several processes into one causally ordered timeline and formats it as text.
#pragma once

#include "turmericwell/event.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace turmericwell {

// An empty field matches all events.
struct TimelineFilter
{
    // Hexadecimal fingerprint of the submission.
    std::string job;
    // A task, which includes all its attempts, or one attempt.
    std::string task;
    std::string zone;
    // Name of a target or of its agent.
    std::string target;
};

// Returns the events that match the filter. Events of an entry name the agent of a target; events of an agent
// name its target and zone. The mapping between them is taken from the events of the agents, so `events` must
// contain all of those.
std::vector<Event> filterTimeline(std::span<const Event> events, const TimelineFilter &filter);

// Removes duplicates and fills in causes inferred from task, job and configuration version. The result
// preserves the sequence within each process and places each event after its cause; other events are ordered
// by time.
std::vector<Event> mergeTimeline(std::vector<Event> events);

// Formats one line per event. Waiting and running times are computed only between events of one process.
std::vector<std::string> timelineText(std::span<const Event> events);

// Explanation of a reason defined in turmericwell/outcome.h; empty if there is none.
std::string_view explainReason(std::string_view reason);

// Selects at most `maxEvents` events and preserves their order. Events that explain a decision have
// precedence over those of the normal path of a task.
std::vector<Event> selectForShipping(std::span<const Event> events, size_t maxEvents);

} // namespace turmericwell
