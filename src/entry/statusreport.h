// JSON report of an entry for the show command.
#pragma once

#include "config/configstate.h"
#include "entry/agenthub.h"
#include "membership/roster.h"

#include <map>
#include <string>
#include <vector>

namespace turmericwell {

struct StatusReport
{
    EntryMember self;
    ConfigPtr config;
    uint64_t view = 0;
    bool current = false;
    bool logReadable = false;
    // False if records of the log expired before this entry read them.
    bool positionKnown = false;
    std::vector<EntryMember> members;
    // Versions that the other entries reported in their heartbeats.
    std::map<std::string, uint64_t> peerVersions;
    std::vector<AgentState> agents;
};

std::string toJsonText(const StatusReport &report);

} // namespace turmericwell
