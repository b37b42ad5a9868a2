// Policies that select the target of a task.
#pragma once

#include "routing/targetpool.h"

#include <optional>
#include <random>
#include <span>
#include <string_view>
#include <variant>
#include <vector>

namespace turmericwell {

// Pools whose targets can run the task.
using PoolSpan = std::span<TargetPool *const>;

// Each policy has two functions: choose selects a target, or returns null if there is none; canChoose reports
// whether choose would return one.

// Sends a task only to a target for which this entry has a credit, that is, a reserved free slot.
struct CreditsPolicy
{
    static constexpr bool usesCredits = true;

    static bool canChoose(PoolSpan pools);
    static RoutedTarget *choose(PoolSpan pools);
};

// Sends each task immediately to a random open target.
struct RandomPolicy
{
    static constexpr bool usesCredits = false;

    static bool canChoose(PoolSpan pools);
    RoutedTarget *choose(PoolSpan pools);

    std::mt19937_64 random;
};

// Sends each task immediately to the less loaded of two random open targets.
struct PowerOfTwoPolicy
{
    static constexpr bool usesCredits = false;

    static bool canChoose(PoolSpan pools) { return RandomPolicy::canChoose(pools); }
    RoutedTarget *choose(PoolSpan pools);

    RandomPolicy sampler;
};

using RoutingPolicy = std::variant<CreditsPolicy, RandomPolicy, PowerOfTwoPolicy>;

// Names of the policies in the settings; the first is the default.
constexpr std::string_view policyNames[] = {"credits", "random", "powerOfTwo"};
// Empty if no policy has that name.
std::optional<RoutingPolicy> makePolicy(std::string_view name, uint64_t seed);

} // namespace turmericwell
