#ifndef MARIGOLDSPOOL_ROUTING_WAITESTIMATOR_H
#define MARIGOLDSPOOL_ROUTING_WAITESTIMATOR_H

#include "marigoldspool/Support/Clock.h"

#include <optional>

namespace marigoldspool {

/// Predicts queue waits and run times from the time per token of finished requests.
class WaitEstimator
{
public:
    /// Adds the sample of a request of \p cost tokens that ran for \p served at its endpoint.
    void onFinished(double cost, Duration served);
    /// A request of \p cost tokens was aborted after \p served at its endpoint; it is added as a
    /// sample if it had already run longer than predicted.
    void onAborted(double cost, Duration served);
    /// Returns the time in which \p slots concurrent requests serve \p costAhead tokens; nullopt
    /// if there are no samples yet.
    std::optional<Duration> estimateWait(double costAhead, int slots) const;
    /// Returns an upper estimate of the run time of a request of \p cost tokens: the mean plus a
    /// margin for the recent variation; nullopt if there are no samples yet.
    std::optional<Duration> runTimeBound(double cost) const;

private:
    /// Exponentially weighted mean of the seconds per token of one request.
    std::optional<double> m_secondsPerToken;
    /// Exponentially weighted mean distance, in seconds per token, of samples from the mean before
    /// them.
    double m_meanDeviation = 0;
};

} // namespace marigoldspool

#endif
