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

Refusal stopRefusal(RanState ran, bool answerStarted)
{
    // Other instances can take the request at once.
    constexpr Duration RetryAfter = std::chrono::milliseconds(100);
    if (answerStarted) {
        return Refusal{RefusalReason::AnswerIncomplete, RanState::Unknown,
                       "the instance stopped before the answer was complete",
                       "send again only if the request may run twice", RetryAfter};
    }
    if (ran == RanState::Unknown) {
        return Refusal{RefusalReason::OutcomeUnknown, ran,
                       "the instance stopped before the request was answered",
                       "find out whether it took effect before sending it again", RetryAfter};
    }
    return Refusal{RefusalReason::Stopping, ran,
                   "the instance stops before the request can be served",
                   "send it to another instance", RetryAfter};
}

} // namespace marigoldspool
