// Metrics of an agent; docs/operators.md lists them.
#pragma once

#include "observe/metrics.h"

#include <array>

namespace turmericwell {

inline constexpr std::array agentMetrics = {
    MetricDescription{"events_total", MetricKind::Counter, "Events of the timeline by kind.", "kind"},
    MetricDescription{"refusals_total", MetricKind::Counter, "Refused task starts by reason.", "reason"},
    MetricDescription{"task_run_ms", MetricKind::Summary, "Run time of tasks on the target, in ms."},
    MetricDescription{"tasks_running", MetricKind::Gauge, "Tasks that run on the target."},
    MetricDescription{"tasks_queued", MetricKind::Gauge, "Tasks that wait at the agent for a slot."},
    MetricDescription{"config_version", MetricKind::Gauge, "Version of the configuration in force."},
    MetricDescription{"current", MetricKind::Gauge, "1 if this agent may start tasks, else 0."},
    MetricDescription{"events_dropped_total", MetricKind::Counter,
                      "Events that were dropped from the full buffer of this process."},
};

} // namespace turmericwell
