#include "marigoldspool/Serving/WaitPolicy.h"

#include <algorithm>

namespace marigoldspool {

namespace {

using std::chrono::milliseconds;

// From the end of a load to the first byte: load report, network latency and prompt processing.
constexpr Duration LoadToFirstByte = milliseconds(350);
// A model that the owner has seen loaded for this long is on an engine that this instance cannot
// reach.
constexpr Duration MaxOverdue = milliseconds(1500);
// The owner answers a demand report at once; after this time the answer must have been lost.
constexpr Duration MaxForecastWait = milliseconds(900);
// Electing a new owner takes several seconds; requests wait at most this long for one.
constexpr Duration MaxOwnerWait = milliseconds(2500);
constexpr Duration MinRetryDelay = milliseconds(500);
constexpr Duration OwnerRetryDelay = milliseconds(2000);
constexpr Duration MinRunTime = milliseconds(30);

WaitDecision refuse(RefusalReason reason, Duration retryAfter)
{
    return {false, reason, retryAfter};
}

WaitDecision waitForModel(const WaitQuery &query)
{
    if (query.overdue >= MaxOverdue) {
        return refuse(RefusalReason::NoCapacity, OwnerRetryDelay);
    }
    if (query.forecast) {
        const Duration firstByteIn = *query.forecast + LoadToFirstByte;
        if (firstByteIn > query.callerTimeLeft) {
            return refuse(RefusalReason::DeadlineTooShort, std::max(firstByteIn, MinRetryDelay));
        }
        return {true};
    }
    if (query.ownerReachable && query.waited < MaxForecastWait) {
        return {true};
    }
    // An owner that sends no forecast has lost its lease, and another one takes over.
    const bool hasTime = query.callerTimeLeft > MaxOwnerWait;
    if (hasTime && query.waited < MaxOwnerWait) {
        return {true};
    }
    return query.ownerReachable ? refuse(RefusalReason::NoCapacity, MinRetryDelay)
                                : refuse(RefusalReason::PeerUnavailable, OwnerRetryDelay);
}

// Another endpoint that is loading the model may be available before those that have it loaded.
WaitDecision waitForCapacity(const WaitQuery &query)
{
    const bool isLoading = query.forecast && query.overdue == Duration::zero();
    const Duration availableIn =
        isLoading ? std::min(query.retryIn, *query.forecast + LoadToFirstByte) : query.retryIn;
    return availableIn < query.callerTimeLeft
        ? WaitDecision{true}
        : refuse(RefusalReason::QueueFull, std::max(availableIn, MinRetryDelay));
}

} // namespace

WaitDecision decideWait(const WaitQuery &query)
{
    if (query.callerTimeLeft <= MinRunTime) {
        return refuse(RefusalReason::DeadlineTooShort, MinRetryDelay);
    }
    switch (query.kind) {
    case ChoiceKind::NotLoaded:
        return waitForModel(query);
    case ChoiceKind::Busy:
        return waitForCapacity(query);
    case ChoiceKind::NoEndpoint:
    case ChoiceKind::Send:
        break;
    }
    return refuse(RefusalReason::NoCapacity, MinRetryDelay);
}

} // namespace marigoldspool
