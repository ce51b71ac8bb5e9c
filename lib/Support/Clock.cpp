#include "marigoldspool/Support/Clock.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <ctime>

namespace marigoldspool {

Clock::~Clock() = default;

double decayFactor(Duration elapsed, double halfLifeSeconds)
{
    return std::exp2(-std::max(toSeconds(elapsed), 0.0) / halfLifeSeconds);
}

SteadyTime SystemClock::now() const
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

WallTime SystemClock::wallNow() const
{
    return std::chrono::time_point_cast<Duration>(std::chrono::system_clock::now());
}

SteadyTime SuspendAwareClock::now() const
{
    timespec time{};
    const int result = ::clock_gettime(CLOCK_BOOTTIME, &time);
    assert(result == 0 && "the kernel must support CLOCK_BOOTTIME");
    static_cast<void>(result);
    return SteadyTime(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

WallTime SuspendAwareClock::wallNow() const
{
    return std::chrono::time_point_cast<Duration>(std::chrono::system_clock::now());
}

SteadyTime ManualClock::now() const
{
    return SteadyTime(m_elapsed);
}

WallTime ManualClock::wallNow() const
{
    return WallTime(m_elapsed);
}

void ManualClock::advance(Duration by)
{
    assert(by >= Duration::zero() && "a manual clock must not move backwards");
    m_elapsed += by;
}

std::int64_t toMilliseconds(Duration duration)
{
    return std::chrono::ceil<std::chrono::milliseconds>(duration).count();
}

} // namespace marigoldspool
