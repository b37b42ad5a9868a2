// Caller interface: turns HTTP requests into submissions and answers into HTTP responses.
#pragma once

#include "config/configstate.h"
#include "net/http.h"
#include "turmericwell/outcome.h"
#include "turmericwell/task.h"

#include <functional>
#include <string>
#include <variant>

namespace turmericwell {

// A request that was refused before it became a submission.
struct BadRequest
{
    int status = 400;
    std::string reason;
    std::string detail;
};

// GET or DELETE of a job.
struct JobLookup
{
    Fingerprint key;
    std::string keyText;
    bool cancel = false;
};

using CallerRequest = std::variant<BadRequest, SubmissionRequest, JobLookup>;

// Service part of the fingerprint of job keys: a job is looked up without its service.
inline constexpr std::string_view jobKeySpace = "(job)";

// Pure: reads the request against the configuration in force.
CallerRequest parseCallerRequest(const HttpRequest &request, const Config &config);

HttpResponse toHttpResponse(const BadRequest &refusal);
// kind decides whether the body has one answer or an array of answers.
HttpResponse toHttpResponse(SubmissionKind kind, const std::string &keyText, const Answer &answer);

} // namespace turmericwell
