#ifndef MARIGOLDSPOOL_SERVING_WINDOWCLOCK_H
#define MARIGOLDSPOOL_SERVING_WINDOWCLOCK_H

#include "marigoldspool/Support/Clock.h"

#include <cstdint>
#include <optional>

namespace marigoldspool {

/// Time of day for counting in windows. A step of the system clock is followed only after it has
/// lasted 30 s; until then, time goes on with the steady clock.
class WindowClock
{
public:
    /// \p clock must count the time during which the machine is suspended. \p length of the
    /// windows, more than zero.
    WindowClock(const Clock &clock, Duration length);

    /// To be called several times a second.
    void onTick();
    /// Time since the start of 1970. Goes back only when a step back is followed.
    Duration now() const;
    /// Not affected by steps of the system clock.
    SteadyTime steadyNow() const { return m_clock.now(); }
    Duration length() const { return m_length; }
    std::int64_t windowAt(Duration time) const;
    std::int64_t current() const { return windowAt(now()); }
    Duration endOf(std::int64_t window) const { return m_length * (window + 1); }

private:
    /// Time of day minus steady time.
    Duration measuredOffset() const;

    const Clock &m_clock;
    Duration m_length;
    Duration m_offset;
    /// The offset after a step that is not followed yet, and when it was first seen.
    std::optional<Duration> m_steppedOffset;
    SteadyTime m_steppedAt;
};

} // namespace marigoldspool

#endif
