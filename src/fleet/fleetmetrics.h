// Metrics of entries and agents on a platform that provides a store; docs/OPERATIONS.md lists them.
#pragma once

#include "observe/metrics.h"

#include <array>

namespace turmericwell {

inline constexpr std::array fleetMetrics = {
    MetricDescription{"decisions_total", MetricKind::Counter,
                      "Decisions by event, including those whose log line was dropped.", "event"},
    MetricDescription{"log_lines_dropped_total", MetricKind::Counter,
                      "Lines of the decision log that were dropped."},
    MetricDescription{"input_rejected_total", MetricKind::Counter,
                      "Requests, connections and calls that a limit on input has rejected.", "limit"},
    MetricDescription{"job_ms", MetricKind::Summary, "Time from a job's acceptance to its end, in ms."},
    MetricDescription{"run_wait_ms", MetricKind::Summary,
                      "Time from a job's acceptance to the start of a run, in ms."},
    MetricDescription{"run_ms", MetricKind::Summary, "Time from the start of a run to its end, in ms."},
    MetricDescription{"append_ms", MetricKind::Summary,
                      "Duration of an append to the store, including retries, in ms."},
    MetricDescription{"jobs_active", MetricKind::Gauge,
                      "Jobs in this entry's partitions that have not ended."},
    MetricDescription{"waiting_cpu_milli", MetricKind::Gauge,
                      "Thousandths of processors requested by the tasks waiting at this entry."},
    MetricDescription{"partitions_owned", MetricKind::Gauge,
                      "Partitions of the job table that this entry serves."},
    MetricDescription{"configuration_version", MetricKind::Gauge, "Version of the active configuration."},
    MetricDescription{"runs", MetricKind::Gauge,
                      "Runs held by this agent, including those waiting to start."},
};

} // namespace turmericwell
