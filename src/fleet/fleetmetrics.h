// Metrics of entries and agents on a platform with a store; docs/OPERATIONS.md lists them.
#pragma once

#include "observe/metrics.h"

#include <array>

namespace turmericwell {

inline constexpr std::array fleetMetrics = {
    MetricDescription{"decisions_total", MetricKind::Counter, "Lines of the decision log by event.", "event"},
    MetricDescription{"log_lines_dropped_total", MetricKind::Counter,
                      "Lines of the decision log that were not written."},
    MetricDescription{"job_ms", MetricKind::Summary, "Time from a job's acceptance to its end, in ms."},
    MetricDescription{"run_wait_ms", MetricKind::Summary,
                      "Time from a job's acceptance to the start of a run, in ms."},
    MetricDescription{"run_ms", MetricKind::Summary, "Time from the start of a run to its end, in ms."},
    MetricDescription{"append_ms", MetricKind::Summary,
                      "Time of an append to the store, repetitions included, in ms."},
    MetricDescription{"jobs_active", MetricKind::Gauge,
                      "Jobs of this entry's partitions that have not ended."},
    MetricDescription{"waiting_cpu_milli", MetricKind::Gauge,
                      "Thousandths of processors that the tasks waiting here ask for."},
    MetricDescription{"partitions_owned", MetricKind::Gauge,
                      "Partitions of the job table that this entry serves."},
    MetricDescription{"configuration_version", MetricKind::Gauge, "Version of the configuration in force."},
    MetricDescription{"runs", MetricKind::Gauge, "Runs that this agent keeps, waiting ones included."},
};

} // namespace turmericwell
