// Exponential backoff with jitter; in an emulation the jitter is drawn from the seeded generator.
#include "net/eventqueue.h"
#include "store/storeapi.h"

#include <algorithm>
#include <random>

namespace turmericwell {

Millis Backoff::next()
{
    static thread_local std::minstd_rand ownRandom(std::random_device{}());
    EventQueue *emulation = EventQueue::current();
    std::minstd_rand &random = emulation ? emulation->random() : ownRandom;
    std::uniform_int_distribution<int64_t> part(m_next.count / 2, m_next.count);
    m_next = std::min(m_next * 2, m_limit);
    return {part(random)};
}

} // namespace turmericwell
