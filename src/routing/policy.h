// Policies that choose a target for a task.
#pragma once

#include "routing/targetpool.h"

#include <optional>
#include <random>
#include <span>
#include <string_view>
#include <variant>
#include <vector>

namespace turmericwell {

// Pools whose targets fit the task.
using PoolSpan = std::span<TargetPool *const>;

// Each policy has canChoose, which says whether choose would return a target, and choose.

// Sends a task only where this entry holds a credit for a free slot.
struct CreditsPolicy
{
    static constexpr bool usesCredits = true;

    static bool canChoose(PoolSpan pools);
    static RoutedTarget *choose(PoolSpan pools);
};

// Sends each task at once to any open target.
struct RandomPolicy
{
    static constexpr bool usesCredits = false;

    static bool canChoose(PoolSpan pools);
    RoutedTarget *choose(PoolSpan pools);

    std::mt19937_64 random;
};

// Sends each task at once to the less loaded of two random open targets.
struct PowerOfTwoPolicy
{
    static constexpr bool usesCredits = false;

    static bool canChoose(PoolSpan pools) { return RandomPolicy::canChoose(pools); }
    RoutedTarget *choose(PoolSpan pools);

    RandomPolicy sampler;
};

using RoutingPolicy = std::variant<CreditsPolicy, RandomPolicy, PowerOfTwoPolicy>;

// Names of the policies in the settings; the first one is the default.
constexpr std::string_view policyNames[] = {"credits", "random", "powerOfTwo"};
// Empty if there is no policy of that name.
std::optional<RoutingPolicy> makePolicy(std::string_view name, uint64_t seed);

} // namespace turmericwell
