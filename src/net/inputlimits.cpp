// Derivation and parsing of the limits on input.
#include "net/inputlimits.h"

#include <algorithm>

namespace turmericwell {

constexpr uint64_t bytesPerMb = 1U << 20U;
constexpr Millis rejectionLineInterval = {1'000};
// Connections of an instance that are not from clients: the store, other entries, agents, and the internal
// ports.
constexpr uint32_t leastOwnDescriptors = 64;
constexpr uint32_t mostOwnDescriptors = 512;
constexpr uint32_t ownDescriptorsDivisor = 6;
// A connection with an open call takes about 6 kB, so these take a fifth of the memory.
constexpr size_t connectionsPerMb = 32;
// A held task takes about 200 bytes, and is looked at in each pass over the queue.
constexpr size_t tasksPerMb = 256;
// An ended job takes about 150 bytes, so these take about a seventh of the memory.
constexpr size_t knownJobsPerMb = 1'024;
// Holds 64 requests of the largest ordinary size on the smallest instance. The buffers of chunked bodies may
// take twice their size.
constexpr uint32_t bufferedDivisor = 4;
// Announcements of workers, the largest bodies on the internal ports, take a few kilobytes.
constexpr uint32_t mostInternalBodyBytes = 262'144;
// A body of ordinary size then arrives in a few pieces, and the buffers of all connections stay small.
constexpr int clientSocketBufferBytes = 131'072;

static uint32_t ownDescriptors(uint32_t descriptors)
{
    return std::clamp(descriptors / ownDescriptorsDivisor, leastOwnDescriptors, mostOwnDescriptors);
}

static size_t connectionsFor(uint32_t descriptors)
{
    const uint32_t own = ownDescriptors(descriptors);
    return descriptors > own ? descriptors - own : 1;
}

// The other connections are for clients whose calls are rejected, and for those that come then.
static size_t openCallsFor(size_t connections)
{
    return std::max<size_t>(1, connections - connections / 4);
}

InputLimits InputLimits::derived(uint32_t memoryMb, uint32_t maxDescriptors)
{
    InputLimits limits;
    limits.memoryMb = memoryMb;
    limits.maxDescriptors = maxDescriptors;
    limits.maxConnections = std::min(connectionsFor(maxDescriptors), memoryMb * connectionsPerMb);
    limits.maxBufferedRequestMb = std::max(2U, memoryMb / bufferedDivisor);
    limits.maxOpenCalls = openCallsFor(limits.maxConnections);
    limits.maxHeldTasks = memoryMb * tasksPerMb;
    limits.maxKnownJobs = memoryMb * knownJobsPerMb;
    limits.maxUnknownLinks = std::clamp<size_t>(maxDescriptors / 16, 16, 512);
    limits.maxInternalConnections = std::clamp<size_t>(maxDescriptors / 64, 16, 64);
    return limits;
}

InputLimits InputLimits::withinDescriptors(uint64_t processDescriptors) const
{
    InputLimits limits = *this;
    if (processDescriptors >= maxDescriptors)
        return limits;
    const InputLimits fewer = derived(memoryMb, static_cast<uint32_t>(processDescriptors));
    limits.maxConnections = std::min(limits.maxConnections, fewer.maxConnections);
    limits.maxOpenCalls = std::min(limits.maxOpenCalls, fewer.maxOpenCalls);
    limits.maxUnknownLinks = std::min(limits.maxUnknownLinks, fewer.maxUnknownLinks);
    limits.maxInternalConnections = std::min(limits.maxInternalConnections, fewer.maxInternalConnections);
    return limits;
}

static size_t readCount(JsonReader &reader, std::string_view key, size_t defaultValue, int64_t least = 1)
{
    return static_cast<size_t>(
        reader.integer(key, static_cast<int64_t>(defaultValue), {.least = least, .most = INT32_MAX}));
}

InputLimits readInputLimits(JsonReader &reader, const InputLimits &defaults)
{
    const auto memoryMb = static_cast<uint32_t>(
        reader.integer("memoryMb", defaults.memoryMb, {.least = 16, .most = 1'048'576}));
    const auto descriptors = static_cast<uint32_t>(
        reader.integer("maxDescriptors", defaults.maxDescriptors, {.least = 128, .most = 1'048'576}));
    InputLimits limits = InputLimits::derived(memoryMb, descriptors);
    limits.maxRequestHeaderBytes = static_cast<uint32_t>(reader.integer(
        "maxRequestHeaderBytes", limits.maxRequestHeaderBytes, {.least = 1'024, .most = 1'048'576}));
    limits.maxRequestBodyBytes = static_cast<uint32_t>(reader.integer(
        "maxRequestBodyBytes", defaults.maxRequestBodyBytes, {.least = 1'024, .most = 67'108'864}));
    limits.requestReadTimeout =
        reader.millis("requestReadTimeoutMs", limits.requestReadTimeout, {.least = 100, .most = 600'000});
    limits.idleTimeout =
        reader.millis("idleTimeoutMs", limits.idleTimeout, {.least = 100, .most = 3'600'000});
    limits.responseWriteTimeout =
        reader.millis("responseWriteTimeoutMs", limits.responseWriteTimeout, {.least = 100, .most = 600'000});
    limits.maxConnections = readCount(reader, "maxConnections", limits.maxConnections);
    if (limits.maxConnections > connectionsFor(descriptors))
        reader.problem("maxConnections",
                       "must leave " + std::to_string(ownDescriptors(descriptors)) + " of the "
                           + std::to_string(descriptors) + " descriptors in maxDescriptors for other uses");
    limits.maxConnectionsPerClient =
        readCount(reader, "maxConnectionsPerClient", limits.maxConnectionsPerClient, 0);
    limits.maxBufferedRequestMb =
        static_cast<uint32_t>(readCount(reader, "maxBufferedRequestMb", limits.maxBufferedRequestMb));
    if (limits.maxBufferedRequestMb > memoryMb)
        reader.problem("maxBufferedRequestMb", "must not exceed memoryMb");
    const uint64_t largest =
        uint64_t{limits.maxRequestBodyBytes} + 2 * uint64_t{limits.maxRequestHeaderBytes};
    if (limits.maxBufferedRequestMb * bytesPerMb / 4 * 3 < largest)
        reader.problem("maxBufferedRequestMb",
                       "three quarters of it must hold the largest request, " + std::to_string(largest)
                           + " bytes");
    limits.maxOpenCalls = readCount(reader, "maxOpenCalls", limits.maxOpenCalls);
    limits.maxHeldTasks = readCount(reader, "maxHeldTasks", limits.maxHeldTasks);
    limits.maxKnownJobs = readCount(reader, "maxKnownJobs", limits.maxKnownJobs);
    return limits;
}

HttpServerOptions clientPortOptions(const InputLimits &limits, InputRejected onRejected)
{
    return {.maxBodyBytes = limits.maxRequestBodyBytes,
            .maxHeaderBytes = limits.maxRequestHeaderBytes,
            .idleTimeout = limits.idleTimeout,
            .readTimeout = limits.requestReadTimeout,
            .writeTimeout = limits.responseWriteTimeout,
            .maxConnections = limits.maxConnections,
            .maxConnectionsPerClient = limits.maxConnectionsPerClient,
            .socketBufferBytes = clientSocketBufferBytes,
            .budget = std::make_shared<ByteBudget>(limits.maxBufferedRequestMb * bytesPerMb),
            .onRejected = std::move(onRejected)};
}

HttpServerOptions internalPortOptions(const InputLimits &limits, InputRejected onRejected)
{
    return {.maxBodyBytes = std::min(mostInternalBodyBytes, limits.maxRequestBodyBytes),
            .maxHeaderBytes = limits.maxRequestHeaderBytes,
            .idleTimeout = limits.idleTimeout,
            .readTimeout = limits.requestReadTimeout,
            .writeTimeout = limits.responseWriteTimeout,
            .maxConnections = limits.maxInternalConnections,
            .onRejected = std::move(onRejected)};
}

std::optional<uint64_t> RejectionCounts::add(std::string_view limit, Millis now)
{
    const auto found = m_counts.find(limit);
    Count &count = found != m_counts.end() ? found->second : m_counts[std::string(limit)];
    ++count.unreported;
    if (count.lastLine && now - *count.lastLine < rejectionLineInterval)
        return std::nullopt;
    count.lastLine = now;
    return std::exchange(count.unreported, 0);
}

void RejectionRecord::add(std::string_view limit, const std::string &client)
{
    m_metrics.count("input_rejected_total", limit);
    const Millis now = Clock::now();
    if (const std::optional<uint64_t> count = m_counts.add(limit, now))
        m_log.write(now, "input_rejected", {{"limit", limit}, {"count", *count}, {"client", client}});
}

} // namespace turmericwell
