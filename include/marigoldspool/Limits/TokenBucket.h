#ifndef MARIGOLDSPOOL_LIMITS_TOKENBUCKET_H
#define MARIGOLDSPOOL_LIMITS_TOKENBUCKET_H

#include "marigoldspool/Support/Clock.h"

namespace marigoldspool {

/// A token bucket that is refilled when it is used. A time earlier than the last one adds no
/// tokens.
class TokenBucket
{
public:
    /// \p rate in tokens per second, \p capacity and \p level in tokens.
    TokenBucket(double rate, double capacity, double level, SteadyTime at);

    /// Takes all of \p tokens or none.
    bool tryTake(double tokens, SteadyTime now);
    double level(SteadyTime now) const;
    /// Changes rate and capacity as of \p now; tokens above the new capacity are lost.
    void reconfigure(double rate, double capacity, SteadyTime now);
    /// Adds tokens up to the capacity.
    void add(double tokens, SteadyTime now);
    /// The time until \p tokens are available; Duration::max() if they never will be.
    Duration timeUntil(double tokens, SteadyTime now) const;

    double rate() const { return m_rate; }
    double capacity() const { return m_capacity; }

private:
    void fill(SteadyTime now);

    double m_rate;
    double m_capacity;
    double m_level;
    SteadyTime m_at;
};

} // namespace marigoldspool

#endif
