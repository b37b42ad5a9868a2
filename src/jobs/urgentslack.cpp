// Exponential moving averages of the slack, by service and priority.
#include "jobs/urgentslack.h"

#include <algorithm>
#include <cmath>

namespace turmericwell {

constexpr double smoothingFactor = 0.05;

void UrgentSlack::observe(std::string_view service, uint32_t priority, Millis slack, Millis now)
{
    auto found = m_means.find(service);
    if (found == m_means.end())
        found = m_means.emplace(std::string(service), std::map<uint32_t, Mean>{}).first;
    const auto slackMs = static_cast<double>(slack.count);
    const auto [mean, isNew] = found->second.try_emplace(priority, Mean{.slackMs = slackMs});
    mean->second.slackMs += smoothingFactor * (slackMs - mean->second.slackMs);
    mean->second.lastSeen = now;
}

std::optional<Millis> UrgentSlack::shortest(std::string_view service, uint32_t priority, Millis now) const
{
    std::optional<Millis> result;
    const auto found = m_means.find(service);
    if (found == m_means.end())
        return result;
    for (const auto &[other, mean] : found->second) {
        if (other >= priority)
            break;
        if (now - mean.lastSeen > retention)
            continue;
        const Millis slack = {std::llround(mean.slackMs)};
        result = std::min(result.value_or(slack), slack);
    }
    return result;
}

} // namespace turmericwell
