// Bound on repeated starts, so that retries cannot multiply an overload.
#pragma once

#include <cstdint>
#include <mutex>

namespace turmericwell {

struct RetryBudgetOptions
{
    // Retries allowed for each hundred starts.
    uint32_t percent = 10;
    // Retries that a process may make before it has started much.
    uint32_t initial = 10;
    // Unused retries that can be saved up.
    uint32_t most = 1'000;
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
    // Takes one retry if the budget allows it.
    bool tryRetry();
    uint64_t denied() const;

private:
    RetryBudgetOptions m_options;
    mutable std::mutex m_mutex;
    uint64_t m_hundredths;
    uint64_t m_denied = 0;
};

} // namespace turmericwell
