// The part of EndpointDirectory that follows the announced ends of endpoints.
#include "marigoldspool/Serving/EndpointDirectory.h"

#include <algorithm>

namespace marigoldspool {

namespace {

// A process that is still listed this long after its end has been given another one. An older copy
// of the store lists ended processes for less.
constexpr Duration EndRetention = std::chrono::seconds(5);
// Entries take up to a second from the endpoint to this instance, so the process may end sooner
// than its entry seemed to say.
constexpr Duration EndTolerance = std::chrono::seconds(1);

} // namespace

// An entry says how much time was left when it was written. Each entry that is read late, or is an
// older one that was written again, gives a time after the actual end, so the earliest one counts.
void EndpointDirectory::updateEnd(TrackedEndpoint &state)
{
    if (!state.listed.leaving || !state.listed.remainingLifetime) {
        return;
    }
    const SteadyTime now = m_clock.now();
    const SteadyTime announced = now + *state.listed.remainingLifetime;
    if (!state.end || now > state.end->at + EndRetention) {
        state.end = EndpointEnd{announced, now};
    }
    state.end->at = std::min(state.end->at, announced);
}

bool EndpointDirectory::isLeaving(const EndpointId &id) const
{
    const TrackedEndpoint *state = find(id);
    return state != nullptr && (state->hasListedLeaving || m_statements.isLeaving(id));
}

std::optional<EndpointEnd> EndpointDirectory::endOf(const EndpointIncarnation &incarnation) const
{
    const TrackedEndpoint *state = find(incarnation.endpoint);
    if (state == nullptr || !state->listed.leaving
        || state->listed.startedAtMs != incarnation.startedAtMs) {
        return std::nullopt;
    }
    return state->end;
}

bool EndpointDirectory::isAtEnd(const EndpointId &id) const
{
    const TrackedEndpoint *state = find(id);
    return state != nullptr && state->listed.leaving && state->end
        && m_clock.now() >= state->end->at - EndTolerance;
}

} // namespace marigoldspool
