#include "marigoldspool/Serving/PlacementPlanner.h"

#include <algorithm>
#include <cmath>

namespace marigoldspool {

namespace {

using std::chrono::duration;
using std::chrono::seconds;

// Costs are in seconds of delay for one request.
// An unload waits for the runs of its model and for the next answer of the engine.
constexpr double UnloadCost = 0.3;
// A model that was asked for this lately may be asked for again by the same callers.
constexpr Duration RecentUse = seconds(2);
constexpr double RecentUseCost = 4;
// Dropping a model for which requests wait only moves the delay to them.
constexpr double WaitedForCost = 30;
// A model with this rate loses the delay for all requests that come while it is away.
constexpr double BusyRate = 0.5;
constexpr double SpareCopyCost = 0.05;
// Busy models need a second copy, so that the loss of an engine or zone leaves one.
constexpr int BusyCopies = 2;
// Part of an engine's slots that one model should fill, and how long a run takes.
constexpr double ComfortableLoad = 0.35;
constexpr double RunSeconds = 2.2;
// What a further copy of a busy model may cost, and what loading ahead of demand may cost.
constexpr double CopyMostCost = 25;
// Above this part of the slots of its copies a model's requests queue at the engines. One more copy
// then serves more requests than a rare model that is waited for.
constexpr double UrgentLoad = 0.7;
constexpr double PrefetchMostCost = 7;
// Seconds that requests lose at an engine whose slots are all taken by its other models.
constexpr double EngineLoadCost = 4;
// Loads ahead of demand leave half of the weight store to requests that wait.
constexpr int PrefetchShare = 2;
// From the order to the first request for an adapter; it waits for orders that are under way.
constexpr Duration AdapterTime = std::chrono::milliseconds(500);
constexpr double NoLimit = 1e9;
constexpr double StoreWeight = 0.3;
constexpr int MostStoreLoads = 8;

double toSeconds(Duration value)
{
    return duration<double>(value).count();
}

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
        return it->memoryLoad;
    case LoadSource::Disk:
        return it->diskLoad;
    case LoadSource::Store:
        break;
    }
    const double crowd =
        std::max(1.0, static_cast<double>(storeLoads() + 1) / std::max(1, m_storeLoadsAtOnce));
    return std::chrono::duration_cast<Duration>(it->storeLoad * crowd);
}

// How many loads the store serves at full speed is not configured, so it is learned from how long
// loads took.
void PlacementPlanner::onStoreLoaded(const PoolName &pool, const ModelName &model, Duration took,
                                     int atOnce)
{
    const HostedModel *it = hosted(pool, model);
    if (it == nullptr || took <= Duration::zero() || atOnce <= 0) {
        return;
    }
    // A load alone tells nothing of how many could run beside it.
    const double served = atOnce * toSeconds(it->storeLoad) / toSeconds(took);
    const bool isCrowded = took > it->storeLoad + it->storeLoad / 8;
    if (isCrowded) {
        m_storeServes += StoreWeight * (served - m_storeServes);
    } else if (served > m_storeServes) {
        m_storeServes += StoreWeight * (served + 1 - m_storeServes);
    }
    m_storeLoadsAtOnce =
        std::clamp(static_cast<int>(std::lround(m_storeServes)), 1, MostStoreLoads);
}

// Loads for which room is being made count as well, or a burst of models would start more loads
// than the store serves, each of which would then occupy its engine for a minute or longer.
int PlacementPlanner::storeLoads() const
{
    return static_cast<int>(
        std::count_if(m_engines.begin(), m_engines.end(), [](const auto &entry) {
            const EngineState &engine = entry.second;
            return (engine.loading && engine.source == LoadSource::Store)
                || (engine.intent && sourceOf(engine, *engine.intent) == LoadSource::Store)
                || engine.hasForeignOrder;
        }));
}

int PlacementPlanner::copies(const PoolName &pool, const ModelName &model) const
{
    return static_cast<int>(
        std::count_if(m_engines.begin(), m_engines.end(), [&](const auto &entry) {
            const EngineState &engine = entry.second;
            return engine.usable && engine.pool == pool && offers(engine, model);
        }));
}

bool PlacementPlanner::offers(const EngineState &engine, const ModelName &model)
{
    return engine.models.count(model) > 0
        && engine.dropping != std::make_pair(model, std::string());
}

int PlacementPlanner::coming(const PoolName &pool, const ModelName &model) const
{
    return static_cast<int>(
        std::count_if(m_engines.begin(), m_engines.end(), [&](const auto &entry) {
            const EngineState &engine = entry.second;
            return engine.usable && engine.pool == pool
                && (engine.loading == model || engine.intent == model);
        }));
}

