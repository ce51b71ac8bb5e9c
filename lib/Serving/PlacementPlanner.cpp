#include "marigoldspool/Serving/PlacementPlanner.h"
#include "Serving/PlacementCosts.h"

#include <algorithm>
#include <cmath>

namespace marigoldspool {

namespace {

using std::chrono::seconds;

// The callers of a model requested within this time may send further requests for it.
constexpr Duration RecentUse = seconds(2);
constexpr double RecentUseCost = 4;
// Unloading a model with waiting requests only moves the delay to those requests.
constexpr double WaitedForCost = 30;
constexpr double SpareCopyCost = 0.05;
// Delay at an engine whose slots are all in use by its other models.
constexpr double EngineLoadCost = 4;
constexpr double NoLimit = 1e9;
constexpr double StoreWeight = 0.3;
constexpr int MostStoreLoads = 8;

} // namespace

PlacementPlanner::PlacementPlanner(const Clock &clock, int storeLoadsAtOnce)
    : m_clock(clock)
    , m_storeLoadsAtOnce(storeLoadsAtOnce)
    , m_storeServes(storeLoadsAtOnce)
{ }

void PlacementPlanner::setConfiguration(ServingConfigurationPtr configuration)
{
    m_configuration = std::move(configuration);
}

const EngineProfile *PlacementPlanner::profile(const PoolName &pool) const
{
    const EndpointPool *it = m_configuration == nullptr ? nullptr : m_configuration->pool(pool);
    return it != nullptr && it->engine ? &*it->engine : nullptr;
}

const HostedModel *PlacementPlanner::hosted(const PoolName &pool, const ModelName &model) const
{
    const EngineProfile *engine = profile(pool);
    if (engine == nullptr) {
        return nullptr;
    }
    const auto it = engine->models.find(model);
    return it == engine->models.end() ? nullptr : &it->second;
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
    const HostedModel *it = hosted(pool, model);
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
    const double crowd =
        std::max(1.0, static_cast<double>(storeLoadCount() + 1) / std::max(1, m_storeLoadsAtOnce));
    return std::chrono::duration_cast<Duration>(it->storeLoadTime * crowd);
}

// The number of loads that the store serves at full speed is not configured, so it is estimated
// from the duration of loads.
void PlacementPlanner::onStoreLoadFinished(const PoolName &pool, const ModelName &model,
                                           Duration took, int atOnce)
{
    const HostedModel *it = hosted(pool, model);
    if (it == nullptr || took <= Duration::zero() || atOnce <= 0) {
        return;
    }
    // A load at full speed only shows that the store serves at least the loads that ran with it.
    const double served = atOnce * toSeconds(it->storeLoadTime) / toSeconds(took);
    const bool isCrowded = took > it->storeLoadTime + it->storeLoadTime / 8;
    if (isCrowded) {
        m_storeServes += StoreWeight * (served - m_storeServes);
    } else if (served > m_storeServes) {
        m_storeServes += StoreWeight * (served + 1 - m_storeServes);
    }
    m_storeLoadsAtOnce =
        std::clamp(static_cast<int>(std::lround(m_storeServes)), 1, MostStoreLoads);
}

// Planned loads count as well. Otherwise requests for many models at once would start more loads
// than the store can serve, and each would occupy its engine for a minute or longer.
int PlacementPlanner::storeLoadCount() const
{
    return static_cast<int>(
        std::count_if(m_engines.begin(), m_engines.end(), [](const auto &entry) {
            const EngineState &engine = entry.second;
            return (engine.loading && engine.source == LoadSource::Store)
                || (engine.plannedLoad
                    && sourceOf(engine, *engine.plannedLoad) == LoadSource::Store)
                || engine.hasPredecessorOrder;
        }));
}

int PlacementPlanner::copies(const PoolName &pool, const ModelName &model) const
{
    return static_cast<int>(
        std::count_if(m_engines.begin(), m_engines.end(), [&](const auto &entry) {
            const EngineState &engine = entry.second;
            return engine.isUsable && engine.pool == pool && canServe(engine, model);
        }));
}

bool PlacementPlanner::canServe(const EngineState &engine, const ModelName &model)
{
    return engine.models.count(model) > 0
        && engine.unloading != std::make_pair(model, std::string());
}

int PlacementPlanner::coming(const PoolName &pool, const ModelName &model) const
{
    return static_cast<int>(
        std::count_if(m_engines.begin(), m_engines.end(), [&](const auto &entry) {
            const EngineState &engine = entry.second;
            return engine.isUsable && engine.pool == pool
                && (engine.loading == model || engine.plannedLoad == model);
        }));
}

bool PlacementPlanner::isComing(const PoolName &pool, const ModelName &model) const
{
    return coming(pool, model) > 0;
}

// Whether any engine has the model loaded or its weights in memory or on disk.
bool PlacementPlanner::isAtHand(const PoolName &pool, const ModelName &model) const
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
    const EngineProfile *limits = profile(engine.pool);
    if (limits == nullptr) {
        return 0;
    }
    double adapterMb = 0;
    for (const auto &[name, model] : limits->models) {
        if (model.adapterCount > 0) {
            adapterMb = std::max(adapterMb, model.adapterMb);
        }
    }
    double used = adapterMb * limits->adapterSlots;
    for (const auto &[name, adapters] : engine.models) {
        const HostedModel *model = hosted(engine.pool, name);
        used += model != nullptr ? model->weightsMb : limits->weightMemoryMb;
    }
    if (engine.loading && engine.models.count(*engine.loading) == 0) {
        const HostedModel *model = hosted(engine.pool, *engine.loading);
        used += model != nullptr ? model->weightsMb : limits->weightMemoryMb;
    }
    return limits->weightMemoryMb - used;
}

