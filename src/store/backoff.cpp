// Exponential delays with jitter.
#include "store/storeapi.h"

#include <algorithm>
#include <random>

namespace turmericwell {

Millis Backoff::next()
{
    static thread_local std::minstd_rand random(std::random_device{}());
    std::uniform_int_distribution<int64_t> part(m_next.count / 2, m_next.count);
    m_next = std::min(m_next * 2, m_most);
    return {part(random)};
}

} // namespace turmericwell
