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
    assert(outcome != EndpointOutcome::Answered && "a whole answer is final");
    const bool ran = earlierMayHaveRun || mayHaveRun(outcome);
    // A second answer behind the beginning of a first one would be a mixture of both.
    const bool safe = !request.answerStarted && (request.idempotent || !ran);
    if (safe && request.attempts < MaxAttempts) {
        return Retry{retryReasonFor(outcome)};
    }
    return GiveUp{refusalReasonFor(outcome, request.answerStarted),
                  ran ? RanState::Unknown : RanState::No};
}

} // namespace marigoldspool
