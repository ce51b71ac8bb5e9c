#ifndef MARIGOLDSPOOL_SERVING_WAITPOLICY_H
#define MARIGOLDSPOOL_SERVING_WAITPOLICY_H

#include "marigoldspool/Serving/EndpointDirectory.h"
#include "marigoldspool/Support/Refusal.h"

#include <optional>

namespace marigoldspool {

/// A request that cannot be sent at once.
struct WaitQuery {
    ChoiceKind kind = ChoiceKind::NoEndpoint;
    Duration waited = Duration::zero();
    /// How long the caller goes on waiting for the first byte.
    Duration patienceLeft = Duration::zero();
    /// When the placement owner expects the model, from now; empty while it has not said.
    std::optional<Duration> forecast;
    bool ownerReachable = false;
    /// When asking for an endpoint again makes sense.
    Duration retryIn = Duration::zero();
};

struct WaitDecision {
    bool wait = false;
    RefusalReason reason = RefusalReason::NoCapacity;
    Duration retryAfter = Duration::zero();
};

/// Whether the request waits, or is refused now because it could not be served in time.
WaitDecision decideWait(const WaitQuery &query);

} // namespace marigoldspool

#endif