// Expected delay, in seconds, caused by unloading the model from this engine.
double PlacementPlanner::dropCost(const EngineState &engine, const ModelName &model,
                                  const DemandAggregator &demand) const
{
    const FleetDemand asked = demand.demandFor({engine.pool, model, {}});
    const bool isSole = copies(engine.pool, model) <= 1;
    const bool canComeBack = sourceOf(engine, model) != LoadSource::Store;
    double cost = 0;
    if (asked.waiting > 0) {
        cost += WaitedForCost;
    }
    if (asked.lastArrival != SteadyTime() && m_clock.now() - asked.lastArrival < RecentUse) {
        cost += isSole ? RecentUseCost : SpareCopyCost;
    }
    const LoadSource source = canComeBack ? LoadSource::Disk : LoadSource::Store;
    const double reload = toSeconds(loadTime(engine.pool, model, source)) + UnloadCost;
    const double lost = asked.requestsPerSecond * reload * reload;
    if (isSole) {
        cost += lost + 0.1 * reload;
    } else if (asked.requestsPerSecond >= BusyRate) {
        // The remaining copies take over its requests.
        cost += asked.requestsPerSecond / copies(engine.pool, model);
    } else {
        cost += SpareCopyCost;
    }
    return cost;
}

std::optional<PlacementPlanner::Victims> PlacementPlanner::makeRoom(const EngineState &engine,
                                                                    double needMb,
                                                                    const DemandAggregator &demand,
                                                                    double most) const
{
    double free = freeMb(engine);
    std::vector<std::pair<double, ModelName>> candidates;
    for (const auto &[model, adapters] : engine.models) {
        candidates.emplace_back(dropCost(engine, model, demand), model);
    }
    std::sort(candidates.begin(), candidates.end());
    Victims victims;
    for (const auto &[cost, model] : candidates) {
        if (free >= needMb) {
            break;
        }
        victims.models.push_back(model);
        victims.cost += cost + UnloadCost;
        const HostedModel *it = hosted(engine.pool, model);
        free += it != nullptr ? it->weightsMb : 0;
    }
    if (free < needMb || victims.cost > most) {
        return std::nullopt;
    }
    return victims;
}

