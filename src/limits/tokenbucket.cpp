// Token bucket whose level may become negative.
#include "limits/tokenbucket.h"

#include <algorithm>
#include <cmath>

namespace turmericwell {

void TokenBucket::setRate(double perSecond, double burst)
{
    m_perSecond = perSecond;
    m_burst = burst;
    m_level = std::min(m_level, burst);
}

void TokenBucket::refill(Millis now)
{
    if (now <= m_last)
        return;
    constexpr double millisPerSecond = 1'000;
    const auto elapsed = static_cast<double>((now - m_last).count);
    m_level = std::min(m_burst, m_level + elapsed * m_perSecond / millisPerSecond);
    m_last = now;
}

bool TokenBucket::isReady(Millis now)
{
    refill(now);
    return m_level > 0;
}

Millis TokenBucket::timeUntilReady(Millis now)
{
    constexpr double millisPerSecond = 1'000;
    constexpr Millis never = {3'600'000};
    if (isReady(now))
        return {0};
    if (m_perSecond <= 0)
        return never;
    return {static_cast<int64_t>(std::floor(-m_level * millisPerSecond / m_perSecond)) + 1};
}

} // namespace turmericwell
