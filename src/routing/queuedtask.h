// A task that waits for a target.
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

// Names a combination of service and needs; tasks of one demand can run on the same targets.
using DemandId = uint32_t;

} // namespace turmericwell
