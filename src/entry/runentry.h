// Runs an entry process.
#pragma once

#include "entry/entrysettings.h"

namespace turmericwell {

// Runs until SIGTERM or SIGINT and a graceful stop. Returns the exit code of the process.
int runEntry(const EntrySettings &settings);

} // namespace turmericwell
