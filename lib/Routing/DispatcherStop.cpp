// The part of Dispatcher that ends requests at a planned stop.
#include "marigoldspool/Routing/Dispatcher.h"
#include "marigoldspool/Routing/RetryPolicy.h"

namespace marigoldspool {

bool Dispatcher::outlastsStop(Duration remaining) const
{
    return m_clock.now() + remaining + m_options.refusalMargin > m_stopEnd;
}

DispatchActions Dispatcher::stopBy(SteadyTime end)
{
    m_stopEnd = end;
    DispatchActions actions;
    for (auto &[key, state] : m_targets) {
        for (const RequestId &id : queuedPastStop(state)) {
            const Request request = *state.queue.remove(id);
            refuse(request, stopRefusal(ranStateOf(request), false), actions);
        }
    }
    return actions;
}

std::vector<RequestId> Dispatcher::queuedPastStop(const TargetState &state) const
{
    std::vector<RequestId> late;
    double costAhead = 0;
    state.queue.forEach([&](const Request &request) {
        const Duration wait = hasUsableEndpoint(state)
            ? state.waitEstimator.estimateWait(costAhead, usableSlots(state))
                  .value_or(Duration::zero())
            : m_options.assumedColdStart;
        if (outlastsStop(wait + expectedRunTime(state, request))) {
            late.push_back(request.id);
        } else {
            costAhead += request.cost;
        }
    });
    return late;
}

DispatchActions Dispatcher::refuseQueued()
{
    DispatchActions actions;
    for (auto &[key, state] : m_targets) {
        for (const Request &request : state.queue.takeAll()) {
            refuse(request, stopRefusal(ranStateOf(request), false), actions);
        }
    }
    return actions;
}

DispatchActions Dispatcher::abandon(const RequestId &id)
{
    const auto it = m_inFlight.find(id);
    if (it == m_inFlight.end()) {
        return {};
    }
    const InFlightRequest inFlight = it->second;
    DispatchActions actions = cancel(id);
    refuse(inFlight.request, stopRefusal(RanState::Unknown, inFlight.answerStarted), actions);
    return actions;
}

} // namespace marigoldspool
