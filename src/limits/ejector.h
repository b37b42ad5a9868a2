// Takes targets out of service temporarily after consecutive failures.
#pragma once

#include "turmericwell/millis.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace turmericwell {

struct EjectorOptions
{
    // Number of consecutive failures after which a target is ejected.
    uint32_t consecutiveFailures = 5;
    Millis minEjection = {5'000};
    Millis maxEjection = {60'000};
    // At most one in this many targets is ejected at a time.
    size_t maxEjectedDivisor = 3;
};

// Invariant: an ejection never raises the number of ejected targets above that of all targets divided by
// maxEjectedDivisor. Not thread-safe.
class Ejector
{
public:
    explicit Ejector(EjectorOptions options = {});

    // Records one answer of a target; `targets` is the number of all targets. Returns true if this answer
    // causes the ejection of the target.
    bool record(const std::string &target, bool failed, size_t targets, Millis now);
    // Ends the expired ejections and returns their targets.
    std::vector<std::string> restore(Millis now);
    bool isEjected(const std::string &target) const;
    size_t ejected() const { return m_ejected; }

private:
    struct State
    {
        uint32_t consecutiveFailures = 0;
        bool ejected = false;
        Millis until;
        // Length of the next ejection; doubles with each ejection until an answer is not a failure.
        Millis next;
        Millis lastSeen;
    };

    EjectorOptions m_options;
    // Persists across reconnections of an agent, so that a restart does not end an ejection.
    std::map<std::string, State> m_states;
    size_t m_ejected = 0;
};

} // namespace turmericwell
