#ifndef MARIGOLDSPOOL_ROUTING_RETRYPOLICY_H
#define MARIGOLDSPOOL_ROUTING_RETRYPOLICY_H

#include "marigoldspool/Support/Refusal.h"

#include <variant>

namespace marigoldspool {

/// How one try at an endpoint ended.
enum class EndpointOutcome {
    Answered, ///< The whole answer has come, whatever its status.
    RefusedOverloaded, ///< The endpoint said that it did not run the request: too much load.
    RefusedNotLoaded, ///< The endpoint said that it did not run the request: model not loaded.
    NotSent, ///< No byte of the request can have reached the endpoint.
    MaybeSent, ///< It failed before any part of an answer came.
    CutOff, ///< It failed after the answer had begun.
};

struct RequestTraits {
    bool idempotent = false;
    /// Tries made, including the one that failed.
    int attempts = 0;
    /// Whether any part of an answer has been passed on to the caller.
    bool answerStarted = false;
};

struct Retry {
    RetryReason reason = RetryReason::ConnectFailed;
};

struct GiveUp {
    RefusalReason reason = RefusalReason::EndpointFailed;
    RanState ran = RanState::Unknown;
};

using RetryDecision = std::variant<Retry, GiveUp>;

/// Tries at endpoints for one request, the first one included.
constexpr int MaxAttempts = 5;

/// Whether a failed try may be followed by another one without running a request twice that must
/// run at most once. \p outcome must not be Answered. \p earlierMayHaveRun: an earlier try of this
/// request may have run.
RetryDecision decideRetry(const RequestTraits &request, EndpointOutcome outcome,
                          bool earlierMayHaveRun);

/// Whether the try itself may have run the request.
bool mayHaveRun(EndpointOutcome outcome);

} // namespace marigoldspool

#endif
