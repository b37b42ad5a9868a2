// Parsing and formatting of the caller interface.
#include "entry/callerapi.h"

#include <algorithm>
#include <boost/json.hpp>

namespace turmericwell {

namespace json = boost::json;

static constexpr size_t maxKeyBytes = 256;
static constexpr size_t maxJobTasks = 10'000;
// A caller that waits longer can ask again with the same key.
constexpr Millis mostBudget = {3'600'000};

static BadRequest badInput(std::string detail, int status = 400)
{
    return {.status = status, .reason = std::string(reason::badInput), .detail = std::move(detail)};
}

// Names and keys come back in answers, which would not be JSON with other bytes.
static bool isUtf8(std::string_view text)
{
    boost::system::error_code error;
    json::parse(json::serialize(json::string(text)), error);
    return !error;
}

namespace {

// Fields that requests and jobs share.
struct CommonFields
{
    std::string call;
    std::string team;
    int64_t deadlineMs = 0;
    std::string problem;
};

} // namespace

static std::string readText(const json::object &body, std::string_view key, std::string &problem)
{
    const json::value *value = body.if_contains(key);
    if (!value)
        return {};
    if (!value->is_string()) {
        problem = std::string(key) + " must be a string";
        return {};
    }
    return std::string(std::string_view(value->get_string()));
}

static CommonFields readCommon(const json::object &body, std::initializer_list<std::string_view> known)
{
    CommonFields fields;
    for (const auto &[key, value] : body) {
        if (std::find(known.begin(), known.end(), std::string_view(key)) == known.end())
            fields.problem = "unknown field " + std::string(key);
    }
    fields.call = readText(body, "call", fields.problem);
    fields.team = readText(body, "team", fields.problem);
    if (const json::value *deadline = body.if_contains("deadlineMs")) {
        boost::system::error_code error;
        fields.deadlineMs = deadline->is_number() ? deadline->to_number<int64_t>(error) : 0;
        if (fields.deadlineMs <= 0 || error)
            fields.problem = "deadlineMs must be a positive whole number";
    }
    return fields;
}

static Millis budgetFor(const CommonFields &fields, const CallDeclaration *call)
{
    if (fields.deadlineMs > 0)
        return std::min(Millis{fields.deadlineMs}, mostBudget);
    return call ? call->deadline : CallDeclaration{}.deadline;
}

static CallerRequest parseServiceRequest(const HttpRequest &request, const std::string &service,
                                         const Config &config)
{
    const auto key = request.headers.find("idempotency-key");
    if (key == request.headers.end() || key->second.empty() || key->second.size() > maxKeyBytes
        || !isUtf8(key->second))
        return badInput("header Idempotency-Key is required, with 1 to 256 bytes of UTF-8");
    const ServiceDeclaration *declaration = config.declarations.findService(service);
    if (!declaration)
        return BadRequest{.status = 404,
                          .reason = std::string(reason::unknownService),
                          .detail = "no service \"" + service + "\""};
    boost::system::error_code error;
    const json::value body = json::parse(request.body, error);
    if (error || !body.is_object())
        return badInput("body must be a JSON object");
    const json::object &object = body.get_object();
    const CommonFields fields = readCommon(object, {"call", "payload", "team", "deadlineMs"});
    if (!fields.problem.empty())
        return badInput(fields.problem);
    if (fields.call.empty())
        return badInput("call is required");
    const json::value *payload = object.if_contains("payload");
    return SubmissionRequest{.kind = SubmissionKind::Request,
                             .key = Fingerprint::ofKey(service, key->second),
                             .keyText = key->second,
                             .bodyHash = hashBody(service + '\0' + request.body),
                             .service = service,
                             .call = fields.call,
                             .team = fields.team,
                             .tasks = {payload ? json::serialize(*payload) : "null"},
                             .budget = budgetFor(fields, declaration->findCall(fields.call))};
}

static CallerRequest parseJob(const HttpRequest &request, const Config &config)
{
    boost::system::error_code error;
    const json::value body = json::parse(request.body, error);
    if (error || !body.is_object())
        return badInput("body must be a JSON object");
    const json::object &object = body.get_object();
    CommonFields fields =
        readCommon(object, {"key", "service", "call", "team", "tasks", "class", "deadlineMs"});
    const std::string key = readText(object, "key", fields.problem);
    std::string service = readText(object, "service", fields.problem);
    const std::string className = readText(object, "class", fields.problem);
    if (!fields.problem.empty())
        return badInput(fields.problem);
    if (key.empty() || key.size() > maxKeyBytes)
        return badInput("key is required, with 1 to 256 bytes");
    TaskNeeds needs;
    size_t maxTasks = maxJobTasks;
    Millis classDeadline;
    if (!className.empty()) {
        const JobClassDeclaration *jobClass = config.declarations.findJobClass(className);
        if (!jobClass)
            return badInput("no job class \"" + className + "\"", 404);
        service = jobClass->service;
        fields.call = jobClass->call;
        needs = jobClass->needs;
        maxTasks = jobClass->maxTasks;
        classDeadline = jobClass->deadline;
    }
    const ServiceDeclaration *declaration = config.declarations.findService(service);
    if (!declaration)
        return BadRequest{.status = 404,
                          .reason = std::string(reason::unknownService),
                          .detail = "no service \"" + service + "\""};
    const json::value *tasks = object.if_contains("tasks");
    if (!tasks || !tasks->is_array() || tasks->get_array().empty())
        return badInput("tasks must be an array with at least one payload");
    if (tasks->get_array().size() > maxTasks)
        return BadRequest{.status = 413,
                          .reason = std::string(reason::tooLarge),
                          .detail = "at most " + std::to_string(maxTasks) + " tasks are allowed"};
    SubmissionRequest result{.kind = SubmissionKind::Job,
                             .key = Fingerprint::ofKey(jobKeySpace, key),
                             .keyText = key,
                             .bodyHash = hashBody(request.body),
                             .service = service,
                             .call = fields.call,
                             .team = fields.team,
                             .budget = budgetFor(fields, declaration->findCall(fields.call)),
                             .needs = needs};
    if (fields.deadlineMs == 0 && classDeadline.count > 0)
        result.budget = classDeadline;
    result.tasks.reserve(tasks->get_array().size());
    for (const json::value &task : tasks->get_array())
        result.tasks.push_back(json::serialize(task));
    return result;
}

CallerRequest parseCallerRequest(const HttpRequest &request, const Config &config)
{
    constexpr std::string_view services = "/v1/services/";
    constexpr std::string_view requests = "/requests";
    constexpr std::string_view jobs = "/v1/jobs";
    const std::string_view path = request.path;
    if (path.starts_with(services) && path.ends_with(requests)
        && path.size() > services.size() + requests.size()) {
        if (request.method != "POST")
            return badInput("use POST", 405);
        const std::string_view encoded =
            path.substr(services.size(), path.size() - services.size() - requests.size());
        const std::optional<std::string> service = percentDecode(encoded);
        if (!service || !isUtf8(*service))
            return badInput("bad encoding in the path");
        return parseServiceRequest(request, *service, config);
    }
    if (path == jobs) {
        if (request.method != "POST")
            return badInput("use POST", 405);
        return parseJob(request, config);
    }
    if (path.starts_with(jobs) && path.size() > jobs.size() + 1 && path[jobs.size()] == '/') {
        if (request.method != "GET" && request.method != "DELETE")
            return badInput("use GET or DELETE", 405);
        const std::optional<std::string> key = percentDecode(path.substr(jobs.size() + 1));
        if (!key || !isUtf8(*key))
            return badInput("bad encoding in the path");
        return JobLookup{.key = Fingerprint::ofKey(jobKeySpace, *key),
                         .keyText = *key,
                         .cancel = request.method == "DELETE"};
    }
    return badInput("no such path", 404);
}

HttpResponse toHttpResponse(const BadRequest &refusal)
{
    return {.status = refusal.status,
            .body = json::serialize(json::object{{"outcome", toString(Outcome::NotRun)},
                                                 {"reason", refusal.reason},
                                                 {"detail", refusal.detail}})};
}

// Answers of targets are passed on as they are if they are JSON, else as a string.
static std::string answerText(const std::string &answer)
{
    boost::system::error_code error;
    json::stream_parser parser;
    parser.write(answer, error);
    if (!error)
        parser.finish(error);
    return error ? json::serialize(json::string(answer)) : answer;
}

HttpResponse toHttpResponse(SubmissionKind kind, const std::string &keyText, const Answer &answer)
{
    HttpResponse response{.status = answer.status};
    std::string &body = response.body;
    body = R"({"key":)" + json::serialize(json::string(keyText));
    if (answer.running)
        body += R"(,"state":"running")";
    else
        body += R"(,"outcome":")" + std::string(toString(answer.outcome)) + '"';
    if (!answer.running && answer.outcome != Outcome::Complete)
        body += R"(,"reason":)" + json::serialize(json::string(answer.reason));
    if (kind == SubmissionKind::Job)
        body += R"(,"tasks":)" + std::to_string(answer.tasks) + R"(,"finished":)"
            + std::to_string(answer.finished);
    if (answer.outcome == Outcome::Complete && !answer.running && !answer.answers.empty()) {
        if (kind == SubmissionKind::Job) {
            body += R"(,"answers":[)";
            for (size_t i = 0; i < answer.answers.size(); ++i)
                body += (i == 0 ? "" : ",") + answerText(answer.answers[i]);
            body += "]";
        } else {
            body += R"(,"answer":)" + answerText(answer.answers.front());
        }
    }
    body += "}";
    if (answer.retryAfter.count > 0)
        response.headers["Retry-After"] = std::to_string((answer.retryAfter.count + 999) / 1000);
    return response;
}

} // namespace turmericwell
