#ifndef MARIGOLDSPOOL_SUPPORT_CLOCK_H
#define MARIGOLDSPOOL_SUPPORT_CLOCK_H

#include <chrono>
#include <cstdint>

namespace marigoldspool {

using Duration = std::chrono::nanoseconds;
using SteadyTime = std::chrono::time_point<std::chrono::steady_clock, Duration>;
using WallTime = std::chrono::time_point<std::chrono::system_clock, Duration>;

/// Source of time, passed in so that tests control it.
class Clock
{
public:
    virtual ~Clock();
    /// Monotonic time; advances while the process is stopped.
    virtual SteadyTime now() const = 0;
    /// Time of day, for log lines and objects that people read.
    virtual WallTime wallNow() const = 0;
};

/// The operating system's steady and system clocks.
class SystemClock final : public Clock
{
public:
    SteadyTime now() const override;
    WallTime wallNow() const override;
};

/// Monotonic time that also counts while the machine is suspended, for leases: the steady clock
/// stops then, and a lease measured with it would outlive its term.
class SuspendAwareClock final : public Clock
{
public:
    SteadyTime now() const override;
    WallTime wallNow() const override;
};

/// A clock for tests that only advance() moves.
class ManualClock final : public Clock
{
public:
    SteadyTime now() const override;
    WallTime wallNow() const override;
    /// Moves both times forward; \p by must not be negative.
    void advance(Duration by);

private:
    Duration m_elapsed = std::chrono::seconds(1000);
};

/// Whole milliseconds in \p duration, rounded up so that a positive time never becomes zero.
std::int64_t toMilliseconds(Duration duration);

inline double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/// Truncated to whole nanoseconds; \p seconds must be within the range of Duration.
inline Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

/// Fraction of a value that remains of it after \p elapsed; 1 if that is negative.
double decayFactor(Duration elapsed, double halfLifeSeconds);

} // namespace marigoldspool

#endif
