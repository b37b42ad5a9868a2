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
    MetricDescription{"placement_waits_total", MetricKind::Counter,
                      "Waits of tasks for free resources near their data, by how they ended.", "outcome"},
    MetricDescription{
        "placement_wait_ms", MetricKind::Summary,
        "Time that a task waited for free resources near its data before it was placed, in ms."},
    MetricDescription{"jobs_active", MetricKind::Gauge,
                      "Jobs in this entry's partitions that have not ended."},
    MetricDescription{"waiting_cpu_milli", MetricKind::Gauge,
                      "Thousandths of processors requested by the tasks waiting at this entry."},
    MetricDescription{"partitions_owned", MetricKind::Gauge,
                      "Partitions of the job table that this entry serves."},
    MetricDescription{"workers_with_known_speed", MetricKind::Gauge,
                      "Workers whose agents report a speed to this entry."},
    MetricDescription{"runs_moved_total", MetricKind::Counter,
                      "Runs that were stopped to be started on another worker."},
    MetricDescription{"runs_left_total", MetricKind::Counter,
                      "Runs that exceeded twice their expected time and ended without a move."},
    MetricDescription{"configuration_version", MetricKind::Gauge, "Version of the active configuration."},
    MetricDescription{"jobs_admitted_total", MetricKind::Counter, "Jobs admitted by forecast, by reason.",
                      "reason"},
    MetricDescription{"jobs_rejected_total", MetricKind::Counter,
                      "Jobs rejected by forecast or shares, by reason.", "reason"},
    MetricDescription{"queue_share_cpu_milli", MetricKind::Gauge,
                      "Share of each queue in the processors of all workers, in thousandths of a core; only "
                      "while shares are set.",
                      "queue"},
    MetricDescription{"runs", MetricKind::Gauge,
                      "Runs held by this agent, including those waiting to start."},
};

} // namespace turmericwell
