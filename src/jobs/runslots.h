// Number of runs that a worker takes at a time, whatever their size.
//
// Load pattern: jobs with thousands of tasks that ask for almost no processors. They fit into the free
// resources of one worker, whose list of ends then has no room for the runs of other jobs.
#pragma once

#include "jobs/workerpool.h"

#include <cstdint>

namespace turmericwell {

// A worker lists at most this many ends, and each run may end before the next list.
inline constexpr uint32_t mostRunsOfWorker = 500;
// The other slots are for tasks that are not small.
inline constexpr uint32_t mostSmallRunsOfWorker = mostRunsOfWorker / 2;

// True if more tasks of this size than a worker has slots for small ones would fit by their processors.
inline bool isSmallTask(const Resources &size, const Resources &capacity)
{
    return size.cpuMilli * int64_t{mostSmallRunsOfWorker} < capacity.cpuMilli;
}

// Whether a worker with so many free slots takes another run.
inline bool hasSlotFor(int64_t freeSlots, bool isSmall)
{
    const int64_t reserved = isSmall ? mostRunsOfWorker - mostSmallRunsOfWorker : 0;
    return freeSlots > reserved;
}

} // namespace turmericwell
