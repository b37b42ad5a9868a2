// Advances the phases of a planned stop.
#include "fleet/stopschedule.h"

#include <algorithm>

namespace turmericwell {

StopSchedule::StopSchedule(Millis begin, Millis grace)
    : m_begin(begin)
    , m_grace(std::max(grace, longestDrainTime + endMargin))
{ }

StopPhase StopSchedule::advance(const StopState &state, Millis now)
{
    const Millis end = m_begin + m_grace - endMargin;
    m_releases = m_releases || state.hasSuccessor || now >= end - releaseTime;
    const Millis drained = m_begin + (m_releases ? drainTime : longestDrainTime);
    if (m_phase == StopPhase::Draining && now >= drained)
        m_phase = StopPhase::Closing;
    if (m_phase == StopPhase::Closing && now >= end - answerTime)
        m_phase = StopPhase::Answering;
    const bool isDone = state.openRequests == 0 && !state.ownsPartitions;
    const bool mayEnd = m_phase == StopPhase::Closing || m_phase == StopPhase::Answering;
    if (mayEnd && (isDone || now >= end))
        m_phase = StopPhase::Ended;
    return m_phase;
}

} // namespace turmericwell
