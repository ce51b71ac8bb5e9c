// The part of EndpointDirectory that concerns endpoints that have stopped answering.
#include "marigoldspool/Serving/EndpointDirectory.h"

#include <algorithm>

namespace marigoldspool {

namespace {

// Up to this size, each instance has enough requests at each endpoint to notice a silence itself.
constexpr std::size_t MaxSmallFleet = 12;

} // namespace

bool EndpointDirectory::sharesSuspicions(const EndpointId &id) const
{
    const TrackedEndpoint *state = find(id);
    const EndpointPool *pool = state == nullptr ? nullptr : poolOf(*state);
    return pool != nullptr && m_memberCount > MaxSmallFleet && isContended(*pool);
}

SuspicionLevel EndpointDirectory::suspicionOf(const TrackedEndpoint &state) const
{
    return m_suspicions.level({state.listed.id, state.listed.startedAtMs});
}

Duration EndpointDirectory::expectedFirstByte(const EndpointId &id, int promptTokens) const
{
    const TrackedEndpoint *state = find(id);
    if (state == nullptr) {
        return Duration::zero();
    }
    const PoolName &pool = state->listed.pool;
    const int slots = std::max(1, state->listed.slots);
    const int requests = m_loads.requestsAt({id, state->listed.startedAtMs}, state->inFlight);
    const Duration wait =
        m_responseTimes.expectedRun(pool) * std::max(0, requests - slots + 1) / slots;
    return m_responseTimes.expectedFirstByte(pool, promptTokens) + wait;
}

} // namespace marigoldspool
