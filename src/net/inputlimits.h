// Limits on what clients and other processes may make this process hold, and the record of what they reject.
#pragma once

#include "config/jsonreader.h"
#include "net/bytebudget.h"
#include "net/http.h"
#include "observe/structuredlog.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace turmericwell {

// The defaults fit the smallest instance in use and are derived from its memory and descriptors.
struct InputLimits
{
    // What the instance has.
    uint32_t memoryMb = 120;
    uint32_t maxDescriptors = 3'075;

    uint32_t maxRequestHeaderBytes = 32'768;
    uint32_t maxRequestBodyBytes = 1'048'576;
    // For a header from its first byte, and again for the body.
    Millis requestReadTimeout = {5'000};
    Millis idleTimeout = {60'000};
    Millis responseWriteTimeout = {10'000};
    size_t maxConnections = 2'563;
    // 0: no limit.
    size_t maxConnectionsPerClient = 0;
    uint32_t maxBufferedRequestMb = 30;
    // Calls of clients that wait for their answer at this entry. Each takes a connection.
    size_t maxOpenCalls = 1'923;
    // Tasks of the jobs that this entry holds as an owner, and steps of the calls that wait at it.
    size_t maxHeldTasks = 30'720;
    // Jobs that this entry knows as an owner: the held ones, and the ended ones that clients may ask for.
    size_t maxKnownJobs = 122'880;
    // Accepted connections from processes that are not known.
    size_t maxUnknownLinks = 192;
    // Connections to each of the ports that are not meant for clients.
    size_t maxInternalConnections = 48;

    // The limits that follow from memoryMb and maxDescriptors.
    static InputLimits derived(uint32_t memoryMb, uint32_t maxDescriptors);
    // The same limits, with no more connections than a process with so many descriptors can have.
    InputLimits withinDescriptors(uint64_t processDescriptors) const;
};

// The defaults of settings that are missing are those of `defaults`, or follow from the memory and the
// descriptors.
InputLimits readInputLimits(JsonReader &reader, const InputLimits &defaults = {});

using InputRejected = std::function<void(std::string_view limit, const std::string &client)>;

// Options of the port for clients, and of those for the readiness check, the metrics and the worker.
HttpServerOptions clientPortOptions(const InputLimits &limits, InputRejected onRejected);
HttpServerOptions internalPortOptions(const InputLimits &limits, InputRejected onRejected);

// Decides which rejections get a log line: one per second and limit, with the number since the last one.
class RejectionCounts
{
public:
    // Returns the number for the line, or nullopt if the rejection is only counted.
    std::optional<uint64_t> add(std::string_view limit, Millis now);

private:
    struct Count
    {
        uint64_t unreported = 0;
        std::optional<Millis> lastLine;
    };

    // One item per limit; the names of the limits are constants of the program.
    std::map<std::string, Count, std::less<>> m_counts;
};

// Counts each rejection in input_rejected_total and logs it as input_rejected.
class RejectionRecord
{
public:
    RejectionRecord(StructuredLog &log, Metrics &metrics)
        : m_log(log)
        , m_metrics(metrics)
    { }

    void add(std::string_view limit, const std::string &client);

private:
    StructuredLog &m_log;
    Metrics &m_metrics;
    RejectionCounts m_counts;
};

} // namespace turmericwell
