// Texts that an entry serves to operators.
#pragma once

#include "config/configstate.h"
#include "membership/roster.h"
#include "observe/eventlog.h"

#include <string>
#include <utility>
#include <vector>

namespace turmericwell {

struct EntryReport
{
    ProcessId entry;
    ConfigPtr config;
    uint64_t view = 0;
    std::vector<EntryMember> members;
    bool current = false;
    bool logReadable = false;
    size_t agents = 0;
};

// Answer to GET /v1/show.
std::string toJsonText(const EntryReport &report);
// Answer to GET /metrics.
std::string metricLines(const std::vector<std::pair<std::string, uint64_t>> &values);
// One JSON object a line.
std::string eventLines(const EventLog &events);

} // namespace turmericwell
