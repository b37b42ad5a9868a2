// Takes targets that only fail out of service for a while.
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
    // A target is ejected when this many answers in a row are failures.
    uint32_t failures = 5;
    Millis shortest = {5'000};
    Millis longest = {60'000};
    // At most one target in this many is ejected at a time.
    size_t share = 3;
};

// Invariant: never more than a `share`-th of the targets is ejected. Not thread-safe.
class Ejector
{
public:
    explicit Ejector(EjectorOptions options = {});

    // Takes one answer of a target, one of `targets` in all. Returns true if the target is ejected by it.
    bool record(const std::string &target, bool failed, size_t targets, Millis now);
    // Ends the ejections whose time has passed and returns their targets.
    std::vector<std::string> restore(Millis now);
    bool isEjected(const std::string &target) const;
    size_t ejected() const { return m_ejected; }

private:
    struct State
    {
        uint32_t failuresInRow = 0;
        bool ejected = false;
        Millis until;
        // Length of the next ejection; doubles with each one until an answer is no failure.
        Millis next;
        Millis lastSeen;
    };

    EjectorOptions m_options;
    // Kept across reconnections of an agent, so that a restart does not end an ejection.
    std::map<std::string, State> m_states;
    size_t m_ejected = 0;
};

} // namespace turmericwell
