// When endpoints of contended pools that are full are expected to take a request.
#include "marigoldspool/Serving/EndpointDirectory.h"
#include "marigoldspool/Serving/EngineSelection.h"

#include <algorithm>

namespace marigoldspool {

// An engine may have room although this instance has as many requests there as it may have. One of
// these has to end then.
void EndpointDirectory::forecastSlot(gsl::span<const TrackedEndpoint *const> full,
                                     const EndpointQuery &query, EndpointChoice &choice) const
{
    if (!m_loads.isFresh() || !isContended(*query.pool)) {
        return;
    }
    std::vector<EngineCandidate> engines;
    const Duration meanRun = m_responseTimes.expectedRun(query.pool->name);
    int ownRequests = 0;
    for (const TrackedEndpoint *it : full) {
        const EndpointIncarnation incarnation{it->listed.id, it->listed.startedAtMs};
        engines.push_back(
            {m_loads.requestsAt(incarnation, it->inFlight), it->listed.slots, 0, meanRun});
    }
    for (const TrackedEndpoint *it : full) {
        ownRequests += it->inFlight;
    }
    const EngineSelection selection = selectEngine(engines, query.draw);
    choice.isForecast = true;
    choice.slots = selection.slots;
    choice.retryIn = std::max(selection.freeIn, meanRun / std::max(1, ownRequests));
}

} // namespace marigoldspool