bool PlacementPlanner::isComing(const PoolName &pool, const ModelName &model) const
{
    return coming(pool, model) > 0;
}

// Whether an engine holds the model or has its weights in memory or on disk.
bool PlacementPlanner::isAtHand(const PoolName &pool, const ModelName &model) const
{
    return std::any_of(m_engines.begin(), m_engines.end(), [&](const auto &it) {
        const EngineState &engine = it.second;
        return engine.usable && engine.pool == pool
            && (engine.models.count(model) > 0 || sourceOf(engine, model) != LoadSource::Store);
    });
}

// Adapters may fill all their places at any time, so room for them is always kept.
double PlacementPlanner::freeMb(const EngineState &engine) const
{
    const EngineProfile *limits = profile(engine.pool);
    if (limits == nullptr) {
        return 0;
    }
    double adapterMb = 0;
    for (const auto &[name, model] : limits->models) {
        if (model.adapters > 0) {
            adapterMb = std::max(adapterMb, model.adapterMb);
        }
    }
    double used = adapterMb * limits->adapterPlaces;
    for (const auto &[name, adapters] : engine.models) {
        const HostedModel *model = hosted(engine.pool, name);
        used += model != nullptr ? model->weightsMb : limits->weightsMb;
    }
    if (engine.loading && engine.models.count(*engine.loading) == 0) {
        const HostedModel *model = hosted(engine.pool, *engine.loading);
        used += model != nullptr ? model->weightsMb : limits->weightsMb;
    }
    return limits->weightsMb - used;
}

// Seconds of delay that dropping the model from this engine is expected to cause.
double PlacementPlanner::dropCost(const EngineState &engine, const ModelName &model,
                                  const DemandBook &demand) const
{
    const FleetDemand asked = demand.of({engine.pool, model, {}});
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
    const double lost = asked.rate * reload * reload;
    if (isSole) {
        cost += lost + 0.1 * reload;
    } else if (asked.rate >= BusyRate) {
        // The remaining copies carry more.
        cost += asked.rate / copies(engine.pool, model);
    } else {
        cost += SpareCopyCost;
    }
    return cost;
}

std::optional<PlacementPlanner::Victims> PlacementPlanner::makeRoom(const EngineState &engine,
                                                                    double needMb,
                                                                    const DemandBook &demand,
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
    engine.busy = true;
    orders.push_back(std::move(order));
}

bool PlacementPlanner::place(const PoolName &pool, const ModelName &model, const DemandBook &demand,
                             double mostCost, std::string_view cause,
                             std::vector<PlacementOrder> &orders)
{
    const HostedModel *wanted = hosted(pool, model);
    if (wanted == nullptr) {
        return false;
    }
    std::set<ZoneName> zonesWithCopy;
    for (const auto &[id, engine] : m_engines) {
        if (engine.usable && engine.pool == pool && engine.models.count(model) > 0) {
            zonesWithCopy.insert(engine.zone);
        }
    }
    EngineState *best = nullptr;
    Victims bestVictims;
    double bestCost = mostCost;
    for (auto &[id, engine] : m_engines) {
        if (engine.pool != pool || !engine.usable || !engine.known || engine.busy || engine.loading
            || engine.intent || engine.models.count(model) > 0) {
            continue;
        }
        const LoadSource source = sourceOf(engine, model);
        if (source == LoadSource::Store && storeLoads() >= m_storeLoadsAtOnce) {
            continue;
        }
        double cost = toSeconds(loadTime(pool, model, source)) + EngineLoadCost * loadOf(engine);
        if (zonesWithCopy.count(engine.zone) > 0) {
            cost += 1;
        }
        // First loads are spread, so that each engine's disk holds its part of the models.
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
        best->loadedAt = m_clock.now() + loadTime(pool, model, best->source);
        emit(*best, {best->id, true, model, {}, best->source, cause}, orders);
        return true;
    }
    best->intent = model;
    emit(*best, {best->id, false, bestVictims.models.front(), {}, LoadSource::Store, cause},
         orders);
    return true;
}

