// Limits repeated starts, so that retries cannot amplify an overload.
#pragma once

#include <cstdint>
#include <mutex>

namespace turmericwell {

struct RetryBudgetOptions
{
    // Retries allowed per hundred starts.
    uint32_t percent = 10;
    // Retries available when the process starts, before its starts add to the budget.
    uint32_t initial = 10;
    // Maximum number of unused retries that accumulate.
    uint32_t capacity = 1'000;
};

// Thread-safe.
class RetryBudget
{
public:
    explicit RetryBudget(RetryBudgetOptions options)
        : m_options(options)
        , m_hundredths(uint64_t{options.initial} * 100)
    { }

    void started(uint64_t tasks);
    // Consumes one retry and returns true if the budget allows it.
    bool tryRetry();
    uint64_t denied() const;

private:
    RetryBudgetOptions m_options;
    mutable std::mutex m_mutex;
    uint64_t m_hundredths;
    uint64_t m_denied = 0;
};

} // namespace turmericwell
