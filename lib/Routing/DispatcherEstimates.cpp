#include "marigoldspool/Routing/Dispatcher.h"

namespace marigoldspool {

int Dispatcher::usableSlots(const TargetState &state) const
{
    int slots = 0;
    for (const EndpointId &id : state.replicas) {
        const auto it = m_endpoints.find(id);
        if (it != m_endpoints.end() && isUsable(id)) {
            slots += it->second.slowStart().slots();
        }
    }
    return slots;
}

std::optional<Duration> Dispatcher::predictWait(const Request &request) const
{
    const TargetState *state = findTarget(request.target);
    if (state == nullptr || !hasUsableEndpoint(*state)) {
        if (!request.target.isModel()) {
            return std::nullopt;
        }
        return m_options.assumedColdStart;
    }
    const double ahead = state->queue.costAhead(request.workspace, request.share, request.cost);
    return state->waitEstimator.estimateWait(ahead, usableSlots(*state)).value_or(Duration::zero());
}

Duration Dispatcher::predictQueueWait(const TargetState &state) const
{
    double queued = 0;
    state.queue.forEach([&](const Request &request) {
        queued += request.cost;
    });
    return state.waitEstimator.estimateWait(queued, usableSlots(state)).value_or(Duration::zero());
}

Duration Dispatcher::expectedRunTime(const TargetState &state, const Request &request) const
{
    // The deadline of a stream applies to its first token, not to the whole run.
    if (request.stream) {
        return Duration::zero();
    }
    return state.waitEstimator.runTimeBound(request.cost).value_or(Duration::zero());
}

} // namespace marigoldspool
