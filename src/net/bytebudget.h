// Bound of the bytes that all connections of a process hold for requests.
#pragma once

#include <atomic>
#include <cstdint>

namespace turmericwell {

// Thread-safe. A quarter of the budget is for requests of at most smallRequestBytes, so that a few large
// requests do not keep out the others.
class ByteBudget
{
public:
    static constexpr uint64_t smallRequestBytes = 32'768;

    explicit ByteBudget(uint64_t total)
        : m_total(total)
    { }

    // Adds `more` bytes to a request that holds `held`. Returns false and changes nothing if they exceed the
    // budget.
    bool reserve(uint64_t held, uint64_t more)
    {
        const uint64_t limit = held + more <= smallRequestBytes ? m_total : m_total - m_total / 4;
        if (m_used.fetch_add(more) + more <= limit)
            return true;
        m_used.fetch_sub(more);
        return false;
    }
    void release(uint64_t bytes) { m_used.fetch_sub(bytes); }
    uint64_t used() const { return m_used; }

private:
    const uint64_t m_total;
    std::atomic<uint64_t> m_used = 0;
};

} // namespace turmericwell
