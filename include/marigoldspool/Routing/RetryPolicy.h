#ifndef MARIGOLDSPOOL_ROUTING_RETRYPOLICY_H
#define MARIGOLDSPOOL_ROUTING_RETRYPOLICY_H

#include "marigoldspool/Support/Refusal.h"

#include <variant>

namespace marigoldspool {

/// How one attempt at an endpoint ended.
enum class EndpointOutcome {
    Answered, ///< A complete answer arrived, whatever its status.
    RefusedOverloaded, ///< The endpoint refused without running it: overloaded.
    RefusedNotLoaded, ///< The endpoint refused without running it: model not loaded.
    NotSent, ///< No byte of the request can have reached the endpoint.
    MaybeSent, ///< The attempt failed before any part of an answer arrived.
    CutOff, ///< The attempt failed after the answer had begun.
};

struct RequestTraits {
    bool idempotent = false;
    /// Attempts made, including the one that failed.
    int attempts = 0;
    /// Whether any part of an answer has been forwarded to the caller.
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

/// Maximum attempts for one request, including the first.
constexpr int MaxAttempts = 5;

/// Decides whether a failed attempt may be retried without running a non-idempotent request twice.
/// \p outcome must not be Answered. \p earlierMayHaveRun tells whether an earlier attempt may have
/// run the request.
RetryDecision decideRetry(const RequestTraits &request, EndpointOutcome outcome,
                          bool earlierMayHaveRun);

/// Returns whether an attempt that ended with \p outcome may have run the request.
bool mayHaveRun(EndpointOutcome outcome);

/// The refusal of a request that this instance cannot answer before the end of a planned stop.
Refusal stopRefusal(RanState ran, bool answerStarted);

} // namespace marigoldspool

#endif
