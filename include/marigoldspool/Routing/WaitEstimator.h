#ifndef MARIGOLDSPOOL_ROUTING_WAITESTIMATOR_H
#define MARIGOLDSPOOL_ROUTING_WAITESTIMATOR_H

#include "marigoldspool/Support/Clock.h"

#include <optional>

namespace marigoldspool {

/// Predicts how long queued tokens take, from how long finished requests took for each token.
class WaitEstimator
{
public:
    /// \p cost tokens were finished by a request that took \p served at its endpoint.
    void onFinished(double cost, Duration served);
    /// A request of \p cost tokens was given up after \p served at its endpoint; it counts when it
    /// took longer than expected already.
    void onAborted(double cost, Duration served);
    /// Time until \p costAhead tokens have been served when \p slots requests run at once; nullopt
    /// while nothing has been finished yet.
    std::optional<Duration> estimateWait(double costAhead, int slots) const;
    /// Time that a request of \p cost tokens stays within at its endpoint, unless it is delayed by
    /// more than requests have varied lately; nullopt while nothing has been finished yet.
    std::optional<Duration> runTimeBound(double cost) const;

private:
    /// Exponentially weighted seconds per token of one request.
    std::optional<double> m_secondsPerToken;
    /// Exponentially weighted distance of a sample from the mean before it.
    double m_deviation = 0;
};

} // namespace marigoldspool

#endif
