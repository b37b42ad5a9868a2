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
