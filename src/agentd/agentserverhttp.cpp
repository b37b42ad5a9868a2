// HTTP interface of an agent: announcements of the target, health, metrics and events.
#include "agentd/agentserver.h"

#include <boost/json.hpp>

namespace turmericwell {

namespace json = boost::json;

void AgentServer::handleHttp(const HttpRequest &request, const HttpResponder &respond)
{
    if (request.method == "POST" && request.path == "/v1/announce") {
        handleAnnouncement(request, respond);
    } else if (request.path == "/healthz") {
        respond({.status = m_stopping ? 503 : 200, .body = R"({"status":"ok"})"});
    } else if (request.path == "/metrics") {
        respond({.body = metricsText(), .contentType = "text/plain; version=0.0.4"});
    } else if (request.path == "/v1/events") {
        std::string body;
        for (const Event &event : m_events.since(0, SIZE_MAX))
            body += toJsonText(event) + "\n";
        respond({.body = std::move(body), .contentType = "application/x-ndjson"});
    } else {
        respond({.status = 404, .body = "{}"});
    }
}

void AgentServer::handleAnnouncement(const HttpRequest &request, const HttpResponder &respond)
{
    Problems problems;
    const json::value value = parseJsonText("announcement", request.body, problems);
    JsonReader reader("announcement", "", value, problems);
    TargetInfo info;
    info.name = reader.requiredText("target");
    info.service = reader.requiredText("service");
    info.worker = m_settings.worker;
    info.zone = m_settings.zone;
    info.rack = reader.text("rack", m_settings.rack);
    const auto count = [&](std::string_view key, IntegerRange range) {
        return static_cast<uint32_t>(reader.integer(key, range.least, range));
    };
    info.slots = count("slots", {.least = 1, .most = 10'000});
    info.connections = count("connections", {.least = 1, .most = 10'000});
    info.cores = count("cores", {.least = 0, .most = 4'096});
    info.memoryGb = count("memoryGb", {.least = 0, .most = 65'536});
    info.accelerators = count("accelerators", {.least = 0, .most = 1'024});
    const std::optional<Address> address = Address::parse(reader.requiredText("address"));
    static constexpr std::array<std::string_view, 2> states = {"up", "leaving"};
    const bool leaving = reader.word("state", states[0], states) == states[1];
    reader.finish();
    if (!address)
        reader.problem("address", "must be IP:PORT");
    if (!problems.empty()) {
        respond({.status = 400, .body = json::serialize(json::object{{"error", problems.front().text()}})});
        return;
    }
    if (!m_target || !(m_target->address() == *address))
        m_target = std::make_unique<TargetClient>(m_io, *address, info.connections);
    const bool changed = m_core.target() != info || m_core.isLeaving() != leaving;
    const AgentActions actions = m_core.targetAnnounced(info, leaving, Clock::now());
    // The Hello must precede the credits, because entries discard credits of a target that they do not know.
    if (changed) {
        for (const auto &link : m_links)
            link->send(helloFrame());
    }
    perform(actions);
    respond({.body = "{}"});
}

std::string AgentServer::metricsText()
{
    m_metrics.set("tasks_running", m_core.running());
    m_metrics.set("tasks_queued", m_core.queued());
    m_metrics.set("config_version", static_cast<double>(m_core.slice().configVersion));
    m_metrics.set("current", m_core.isFresh(Clock::now()) ? 1 : 0);
    m_metrics.set("events_dropped_total", static_cast<double>(m_events.dropped()));
    return m_metrics.text();
}

} // namespace turmericwell
