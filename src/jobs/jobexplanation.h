// Explanation of what an owner would do with a job that is submitted now.
#pragma once

#include "jobs/workerpool.h"
#include "turmericwell/millis.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace turmericwell {

struct AdmissionExplanation
{
    // Why the job would be rejected; empty if it would be admitted.
    std::string reason;
    Millis retryAfter;
    // Predicted wait for resources, the longest wait with which the job is admitted, and the longest with
    // which it is on time.
    Millis predictedWait;
    Millis allowedWait;
    Millis slack;
};

struct StepExplanation
{
    uint32_t step = 0;
    uint32_t tasks = 0;
    // "near" (also without a rack), "far", "wait" for the rack of the data, or "no room".
    std::string_view choice;
    // Longest wait for the rack until the next decision; 0 unless the choice is "wait".
    Millis longestWait;
    // Of the step's first task, counted from the submission. nullopt if the wait is unknown.
    std::optional<Millis> expectedStart;
    std::optional<Millis> expectedEnd;
    // The worker that would be chosen now, then the next best ones.
    std::vector<PlacementCandidate> best;
    // Number of the workers that cannot be chosen, by reason.
    std::map<std::string_view, uint32_t> excluded;
};

struct JobExplanation
{
    // State of a job with this identifier that the owner knows: "active", "ended", "given up" or "unknown".
    std::string_view knownAs;
    // Expected time until the job's deadline.
    Millis objective;
    AdmissionExplanation admission;
    std::vector<StepExplanation> steps;
};

} // namespace turmericwell
