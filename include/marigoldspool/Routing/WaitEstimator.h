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
    /// Time until \p costAhead tokens have been served when \p slots requests run at once; nullopt
    /// while nothing has been finished yet.
    std::optional<Duration> waitFor(double costAhead, int slots) const;

private:
    /// Exponentially weighted seconds per token of one request.
    std::optional<double> m_secondsPerToken;
};

} // namespace marigoldspool

#endif
