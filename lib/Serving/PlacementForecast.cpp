// Estimates when requested models and adapters will be loaded.
#include "Serving/PlacementCosts.h"
#include "marigoldspool/Serving/PlacementPlanner.h"

#include <algorithm>

namespace marigoldspool {

namespace {

// From the order to the first request for an adapter, including the wait for pending orders.
constexpr Duration AdapterLoadTime = std::chrono::milliseconds(500);

Duration unloadTime()
{
    return fromSeconds(UnloadCostSeconds);
}

} // namespace

// An engine that has the weights in memory or on disk first finishes its current load and frees
// memory.
std::optional<Duration> PlacementPlanner::forecastFromCache(const PoolName &pool,
                                                            const ModelName &model) const
{
    std::optional<Duration> best;
    const SteadyTime now = m_clock.now();
    for (const auto &[id, engine] : m_engines) {
        const LoadSource source = sourceOf(engine, model);
        if (!engine.isUsable || engine.pool != pool || source == LoadSource::Store) {
            continue;
        }
        Duration time = loadTime(pool, model, source) + unloadTime();
        if (engine.loading) {
            time += std::max(engine.loadEndsAt - now, Duration::zero());
        } else if (engine.plannedLoad) {
            time += unloadTime()
                + loadTime(pool, *engine.plannedLoad, sourceOf(engine, *engine.plannedLoad));
        }
        best = best ? std::min(*best, time) : time;
    }
    return best;
}

std::vector<LoadForecast> PlacementPlanner::forecast(const DemandAggregator &demand) const
{
    std::vector<LoadForecast> result;
    const SteadyTime now = m_clock.now();
    std::set<std::pair<PoolName, ModelName>> covered;
    for (const auto &[id, engine] : m_engines) {
        if (engine.loading && engine.isUsable) {
            covered.emplace(engine.pool, *engine.loading);
            const Duration left = std::max(engine.loadEndsAt - now, Duration::zero());
            result.push_back({*engine.loading, {}, toMilliseconds(left)});
        } else if (engine.plannedLoad && engine.isUsable) {
            covered.emplace(engine.pool, *engine.plannedLoad);
            const Duration load =
                loadTime(engine.pool, *engine.plannedLoad, sourceOf(engine, *engine.plannedLoad));
            result.push_back({*engine.plannedLoad, {}, toMilliseconds(load + unloadTime())});
        }
    }
    std::vector<std::pair<const DemandKey *, const FleetDemand *>> fromStore;
    for (const auto &[key, modelDemand] : demand.totalDemand()) {
        if (modelDemand.waiting == 0) {
            continue;
        }
        if (copyCount(key.pool, key.model) > 0) {
            // A model just loaded is included, since instances may receive this forecast before the
            // update that lists the model.
            const Duration left = key.adapter.empty() ? Duration::zero() : AdapterLoadTime;
            result.push_back({key.model, key.adapter, toMilliseconds(left)});
            continue;
        }
        if (!covered.emplace(key.pool, key.model).second) {
            continue;
        }
        const HostedModel *model = hostedModel(key.pool, key.model);
        if (model == nullptr) {
            continue;
        }
        const auto deferred = m_deferredLoads.find({key.pool, key.model});
        if (deferred != m_deferredLoads.end()) {
            const Duration left = std::max(deferred->second - now, Duration::zero());
            result.push_back({key.model, {}, toMilliseconds(left)});
            continue;
        }
        if (const auto fromCache = forecastFromCache(key.pool, key.model)) {
            result.push_back({key.model, {}, toMilliseconds(*fromCache)});
            continue;
        }
        fromStore.emplace_back(&key, &modelDemand);
    }
    forecastFromStore(fromStore, result);
    return result;
}

// Simulates the concurrent loads of the weight store: each load that ends is followed by the next
// model in the order of loadRequestedModels().
void PlacementPlanner::forecastFromStore(
    std::vector<std::pair<const DemandKey *, const FleetDemand *>> &waiting,
    std::vector<LoadForecast> &result) const
{
    const SteadyTime now = m_clock.now();
    // As in canLoadFromStore(): with more loads than are begun, the forecasts would be too short,
    // and requests would wait for loads that come after their callers have left.
    const int concurrentLoads = m_contendedPools.empty()
        ? m_storeConcurrency
        : std::min(m_storeConcurrency, m_provenStoreConcurrency + 1);
    std::vector<Duration> slots(static_cast<std::size_t>(std::max(1, concurrentLoads)));
    const auto earliestSlot = [&slots]() -> Duration & {
        return *std::min_element(slots.begin(), slots.end());
    };
    for (const auto &[id, engine] : m_engines) {
        if (engine.loading && engine.source == LoadSource::Store) {
            Duration &slot = earliestSlot();
            slot = std::max(slot, std::max(engine.loadEndsAt - now, Duration::zero()));
        } else if (engine.plannedLoad
                   && sourceOf(engine, *engine.plannedLoad) == LoadSource::Store) {
            earliestSlot() += loadTime(engine.pool, *engine.plannedLoad, LoadSource::Store);
        }
    }
    const auto rank = [this](const auto &it) {
        const bool isContended = m_contended.count(it.first->pool) > 0;
        const double value = isContended
            ? loadValuePerSecond(*it.first, *it.second, LoadSource::Store)
            : it.second->requestsPerSecond;
        return std::make_pair(isContended, -value);
    };
    std::sort(waiting.begin(), waiting.end(), [&rank](const auto &a, const auto &b) {
        return rank(a) < rank(b);
    });
    for (const auto &[key, modelDemand] : waiting) {
        Duration &slot = earliestSlot();
        slot += hostedModel(key->pool, key->model)->storeLoadTime;
        result.push_back({key->model, {}, toMilliseconds(slot)});
    }
}

} // namespace marigoldspool
