#include "marigoldspool/Routing/WaitEstimator.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace marigoldspool {

namespace {

// Weight of a new sample; the mean covers about the last ten requests.
constexpr double SampleWeight = 0.1;
// Keeps a prediction within the range of the clock.
constexpr double MaxWaitSeconds = 24.0 * 3600;
// Minimum margin, as a fraction of the mean. Without a margin, 2 of 6,068 requests refused under
// overload had been sent and expired at the endpoint, so that their outcome was unknown.
constexpr double MinMarginFraction = 0.25;
// Runs shorter than this get a margin of at least their own length, longer ones of at least this: a
// busy machine occasionally stalls a process for this long, however short its runs are.
constexpr double MaxStallMarginSeconds = 0.25;
// Margin in mean deviations, as for the retransmission timeout of TCP (RFC 6298). With the minimum
// margin alone, 11 of 4,726 refused requests expired at endpoints on busy machines.
constexpr double MarginDeviations = 4;

Duration toDuration(double seconds)
{
    return fromSeconds(std::min(seconds, MaxWaitSeconds));
}

} // namespace

void WaitEstimator::onFinished(double cost, Duration served)
{
    assert(cost > 0 && "the cost must be positive");
    const double sample = std::chrono::duration<double>(served).count() / cost;
    if (!m_secondsPerToken) {
        m_secondsPerToken = sample;
        return;
    }
    const double distance = std::abs(sample - *m_secondsPerToken);
    m_meanDeviation += (distance - m_meanDeviation) * SampleWeight;
    *m_secondsPerToken += (sample - *m_secondsPerToken) * SampleWeight;
}

// Without these samples only requests that finish before their deadline would count, and the
// prediction would stay too low while an endpoint slows down.
void WaitEstimator::onAborted(double cost, Duration served)
{
    const std::optional<Duration> mean = estimateWait(cost, 1);
    if (!mean || served > *mean) {
        onFinished(cost, served);
    }
}

std::optional<Duration> WaitEstimator::estimateWait(double costAhead, int slots) const
{
    if (!m_secondsPerToken) {
        return std::nullopt;
    }
    return toDuration(costAhead * *m_secondsPerToken / std::max(slots, 1));
}

std::optional<Duration> WaitEstimator::runTimeBound(double cost) const
{
    if (!m_secondsPerToken) {
        return std::nullopt;
    }
    const double mean = cost * *m_secondsPerToken;
    const double margin = std::max({mean * MinMarginFraction, std::min(mean, MaxStallMarginSeconds),
                                    cost * m_meanDeviation * MarginDeviations});
    return toDuration(mean + margin);
}

} // namespace marigoldspool
