// Entry point of an agent process.
#pragma once

#include "agentd/agentsettings.h"

namespace turmericwell {

// Runs until SIGTERM or SIGINT has caused a graceful stop. Returns the exit code of the process.
int runAgent(const AgentSettings &settings);

} // namespace turmericwell
