#ifndef MARIGOLDSPOOL_SUPPORT_REFUSAL_H
#define MARIGOLDSPOOL_SUPPORT_REFUSAL_H

#include "marigoldspool/Support/Clock.h"

#include <optional>
#include <string>
#include <string_view>

#include <gsl/span>

namespace marigoldspool {

/// Why a request was refused; each reason has its own counter.
enum class RefusalReason {
    KeyMissing,
    KeyUnknown,
    KeyWithdrawn,
    RouteUnknown,
    ModelUnknown,
    ModelNotAllowed,
    RateExceeded,
    CostAboveBurst,
    CostAboveZoneShare,
    QueueFull,
    DeadlineTooShort,
    DeadlinePassed,
    NoCapacity,
    ZoneDrained,
    Stopping,
    EndpointFailed,
    AnswerIncomplete,
    OutcomeUnknown,
    DuplicateRequest,
    StoreUnavailable,
    PeerUnavailable,
    BodyTooLarge,
    Malformed,
    CallerGone,
    PromptQuarantined,
    StreamNotResumable,
};

/// Whether the refused request may have run at an endpoint.
enum class RanState {
    No, ///< It certainly has not run and will not run.
    Unknown,
};

/// The final answer to a request that is not served.
struct Refusal {
    RefusalReason reason = RefusalReason::NoCapacity;
    RanState ran = RanState::Unknown;
    std::string message;
    std::string remedy;
    /// Time to wait before a retry; zero if waiting does not help.
    Duration retryAfter = Duration::zero();
};

/// All reasons, for registering counters.
gsl::span<const RefusalReason> allRefusalReasons();
/// Name in snake_case, for answers and metric labels.
std::string_view refusalCode(RefusalReason reason);
std::optional<RefusalReason> refusalFromCode(std::string_view code);
int refusalHttpStatus(RefusalReason reason);
std::string_view ranStateName(RanState state);

/// Why a request or a write was retried; each reason has its own counter.
enum class RetryReason {
    ConnectFailed,
    EndpointRefusedBeforeRun,
    EndpointCold,
    PeerUnavailable,
    StoreConflict,
    StoreAnswerLost,
};

gsl::span<const RetryReason> allRetryReasons();
std::string_view retryCode(RetryReason reason);

} // namespace marigoldspool

#endif
