// Dispatches HTTP requests of callers and operators.
#include "entry/frontend.h"

namespace turmericwell {

Frontend::Frontend(IoContext &io, const Address &listen, HttpServerOptions options, Handlers handlers)
    : m_handlers(std::move(handlers))
    , m_http(io, listen, std::move(options),
             [this](const HttpRequest &request, const HttpResponder &respond) { handle(request, respond); })
{ }

void Frontend::handle(const HttpRequest &request, const HttpResponder &respond)
{
    if (request.path == "/healthz") {
        const bool stopping = m_handlers.isStopping();
        respond({.status = stopping ? 503 : 200,
                 .body = stopping ? R"({"status":"stopping"})" : R"({"status":"ok"})"});
    } else if (request.path == "/metrics") {
        respond({.body = m_handlers.metricsText(), .contentType = "text/plain; version=0.0.4"});
    } else if (request.path == "/v1/show") {
        respond({.body = m_handlers.showText()});
    } else if (request.path == "/v1/events") {
        respond({.body = m_handlers.eventsText(), .contentType = "application/x-ndjson"});
    } else {
        handleCaller(request, respond);
    }
}

void Frontend::handleCaller(const HttpRequest &request, const HttpResponder &respond)
{
    CallerRequest parsed = parseCallerRequest(request, *m_handlers.config());
    if (const auto *refusal = std::get_if<BadRequest>(&parsed)) {
        respond(toHttpResponse(*refusal));
    } else if (const auto *submission = std::get_if<SubmissionRequest>(&parsed)) {
        m_handlers.onSubmit(
            *submission, [respond, kind = submission->kind, key = submission->keyText](const Answer &answer) {
                respond(toHttpResponse(kind, key, answer));
            });
    } else {
        const auto &job = std::get<JobLookup>(parsed);
        m_handlers.onLookup(job, [respond, key = job.keyText](const Answer &answer) {
            respond(toHttpResponse(SubmissionKind::Job, key, answer));
        });
    }
}

} // namespace turmericwell
