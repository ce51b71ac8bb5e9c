#include "marigoldspool/Serving/WindowClock.h"

namespace marigoldspool {

namespace {

constexpr Duration StepConfirmation = std::chrono::seconds(30);
// Larger changes between two ticks are steps. An adjustment of the clock's rate by the usual 500
// ppm makes up 15 µs between ticks; the rest allows for a pause between the two readings.
constexpr Duration MaxAdjustment = std::chrono::milliseconds(20);

bool isNear(Duration a, Duration b)
{
    return a - b <= MaxAdjustment && b - a <= MaxAdjustment;
}

} // namespace

WindowClock::WindowClock(const Clock &clock, Duration length)
    : m_clock(clock)
    , m_length(length)
    , m_offset(measuredOffset())
{ }

Duration WindowClock::measuredOffset() const
{
    return m_clock.wallNow().time_since_epoch() - m_clock.now().time_since_epoch();
}

void WindowClock::onTick()
{
    const Duration offset = measuredOffset();
    if (isNear(offset, m_offset)) {
        m_offset = offset;
        m_steppedOffset.reset();
        return;
    }
    const SteadyTime now = m_clock.now();
    if (!m_steppedOffset || !isNear(offset, *m_steppedOffset)) {
        m_steppedAt = now;
    }
    m_steppedOffset = offset;
    if (now - m_steppedAt >= StepConfirmation) {
        m_offset = offset;
        m_steppedOffset.reset();
    }
}

Duration WindowClock::now() const
{
    return m_clock.now().time_since_epoch() + m_offset;
}

std::int64_t WindowClock::windowAt(Duration time) const
{
    const std::int64_t quotient = time / m_length;
    return time < Duration::zero() && quotient * m_length != time ? quotient - 1 : quotient;
}

} // namespace marigoldspool
