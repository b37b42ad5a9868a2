// Ejects targets after consecutive failures, for a time that doubles with each ejection.
#include "limits/ejector.h"

#include <algorithm>

namespace turmericwell {

Ejector::Ejector(EjectorOptions options)
    : m_options(options)
{ }

bool Ejector::record(const std::string &target, bool failed, size_t targets, Millis now)
{
    if (!failed) {
        const auto found = m_states.find(target);
        if (found != m_states.end() && !found->second.ejected)
            m_states.erase(found);
        return false;
    }
    const auto [found, isNew] = m_states.try_emplace(target);
    State &state = found->second;
    if (isNew)
        state.next = m_options.minEjection;
    state.lastSeen = now;
    // Failures of tasks that were sent before the ejection do not extend it.
    if (state.ejected)
        return false;
    ++state.consecutiveFailures;
    if (state.consecutiveFailures < m_options.consecutiveFailures
        || (m_ejected + 1) * m_options.maxEjectedDivisor > targets)
        return false;
    state.ejected = true;
    state.until = now + state.next;
    state.next = std::min(state.next * 2, m_options.maxEjection);
    ++m_ejected;
    return true;
}

std::vector<std::string> Ejector::restore(Millis now)
{
    std::vector<std::string> restored;
    for (auto it = m_states.begin(); it != m_states.end();) {
        State &state = it->second;
        if (state.ejected && now >= state.until) {
            state.ejected = false;
            state.consecutiveFailures = 0;
            state.lastSeen = now;
            --m_ejected;
            restored.push_back(it->first);
        }
        // The state of a target is discarded after the longest ejection time without a failure; the target
        // then starts afresh.
        if (!state.ejected && now - state.lastSeen > m_options.maxEjection)
            it = m_states.erase(it);
        else
            ++it;
    }
    return restored;
}

bool Ejector::isEjected(const std::string &target) const
{
    const auto found = m_states.find(target);
    return found != m_states.end() && found->second.ejected;
}

} // namespace turmericwell
