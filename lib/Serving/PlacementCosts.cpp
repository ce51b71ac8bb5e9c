// What loads and unloads cost the callers, in seconds of delay, and how many callers a load serves.
#include "Serving/PlacementCosts.h"
#include "marigoldspool/Serving/AdmissionOrder.h"
#include "marigoldspool/Serving/PlacementPlanner.h"

#include <algorithm>

namespace marigoldspool {

namespace {

using std::chrono::seconds;

// The callers of a model requested within this time may send further requests for it.
constexpr Duration RecentUseWindow = seconds(2);
constexpr double RecentUseCost = 1;
// Unloading a model with waiting requests only moves the delay to those requests.
constexpr double WaitingRequestsCost = 30;
// For each second of the reload of a model that is not requested now.
constexpr double LastCopyCost = 0.1;
constexpr double SpareCopyCost = 0.05;
// One copy less of a busy model whose other copies have room for its requests.
constexpr double SpareBusyCopyCost = 0.5;
// What may be unloaded for requests that wait for a model: for one request, a model that is used
// rarely, but not the last copy of a busy one, which would be waited for in turn. The longer they
// wait, the more it may cost.
constexpr double WaitingLoadVictimCost = 3;
constexpr double FurtherRequestVictimCost = 0.5;
constexpr double VictimCostPerWaitedSecond = 1;
// Weight of a waiting request that cannot be served within its latency objective any more.
constexpr double LateRequestWeight = 0.4;
constexpr double LateRequestWeightPerSecond = 0.05;

} // namespace

RequestCost PlacementPlanner::requestCost(const PoolName &pool) const
{
    const auto it = m_requestCosts.find(pool);
    return it == m_requestCosts.end() ? RequestCost() : it->second;
}

double PlacementPlanner::occupiedEngines(const PoolName &pool, double requestsPerSecond) const
{
    const EngineProfile *profile = engineProfile(pool);
    const RequestCost cost = requestCost(pool);
    const double slots = profile == nullptr ? 1 : std::max(1, profile->slots);
    return requestsPerSecond * std::max(cost.runSeconds / slots, cost.promptSeconds);
}

// How long the engine would wait for the model's requests before it unloads the model. Meanwhile it
// accepts no other order, and refuses the requests that arrive.
double PlacementPlanner::remainingRunSeconds(const EngineState &engine, const ModelName &model,
                                             const FleetDemand &modelDemand) const
{
    const double runSeconds = requestCost(engine.pool).runSeconds;
    if (knowsRequests(engine)) {
        const auto requests = engine.requests.find(model);
        return requests == engine.requests.end() || requests->second == 0 ? 0 : runSeconds;
    }
    const int copies = std::max(1, copyCount(engine.pool, model));
    if (modelDemand.requestsPerSecond * runSeconds >= copies) {
        return runSeconds;
    }
    SteadyTime lastStart = modelDemand.lastArrival;
    const auto ready = engine.readySince.find(model);
    if (ready != engine.readySince.end()) {
        lastStart = std::max(lastStart, ready->second);
    }
    if (lastStart == SteadyTime()) {
        return 0;
    }
    return std::clamp(runSeconds - toSeconds(m_clock.now() - lastStart), 0.0, runSeconds);
}

// Expected delay, in seconds, caused by unloading the model from this engine.
double PlacementPlanner::evictionCost(const EngineState &engine, const ModelName &model,
                                      const DemandAggregator &demand) const
{
    const FleetDemand modelDemand = demand.demandFor({engine.pool, model, {}});
    const bool isLastCopy = copyCount(engine.pool, model) <= 1;
    const bool isCached = sourceOf(engine, model) != LoadSource::Store;
    double cost = 0;
    if (modelDemand.waiting > 0) {
        cost += WaitingRequestsCost;
    }
    if (modelDemand.lastArrival != SteadyTime()
        && m_clock.now() - modelDemand.lastArrival < RecentUseWindow) {
        cost += isLastCopy ? RecentUseCost : SpareCopyCost;
    }
    const LoadSource source = isCached ? LoadSource::Disk : LoadSource::Store;
    const double reloadSeconds =
        toSeconds(loadTime(engine.pool, model, source)) + UnloadCostSeconds;
    const double delayedSeconds =
        modelDemand.expectedRequestsPerSecond * reloadSeconds * reloadSeconds;
    const int remainingCopies = copyCount(engine.pool, model) - 1;
    if (isLastCopy) {
        cost += delayedSeconds + LastCopyCost * reloadSeconds;
    } else if (modelDemand.requestsPerSecond < BusyRequestsPerSecond) {
        cost += SpareCopyCost;
    } else if (occupiedEngines(engine.pool, modelDemand.expectedRequestsPerSecond)
               <= TargetUtilization * remainingCopies) {
        cost += SpareBusyCopyCost;
    } else {
        // The remaining copies take over its requests and are slower for it.
        cost += modelDemand.expectedRequestsPerSecond / (remainingCopies + 1);
    }
    return cost + remainingRunSeconds(engine, model, modelDemand);
}

// As evictionCost() of a last copy, but its own requests run on.
double PlacementPlanner::lossCost(const PoolName &pool, const ModelName &model,
                                  const FleetDemand &modelDemand) const
{
    const LoadSource source = isLoadedOrCached(pool, model) ? LoadSource::Disk : LoadSource::Store;
    const double reloadSeconds = toSeconds(loadTime(pool, model, source)) + UnloadCostSeconds;
    double cost =
        (modelDemand.expectedRequestsPerSecond * reloadSeconds + LastCopyCost) * reloadSeconds;
    if (modelDemand.waiting > 0) {
        cost += WaitingRequestsCost;
    }
    if (m_clock.now() - modelDemand.lastArrival < RecentUseWindow) {
        cost += RecentUseCost;
    }
    return cost;
}

const std::vector<std::pair<double, ModelName>> &
PlacementPlanner::evictionOrder(const EngineState &engine, const DemandAggregator &demand)
{
    const auto [it, isNew] = m_evictionOrders.try_emplace(engine.id);
    if (isNew) {
        for (const auto &[model, adapters] : engine.models) {
            if (canServe(engine, model)) {
                it->second.emplace_back(evictionCost(engine, model, demand), model);
            }
        }
        std::sort(it->second.begin(), it->second.end());
    }
    return it->second;
}

std::optional<PlacementPlanner::Victims>
PlacementPlanner::selectVictims(const EngineState &engine, double needMb,
                                const DemandAggregator &demand, double maxCost)
{
    double free = freeMb(engine);
    Victims victims;
    if (free >= needMb) {
        return maxCost < 0 ? std::nullopt : std::make_optional(victims);
    }
    for (const auto &[cost, model] : evictionOrder(engine, demand)) {
        victims.models.push_back(model);
        victims.cost += cost + UnloadCostSeconds;
        const HostedModel *it = hostedModel(engine.pool, model);
        free += it != nullptr ? it->weightsMb : 0;
        if (free >= needMb || victims.cost > maxCost) {
            break;
        }
    }
    if (free < needMb || victims.cost > maxCost) {
        return std::nullopt;
    }
    return victims;
}

std::optional<double> PlacementPlanner::secondsUntilFree(const EngineState &engine) const
{
    const SteadyTime now = m_clock.now();
    const auto reserved = m_reservedUntil.find(engine.id);
    if (reserved != m_reservedUntil.end()) {
        return std::max(0.0, toSeconds(reserved->second - now));
    }
    if (engine.loading) {
        return std::max(0.0, toSeconds(engine.loadEndsAt - now));
    }
    if (engine.plannedLoad) {
        const LoadSource source = sourceOf(engine, *engine.plannedLoad);
        return UnloadCostSeconds + toSeconds(loadTime(engine.pool, *engine.plannedLoad, source));
    }
    if (engine.hasPendingOrder) {
        return std::nullopt;
    }
    return 0;
}

double PlacementPlanner::waitingVictimCost(const FleetDemand &modelDemand) const
{
    const double waitedSeconds = toSeconds(m_clock.now() - modelDemand.oldestWaitingSince);
    return WaitingLoadVictimCost
        + FurtherRequestVictimCost * static_cast<double>(modelDemand.waiting - 1)
        + VictimCostPerWaitedSecond * std::max(0.0, waitedSeconds);
}

// How many callers a load serves. Those that would get a late response in any case count less, but
// more the longer they have waited: in the order of arrival, an overload makes all of them late.
double PlacementPlanner::loadBenefit(const DemandKey &key, const FleetDemand &modelDemand) const
{
    const SteadyTime now = m_clock.now();
    const double loadSeconds =
        UnloadCostSeconds + toSeconds(loadTime(key.pool, key.model, LoadSource::Disk));
    const bool isOnTime = toSeconds(modelDemand.latestDueAt - now) >= loadSeconds;
    const double waitedSeconds = std::max(0.0, toSeconds(now - modelDemand.oldestWaitingSince));
    const double weight = isOnTime
        ? 1
        : std::min(1.0, LateRequestWeight + LateRequestWeightPerSecond * waitedSeconds);
    return weight * static_cast<double>(modelDemand.waiting);
}

// The due times of the waiting requests are taken as evenly spread between the first and the last.
double PlacementPlanner::loadValuePerSecond(const DemandKey &key, const FleetDemand &modelDemand,
                                            LoadSource source) const
{
    const double seconds = UnloadCostSeconds + toSeconds(loadTime(key.pool, key.model, source));
    const SteadyTime readyAt = m_clock.now() + fromSeconds(seconds);
    double onTime = readyAt <= modelDemand.firstDueAt ? 1 : 0;
    if (readyAt > modelDemand.firstDueAt && readyAt < modelDemand.latestDueAt) {
        onTime = toSeconds(modelDemand.latestDueAt - readyAt)
            / toSeconds(modelDemand.latestDueAt - modelDemand.firstDueAt);
    }
    const double late = readyAt < modelDemand.leaveAt ? LateServiceWeight * (1 - onTime) : 0;
    return modelDemand.weight * (onTime + late) / seconds;
}

} // namespace marigoldspool
