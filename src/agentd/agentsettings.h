// Settings of an agent process.
#pragma once

#include "agent/agentcore.h"
#include "config/jsonreader.h"
#include "net/address.h"

#include <string>
#include <vector>

namespace turmericwell {

struct AgentSettings
{
    std::string name;
    std::string zone;
    std::string rack;
    std::string worker;
    // HTTP address for announcements of the target, metrics, health and events.
    Address listen;
    // Entries to connect to at the start; these report the addresses of further entries.
    std::vector<Address> entries;
    Millis pingInterval = {1'000};
    Millis stopTimeout = {30'000};
    AgentOptions core;
};

AgentSettings parseAgentSettings(const std::string &file, std::string_view text, Problems &problems);

} // namespace turmericwell
