// The part of EndpointDirectory that selects endpoints by their known load.
#include "marigoldspool/Serving/EndpointDirectory.h"
#include "marigoldspool/Serving/EngineSelection.h"

#include <algorithm>

namespace marigoldspool {

namespace {

// From this many instances for each slot of an engine, an instance has at most a quarter of a
// request of its own at an engine that is full.
constexpr std::size_t ContendedInstancesPerSlot = 4;

} // namespace

bool EndpointDirectory::isContended(const EndpointPool &pool) const
{
    return pool.engine
        && m_memberCount
        >= ContendedInstancesPerSlot * static_cast<std::size_t>(std::max(1, pool.engine->slots));
}

EndpointLoads EndpointDirectory::ownLoads() const
{
    EndpointLoads loads;
    for (const auto &[id, state] : m_endpoints) {
        const EndpointPool *pool = poolOf(state);
        if (state.ownLoads.empty() || pool == nullptr || !isContended(*pool)) {
            continue;
        }
        EndpointLoad load{id, state.listed.startedAtMs, {}};
        for (const auto &[model, it] : state.ownLoads) {
            load.models.push_back(it);
        }
        loads.endpoints.push_back(std::move(load));
    }
    return loads;
}

void EndpointDirectory::selectCandidate(gsl::span<const TrackedEndpoint *const> candidates,
                                        const EndpointQuery &query, SteadyTime now,
                                        EndpointChoice &choice) const
{
    choice.kind = ChoiceKind::Send;
    if (m_loads.isFresh() && isContended(*query.pool)) {
        std::vector<EngineCandidate> engines;
        const Duration meanRun = m_responseTimes.expectedRun(query.pool->name);
        for (const TrackedEndpoint *it : candidates) {
            const EndpointIncarnation incarnation{it->listed.id, it->listed.startedAtMs};
            engines.push_back({m_loads.requestsAt(incarnation, it->inFlight), it->listed.slots,
                               penalty(*it, query, now), meanRun});
        }
        const EngineSelection selection = selectEngine(engines, query.draw);
        choice.slots = selection.slots;
        choice.room = selection.room;
        if (selection.index || query.isUrgent) {
            choice.endpoint = candidates[selection.index.value_or(selection.firstFree)]->listed.id;
            return;
        }
        choice.kind = ChoiceKind::Busy;
        choice.retryIn = selection.freeIn;
        choice.isForecast = true;
        return;
    }
    double bestScore = 0;
    for (const TrackedEndpoint *it : candidates) {
        const double score = static_cast<double>(it->inFlight) / std::max(1, it->listed.slots)
            + penalty(*it, query, now);
        if (choice.endpoint.empty() || score < bestScore) {
            choice.endpoint = it->listed.id;
            bestScore = score;
        }
    }
}

} // namespace marigoldspool
