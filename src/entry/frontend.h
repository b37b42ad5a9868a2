// HTTP side of an entry: callers, health, metrics, what is in force, events.
#pragma once

#include "entry/callerapi.h"
#include "entry/waiters.h"
#include "net/http.h"

#include <functional>
#include <memory>
#include <string>

namespace turmericwell {

class Frontend
{
public:
    struct Handlers
    {
        std::function<ConfigPtr()> config;
        std::function<void(const SubmissionRequest &request, AnswerDelivery deliver)> onSubmit;
        std::function<void(const JobLookup &lookup, AnswerDelivery deliver)> onLookup;
        std::function<bool()> isStopping;
        std::function<std::string()> metricsText;
        std::function<std::string()> showText;
        // One JSON object a line.
        std::function<std::string()> eventsText;
    };

    Frontend(IoContext &io, const Address &listen, HttpServerOptions options, Handlers handlers);

    void stopAccepting() { m_http.stopAccepting(); }
    size_t openRequests() const { return m_http.openRequests(); }

private:
    void handle(const HttpRequest &request, const HttpResponder &respond);
    void handleCaller(const HttpRequest &request, const HttpResponder &respond);

    Handlers m_handlers;
    HttpServer m_http;
};

} // namespace turmericwell
