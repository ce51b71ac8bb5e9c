// Estimates when requested models and adapters will be loaded.
#include "Serving/PlacementCosts.h"
#include "marigoldspool/Serving/PlacementPlanner.h"

#include <algorithm>

namespace marigoldspool {

namespace {

// From the order to the first request for an adapter, including the wait for pending orders.
constexpr Duration AdapterTime = std::chrono::milliseconds(500);

Duration unloadTime()
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(UnloadCost));
}

} // namespace

// An engine that has the weights in memory or on disk first finishes its current load and frees
// memory.
std::optional<Duration> PlacementPlanner::forecastFromDisk(const PoolName &pool,
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
    std::set<std::pair<PoolName, ModelName>> coming;
    for (const auto &[id, engine] : m_engines) {
        if (engine.loading && engine.isUsable) {
            coming.emplace(engine.pool, *engine.loading);
            const Duration left = std::max(engine.loadEndsAt - now, Duration::zero());
            result.push_back({*engine.loading, {}, toMilliseconds(left)});
        } else if (engine.plannedLoad && engine.isUsable) {
            coming.emplace(engine.pool, *engine.plannedLoad);
            const Duration load =
                loadTime(engine.pool, *engine.plannedLoad, sourceOf(engine, *engine.plannedLoad));
            result.push_back({*engine.plannedLoad, {}, toMilliseconds(load + unloadTime())});
        }
    }
    std::vector<std::pair<const DemandKey *, const FleetDemand *>> fromStore;
    for (const auto &[key, asked] : demand.totalDemand()) {
        if (asked.waiting == 0) {
            continue;
        }
        if (copies(key.pool, key.model) > 0) {
            // A model just loaded is included, since instances may receive this forecast before the
            // update that lists the model.
            const Duration left = key.adapter.empty() ? Duration::zero() : AdapterTime;
            result.push_back({key.model, key.adapter, toMilliseconds(left)});
            continue;
        }
        if (!coming.emplace(key.pool, key.model).second) {
            continue;
        }
        const HostedModel *model = hosted(key.pool, key.model);
        if (model == nullptr) {
            continue;
        }
        if (const auto fromDisk = forecastFromDisk(key.pool, key.model)) {
            result.push_back({key.model, {}, toMilliseconds(*fromDisk)});
            continue;
        }
        fromStore.emplace_back(&key, &asked);
    }
    forecastFromStore(fromStore, result);
    return result;
}

// Simulates the concurrent loads of the weight store: each load that ends is followed by the next
// model in the order of loadWaitingModels().
void PlacementPlanner::forecastFromStore(
    std::vector<std::pair<const DemandKey *, const FleetDemand *>> &waiting,
    std::vector<LoadForecast> &result) const
{
    const SteadyTime now = m_clock.now();
    std::vector<Duration> places(static_cast<std::size_t>(std::max(1, m_storeLoadsAtOnce)));
    const auto next = [&places]() -> Duration & {
        return *std::min_element(places.begin(), places.end());
    };
    for (const auto &[id, engine] : m_engines) {
        if (engine.loading && engine.source == LoadSource::Store) {
            Duration &place = next();
            place = std::max(place, std::max(engine.loadEndsAt - now, Duration::zero()));
        } else if (engine.plannedLoad
                   && sourceOf(engine, *engine.plannedLoad) == LoadSource::Store) {
            next() += loadTime(engine.pool, *engine.plannedLoad, LoadSource::Store);
        }
    }
    std::sort(waiting.begin(), waiting.end(), [](const auto &a, const auto &b) {
        return a.second->requestsPerSecond > b.second->requestsPerSecond;
    });
    for (const auto &[key, asked] : waiting) {
        Duration &place = next();
        place += hosted(key->pool, key->model)->storeLoadTime;
        result.push_back({key->model, {}, toMilliseconds(place)});
    }
}

} // namespace marigoldspool
