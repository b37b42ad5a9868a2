// Translates appends and reads into HTTP requests, and the JSON responses into results.
#include "logservice/logclient.h"

#include <boost/json.hpp>

namespace turmericwell {

namespace json = boost::json;

LogClient::LogClient(IoContext &io, const Address &address)
    : m_http(io, address, {.maxConnections = 16})
{ }

static std::string streamPath(std::string_view streamName)
{
    return "/v1/streams/" + std::string(streamName) + "/records";
}

// Zero if the member is missing or not a number.
static uint64_t countAt(const json::value &value, std::string_view key)
{
    const json::object *object = value.if_object();
    const json::value *found = object ? object->if_contains(key) : nullptr;
    boost::system::error_code error;
    return found && found->is_number() ? found->to_number<uint64_t>(error) : 0;
}

static AppendResult toAppendResult(const HttpResult &result)
{
    if (!result.response)
        return {.status = result.sent ? AppendStatus::Unknown : AppendStatus::Refused, .error = result.error};
    if (result.response->status == 503)
        return {.status = AppendStatus::Refused, .error = "log service rejected the append with status 503"};
    boost::system::error_code error;
    const json::value body = json::parse(result.response->body, error);
    if (result.response->status != 200 || error || !body.is_object() || !body.get_object().contains("offset"))
        return {.status = AppendStatus::Unknown,
                .error = "unexpected append response from the log service, status "
                    + std::to_string(result.response->status)};
    return {.status = AppendStatus::Done, .offset = countAt(body, "offset")};
}

void LogClient::append(std::string_view streamName, std::string data, Millis timeout,
                       std::function<void(AppendResult)> onDone)
{
    m_http.request(
        {.method = "POST", .path = streamPath(streamName), .body = std::move(data)}, timeout,
        [onDone = std::move(onDone)](const HttpResult &result) { onDone(toAppendResult(result)); });
}

static bool readRecords(const json::value &body, std::vector<LogRecord> &records)
{
    const json::object *object = body.if_object();
    const json::value *list = object ? object->if_contains("records") : nullptr;
    if (!list || !list->is_array())
        return false;
    for (const json::value &item : list->get_array()) {
        const json::object *record = item.if_object();
        const json::value *data = record ? record->if_contains("data") : nullptr;
        if (!data || !data->is_string())
            return false;
        records.push_back({.offset = countAt(item, "offset"),
                           .time = {static_cast<int64_t>(countAt(item, "timeMs"))},
                           .data = std::string(std::string_view(data->get_string()))});
    }
    return true;
}

static ReadResult toReadResult(const HttpResult &result)
{
    if (!result.response)
        return {.status = ReadStatus::Failed, .error = result.error};
    boost::system::error_code error;
    const json::value body = json::parse(result.response->body, error);
    if (error || !body.is_object())
        return {.status = ReadStatus::Failed, .error = "status " + std::to_string(result.response->status)};
    ReadResult read;
    read.oldest = countAt(body, "oldest");
    read.next = countAt(body, "next");
    if (result.response->status == 410)
        read.status = ReadStatus::Expired;
    else if (result.response->status == 200 && readRecords(body, read.records))
        read.status = ReadStatus::Done;
    else
        read.error = "status " + std::to_string(result.response->status);
    return read;
}

void LogClient::read(std::string_view streamName, uint64_t from, size_t maxRecords, Millis wait,
                     Millis timeout, std::function<void(ReadResult)> onDone)
{
    const std::string path = streamPath(streamName) + "?from=" + std::to_string(from)
        + "&max=" + std::to_string(maxRecords) + "&waitMs=" + std::to_string(wait.count);
    m_http.request({.method = "GET", .path = path}, timeout,
                   [onDone = std::move(onDone)](const HttpResult &result) { onDone(toReadResult(result)); });
}

} // namespace turmericwell
