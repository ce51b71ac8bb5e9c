#include "marigoldspool/Support/Refusal.h"

#include <array>
#include <cassert>

namespace marigoldspool {

namespace {

struct RefusalRow {
    RefusalReason reason;
    std::string_view code;
    int httpStatus;
};

// Indexed by the enumerator's value.
constexpr std::array<RefusalRow, 26> RefusalRows{{
    {RefusalReason::KeyMissing, "key_missing", 401},
    {RefusalReason::KeyUnknown, "key_unknown", 401},
    {RefusalReason::KeyWithdrawn, "key_withdrawn", 401},
    {RefusalReason::RouteUnknown, "route_unknown", 404},
    {RefusalReason::ModelUnknown, "model_unknown", 404},
    {RefusalReason::ModelNotAllowed, "model_not_allowed", 403},
    {RefusalReason::RateExceeded, "rate_exceeded", 429},
    {RefusalReason::CostAboveBurst, "cost_above_burst", 413},
    {RefusalReason::CostAboveZoneShare, "cost_above_zone_share", 429},
    {RefusalReason::QueueFull, "queue_full", 503},
    {RefusalReason::DeadlineTooShort, "deadline_too_short", 503},
    {RefusalReason::DeadlinePassed, "deadline_passed", 504},
    {RefusalReason::NoCapacity, "no_capacity", 503},
    {RefusalReason::ZoneDrained, "zone_drained", 503},
    {RefusalReason::Stopping, "stopping", 503},
    {RefusalReason::EndpointFailed, "endpoint_failed", 502},
    {RefusalReason::AnswerIncomplete, "answer_incomplete", 502},
    {RefusalReason::OutcomeUnknown, "outcome_unknown", 502},
    {RefusalReason::DuplicateRequest, "duplicate_request", 409},
    {RefusalReason::StoreUnavailable, "store_unavailable", 503},
    {RefusalReason::PeerUnavailable, "peer_unavailable", 503},
    {RefusalReason::BodyTooLarge, "body_too_large", 413},
    {RefusalReason::Malformed, "malformed", 400},
    {RefusalReason::CallerGone, "caller_gone", 499},
    {RefusalReason::PromptQuarantined, "prompt_quarantined", 503},
    {RefusalReason::StreamNotResumable, "stream_not_resumable", 503},
}};

constexpr std::array<RefusalReason, RefusalRows.size()> makeRefusalReasons()
{
    std::array<RefusalReason, RefusalRows.size()> reasons{};
    for (std::size_t i = 0; i < RefusalRows.size(); ++i) {
        reasons[i] = RefusalRows[i].reason;
    }
    return reasons;
}

constexpr auto RefusalReasons = makeRefusalReasons();

constexpr std::array<RetryReason, 6> RetryReasons{
    RetryReason::ConnectFailed, RetryReason::EndpointRefusedBeforeRun,
    RetryReason::EndpointCold,  RetryReason::PeerUnavailable,
    RetryReason::StoreConflict, RetryReason::StoreAnswerLost};

const RefusalRow &refusalRow(RefusalReason reason)
{
    const auto index = static_cast<std::size_t>(reason);
    assert(index < RefusalRows.size() && RefusalRows[index].reason == reason
           && "RefusalRows must follow the order of the enumerators");
    return RefusalRows[index];
}

} // namespace

gsl::span<const RefusalReason> allRefusalReasons()
{
    return RefusalReasons;
}

std::string_view refusalCode(RefusalReason reason)
{
    return refusalRow(reason).code;
}

std::optional<RefusalReason> refusalFromCode(std::string_view code)
{
    for (const RefusalRow &row : RefusalRows) {
        if (row.code == code) {
            return row.reason;
        }
    }
    return std::nullopt;
}

int refusalHttpStatus(RefusalReason reason)
{
    return refusalRow(reason).httpStatus;
}

std::string_view ranStateName(RanState state)
{
    return state == RanState::No ? "no" : "unknown";
}

gsl::span<const RetryReason> allRetryReasons()
{
    return RetryReasons;
}

std::string_view retryCode(RetryReason reason)
{
    switch (reason) {
    case RetryReason::ConnectFailed:
        return "connect_failed";
    case RetryReason::EndpointRefusedBeforeRun:
        return "endpoint_refused_before_run";
    case RetryReason::EndpointCold:
        return "endpoint_cold";
    case RetryReason::PeerUnavailable:
        return "peer_unavailable";
    case RetryReason::StoreConflict:
        return "store_conflict";
    case RetryReason::StoreAnswerLost:
        return "store_answer_lost";
    }
    assert(false && "unknown retry reason");
    return "unknown";
}

} // namespace marigoldspool
