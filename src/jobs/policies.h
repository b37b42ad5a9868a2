// Interchangeable scheduling policies of an entry: the order of the job queue and the choice of a worker. The
// first alternative of each variant is the default; the simpler ones serve as baselines for comparison.
#pragma once

#include "turmericwell/millis.h"

#include <optional>
#include <string_view>
#include <variant>

namespace turmericwell {

// Orders jobs by the latest start with which they meet their deadline. Late jobs come last, and late
// best-effort jobs of which no task has been ordered are rejected.
struct LatestStartFirst
{
};
// First come, first served. Waiting jobs are not rejected for being late.
struct ArrivalOrder
{
};
using QueueOrder = std::variant<LatestStartFirst, ArrivalOrder>;

// Chooses the worker with the largest free share of its processors.
struct MostFreeShare
{
};
// Chooses the worker with the smallest free share that fits the task, which leaves other workers free for
// large tasks.
struct LeastFreeShare
{
};
// Chooses a random worker that fits the task.
struct AnyFitting
{
};
using PlacementPolicy = std::variant<MostFreeShare, LeastFreeShare, AnyFitting>;

// Moves a run that exceeds a fixed multiple of its estimate.
struct MoveByRatio
{
};
// Weighs the evidence that the run's worker is stalled or slow against the run times of the queue.
struct MoveByEvidence
{
};
using LongRunPolicy = std::variant<MoveByRatio, MoveByEvidence>;
// Places a task far from its data as soon as no worker near it has free resources.
struct NeverWait
{
};
// Waits for workers near the data as long as any of them is usable.
struct AlwaysWait
{
};
// Delay scheduling: waits at most this time for workers near the data.
struct FixedDelay
{
    Millis delay;
};
// Waits as long as the expected gain, with its uncertainty, exceeds that of a placement far from the data.
struct ExpectedGain
{
};
using PlacementWaitPolicy = std::variant<NeverWait, AlwaysWait, FixedDelay, ExpectedGain>;
// Admits a job if one predicted wait, the same for all kinds of jobs, is within a part of the job's slack.
struct SlackAdmission
{
};
// Admits a job if it is forecast to be on time, or late from spare room.
struct ForecastAdmission
{
};
using AdmissionPolicy = std::variant<SlackAdmission, ForecastAdmission>;

// Parse the names that settings and command lines use; nullopt if the name is unknown.
std::optional<QueueOrder> parseQueueOrder(std::string_view name);
std::optional<PlacementPolicy> parsePlacementPolicy(std::string_view name);
std::optional<LongRunPolicy> parseLongRunPolicy(std::string_view name);
std::optional<AdmissionPolicy> parseAdmissionPolicy(std::string_view name);

} // namespace turmericwell
