// Lookup of policies by name.
#include "jobs/policies.h"

namespace turmericwell {

std::optional<QueueOrder> parseQueueOrder(std::string_view name)
{
    if (name == "latest-start")
        return LatestStartFirst{};
    if (name == "arrival")
        return ArrivalOrder{};
    return std::nullopt;
}

std::optional<PlacementPolicy> parsePlacementPolicy(std::string_view name)
{
    if (name == "most-free")
        return MostFreeShare{};
    if (name == "least-free")
        return LeastFreeShare{};
    if (name == "any")
        return AnyFitting{};
    return std::nullopt;
}

std::optional<LongRunPolicy> parseLongRunPolicy(std::string_view name)
{
    if (name == "by-ratio")
        return MoveByRatio{};
    if (name == "by-evidence")
        return MoveByEvidence{};
    return std::nullopt;
}

std::optional<AdmissionPolicy> parseAdmissionPolicy(std::string_view name)
{
    if (name == "slack")
        return SlackAdmission{};
    if (name == "forecast")
        return ForecastAdmission{};
    return std::nullopt;
}

} // namespace turmericwell
