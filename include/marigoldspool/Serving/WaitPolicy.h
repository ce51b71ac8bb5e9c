#ifndef MARIGOLDSPOOL_SERVING_WAITPOLICY_H
#define MARIGOLDSPOOL_SERVING_WAITPOLICY_H

#include "marigoldspool/Serving/EndpointDirectory.h"
#include "marigoldspool/Support/Refusal.h"

#include <optional>

namespace marigoldspool {

/// The state of a request that cannot be sent now.
struct WaitQuery {
    ChoiceKind kind = ChoiceKind::NoEndpoint;
    Duration waited = Duration::zero();
    /// Remaining time in which the caller expects the first byte.
    Duration callerTimeLeft = Duration::zero();
    /// Time until the model is loaded, as forecast by the placement owner, if known.
    std::optional<Duration> forecast;
    /// How long ago the model should have been loaded.
    Duration overdue = Duration::zero();
    bool ownerReachable = false;
    /// Time until an endpoint may be available.
    Duration retryIn = Duration::zero();
};

struct WaitDecision {
    bool wait = false;
    RefusalReason reason = RefusalReason::NoCapacity;
    Duration retryAfter = Duration::zero();
};

/// Decides whether the request waits or is refused because it cannot be served in time.
WaitDecision decideWait(const WaitQuery &query);

} // namespace marigoldspool

#endif
