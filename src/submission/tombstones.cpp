// Bounded set of fingerprints in the order of their insertion.
#include "submission/tombstones.h"

namespace turmericwell {

void Tombstones::add(const Fingerprint &key)
{
    if (!m_keys.insert(key).second)
        return;
    m_order.push_back(key);
    while (m_order.size() > m_capacity) {
        m_keys.erase(m_order.front());
        m_order.pop_front();
        ++m_dropped;
    }
}

} // namespace turmericwell
