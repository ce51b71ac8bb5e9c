// Loads without waiting requests: additional copies of busy models, and prefetched models.
#include "Serving/PlacementCosts.h"
#include "marigoldspool/Serving/PlacementPlanner.h"

#include <algorithm>
#include <cmath>

namespace marigoldspool {

namespace {

// Busy models get a second copy, so that one remains after the loss of an engine or zone.
constexpr int BusyCopies = 2;
// Target fraction of an engine's slots for one model, and the mean run time of a request.
constexpr double ComfortableLoad = 0.35;
constexpr double RunSeconds = 2.2;
// Maximum costs of an additional copy and of a prefetch.
constexpr double CopyMostCost = 25;
// Above this fraction of the slots of its copies, a model's requests queue at the engines. Another
// copy then serves more requests than loading a rarely used model with waiting requests.
constexpr double UrgentLoad = 0.7;
constexpr double PrefetchMostCost = 7;
// Prefetches leave half of the weight store's capacity to models with waiting requests.
constexpr int PrefetchShare = 2;

} // namespace

// Expected fraction of the engine's slots in use, assuming that the requests for each model are
// spread evenly over its copies.
double PlacementPlanner::loadOf(const EngineState &engine) const
{
    const auto it = m_loads.find(engine.id);
    return it == m_loads.end() ? 0 : it->second;
}

void PlacementPlanner::estimateLoads(const DemandAggregator &demand)
{
    m_loads.clear();
    for (const auto &[key, asked] : demand.totalDemand()) {
        const EngineProfile *limits = profile(key.pool);
        const int there =
            limits == nullptr || !key.adapter.empty() || asked.requestsPerSecond < BusyRate
            ? 0
            : copies(key.pool, key.model) + coming(key.pool, key.model);
        if (there == 0) {
            continue;
        }
        const double part = asked.requestsPerSecond * RunSeconds / limits->slots / there;
        for (const auto &[id, engine] : m_engines) {
            if (engine.pool == key.pool
                && (canServe(engine, key.model) || engine.loading == key.model
                    || engine.plannedLoad == key.model)) {
                m_loads[id] += part;
            }
        }
    }
}

// Whether every engine that serves the model is overloaded by the requests for all of its models.
bool PlacementPlanner::isCrowded(const PoolName &pool, const ModelName &model) const
{
    return std::all_of(m_engines.begin(), m_engines.end(), [&](const auto &it) {
        const EngineState &engine = it.second;
        return !engine.isUsable || engine.pool != pool || !canServe(engine, model)
            || loadOf(engine) > UrgentLoad;
    });
}

void PlacementPlanner::addCopies(const DemandAggregator &demand, bool onlyUrgent,
                                 std::vector<PlacementOrder> &orders)
{
    for (const auto &[key, asked] : demand.totalDemand()) {
        const EngineProfile *limits = profile(key.pool);
        if (limits == nullptr || !key.adapter.empty() || asked.requestsPerSecond < BusyRate) {
            continue;
        }
        const double running = asked.requestsPerSecond * RunSeconds / limits->slots;
        int wanted = onlyUrgent
            ? static_cast<int>(std::ceil(running / UrgentLoad))
            : std::max(BusyCopies, static_cast<int>(std::ceil(running / ComfortableLoad)));
        // Pending copies count, so a model that becomes busy gets all its copies at the same time.
        const int offered = copies(key.pool, key.model);
        int there = offered + coming(key.pool, key.model);
        if (offered > 0 && there == offered && isCrowded(key.pool, key.model)) {
            wanted = std::max(wanted, there + 1);
        }
        while (there < wanted && place(key.pool, key.model, demand, CopyMostCost, "copy", orders)) {
            ++there;
        }
    }
}

// A model that no engine has in memory or on disk needs a slow load from the weight store at its
// first request, so such models are prefetched while the store is idle.
void PlacementPlanner::prefetch(const DemandAggregator &demand, std::vector<PlacementOrder> &orders)
{
    if (m_configuration == nullptr) {
        return;
    }
    for (const auto &[poolName, pool] : m_configuration->pools) {
        if (!pool.engine) {
            continue;
        }
        for (const auto &[name, model] : pool.engine->models) {
            if (storeLoadCount() * PrefetchShare >= m_storeLoadsAtOnce) {
                return;
            }
            if (!isAtHand(poolName, name) && !isComing(poolName, name)) {
                place(poolName, name, demand, PrefetchMostCost, "ahead", orders);
            }
        }
    }
}

} // namespace marigoldspool
