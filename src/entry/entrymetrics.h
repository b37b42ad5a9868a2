// Metrics of an entry; docs/operators.md lists them.
#pragma once

#include "observe/metrics.h"

#include <array>

namespace turmericwell {

inline constexpr std::array entryMetrics = {
    MetricDescription{"events_total", MetricKind::Counter, "Events of the timeline by kind.", "kind"},
    MetricDescription{"refusals_total", MetricKind::Counter,
                      "Refused submissions and refused task starts by reason.", "reason"},
    MetricDescription{"input_rejected_total", MetricKind::Counter,
                      "Requests and connections that a limit on input has rejected.", "limit"},
    MetricDescription{"answers_total", MetricKind::Counter, "Answers to submissions by outcome.", "outcome"},
    MetricDescription{"submission_ms", MetricKind::Summary,
                      "Time from a submission's arrival at its owner to its answer, in ms."},
    MetricDescription{"submissions_active", MetricKind::Gauge, "Submissions that are not answered yet."},
    MetricDescription{"submissions_known", MetricKind::Gauge, "Submissions with a record at this entry."},
    MetricDescription{"submissions_waiting_for_owner", MetricKind::Gauge,
                      "Submissions and lookups that wait for an entry that serves their key."},
    MetricDescription{"takeovers_pending", MetricKind::Gauge, "Dead entries whose keys wait for a takeover."},
    MetricDescription{"claims_dropped_total", MetricKind::Counter,
                      "Claims that were not appended because the log was down for too long."},
    MetricDescription{"tasks_in_flight", MetricKind::Gauge, "Tasks sent to agents and not ended."},
    MetricDescription{"tasks_queued", MetricKind::Gauge, "Tasks that wait for a free slot."},
    MetricDescription{"credits_idle", MetricKind::Gauge, "Slot credits that this entry could use at once."},
    MetricDescription{"task_starts_sent_total", MetricKind::Counter, "Task starts sent to agents."},
    MetricDescription{"task_refusals_total", MetricKind::Counter, "Task starts that agents refused."},
    MetricDescription{"credit_asks_total", MetricKind::Counter, "Messages that asked a peer for credits."},
    MetricDescription{"credit_transfers_total", MetricKind::Counter,
                      "Messages that carried credits to a peer and nothing else."},
    MetricDescription{"wasted_messages_total", MetricKind::Counter,
                      "Messages that neither started a task nor carried its answer."},
    MetricDescription{"tasks_parked", MetricKind::Gauge,
                      "Tasks held back by a running limit or by the backoff after a refusal."},
    MetricDescription{"submissions_refused_total", MetricKind::Counter,
                      "Submissions refused by a quota, a full service queue or a deadline out of reach."},
    MetricDescription{"retries_denied_total", MetricKind::Counter,
                      "Repeated starts that the retry budget did not allow."},
    MetricDescription{"tombstones", MetricKind::Gauge, "Fingerprints kept of keys past the window."},
    MetricDescription{"tombstones_dropped_total", MetricKind::Counter,
                      "Fingerprints dropped because tombstoneCapacity was reached."},
    MetricDescription{"answer_bytes", MetricKind::Gauge, "Bytes of answers kept for resubmissions."},
    MetricDescription{"answers_dropped_total", MetricKind::Counter,
                      "Answers dropped within the window because answerMemoryMb was reached."},
    MetricDescription{"submissions_waiting_for_owner", MetricKind::Gauge,
                      "Submissions that wait until the owner of their key is known and ready."},
    MetricDescription{"takeovers_pending", MetricKind::Gauge, "Takeovers of dead entries under way."},
    MetricDescription{"claims_dropped_total", MetricKind::Counter,
                      "Claimed keys that could not be appended to the log."},
    MetricDescription{"agents_connected", MetricKind::Gauge, "Agents with a connection to this entry."},
    MetricDescription{"config_version", MetricKind::Gauge, "Version of the configuration in force."},
    MetricDescription{"config_position_known", MetricKind::Gauge,
                      "1 if no configuration record expired before this entry read it, else 0."},
    MetricDescription{"config_snapshots_total", MetricKind::Counter,
                      "Configuration snapshots that this entry appended."},
    MetricDescription{"roster_view", MetricKind::Gauge, "View number of the entry roster."},
    MetricDescription{"current", MetricKind::Gauge, "1 if this entry may start tasks, else 0."},
    MetricDescription{"log_readable", MetricKind::Gauge, "1 if the log's tail can be read, else 0."},
    MetricDescription{"events_dropped_total", MetricKind::Counter,
                      "Events that were dropped from the full buffer of this process."},
    MetricDescription{"events_not_shipped_total", MetricKind::Counter,
                      "Events that were left out of the events stream because there were too many."},
};

} // namespace turmericwell
