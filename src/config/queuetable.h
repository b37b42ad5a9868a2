// The queues that clients submit jobs to, as one version of the operators' configuration defines them.
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
    // Failed runs of one task after which its job fails.
    uint32_t attempts = 1;
    // 0 comes first.
    uint32_t priority = 0;
    // A job is in time within stretch times its own work plus the target latency.
    double stretch = 1;
    Millis targetLatency;
    // Longest time that a request may wait for its answer.
    Millis timeout;
};

struct QueueMatch
{
    const Queue *queue = nullptr;
    // What follows the prefix in the path.
    std::string_view rest;
};

class QueueTable
{
public:
    QueueTable() = default;
    QueueTable(uint64_t version, std::vector<Queue> queues);

    uint64_t version() const { return m_version; }
    size_t size() const { return m_queues.size(); }
    // The queue of the host with the longest prefix of the path; null if there is none.
    QueueMatch match(std::string_view host, std::string_view path) const;

private:
    uint64_t m_version = 0;
    // Sorted by host, then by falling length of the prefix.
    std::vector<Queue> m_queues;
};

} // namespace turmericwell
