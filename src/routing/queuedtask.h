// A task that is queued until a target can start it.
#pragma once

#include "turmericwell/millis.h"
#include "turmericwell/task.h"

#include <cstdint>

namespace turmericwell {

struct QueuedTask
{
    TaskStart start;
    TaskNeeds needs;
    Millis deadline;
};

// Identifies a combination of service and needs; all tasks with the same demand can run on the same targets.
using DemandId = uint32_t;

} // namespace turmericwell
