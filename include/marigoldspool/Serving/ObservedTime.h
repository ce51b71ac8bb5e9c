#ifndef MARIGOLDSPOOL_SERVING_OBSERVEDTIME_H
#define MARIGOLDSPOOL_SERVING_OBSERVEDTIME_H

#include "marigoldspool/Support/Clock.h"

#include <algorithm>

namespace marigoldspool {

/// Time in which the event loop ran, for judging how long an endpoint has been silent.
///
/// While the loop is held up, what endpoints send waits in the sockets, so a late tick counts only
/// up to a limit.
class ObservedTime
{
public:
    ObservedTime(SteadyTime start, Duration maxStep)
        : m_tickedAt(start)
        , m_observedAt(start)
        , m_maxStep(maxStep)
    { }

    /// To be called more often than once in the limit.
    void onTick(SteadyTime now)
    {
        m_observedAt = at(now);
        m_tickedAt = now;
    }

    /// The observed time at \p now; comparable with other values of the same object only.
    SteadyTime at(SteadyTime now) const
    {
        return m_observedAt + std::min(now - m_tickedAt, m_maxStep);
    }

private:
    SteadyTime m_tickedAt;
    SteadyTime m_observedAt;
    Duration m_maxStep;
};

} // namespace marigoldspool

#endif
