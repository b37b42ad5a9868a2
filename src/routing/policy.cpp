// Implements the routing policies.
#include "routing/policy.h"

#include <algorithm>

namespace turmericwell {

bool CreditsPolicy::canChoose(PoolSpan pools)
{
    return std::any_of(pools.begin(), pools.end(),
                       [](const TargetPool *pool) { return pool->firstWithCredit() != nullptr; });
}

RoutedTarget *CreditsPolicy::choose(PoolSpan pools)
{
    RoutedTarget *best = nullptr;
    for (const TargetPool *pool : pools) {
        RoutedTarget *candidate = pool->firstWithCredit();
        if (candidate && (!best || ranksBefore(*candidate, *best)))
            best = candidate;
    }
    return best;
}

bool RandomPolicy::canChoose(PoolSpan pools)
{
    return std::any_of(pools.begin(), pools.end(),
                       [](const TargetPool *pool) { return !pool->open().empty(); });
}

RoutedTarget *RandomPolicy::choose(PoolSpan pools)
{
    size_t total = 0;
    for (const TargetPool *pool : pools)
        total += pool->open().size();
    if (total == 0)
        return nullptr;
    size_t index = std::uniform_int_distribution<size_t>(0, total - 1)(random);
    for (const TargetPool *pool : pools) {
        if (index < pool->open().size())
            return pool->open()[index];
        index -= pool->open().size();
    }
    return nullptr;
}

RoutedTarget *PowerOfTwoPolicy::choose(PoolSpan pools)
{
    RoutedTarget *first = sampler.choose(pools);
    RoutedTarget *second = sampler.choose(pools);
    return second && second->load < first->load ? second : first;
}

std::optional<RoutingPolicy> makePolicy(std::string_view name, uint64_t seed)
{
    if (name == "credits")
        return CreditsPolicy{};
    if (name == "random")
        return RandomPolicy{.random = std::mt19937_64(seed)};
    if (name == "powerOfTwo")
        return PowerOfTwoPolicy{.sampler = {.random = std::mt19937_64(seed)}};
    return std::nullopt;
}

} // namespace turmericwell
