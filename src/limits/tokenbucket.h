// Token bucket for rates.
#pragma once

#include "turmericwell/millis.h"

namespace turmericwell {

// A take succeeds while the level is above zero and may bring it below zero, so that a job larger than the
// burst is admitted and paid for afterwards. The average rate holds. Not thread-safe.
class TokenBucket
{
public:
    TokenBucket(double perSecond, double burst)
        : m_perSecond(perSecond)
        , m_burst(burst)
        , m_level(burst)
    { }

    // Keeps the level, cut to the new burst.
    void setRate(double perSecond, double burst);
    bool isReady(Millis now);
    // Takes without a check; the caller has asked isReady.
    void take(double tokens) { m_level -= tokens; }
    // Time until a take succeeds.
    Millis timeUntilReady(Millis now);

private:
    void refill(Millis now);

    double m_perSecond;
    double m_burst;
    double m_level;
    Millis m_last;
};

} // namespace turmericwell