// Room was made for a model: drop further ones, or load it.
void PlacementPlanner::continueIntents(const DemandBook &demand,
                                       std::vector<PlacementOrder> &orders)
{
    for (auto &[id, engine] : m_engines) {
        if (!engine.intent || engine.busy || engine.loading) {
            continue;
        }
        const ModelName model = *engine.intent;
        const HostedModel *wanted = hosted(engine.pool, model);
        if (!engine.usable || wanted == nullptr || engine.models.count(model) > 0) {
            engine.intent.reset();
            continue;
        }
        const auto victims = makeRoom(engine, wanted->weightsMb, demand, NoLimit);
        if (!victims) {
            engine.intent.reset();
            continue;
        }
        if (!victims->models.empty()) {
            emit(engine, {id, false, victims->models.front(), {}, LoadSource::Store, "room"},
                 orders);
            continue;
        }
        engine.intent.reset();
        engine.loading = model;
        engine.source = sourceOf(engine, model);
        engine.loadedAt = m_clock.now() + loadTime(engine.pool, model, engine.source);
        emit(engine, {id, true, model, {}, engine.source, "room_made"}, orders);
    }
}

// The weight store serves one load in seconds, so the model that most requests ask for goes first
// there. Loads from memory and disk come soon for each model.
void PlacementPlanner::placeWaiting(const DemandBook &demand, std::vector<PlacementOrder> &orders)
{
    struct Waiting {
        const DemandKey *key;
        const FleetDemand *asked;
        /// Negative for models that only the weight store has.
        double order;
    };
    std::vector<Waiting> waiting;
    for (const auto &[key, asked] : demand.all()) {
        if (asked.waiting > 0 && copies(key.pool, key.model) == 0
            && !isComing(key.pool, key.model)) {
            const bool fromStore = !isAtHand(key.pool, key.model);
            waiting.push_back({&key, &asked, fromStore ? -asked.rate : asked.priority});
        }
    }
    std::sort(waiting.begin(), waiting.end(), [](const Waiting &a, const Waiting &b) {
        return std::tie(a.order, a.asked->oldest) < std::tie(b.order, b.asked->oldest);
    });
    for (const Waiting &it : waiting) {
        if (!isComing(it.key->pool, it.key->model)) {
            place(it.key->pool, it.key->model, demand, NoLimit, "waited_for", orders);
        }
    }
}

