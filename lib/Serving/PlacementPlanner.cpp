#include "marigoldspool/Serving/PlacementPlanner.h"
#include "Serving/PlacementCosts.h"

#include <algorithm>
#include <cmath>

namespace marigoldspool {

namespace {

using std::chrono::seconds;

// Delay at an engine whose slots are all in use by its other models.
constexpr double FullEngineCost = 4;
constexpr double UnlimitedCost = 1e9;
constexpr double ConcurrencyWeight = 0.3;
constexpr int MaxStoreConcurrency = 8;

} // namespace

PlacementPlanner::PlacementPlanner(const Clock &clock, int storeConcurrency)
    : m_clock(clock)
    , m_storeConcurrency(storeConcurrency)
    , m_smoothedStoreConcurrency(storeConcurrency)
{ }

void PlacementPlanner::setConfiguration(ServingConfigurationPtr configuration)
{
    m_configuration = std::move(configuration);
    m_adapterReserveMb.clear();
    for (const auto &[name, pool] : m_configuration->pools) {
        double adapterMb = 0;
        const int slots = pool.engine ? pool.engine->adapterSlots : 0;
        if (slots > 0) {
            for (const auto &[modelName, model] : pool.engine->models) {
                adapterMb =
                    model.adapterCount > 0 ? std::max(adapterMb, model.adapterMb) : adapterMb;
            }
        }
        m_adapterReserveMb[name] = adapterMb * slots;
    }
}

const EngineProfile *PlacementPlanner::engineProfile(const PoolName &pool) const
{
    const EndpointPool *it = m_configuration == nullptr ? nullptr : m_configuration->pool(pool);
    return it != nullptr && it->engine ? &*it->engine : nullptr;
}

const HostedModel *PlacementPlanner::hostedModel(const PoolName &pool, const ModelName &model) const
{
    const EngineProfile *profile = engineProfile(pool);
    if (profile == nullptr) {
        return nullptr;
    }
    const auto it = profile->models.find(model);
    return it == profile->models.end() ? nullptr : &it->second;
}

LoadSource PlacementPlanner::sourceOf(const EngineState &engine, const ModelName &model)
{
    if (engine.inMemory.count(model) > 0) {
        return LoadSource::Memory;
    }
    return engine.onDisk.count(model) > 0 ? LoadSource::Disk : LoadSource::Store;
}

Duration PlacementPlanner::loadTime(const PoolName &pool, const ModelName &model,
                                    LoadSource source) const
{
    const HostedModel *it = hostedModel(pool, model);
    if (it == nullptr) {
        return seconds(10);
    }
    switch (source) {
    case LoadSource::Memory:
        return it->memoryLoadTime;
    case LoadSource::Disk:
        return it->diskLoadTime;
    case LoadSource::Store:
        break;
    }
    const double slowdown =
        std::max(1.0, static_cast<double>(storeLoadCount() + 1) / std::max(1, m_storeConcurrency));
    return std::chrono::duration_cast<Duration>(it->storeLoadTime * slowdown);
}

// The number of loads that the store serves at full speed is not configured, so it is estimated
// from the duration of loads.
void PlacementPlanner::onStoreLoadFinished(const PoolName &pool, const ModelName &model,
                                           Duration took, int concurrentLoads)
{
    const HostedModel *it = hostedModel(pool, model);
    if (it == nullptr || took <= Duration::zero() || concurrentLoads <= 0) {
        return;
    }
    // A load at full speed only shows that the store serves at least the loads that ran with it.
    const double measuredConcurrency =
        concurrentLoads * toSeconds(it->storeLoadTime) / toSeconds(took);
    const bool wasSlowed = took > it->storeLoadTime + it->storeLoadTime / 8;
    m_provenStoreConcurrency = wasSlowed ? std::min(m_provenStoreConcurrency, concurrentLoads - 1)
                                         : std::max(m_provenStoreConcurrency, concurrentLoads);
    m_provenStoreConcurrency = std::max(m_provenStoreConcurrency, 1);
    if (wasSlowed) {
        m_smoothedStoreConcurrency +=
            ConcurrencyWeight * (measuredConcurrency - m_smoothedStoreConcurrency);
    } else if (measuredConcurrency > m_smoothedStoreConcurrency) {
        m_smoothedStoreConcurrency +=
            ConcurrencyWeight * (measuredConcurrency + 1 - m_smoothedStoreConcurrency);
    }
    m_storeConcurrency = std::clamp(static_cast<int>(std::lround(m_smoothedStoreConcurrency)), 1,
                                    MaxStoreConcurrency);
}

// Planned loads count as well. Otherwise requests for many models at once would start more loads
// than the store can serve, and each would occupy its engine for a minute or longer.
int PlacementPlanner::storeLoadCount() const
{
    if (m_storeLoads) {
        return *m_storeLoads;
    }
    return static_cast<int>(
        std::count_if(m_engines.begin(), m_engines.end(), [](const auto &entry) {
            const EngineState &engine = entry.second;
            return (engine.loading && engine.source == LoadSource::Store)
                || (engine.plannedLoad
                    && sourceOf(engine, *engine.plannedLoad) == LoadSource::Store)
                || engine.hasPredecessorOrder;
        }));
}

// During a plan the counts are kept, since each engine's eviction costs depend on them.
int PlacementPlanner::copyCount(const PoolName &pool, const ModelName &model) const
{
    if (m_copyCounts) {
        const auto it = m_copyCounts->find({pool, model});
        return it == m_copyCounts->end() ? 0 : it->second;
    }
    return static_cast<int>(
        std::count_if(m_engines.begin(), m_engines.end(), [&](const auto &entry) {
            const EngineState &engine = entry.second;
            return engine.pool == pool && isServingCopy(engine, model);
        }));
}

int PlacementPlanner::loadedCount(const PoolName &pool, const ModelName &model) const
{
    return static_cast<int>(
        std::count_if(m_engines.begin(), m_engines.end(), [&](const auto &entry) {
            const EngineState &engine = entry.second;
            return engine.isUsable && engine.pool == pool && canServe(engine, model);
        }));
}

bool PlacementPlanner::isServingCopy(const EngineState &engine, const ModelName &model) const
{
    return engine.isUsable && canServe(engine, model)
        && m_shortCopies.count({engine.id, model}) == 0;
}

bool PlacementPlanner::canServe(const EngineState &engine, const ModelName &model)
{
    return engine.models.count(model) > 0
        && engine.unloading != std::make_pair(model, std::string());
}

int PlacementPlanner::pendingCopyCount(const PoolName &pool, const ModelName &model) const
{
    return static_cast<int>(
        std::count_if(m_engines.begin(), m_engines.end(), [&](const auto &entry) {
            const EngineState &engine = entry.second;
            return engine.isUsable && engine.pool == pool
                && (engine.loading == model || engine.plannedLoad == model);
        }));
}

bool PlacementPlanner::isLoadPending(const PoolName &pool, const ModelName &model) const
{
    return pendingCopyCount(pool, model) > 0;
}

// Whether any engine has the model loaded or its weights in memory or on disk.
bool PlacementPlanner::isLoadedOrCached(const PoolName &pool, const ModelName &model) const
{
    return std::any_of(m_engines.begin(), m_engines.end(), [&](const auto &it) {
        const EngineState &engine = it.second;
        return engine.isUsable && engine.pool == pool
            && (engine.models.count(model) > 0 || sourceOf(engine, model) != LoadSource::Store);
    });
}

// Memory for all adapter slots is always reserved, since they may fill up at any time.
double PlacementPlanner::freeMb(const EngineState &engine) const
{
    const EngineProfile *profile = engineProfile(engine.pool);
    if (profile == nullptr) {
        return 0;
    }
    double used = m_adapterReserveMb.at(engine.pool);
    for (const auto &[name, adapters] : engine.models) {
        const HostedModel *model = hostedModel(engine.pool, name);
        used += model != nullptr ? model->weightsMb : profile->weightMemoryMb;
    }
    if (engine.loading && engine.models.count(*engine.loading) == 0) {
        const HostedModel *model = hostedModel(engine.pool, *engine.loading);
        used += model != nullptr ? model->weightsMb : profile->weightMemoryMb;
    }
    return profile->weightMemoryMb - used;
}

// The other copies of the model cost more to unload from now on.
void PlacementPlanner::onCopyRemoved(const PoolName &pool, const ModelName &model, bool wasCounted)
{
    if (m_copyCounts && wasCounted) {
        --(*m_copyCounts)[{pool, model}];
    }
    for (const auto &[id, engine] : m_engines) {
        if (engine.pool == pool && engine.models.count(model) > 0) {
            m_evictionOrders.erase(id);
        }
    }
}

void PlacementPlanner::addOrder(EngineState &engine, PlacementOrder order,
                                std::vector<PlacementOrder> &orders)
{
    engine.hasPendingOrder = true;
    if (!order.isLoad) {
        if (order.adapter.empty() && canServe(engine, order.model)) {
            onCopyRemoved(engine.pool, order.model, isServingCopy(engine, order.model));
        }
        engine.unloading = std::make_pair(order.model, order.adapter);
    }
    orders.push_back(std::move(order));
}

void PlacementPlanner::countStoreLoad(LoadSource source)
{
    if (m_storeLoads && source == LoadSource::Store) {
        ++*m_storeLoads;
    }
}

const ModelName *PlacementPlanner::storeLoadOf(const EngineState &engine)
{
    if (engine.loading) {
        return engine.source == LoadSource::Store ? &*engine.loading : nullptr;
    }
    const bool isPlanned =
        engine.plannedLoad && sourceOf(engine, *engine.plannedLoad) == LoadSource::Store;
    return isPlanned ? &*engine.plannedLoad : nullptr;
}

// Beyond what the weight store serves at full speed, each further load slows all others down. A
// model that many callers wait for, and that no engine serves, must not wait for loads that few
// callers gain from, nor for its own second copy. Spare copies leave the store to others.
bool PlacementPlanner::canLoadFromStore(const PoolName &pool, const ModelName &model, bool isSpare,
                                        const DemandAggregator &demand) const
{
    constexpr double MuchMore = 2;
    const int loads = storeLoadCount();
    if (loads >= m_storeConcurrency) {
        return false;
    }
    if (m_contendedPools.count(pool) == 0) {
        return true;
    }
    if (isSpare) {
        return loads == 0;
    }
    if (loads < m_provenStoreConcurrency) {
        return true;
    }
    if (loads > m_provenStoreConcurrency) {
        // One more than has been seen to run at full speed shows whether the store serves more.
        return false;
    }
    // What the load gains: a further copy only takes its part of the requests.
    const double gainedRate = demand.demandFor({pool, model, {}}).expectedRequestsPerSecond
        / (copyCount(pool, model) + 1);
    return std::none_of(m_engines.begin(), m_engines.end(), [&](const auto &entry) {
        const EngineState &engine = entry.second;
        const ModelName *other = storeLoadOf(engine);
        if (other == nullptr || engine.pool != pool || copyCount(pool, *other) > 0) {
            return false;
        }
        return *other == model
            || demand.demandFor({pool, *other, {}}).expectedRequestsPerSecond
            > MuchMore * gainedRate;
    });
}

bool PlacementPlanner::orderLoad(const PoolName &pool, const ModelName &model,
                                 const DemandAggregator &demand, const LoadLimits &limits,
                                 std::string_view cause, std::vector<PlacementOrder> &orders)
{
    const HostedModel *wanted = hostedModel(pool, model);
    if (wanted == nullptr) {
        return false;
    }
    std::set<ZoneName> zonesWithCopy;
    for (const auto &[id, engine] : m_engines) {
        if (engine.isUsable && engine.pool == pool && engine.models.count(model) > 0) {
            zonesWithCopy.insert(engine.zone);
        }
    }
    const bool isStoreFree = canLoadFromStore(pool, model, limits.isSpare, demand);
    EngineState *best = nullptr;
    Victims bestVictims;
    double bestCost = limits.total;
    double bestWait = 0;
    for (auto &[id, engine] : m_engines) {
        if (engine.pool != pool || !engine.isUsable || !engine.hasReported
            || engine.models.count(model) > 0) {
            continue;
        }
        const LoadSource source = sourceOf(engine, model);
        const std::optional<double> wait = secondsUntilFree(engine);
        if (!wait || (source == LoadSource::Store && !isStoreFree)) {
            continue;
        }
        double cost =
            *wait + toSeconds(loadTime(pool, model, source)) + FullEngineCost * utilization(engine);
        if (zonesWithCopy.count(engine.zone) > 0) {
            cost += 1;
        }
        // First loads are spread, so that the models are distributed over the disks of all engines.
        if (source == LoadSource::Store) {
            cost += 0.02 * static_cast<double>(engine.onDisk.size());
        }
        const HostedModel *planned =
            engine.plannedLoad ? hostedModel(pool, *engine.plannedLoad) : nullptr;
        const double neededMb = wanted->weightsMb + (planned != nullptr ? planned->weightsMb : 0);
        const auto victims =
            selectVictims(engine, neededMb, demand, std::min(bestCost - cost, limits.victims));
        if (victims && cost + victims->cost < bestCost) {
            best = &engine;
            bestVictims = *victims;
            bestCost = cost + victims->cost;
            bestWait = *wait;
        }
    }
    if (best == nullptr) {
        return false;
    }
    const LoadSource source = sourceOf(*best, model);
    const SteadyTime now = m_clock.now();
    const bool isFree = !best->hasPendingOrder && !best->loading && !best->plannedLoad
        && m_reservedUntil.count(best->id) == 0;
    if (!isFree) {
        const double unloadSeconds = bestVictims.models.empty() ? 0 : UnloadCostSeconds;
        const SteadyTime readyAt =
            now + loadTime(pool, model, source) + fromSeconds(bestWait + unloadSeconds);
        m_reservedUntil[best->id] = readyAt;
        m_deferredLoads[{pool, model}] = readyAt;
        return true;
    }
    if (bestVictims.models.empty()) {
        best->loading = model;
        best->source = source;
        best->loadEndsAt = now + loadTime(pool, model, source);
        addOrder(*best, {best->id, true, model, {}, source, cause}, orders);
        countStoreLoad(source);
        return true;
    }
    best->plannedLoad = model;
    countStoreLoad(source);
    addOrder(*best, {best->id, false, bestVictims.models.front(), {}, LoadSource::Store, cause},
             orders);
    return true;
}

// Continues loads that needed memory: unloads further models, or starts the load.
void PlacementPlanner::continuePlannedLoads(const DemandAggregator &demand,
                                            std::vector<PlacementOrder> &orders)
{
    for (auto &[id, engine] : m_engines) {
        if (!engine.plannedLoad || engine.hasPendingOrder || engine.loading) {
            continue;
        }
        const ModelName model = *engine.plannedLoad;
        const HostedModel *wanted = hostedModel(engine.pool, model);
        if (!engine.isUsable || wanted == nullptr || engine.models.count(model) > 0) {
            engine.plannedLoad.reset();
            continue;
        }
        const auto victims = selectVictims(engine, wanted->weightsMb, demand, UnlimitedCost);
        if (!victims) {
            engine.plannedLoad.reset();
            continue;
        }
        if (!victims->models.empty()) {
            addOrder(engine, {id, false, victims->models.front(), {}, LoadSource::Store, "room"},
                     orders);
            continue;
        }
        engine.plannedLoad.reset();
        engine.loading = model;
        engine.source = sourceOf(engine, model);
        engine.loadEndsAt = m_clock.now() + loadTime(engine.pool, model, engine.source);
        addOrder(engine, {id, true, model, {}, engine.source, "room_made"}, orders);
    }
}

// A load from the weight store takes seconds, so those are ordered by request rate. Loads from
// memory and disk are short; they are ordered by priority and then by the callers that they serve.
// In contended pools, where many models compete for loads, all are ordered by their value.
void PlacementPlanner::loadRequestedModels(const DemandAggregator &demand,
                                           std::vector<PlacementOrder> &orders)
{
    struct WaitingModel {
        const DemandKey *key;
        const FleetDemand *modelDemand;
        bool isContended;
        /// Ascending sort keys: the negated request rate for loads from the weight store, else the
        /// priority; and the negated benefit. In contended pools the negated value.
        double sortKey;
        double negatedBenefit;
    };
    std::vector<WaitingModel> waiting;
    for (const auto &[key, modelDemand] : demand.totalDemand()) {
        if (modelDemand.waiting > 0 && copyCount(key.pool, key.model) == 0
            && !isLoadPending(key.pool, key.model)) {
            const bool fromStore = !isLoadedOrCached(key.pool, key.model);
            if (m_contended.count(key.pool) > 0) {
                const LoadSource source = fromStore ? LoadSource::Store : LoadSource::Disk;
                waiting.push_back(
                    {&key, &modelDemand, true, -loadValuePerSecond(key, modelDemand, source), 0});
                continue;
            }
            waiting.push_back({&key, &modelDemand, false,
                               fromStore ? -modelDemand.requestsPerSecond : modelDemand.priority,
                               fromStore ? 0 : -loadBenefit(key, modelDemand)});
        }
    }
    std::sort(waiting.begin(), waiting.end(), [](const WaitingModel &a, const WaitingModel &b) {
        return std::tie(a.isContended, a.sortKey, a.negatedBenefit,
                        a.modelDemand->oldestWaitingSince)
            < std::tie(b.isContended, b.sortKey, b.negatedBenefit,
                       b.modelDemand->oldestWaitingSince);
    });
    for (const WaitingModel &it : waiting) {
        const bool isPlaced = isLoadPending(it.key->pool, it.key->model)
            || m_deferredLoads.count({it.key->pool, it.key->model}) > 0;
        if (!isPlaced) {
            orderLoad(it.key->pool, it.key->model, demand,
                      {UnlimitedCost, waitingVictimCost(*it.modelDemand)}, "waited_for", orders);
        }
    }
}

void PlacementPlanner::loadRequestedAdapters(const DemandAggregator &demand,
                                             std::vector<PlacementOrder> &orders)
{
    for (const auto &[key, modelDemand] : demand.totalDemand()) {
        if (modelDemand.waiting == 0 || key.adapter.empty()) {
            continue;
        }
        const EngineProfile *profile = engineProfile(key.pool);
        EngineState *best = nullptr;
        std::size_t fewestUsedSlots = 0;
        bool isAvailable = false;
        for (auto &[id, engine] : m_engines) {
            const auto loaded = engine.models.find(key.model);
            if (engine.pool != key.pool || !engine.isUsable || loaded == engine.models.end()) {
                continue;
            }
            isAvailable = isAvailable || loaded->second.count(key.adapter) > 0
                || engine.loadingAdapters.count({key.model, key.adapter}) > 0;
            std::size_t usedSlots = engine.loadingAdapters.size();
            for (const auto &[model, adapters] : engine.models) {
                usedSlots += adapters.size();
            }
            // An engine that runs requests accepts adapter orders, but only one order at a time.
            if (engine.hasReported && !engine.hasPendingOrder && !engine.loading
                && !engine.plannedLoad && (best == nullptr || usedSlots < fewestUsedSlots)) {
                best = &engine;
                fewestUsedSlots = usedSlots;
            }
        }
        if (isAvailable || best == nullptr || profile == nullptr) {
            continue;
        }
        if (fewestUsedSlots < static_cast<std::size_t>(profile->adapterSlots)) {
            addOrder(*best,
                     {best->id, true, key.model, key.adapter, LoadSource::Store, "waited_for"},
                     orders);
            continue;
        }
        const ModelName *victimModel = nullptr;
        const std::string *victimAdapter = nullptr;
        SteadyTime oldestArrival = SteadyTime::max();
        for (const auto &[model, adapters] : best->models) {
            for (const std::string &adapter : adapters) {
                const FleetDemand adapterDemand = demand.demandFor({best->pool, model, adapter});
                if (adapterDemand.waiting == 0 && adapterDemand.lastArrival < oldestArrival) {
                    oldestArrival = adapterDemand.lastArrival;
                    victimModel = &model;
                    victimAdapter = &adapter;
                }
            }
        }
        if (victimModel != nullptr) {
            addOrder(*best,
                     {best->id, false, *victimModel, *victimAdapter, LoadSource::Store, "room"},
                     orders);
        }
    }
}

std::vector<PlacementOrder> PlacementPlanner::plan(const DemandAggregator &demand)
{
    std::vector<PlacementOrder> orders;
    if (m_configuration == nullptr) {
        return orders;
    }
    beginPlan(demand);
    continuePlannedLoads(demand, orders);
    replaceLeavingCopies(demand, orders);
    addCopies(demand, true, orders);
    loadRequestedModels(demand, orders);
    loadRequestedAdapters(demand, orders);
    addCopies(demand, false, orders);
    prefetch(demand, orders);
    m_copyCounts.reset();
    m_storeLoads.reset();
    return orders;
}

void PlacementPlanner::beginPlan(const DemandAggregator &demand)
{
    m_reservedUntil.clear();
    m_deferredLoads.clear();
    m_evictionOrders.clear();
    m_storeLoads.reset();
    m_storeLoads = storeLoadCount();
    findShortCopies(demand);
    m_copyCounts.emplace();
    for (const auto &[id, engine] : m_engines) {
        for (const auto &[model, adapters] : engine.models) {
            if (isServingCopy(engine, model)) {
                ++(*m_copyCounts)[{engine.pool, model}];
            }
        }
    }
    estimateUtilization(demand);
}

} // namespace marigoldspool
