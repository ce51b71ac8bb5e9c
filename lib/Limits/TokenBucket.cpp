#include "marigoldspool/Limits/TokenBucket.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace marigoldspool {

namespace {

// Longer waits are of no use to a caller and could overflow a Duration.
constexpr double MaxWaitSeconds = 86'400;

} // namespace

TokenBucket::TokenBucket(double rate, double capacity, double level, SteadyTime at)
    : m_rate(rate)
    , m_capacity(capacity)
    , m_level(std::min(level, capacity))
    , m_at(at)
{
    assert(rate >= 0 && capacity >= 0 && level >= 0 && "a bucket holds no negative amounts");
}

void TokenBucket::fill(SteadyTime now)
{
    m_level = level(now);
    m_at = std::max(m_at, now);
}

double TokenBucket::level(SteadyTime now) const
{
    if (now <= m_at) {
        return m_level;
    }
    return std::min(m_capacity, m_level + m_rate * toSeconds(now - m_at));
}

bool TokenBucket::tryTake(double tokens, SteadyTime now)
{
    fill(now);
    if (tokens > m_level) {
        return false;
    }
    m_level -= tokens;
    return true;
}

void TokenBucket::reconfigure(double rate, double capacity, SteadyTime now)
{
    fill(now);
    m_rate = rate;
    m_capacity = capacity;
    m_level = std::min(m_level, capacity);
}

void TokenBucket::add(double tokens, SteadyTime now)
{
    fill(now);
    m_level = std::min(m_capacity, m_level + tokens);
}

Duration TokenBucket::timeUntil(double tokens, SteadyTime now) const
{
    const double missing = tokens - level(now);
    if (missing <= 0) {
        return Duration::zero();
    }
    if (tokens > m_capacity || m_rate <= 0) {
        return Duration::max();
    }
    const double seconds = std::min(missing / m_rate, MaxWaitSeconds);
    return Duration(static_cast<Duration::rep>(std::ceil(seconds * 1e9)));
}

} // namespace marigoldspool
