// Token bucket that limits a rate.
#pragma once

#include "turmericwell/millis.h"

namespace turmericwell {

// A take is allowed while the level is above zero and may make it negative, so that a job larger than the
// burst is admitted and delays later takes instead. The average rate is met. Not thread-safe.
class TokenBucket
{
public:
    TokenBucket(double perSecond, double burst)
        : m_perSecond(perSecond)
        , m_burst(burst)
        , m_level(burst)
    { }

    // Preserves the level, but limits it to the new burst.
    void setRate(double perSecond, double burst);
    bool isReady(Millis now);
    // Does not check the level: the caller must have called isReady.
    void take(double tokens) { m_level -= tokens; }
    // Time until isReady returns true.
    Millis timeUntilReady(Millis now);

private:
    void refill(Millis now);

    double m_perSecond;
    double m_burst;
    double m_level;
    Millis m_last;
};

} // namespace turmericwell
