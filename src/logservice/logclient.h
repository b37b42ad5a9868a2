// HTTP client for the platform's append-only log service.
#pragma once

#include "net/http.h"
#include "turmericwell/millis.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace turmericwell {

// Streams of the log service that this system reads and appends to.
namespace stream {
inline constexpr std::string_view config = "config";
inline constexpr std::string_view roster = "roster";
inline constexpr std::string_view claims = "claims";
inline constexpr std::string_view events = "events";
} // namespace stream

struct LogRecord
{
    uint64_t offset = 0;
    Millis time;
    std::string data;
};

enum class AppendStatus : uint8_t {
    Done,
    // The request was not sent, or the service rejected it; the record was not appended.
    Refused,
    // No valid response to a request that was sent; the record may have been appended.
    Unknown,
};

struct AppendResult
{
    AppendStatus status = AppendStatus::Unknown;
    uint64_t offset = 0;
    std::string error;
};

enum class ReadStatus : uint8_t {
    Done,
    // The requested offset has expired; `oldest` is the first offset that can still be read.
    Expired,
    Failed,
};

struct ReadResult
{
    ReadStatus status = ReadStatus::Failed;
    std::vector<LogRecord> records;
    uint64_t next = 0;
    uint64_t oldest = 0;
    std::string error;
};

class LogClient
{
public:
    LogClient(IoContext &io, const Address &address);

    void append(std::string_view streamName, std::string data, Millis timeout,
                std::function<void(AppendResult)> onDone);
    // Long poll: if there is no record at offset `from` yet, the service waits up to `wait` for one.
    void read(std::string_view streamName, uint64_t from, size_t maxRecords, Millis wait, Millis timeout,
              std::function<void(ReadResult)> onDone);

private:
    HttpClient m_http;
};

} // namespace turmericwell
