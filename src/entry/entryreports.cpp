// Metrics, status and events that an entry reports.
#include "entry/entryserver.h"
#include "entry/statusreport.h"

namespace turmericwell {

std::string EntryServer::metricsText() const
{
    const auto set = [&](std::string_view name, uint64_t value) {
        m_metrics.set(name, static_cast<double>(value));
    };
    set("submissions_active", m_dispatcher.activeSubmissions());
    set("submissions_known", m_dispatcher.knownSubmissions());
    set("submissions_waiting_for_owner", m_calls.waiting());
    set("takeovers_pending", m_state.pendingTakeovers());
    set("claims_dropped_total", m_claims.dropped());
    set("tasks_in_flight", m_dispatcher.tasksInFlight());
    set("tasks_queued", m_dispatcher.queued());
    set("credits_idle", m_dispatcher.idleCredits());
    set("agents_connected", m_agents.size());
    set("config_version", m_config.version());
    set("config_position_known", m_config.isPositionKnown() ? 1 : 0);
    set("config_snapshots_total", m_config.snapshotsAppended());
    set("roster_view", m_membership.view());
    set("current", m_membership.isCurrent() ? 1 : 0);
    set("log_readable", m_membership.isLogReadable() ? 1 : 0);
    set("events_dropped_total", m_events.dropped());
    set("events_not_shipped_total", m_shipper.skipped());
    const RoutingCounters routing = m_dispatcher.routingCounters();
    const uint64_t asks = m_peers.creditAsks();
    const uint64_t transfers = m_peers.creditTransfers();
    set("task_starts_sent_total", routing.starts);
    set("task_refusals_total", routing.refusals);
    set("credit_asks_total", asks);
    set("credit_transfers_total", transfers);
    // A refused start costs the message there and the one back.
    set("wasted_messages_total", asks + transfers + 2 * routing.refusals);
    const LimitCounters limits = m_dispatcher.limitCounters();
    set("tasks_parked", limits.tasksParked);
    set("submissions_refused_total", limits.submissionsRejected);
    set("retries_denied_total", limits.retriesDenied);
    const SubmissionCounters records = m_dispatcher.submissionCounters();
    set("tombstones", records.tombstones);
    set("tombstones_dropped_total", records.tombstonesDropped);
    set("answer_bytes", records.answerBytes);
    set("answers_dropped_total", records.answersDropped);
    return m_metrics.text();
}

std::string EntryServer::showText() const
{
    StatusReport report{.self = m_self,
                        .config = m_config.current(),
                        .view = m_membership.view(),
                        .current = m_membership.isCurrent(),
                        .logReadable = m_membership.isLogReadable(),
                        .positionKnown = m_config.isPositionKnown(),
                        .members = m_membership.members(),
                        .agents = m_agents.states()};
    const std::lock_guard lock(m_peerVersionsMutex);
    report.peerVersions = m_peerVersions;
    return toJsonText(report);
}

std::string EntryServer::eventsText() const
{
    std::string text;
    for (const Event &event : m_events.since(0, SIZE_MAX))
        text += toJsonText(event) + "\n";
    return text;
}

EntryStatus EntryServer::status() const
{
    return {.current = m_membership.isCurrent(),
            .checkedAge = m_membership.evidenceAge(),
            .configVersion = m_config.version(),
            .view = m_membership.view(),
            .members = m_membership.members()};
}

wire::PeerPingT EntryServer::peerStatus() const
{
    wire::PeerPingT ping;
    ping.sent_ms = Clock::now().count;
    ping.idle_credits = m_dispatcher.idleCredits();
    ping.queued = m_dispatcher.queued();
    ping.config_version = m_config.version();
    ping.view = m_membership.view();
    ping.log_readable = m_membership.isLogReadable();
    return ping;
}

void EntryServer::record(Event event)
{
    m_metrics.count("events_total", toString(event.kind));
    if (event.kind == EventKind::TaskRefused || event.kind == EventKind::SubmissionRefused)
        m_metrics.count("refusals_total", event.reason);
    m_events.record(std::move(event));
}

void EntryServer::record(EventKind kind, std::string_view why, uint64_t version)
{
    record({.kind = kind, .configVersion = version, .reason = std::string(why)});
}

} // namespace turmericwell
