// Fingerprints of submissions whose records have been removed.
#pragma once

#include "turmericwell/fingerprint.h"

#include <cstdint>
#include <deque>
#include <unordered_set>

namespace turmericwell {

// Bounded: beyond the capacity, the oldest fingerprint is evicted and counted. Not thread-safe.
class Tombstones
{
public:
    explicit Tombstones(size_t capacity)
        : m_capacity(capacity)
    { }

    void add(const Fingerprint &key);
    bool contains(const Fingerprint &key) const { return m_keys.contains(key); }
    size_t size() const { return m_keys.size(); }
    uint64_t dropped() const { return m_dropped; }
    // Oldest first.
    const std::deque<Fingerprint> &keys() const { return m_order; }

private:
    size_t m_capacity;
    // Invariant: m_order holds each element of m_keys once.
    std::deque<Fingerprint> m_order;
    std::unordered_set<Fingerprint> m_keys;
    uint64_t m_dropped = 0;
};

} // namespace turmericwell
