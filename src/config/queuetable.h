// The queues that accept jobs from clients, as defined by one version of the configuration.
#pragma once

#include "turmericwell/millis.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace turmericwell {

struct Queue
{
    std::string name;
    std::string host;
    std::string pathPrefix;
    std::string service;
    // Number of failed runs of one task after which its job fails.
    uint32_t attempts = 1;
    // 0 is the highest priority.
    uint32_t priority = 0;
    // A job is on time if it completes within stretch times its own work plus the target latency.
    double stretch = 1;
    Millis targetLatency;
    // Maximum time that a request waits for its answer.
    Millis timeout;
};

struct QueueMatch
{
    const Queue *queue = nullptr;
    // Remainder of the path after the prefix.
    std::string_view rest;
};

class QueueTable
{
public:
    QueueTable() = default;
    QueueTable(uint64_t version, std::vector<Queue> queues);

    uint64_t version() const { return m_version; }
    size_t size() const { return m_queues.size(); }
    // Returns the host's queue with the longest prefix that matches the path; its queue is null if none does.
    QueueMatch match(std::string_view host, std::string_view path) const;

private:
    uint64_t m_version = 0;
    // Sorted by host, then by descending prefix length, so that the first match is the longest.
    std::vector<Queue> m_queues;
};

} // namespace turmericwell
