#include "marigoldspool/Serving/WaitPolicy.h"

#include <algorithm>

namespace marigoldspool {

namespace {

using std::chrono::milliseconds;

// From the end of a load to the first byte: load report, network latency and prompt processing.
constexpr Duration StartTime = milliseconds(350);
// The owner answers a demand report at once; after this time the answer must have been lost.
constexpr Duration ForecastWait = milliseconds(900);
// Electing a new owner takes several seconds; requests wait at most this long for one.
constexpr Duration OwnerWait = milliseconds(2500);
constexpr Duration ShortRetry = milliseconds(500);
constexpr Duration OwnerRetry = milliseconds(2000);
constexpr Duration LeastRun = milliseconds(30);

WaitDecision refuse(RefusalReason reason, Duration retryAfter)
{
    return {false, reason, retryAfter};
}

WaitDecision waitForModel(const WaitQuery &query)
{
    if (query.forecast) {
        const Duration start = *query.forecast + StartTime;
        if (start > query.callerTimeLeft) {
            return refuse(RefusalReason::DeadlineTooShort, std::max(start, ShortRetry));
        }
        return {true};
    }
    if (query.ownerReachable) {
        return query.waited < ForecastWait ? WaitDecision{true}
                                           : refuse(RefusalReason::NoCapacity, ShortRetry);
    }
    const bool hasTime = query.callerTimeLeft > OwnerWait;
    if (hasTime && query.waited < OwnerWait) {
        return {true};
    }
    return refuse(RefusalReason::PeerUnavailable, OwnerRetry);
}

} // namespace

WaitDecision decideWait(const WaitQuery &query)
{
    if (query.callerTimeLeft <= LeastRun) {
        return refuse(RefusalReason::DeadlineTooShort, ShortRetry);
    }
    switch (query.kind) {
    case ChoiceKind::NotHeld:
        return waitForModel(query);
    case ChoiceKind::Busy:
        return query.retryIn < query.callerTimeLeft
            ? WaitDecision{true}
            : refuse(RefusalReason::QueueFull, std::max(query.retryIn, ShortRetry));
    case ChoiceKind::NoEndpoint:
    case ChoiceKind::Send:
        break;
    }
    return refuse(RefusalReason::NoCapacity, ShortRetry);
}

} // namespace marigoldspool
