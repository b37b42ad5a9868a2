// Counts the budget in hundredths of a retry; each start adds to it.
#include "limits/retrybudget.h"

#include <algorithm>

namespace turmericwell {

void RetryBudget::started(uint64_t tasks)
{
    const std::lock_guard lock(m_mutex);
    m_hundredths = std::min(m_hundredths + tasks * m_options.percent, uint64_t{m_options.capacity} * 100);
}

bool RetryBudget::tryRetry()
{
    constexpr uint64_t oneRetry = 100;
    const std::lock_guard lock(m_mutex);
    if (m_hundredths < oneRetry) {
        ++m_denied;
        return false;
    }
    m_hundredths -= oneRetry;
    return true;
}

uint64_t RetryBudget::denied() const
{
    const std::lock_guard lock(m_mutex);
    return m_denied;
}

} // namespace turmericwell
