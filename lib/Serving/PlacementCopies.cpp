// Loads without waiting requests: additional copies of busy models, and prefetched models.
#include "Serving/PlacementCosts.h"
#include "marigoldspool/Serving/PlacementPlanner.h"

#include <algorithm>
#include <cmath>

namespace marigoldspool {

namespace {

// Busy models get a second copy, so that one remains after the loss of an engine or zone.
constexpr int MinBusyCopies = 2;
// Maximum costs of an additional copy and of a prefetch.
constexpr double MaxCopyCost = 25;
// A copy that is only there for the loss of another one replaces nothing but models that have not
// been used for a while. Otherwise it is unloaded for the next waiting request, and both moves keep
// an engine from other orders.
constexpr double MaxSpareCopyVictimCost = 1;
// Seconds that each request gains from a copy that takes over part of an engine's load.
constexpr double CopyVictimCostPerRequestRate = 0.5;
// Above this fraction of the engines of its copies, a model's requests queue at them. Another
// copy then serves more requests than loading a rarely used model with waiting requests.
constexpr double UrgentUtilization = 0.7;
constexpr double MaxPrefetchCost = 7;
// Prefetches leave half of the weight store's capacity to models with waiting requests.
constexpr int PrefetchStoreDivisor = 2;
// Above the requests per second and copy of any model.
constexpr double UnservedUrgency = 1e6;
// Above this fraction of an engine's rate limit, its requests queue.
constexpr double MaxRateLimitUse = 0.7;

} // namespace

// Expected fraction of the engine in use, by slots or by prompts, assuming that the requests for
// each model are spread evenly over its copies.
double PlacementPlanner::utilization(const EngineState &engine) const
{
    const auto it = m_utilization.find(engine.id);
    return it == m_utilization.end() ? 0 : it->second;
}

bool PlacementPlanner::knowsRequests(const EngineState &engine) const
{
    return engine.requestsKnownUntil && m_clock.now() <= *engine.requestsKnownUntil;
}

// One mean run time a pool says little of models whose requests run for different times, and
// requests that queue at an engine run longer, so the requests that are there count as well.
double PlacementPlanner::filledEngines(const PoolName &pool, const ModelName &model) const
{
    const EngineProfile *profile = engineProfile(pool);
    int requests = 0;
    for (const auto &[id, engine] : m_engines) {
        const auto it = engine.requests.find(model);
        if (engine.pool == pool && it != engine.requests.end() && knowsRequests(engine)) {
            requests += it->second;
        }
    }
    return static_cast<double>(requests) / std::max(1, profile == nullptr ? 1 : profile->slots);
}

void PlacementPlanner::estimateUtilization(const DemandAggregator &demand)
{
    m_utilization.clear();
    for (const auto &[key, modelDemand] : demand.totalDemand()) {
        const EngineProfile *profile = engineProfile(key.pool);
        const int existingCopies = profile == nullptr || !key.adapter.empty()
                || modelDemand.requestsPerSecond < BusyRequestsPerSecond
            ? 0
            : copyCount(key.pool, key.model) + pendingCopyCount(key.pool, key.model);
        if (existingCopies == 0) {
            continue;
        }
        const double addedUtilization =
            occupiedEngines(key.pool, modelDemand.expectedRequestsPerSecond) / existingCopies;
        for (const auto &[id, engine] : m_engines) {
            if (engine.pool == key.pool
                && (canServe(engine, key.model) || engine.loading == key.model
                    || engine.plannedLoad == key.model)) {
                m_utilization[id] += addedUtilization;
            }
        }
    }
    for (const auto &[id, engine] : m_engines) {
        const EngineProfile *profile = engineProfile(engine.pool);
        if (profile == nullptr || !knowsRequests(engine)) {
            continue;
        }
        int requests = 0;
        for (const auto &[model, count] : engine.requests) {
            requests += count;
        }
        m_utilization[id] = std::max(m_utilization[id],
                                     static_cast<double>(requests) / std::max(1, profile->slots));
    }
    // An engine that limits its rate is in need and gets no further models.
    for (const auto &[id, engine] : m_engines) {
        if (engine.rateLimit) {
            m_utilization[id] = std::max(m_utilization[id], 1.0);
        }
    }
}

// An engine that limits its rate is short of it for a model while requests for the model wait, or
// while the demand for all of its models nears the limit. The demand for each model is assumed to
// be spread evenly over its copies.
void PlacementPlanner::findShortCopies(const DemandAggregator &demand)
{
    m_shortCopies.clear();
    for (const auto &[id, engine] : m_engines) {
        if (!engine.rateLimit || !engine.isUsable) {
            continue;
        }
        double requestsPerSecond = 0;
        for (const auto &[model, adapters] : engine.models) {
            const auto copies = loadedCount(engine.pool, model);
            const FleetDemand modelDemand = demand.demandFor({engine.pool, model, {}});
            requestsPerSecond += modelDemand.expectedRequestsPerSecond / std::max(copies, 1);
            if (modelDemand.waiting > 0) {
                m_shortCopies.emplace(id, model);
            }
        }
        if (requestsPerSecond > MaxRateLimitUse * *engine.rateLimit) {
            for (const auto &[model, adapters] : engine.models) {
                m_shortCopies.emplace(id, model);
            }
        }
    }
}

// Whether every engine that serves the model is overloaded by the requests for all of its models.
bool PlacementPlanner::isOverloaded(const PoolName &pool, const ModelName &model) const
{
    return std::all_of(m_engines.begin(), m_engines.end(), [&](const auto &it) {
        const EngineState &engine = it.second;
        return !engine.isUsable || engine.pool != pool || !canServe(engine, model)
            || utilization(engine) > UrgentUtilization;
    });
}

// The weight store and the engines' memory are short in a contended pool, so models without a copy
// come first, then those with the most requests for each copy.
std::vector<std::pair<const DemandKey *, const FleetDemand *>>
PlacementPlanner::copyOrder(const DemandAggregator &demand) const
{
    std::vector<std::pair<const DemandKey *, const FleetDemand *>> order;
    std::map<const DemandKey *, double> urgency;
    for (const auto &[key, modelDemand] : demand.totalDemand()) {
        order.emplace_back(&key, &modelDemand);
        if (m_contendedPools.count(key.pool) > 0) {
            const int copies = copyCount(key.pool, key.model);
            const double rate = modelDemand.expectedRequestsPerSecond;
            urgency[&key] = copies == 0 ? UnservedUrgency + rate : rate / copies;
        }
    }
    std::stable_sort(order.begin(), order.end(), [&urgency](const auto &a, const auto &b) {
        return urgency[a.first] > urgency[b.first];
    });
    return order;
}

void PlacementPlanner::addCopies(const DemandAggregator &demand, bool onlyUrgent,
                                 std::vector<PlacementOrder> &orders)
{
    for (const auto &[keyInOrder, demandInOrder] : copyOrder(demand)) {
        const DemandKey &key = *keyInOrder;
        const FleetDemand &modelDemand = *demandInOrder;
        const EngineProfile *profile = engineProfile(key.pool);
        if (profile == nullptr || !key.adapter.empty()
            || modelDemand.requestsPerSecond < BusyRequestsPerSecond) {
            continue;
        }
        const double occupied =
            std::max(occupiedEngines(key.pool, modelDemand.expectedRequestsPerSecond),
                     filledEngines(key.pool, key.model));
        int neededCopies = static_cast<int>(
            std::ceil(occupied / (onlyUrgent ? UrgentUtilization : TargetUtilization)));
        // Pending copies count, so a model that becomes busy gets all its copies at the same time.
        const int servingCopies = copyCount(key.pool, key.model);
        int existingCopies = servingCopies + pendingCopyCount(key.pool, key.model);
        if (servingCopies > 0 && existingCopies == servingCopies
            && isOverloaded(key.pool, key.model)) {
            neededCopies = std::max(neededCopies, existingCopies + 1);
        }
        const int targetCopies = onlyUrgent ? neededCopies : std::max(MinBusyCopies, neededCopies);
        while (existingCopies < targetCopies) {
            const bool isSpare = existingCopies >= neededCopies;
            const double maxVictimCost = !isSpare
                ? std::max(MaxSpareCopyVictimCost,
                           CopyVictimCostPerRequestRate * modelDemand.expectedRequestsPerSecond)
                : MaxSpareCopyVictimCost;
            const bool isPlaced = orderLoad(key.pool, key.model, demand,
                                            {MaxCopyCost, maxVictimCost, isSpare}, "copy", orders);
            if (!isPlaced || m_deferredLoads.count({key.pool, key.model}) > 0) {
                break;
            }
            ++existingCopies;
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
            if (storeLoadCount() * PrefetchStoreDivisor >= m_storeConcurrency) {
                return;
            }
            if (!isLoadedOrCached(poolName, name) && !isLoadPending(poolName, name)) {
                orderLoad(poolName, name, demand, {MaxPrefetchCost, MaxPrefetchCost}, "ahead",
                          orders);
            }
        }
    }
}

} // namespace marigoldspool
