// Loads that replace the copies of leaving engines.
#include "marigoldspool/Serving/PlacementPlanner.h"

#include <algorithm>

namespace marigoldspool {

namespace {

// A model that has not been requested for this long is loaded again at its next request.
constexpr Duration RequestedWindow = std::chrono::seconds(10);
// The callers of these models are going to wait in any case, so only what is unloaded is limited.
constexpr double UnlimitedLoadCost = 1e9;

} // namespace

// A leaving engine gets no new requests, so its models are missing from the announcement on. A
// model stays listed here after its engine has ended, since the weight store may not have had room
// for its load by then.
void PlacementPlanner::replaceLeavingCopies(const DemandAggregator &demand,
                                            std::vector<PlacementOrder> &orders)
{
    for (const auto &[id, engine] : m_engines) {
        if (!engine.isLeaving) {
            continue;
        }
        for (const auto &[model, adapters] : engine.models) {
            m_leavingModels.emplace(engine.pool, model);
        }
    }
    struct MissingModel {
        std::pair<PoolName, ModelName> key;
        FleetDemand modelDemand;
    };
    std::vector<MissingModel> missing;
    const SteadyTime now = m_clock.now();
    for (auto it = m_leavingModels.begin(); it != m_leavingModels.end();) {
        const auto &[pool, model] = *it;
        const FleetDemand modelDemand = demand.demandFor({pool, model, {}});
        const bool isRequested = modelDemand.lastArrival != SteadyTime()
            && now - modelDemand.lastArrival < RequestedWindow;
        if (!isRequested || copyCount(pool, model) > 0) {
            it = m_leavingModels.erase(it);
            continue;
        }
        if (!isLoadPending(pool, model)) {
            missing.push_back({*it, modelDemand});
        }
        ++it;
    }
    std::stable_sort(missing.begin(), missing.end(), [](const auto &a, const auto &b) {
        return a.modelDemand.requestsPerSecond > b.modelDemand.requestsPerSecond;
    });
    for (const auto &[key, modelDemand] : missing) {
        const auto &[pool, model] = key;
        orderLoad(pool, model, demand, {UnlimitedLoadCost, lossCost(pool, model, modelDemand)},
                  "replaces_leaving", orders);
    }
}

} // namespace marigoldspool
