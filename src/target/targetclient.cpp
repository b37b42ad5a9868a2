// HTTP requests to the target, and the mapping of its responses to task outcomes.
#include "target/targetclient.h"

#include <boost/json.hpp>

namespace turmericwell {

namespace json = boost::json;

TargetClient::TargetClient(IoContext &io, const Address &address, uint32_t connections)
    : m_address(address)
    , m_http(io, address, {.maxConnections = connections > 1 ? connections - 1 : 1})
    , m_control(io, address, {.maxConnections = 1})
{ }

static TaskResult toTaskResult(const TaskRef &task, HttpResult &&result)
{
    if (!result.response) {
        if (!result.sent) {
            const std::string_view notRunReason = result.withheld ? reason::stale : reason::targetLost;
            return {.task = task, .outcome = Outcome::NotRun, .reason = std::string(notRunReason)};
        }
        return {.task = task, .outcome = Outcome::Unknown, .reason = std::string(reason::targetLost)};
    }
    if (result.response->status == 200)
        return {.task = task, .outcome = Outcome::Complete, .answer = std::move(result.response->body)};
    return {.task = task, .outcome = Outcome::Failed, .reason = std::string(reason::targetError)};
}

void TargetClient::run(const TaskStart &start, Millis timeout, std::function<bool()> mayStillStart,
                       std::function<void(TaskResult)> onDone)
{
    std::string body = R"({"call":)" + json::serialize(json::string(start.call)) + R"(,"payload":)"
        + (start.payload.empty() ? "null" : start.payload) + R"(,"runMs":)" + std::to_string(start.runMs)
        + "}";
    m_http.request({.method = "POST",
                    .path = "/v1/tasks",
                    .headers = {{"Content-Type", "application/json"}, {"Task-Id", start.task.text()}},
                    .body = std::move(body)},
                   timeout, std::move(mayStillStart),
                   [task = start.task, onDone = std::move(onDone)](HttpResult result) {
                       onDone(toTaskResult(task, std::move(result)));
                   });
}

void TargetClient::stop(const TaskRef &task)
{
    m_control.request({.method = "DELETE", .path = "/v1/tasks/" + task.text()}, {1'000},
                      [](const HttpResult &) {});
}

} // namespace turmericwell
