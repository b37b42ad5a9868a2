// Metrics of an agent process, documented in docs/operators.md.
#pragma once

#include "observe/metrics.h"

#include <array>

namespace turmericwell {

inline constexpr std::array agentMetrics = {
    MetricDescription{"events_total", MetricKind::Counter, "Timeline events by kind.", "kind"},
    MetricDescription{"refusals_total", MetricKind::Counter, "Rejected task starts by reason.", "reason"},
    MetricDescription{"task_run_ms", MetricKind::Summary, "Run time of tasks on the target, in ms."},
    MetricDescription{"tasks_running", MetricKind::Gauge, "Tasks running on the target."},
    MetricDescription{"tasks_queued", MetricKind::Gauge, "Tasks queued at the agent for a free slot."},
    MetricDescription{"config_version", MetricKind::Gauge, "Version of the configuration in force."},
    MetricDescription{"current", MetricKind::Gauge,
                      "1 if this agent has fresh evidence of currency, otherwise 0."},
    MetricDescription{"events_dropped_total", MetricKind::Counter,
                      "Events dropped because the event buffer of this process was full."},
};

} // namespace turmericwell