void PlacementPlanner::placeAdapters(const DemandBook &demand, std::vector<PlacementOrder> &orders)
{
    for (const auto &[key, asked] : demand.all()) {
        if (asked.waiting == 0 || key.adapter.empty()) {
            continue;
        }
        const EngineProfile *limits = profile(key.pool);
        EngineState *best = nullptr;
        std::size_t fewest = 0;
        bool isThere = false;
        for (auto &[id, engine] : m_engines) {
            const auto held = engine.models.find(key.model);
            if (engine.pool != key.pool || !engine.usable || held == engine.models.end()) {
                continue;
            }
            isThere = isThere || held->second.count(key.adapter) > 0
                || engine.coming.count({key.model, key.adapter}) > 0;
            std::size_t places = engine.coming.size();
            for (const auto &[model, adapters] : engine.models) {
                places += adapters.size();
            }
            // A busy engine still takes adapter orders, but not while an answer is outstanding.
            if (engine.known && !engine.busy && !engine.loading && !engine.intent
                && (best == nullptr || places < fewest)) {
                best = &engine;
                fewest = places;
            }
        }
        if (isThere || best == nullptr || limits == nullptr) {
            continue;
        }
        if (fewest < static_cast<std::size_t>(limits->adapterPlaces)) {
            emit(*best, {best->id, true, key.model, key.adapter, LoadSource::Store, "waited_for"},
                 orders);
            continue;
        }
        const ModelName *dropModel = nullptr;
        const std::string *dropAdapter = nullptr;
        SteadyTime longestAgo = SteadyTime::max();
        for (const auto &[model, adapters] : best->models) {
            for (const std::string &adapter : adapters) {
                const FleetDemand use = demand.of({best->pool, model, adapter});
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

// Part of the slots that the requests for all models of the engine take, as far as each model's are
// spread evenly over its copies.
double PlacementPlanner::loadOf(const EngineState &engine) const
{
    const auto it = m_loads.find(engine.id);
    return it == m_loads.end() ? 0 : it->second;
}

void PlacementPlanner::estimateLoads(const DemandBook &demand)
{
    m_loads.clear();
    for (const auto &[key, asked] : demand.all()) {
        const EngineProfile *limits = profile(key.pool);
        const int there = limits == nullptr || !key.adapter.empty() || asked.rate < BusyRate
            ? 0
            : copies(key.pool, key.model) + coming(key.pool, key.model);
        if (there == 0) {
            continue;
        }
        const double part = asked.rate * RunSeconds / limits->slots / there;
        for (const auto &[id, engine] : m_engines) {
            if (engine.pool == key.pool
                && (offers(engine, key.model) || engine.loading == key.model
                    || engine.intent == key.model)) {
                m_loads[id] += part;
            }
        }
    }
}

// Whether every engine that offers the model is full with the requests for all of its models.
bool PlacementPlanner::isCrowded(const PoolName &pool, const ModelName &model) const
{
    return std::all_of(m_engines.begin(), m_engines.end(), [&](const auto &it) {
        const EngineState &engine = it.second;
        return !engine.usable || engine.pool != pool || !offers(engine, model)
            || loadOf(engine) > UrgentLoad;
    });
}

void PlacementPlanner::addCopies(const DemandBook &demand, bool onlyUrgent,
                                 std::vector<PlacementOrder> &orders)
{
    for (const auto &[key, asked] : demand.all()) {
        const EngineProfile *limits = profile(key.pool);
        if (limits == nullptr || !key.adapter.empty() || asked.rate < BusyRate) {
            continue;
        }
        const double running = asked.rate * RunSeconds / limits->slots;
        int wanted = onlyUrgent
            ? static_cast<int>(std::ceil(running / UrgentLoad))
            : std::max(BusyCopies, static_cast<int>(std::ceil(running / ComfortableLoad)));
        // A model that becomes busy gets its copies at the same time.
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

// A model that no engine has at hand takes a slow load from the weight store when it is first asked
// for; while the store is idle, such models are fetched ahead.
void PlacementPlanner::prefetch(const DemandBook &demand, std::vector<PlacementOrder> &orders)
{
    if (m_configuration == nullptr) {
        return;
    }
    for (const auto &[poolName, pool] : m_configuration->pools) {
        if (!pool.engine) {
            continue;
        }
        for (const auto &[name, model] : pool.engine->models) {
            if (storeLoads() * PrefetchShare >= m_storeLoadsAtOnce) {
                return;
            }
            if (!isAtHand(poolName, name) && !isComing(poolName, name)) {
                place(poolName, name, demand, PrefetchMostCost, "ahead", orders);
            }
        }
    }
}

std::vector<PlacementOrder> PlacementPlanner::plan(const DemandBook &demand)
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

// An engine that has the model at hand finishes the load that it is doing and makes room first.
std::optional<Duration> PlacementPlanner::forecastFromDisk(const PoolName &pool,
                                                           const ModelName &model) const
{
    std::optional<Duration> best;
    const SteadyTime now = m_clock.now();
    for (const auto &[id, engine] : m_engines) {
        const LoadSource source = sourceOf(engine, model);
        if (!engine.usable || engine.pool != pool || source == LoadSource::Store) {
            continue;
        }
        const auto unload = std::chrono::duration_cast<Duration>(duration<double>(UnloadCost));
        Duration time = loadTime(pool, model, source) + unload;
        if (engine.loading) {
            time += std::max(engine.loadedAt - now, Duration::zero());
        } else if (engine.intent) {
            time += unload + loadTime(pool, *engine.intent, sourceOf(engine, *engine.intent));
        }
        best = best ? std::min(*best, time) : time;
    }
    return best;
}

std::vector<LoadForecast> PlacementPlanner::forecast(const DemandBook &demand) const
{
    std::vector<LoadForecast> result;
    const SteadyTime now = m_clock.now();
    std::set<std::pair<PoolName, ModelName>> coming;
    for (const auto &[id, engine] : m_engines) {
        if (engine.loading && engine.usable) {
            coming.emplace(engine.pool, *engine.loading);
            const Duration left = std::max(engine.loadedAt - now, Duration::zero());
            result.push_back({*engine.loading, {}, toMilliseconds(left)});
        } else if (engine.intent && engine.usable) {
            coming.emplace(engine.pool, *engine.intent);
            const Duration load =
                loadTime(engine.pool, *engine.intent, sourceOf(engine, *engine.intent));
            result.push_back({*engine.intent,
                              {},
                              toMilliseconds(load) + static_cast<std::int64_t>(UnloadCost * 1000)});
        }
    }
    // Models that wait for the weight store come after those that it serves now.
    int ahead = storeLoads();
    for (const auto &[key, asked] : demand.all()) {
        if (asked.waiting == 0) {
            continue;
        }
        if (copies(key.pool, key.model) > 0) {
            if (!key.adapter.empty()) {
                result.push_back({key.model, key.adapter, toMilliseconds(AdapterTime)});
            }
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
        ++ahead;
        const double rounds = 1 + static_cast<double>(ahead) / std::max(1, m_storeLoadsAtOnce);
        result.push_back(
            {key.model,
             {},
             toMilliseconds(std::chrono::duration_cast<Duration>(model->storeLoad * rounds))});
    }
    return result;
}

} // namespace marigoldspool