void PlacementPlanner::emit(EngineState &engine, PlacementOrder order,
                            std::vector<PlacementOrder> &orders)
{
    engine.hasPendingOrder = true;
    orders.push_back(std::move(order));
}

bool PlacementPlanner::place(const PoolName &pool, const ModelName &model,
                             const DemandAggregator &demand, double mostCost,
                             std::string_view cause, std::vector<PlacementOrder> &orders)
{
    const HostedModel *wanted = hosted(pool, model);
    if (wanted == nullptr) {
        return false;
    }
    std::set<ZoneName> zonesWithCopy;
    for (const auto &[id, engine] : m_engines) {
        if (engine.isUsable && engine.pool == pool && engine.models.count(model) > 0) {
            zonesWithCopy.insert(engine.zone);
        }
    }
    EngineState *best = nullptr;
    Victims bestVictims;
    double bestCost = mostCost;
    for (auto &[id, engine] : m_engines) {
        if (engine.pool != pool || !engine.isUsable || !engine.hasReported || engine.hasPendingOrder
            || engine.loading || engine.plannedLoad || engine.models.count(model) > 0) {
            continue;
        }
        const LoadSource source = sourceOf(engine, model);
        if (source == LoadSource::Store && storeLoadCount() >= m_storeLoadsAtOnce) {
            continue;
        }
        double cost = toSeconds(loadTime(pool, model, source)) + EngineLoadCost * loadOf(engine);
        if (zonesWithCopy.count(engine.zone) > 0) {
            cost += 1;
        }
        // First loads are spread, so that the models are distributed over the disks of all engines.
        if (source == LoadSource::Store) {
            cost += 0.02 * static_cast<double>(engine.onDisk.size());
        }
        const auto victims = makeRoom(engine, wanted->weightsMb, demand, bestCost - cost);
        if (victims && cost + victims->cost < bestCost) {
            best = &engine;
            bestVictims = *victims;
            bestCost = cost + victims->cost;
        }
    }
    if (best == nullptr) {
        return false;
    }
    if (bestVictims.models.empty()) {
        best->loading = model;
        best->source = sourceOf(*best, model);
        best->loadEndsAt = m_clock.now() + loadTime(pool, model, best->source);
        emit(*best, {best->id, true, model, {}, best->source, cause}, orders);
        return true;
    }
    best->plannedLoad = model;
    emit(*best, {best->id, false, bestVictims.models.front(), {}, LoadSource::Store, cause},
         orders);
    return true;
}

// Continues loads that needed memory: unloads further models, or starts the load.
void PlacementPlanner::continueIntents(const DemandAggregator &demand,
                                       std::vector<PlacementOrder> &orders)
{
    for (auto &[id, engine] : m_engines) {
        if (!engine.plannedLoad || engine.hasPendingOrder || engine.loading) {
            continue;
        }
        const ModelName model = *engine.plannedLoad;
        const HostedModel *wanted = hosted(engine.pool, model);
        if (!engine.isUsable || wanted == nullptr || engine.models.count(model) > 0) {
            engine.plannedLoad.reset();
            continue;
        }
        const auto victims = makeRoom(engine, wanted->weightsMb, demand, NoLimit);
        if (!victims) {
            engine.plannedLoad.reset();
            continue;
        }
        if (!victims->models.empty()) {
            emit(engine, {id, false, victims->models.front(), {}, LoadSource::Store, "room"},
                 orders);
            continue;
        }
        engine.plannedLoad.reset();
        engine.loading = model;
        engine.source = sourceOf(engine, model);
        engine.loadEndsAt = m_clock.now() + loadTime(engine.pool, model, engine.source);
        emit(engine, {id, true, model, {}, engine.source, "room_made"}, orders);
    }
}

