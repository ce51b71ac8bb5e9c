#include "marigoldspool/Routing/RetryPolicy.h"

#include <cassert>

namespace marigoldspool {

namespace {

RetryReason retryReasonFor(EndpointOutcome outcome)
{
    switch (outcome) {
    case EndpointOutcome::RefusedOverloaded:
        return RetryReason::EndpointRefusedBeforeRun;
    case EndpointOutcome::RefusedNotLoaded:
        return RetryReason::EndpointCold;
    default:
        return RetryReason::ConnectFailed;
    }
}

RefusalReason refusalReasonFor(EndpointOutcome outcome, bool answerStarted)
{
    if (answerStarted) {
        return RefusalReason::AnswerIncomplete;
    }
    return mayHaveRun(outcome) ? RefusalReason::OutcomeUnknown : RefusalReason::EndpointFailed;
}

} // namespace

bool mayHaveRun(EndpointOutcome outcome)
{
    return outcome == EndpointOutcome::Answered || outcome == EndpointOutcome::MaybeSent
        || outcome == EndpointOutcome::CutOff;
}

RetryDecision decideRetry(const RequestTraits &request, EndpointOutcome outcome,
                          bool earlierMayHaveRun)
{
    assert(outcome != EndpointOutcome::Answered && "a complete answer is not retried");
    const bool ran = earlierMayHaveRun || mayHaveRun(outcome);
    // Once part of an answer has been forwarded, a second answer would be appended to it and mix
    // both.
    const bool safe = !request.answerStarted && (request.idempotent || !ran);
    if (safe && request.attempts < MaxAttempts) {
        return Retry{retryReasonFor(outcome)};
    }
    return GiveUp{refusalReasonFor(outcome, request.answerStarted),
                  ran ? RanState::Unknown : RanState::No};
}

} // namespace marigoldspool
