#include "marigoldspool/Routing/WaitEstimator.h"

#include <algorithm>
#include <cassert>

namespace marigoldspool {

namespace {

// The weight of one new sample: about the last ten requests count.
constexpr double SampleWeight = 0.1;
// Keeps a prediction from overflowing the clock's range.
constexpr double LongestWaitSeconds = 24.0 * 3600;

} // namespace

void WaitEstimator::onFinished(double cost, Duration served)
{
    assert(cost > 0 && "a request has a cost");
    const double sample = std::chrono::duration<double>(served).count() / cost;
    m_secondsPerToken = m_secondsPerToken
        ? *m_secondsPerToken * (1 - SampleWeight) + sample * SampleWeight
        : sample;
}

std::optional<Duration> WaitEstimator::waitFor(double costAhead, int slots) const
{
    if (!m_secondsPerToken) {
        return std::nullopt;
    }
    const double seconds = costAhead * *m_secondsPerToken / std::max(slots, 1);
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(std::min(seconds, LongestWaitSeconds)));
}

} // namespace marigoldspool