// A load from the weight store takes seconds, so those are ordered by request rate. Loads from
// memory and disk are short and ordered by priority.
void PlacementPlanner::placeWaiting(const DemandAggregator &demand,
                                    std::vector<PlacementOrder> &orders)
{
    struct Waiting {
        const DemandKey *key;
        const FleetDemand *asked;
        /// Ascending sort key: the negated request rate for loads from the weight store, else the
        /// priority.
        double order;
    };
    std::vector<Waiting> waiting;
    for (const auto &[key, asked] : demand.totalDemand()) {
        if (asked.waiting > 0 && copies(key.pool, key.model) == 0
            && !isComing(key.pool, key.model)) {
            const bool fromStore = !isAtHand(key.pool, key.model);
            waiting.push_back(
                {&key, &asked, fromStore ? -asked.requestsPerSecond : asked.priority});
        }
    }
    std::sort(waiting.begin(), waiting.end(), [](const Waiting &a, const Waiting &b) {
        return std::tie(a.order, a.asked->oldestWaitingSince)
            < std::tie(b.order, b.asked->oldestWaitingSince);
    });
    for (const Waiting &it : waiting) {
        if (!isComing(it.key->pool, it.key->model)) {
            place(it.key->pool, it.key->model, demand, NoLimit, "waited_for", orders);
        }
    }
}

void PlacementPlanner::placeAdapters(const DemandAggregator &demand,
                                     std::vector<PlacementOrder> &orders)
{
    for (const auto &[key, asked] : demand.totalDemand()) {
        if (asked.waiting == 0 || key.adapter.empty()) {
            continue;
        }
        const EngineProfile *limits = profile(key.pool);
        EngineState *best = nullptr;
        std::size_t fewest = 0;
        bool isThere = false;
        for (auto &[id, engine] : m_engines) {
            const auto held = engine.models.find(key.model);
            if (engine.pool != key.pool || !engine.isUsable || held == engine.models.end()) {
                continue;
            }
            isThere = isThere || held->second.count(key.adapter) > 0
                || engine.loadingAdapters.count({key.model, key.adapter}) > 0;
            std::size_t places = engine.loadingAdapters.size();
            for (const auto &[model, adapters] : engine.models) {
                places += adapters.size();
            }
            // An engine that runs requests accepts adapter orders, but only one order at a time.
            if (engine.hasReported && !engine.hasPendingOrder && !engine.loading
                && !engine.plannedLoad && (best == nullptr || places < fewest)) {
                best = &engine;
                fewest = places;
            }
        }
        if (isThere || best == nullptr || limits == nullptr) {
            continue;
        }
        if (fewest < static_cast<std::size_t>(limits->adapterSlots)) {
            emit(*best, {best->id, true, key.model, key.adapter, LoadSource::Store, "waited_for"},
                 orders);
            continue;
        }
        const ModelName *dropModel = nullptr;
        const std::string *dropAdapter = nullptr;
        SteadyTime longestAgo = SteadyTime::max();
        for (const auto &[model, adapters] : best->models) {
            for (const std::string &adapter : adapters) {
                const FleetDemand use = demand.demandFor({best->pool, model, adapter});
                if (use.waiting == 0 && use.lastArrival < longestAgo) {
                    longestAgo = use.lastArrival;
                    dropModel = &model;
                    dropAdapter = &adapter;
                }
            }
        }
        if (dropModel != nullptr) {
            emit(*best, {best->id, false, *dropModel, *dropAdapter, LoadSource::Store, "room"},
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
    estimateLoads(demand);
    continueIntents(demand, orders);
    addCopies(demand, true, orders);
    placeWaiting(demand, orders);
    placeAdapters(demand, orders);
    addCopies(demand, false, orders);
    prefetch(demand, orders);
    return orders;
}

} // namespace marigoldspool
