// Names of event kinds, as used in the timeline.
#include "turmericwell/event.h"

#include <array>

namespace turmericwell {

std::string_view toString(EventKind kind)
{
    static constexpr std::array<std::string_view, 28> names = {
        "process_started",     "process_stopping",    "config_accepted",    "config_refused",
        "entry_joined",        "entry_left",          "agent_connected",    "agent_lost",
        "submission_accepted", "submission_attached", "submission_refused", "submission_forwarded",
        "task_queued",         "task_sent",           "task_started",       "task_finished",
        "task_refused",        "task_revoked",        "task_retried",       "submission_answered",
        "target_ejected",      "target_restored",     "takeover_started",   "takeover_finished",
        "zone_withdrawn",      "zone_returned",       "became_stale",       "became_current"};
    return names.at(static_cast<size_t>(kind));
}

} // namespace turmericwell
