#ifndef MARIGOLDSPOOL_SERVING_PLACEMENTPLANNER_H
#define MARIGOLDSPOOL_SERVING_PLACEMENTPLANNER_H

#include "marigoldspool/Serving/DemandAggregator.h"
#include "marigoldspool/Serving/ResponseTimeModel.h"
#include "marigoldspool/Serving/ServingTypes.h"

#include <optional>
#include <set>
#include <vector>

namespace marigoldspool {

enum class LoadSource {
    Memory,
    Disk,
    Store,
};

/// The placement owner's view of one engine.
struct EngineState {
    EndpointId id;
    PoolName pool;
    ZoneName zone;
    /// Responds, and is neither leaving nor in an evacuated zone.
    bool isUsable = true;
    /// The process has announced that it leaves; not usable then.
    bool isLeaving = false;
    /// The current process of the engine has sent a report.
    bool hasReported = false;
    LoadedModels models;
    /// Adapters that the engine is loading, as (model, adapter).
    std::set<std::pair<ModelName, std::string>> loadingAdapters;
    std::set<ModelName> inMemory;
    std::set<ModelName> onDisk;
    /// When this owner saw the end of a load; requests that waited for it run from then on.
    std::map<ModelName, SteadyTime> readySince;
    /// An order is being sent or executed.
    bool hasPendingOrder = false;
    /// The model being loaded, its source, and the expected end of the load.
    std::optional<ModelName> loading;
    LoadSource source = LoadSource::Store;
    SteadyTime loadEndsAt;
    /// The (model, adapter) of an unload that is not accepted yet and still occupies memory.
    std::optional<std::pair<ModelName, std::string>> unloading;
    /// The model to load once enough memory has been freed.
    std::optional<ModelName> plannedLoad;
    /// Executes an order of the previous owner, assumed to be a load from the weight store.
    bool hasPredecessorOrder = false;
    int active = 0;
    int queued = 0;
    /// Requests a second that the engine takes from all instances together, if it has named a
    /// limit.
    std::optional<double> rateLimit;
    /// Requests of all instances at the engine, by model, and until when they may be used.
    std::map<ModelName, int> requests;
    std::optional<SteadyTime> requestsKnownUntil;
};

/// An order to one engine to load or unload a model or adapter.
struct PlacementOrder {
    EndpointId endpoint;
    bool isLoad = true;
    ModelName model;
    /// Empty for the model itself.
    std::string adapter;
    LoadSource source = LoadSource::Store;
    /// Reason for the order, for the log.
    std::string_view cause;
};

/// Decides which models and adapters each engine loads and unloads, with one order per engine at a
/// time.
///
/// Handles three load patterns: single requests for rarely used models that are cached on some
/// engine's disk; busy models whose demand shifts; and requests for many rarely used models at
/// once, which exceed the throughput of the weight store.
class PlacementPlanner
{
public:
    /// \p storeConcurrency: initial estimate of the loads that the weight store serves concurrently
    /// at full speed.
    PlacementPlanner(const Clock &clock, int storeConcurrency);

    void setConfiguration(ServingConfigurationPtr configuration);
    void setRequestCost(const PoolName &pool, RequestCost cost) { m_requestCosts[pool] = cost; }
    /// For contended pools, loads are ordered by the value of the waiting requests that they serve
    /// for each second of the load.
    void setContended(std::set<PoolName> pools) { m_contended = std::move(pools); }
    std::map<EndpointId, EngineState> &engines() { return m_engines; }
    const std::map<EndpointId, EngineState> &engines() const { return m_engines; }

    /// Pools in which a load from the weight store that many callers wait for is not slowed down by
    /// others.
    void setContendedPools(std::set<PoolName> pools) { m_contendedPools = std::move(pools); }
    /// Returns the orders to send now, at most one for each engine, and marks these engines.
    std::vector<PlacementOrder> plan(const DemandAggregator &demand);
    /// A load from the weight store has ended; \p concurrentLoads is the mean number of loads
    /// that ran at the same time, including this one.
    void onStoreLoadFinished(const PoolName &pool, const ModelName &model, Duration took,
                             int concurrentLoads);
    /// Loads from the weight store that are running or planned.
    int storeLoadCount() const;
    /// Estimates when the models and adapters with waiting requests will be loaded.
    std::vector<LoadForecast> forecast(const DemandAggregator &demand) const;

    Duration loadTime(const PoolName &pool, const ModelName &model, LoadSource source) const;
    static LoadSource sourceOf(const EngineState &engine, const ModelName &model);
    double freeMb(const EngineState &engine) const;
    /// Whether the engine has the model loaded and is not unloading it.
    static bool canServe(const EngineState &engine, const ModelName &model);

private:
    struct Victims {
        std::vector<ModelName> models;
        double cost = 0;
    };
    const EngineProfile *engineProfile(const PoolName &pool) const;
    const HostedModel *hostedModel(const PoolName &pool, const ModelName &model) const;
    void beginPlan(const DemandAggregator &demand);
    int copyCount(const PoolName &pool, const ModelName &model) const;
    /// Usable engines with the model, whether or not they serve it as fast as it is asked for.
    int loadedCount(const PoolName &pool, const ModelName &model) const;
    /// Whether the engine is usable and serves the model as fast as it is asked for.
    bool isServingCopy(const EngineState &engine, const ModelName &model) const;
    void findShortCopies(const DemandAggregator &demand);
    int pendingCopyCount(const PoolName &pool, const ModelName &model) const;
    bool isLoadPending(const PoolName &pool, const ModelName &model) const;
    bool isLoadedOrCached(const PoolName &pool, const ModelName &model) const;
    void estimateUtilization(const DemandAggregator &demand);
    double utilization(const EngineState &engine) const;
    /// Whether the instances have told lately what they have at the engine.
    bool knowsRequests(const EngineState &engine) const;
    /// Known requests at all engines for the model, in engines that they fill.
    double filledEngines(const PoolName &pool, const ModelName &model) const;
    RequestCost requestCost(const PoolName &pool) const;
    /// Number of engines that the requests for one model keep fully occupied.
    double occupiedEngines(const PoolName &pool, double requestsPerSecond) const;
    double remainingRunSeconds(const EngineState &engine, const ModelName &model,
                               const FleetDemand &modelDemand) const;
    double loadBenefit(const DemandKey &key, const FleetDemand &modelDemand) const;
    /// The same by priority, objective and patience, for each second of a load from \p source.
    double loadValuePerSecond(const DemandKey &key, const FleetDemand &modelDemand,
                              LoadSource source) const;
    /// What may be unloaded for the waiting requests, as the cost of the unloaded models.
    double waitingVictimCost(const FleetDemand &modelDemand) const;
    bool isOverloaded(const PoolName &pool, const ModelName &model) const;
    void forecastFromStore(std::vector<std::pair<const DemandKey *, const FleetDemand *>> &waiting,
                           std::vector<LoadForecast> &result) const;
    std::optional<Duration> forecastFromCache(const PoolName &pool, const ModelName &model) const;
    double evictionCost(const EngineState &engine, const ModelName &model,
                        const DemandAggregator &demand) const;
    std::optional<Victims> selectVictims(const EngineState &engine, double needMb,
                                         const DemandAggregator &demand, double maxCost);
    /// The models of an engine with their eviction costs, in ascending order.
    const std::vector<std::pair<double, ModelName>> &evictionOrder(const EngineState &engine,
                                                                   const DemandAggregator &demand);
    /// Time until the engine can take another order; nullopt if unknown.
    std::optional<double> secondsUntilFree(const EngineState &engine) const;
    /// Limits on what a load may cost, in seconds of delay.
    struct LoadLimits {
        double total;
        /// For the models that are unloaded for it.
        double victims;
        /// The other copies have room for the requests.
        bool isSpare = false;
    };
    /// Orders a load of \p model, or the first unload that it needs, on the cheapest engine. An
    /// engine that finishes another load first may be the cheapest; then nothing is ordered yet.
    /// Returns false if no engine is possible within the limits.
    bool orderLoad(const PoolName &pool, const ModelName &model, const DemandAggregator &demand,
                   const LoadLimits &limits, std::string_view cause,
                   std::vector<PlacementOrder> &orders);
    void continuePlannedLoads(const DemandAggregator &demand, std::vector<PlacementOrder> &orders);
    void loadRequestedModels(const DemandAggregator &demand, std::vector<PlacementOrder> &orders);
    void loadRequestedAdapters(const DemandAggregator &demand, std::vector<PlacementOrder> &orders);
    /// Loads the requested models whose last usable copies are lost with leaving engines.
    void replaceLeavingCopies(const DemandAggregator &demand, std::vector<PlacementOrder> &orders);
    /// Expected delay, in seconds, caused by having no copy of the model.
    double lossCost(const PoolName &pool, const ModelName &model,
                    const FleetDemand &modelDemand) const;
    void addCopies(const DemandAggregator &demand, bool onlyUrgent,
                   std::vector<PlacementOrder> &orders);
    void prefetch(const DemandAggregator &demand, std::vector<PlacementOrder> &orders);
    void countStoreLoad(LoadSource source);
    /// Whether the weight store is to begin a load of \p model now.
    bool canLoadFromStore(const PoolName &pool, const ModelName &model, bool isSpare,
                          const DemandAggregator &demand) const;
    /// The models in demand, in the order in which they get copies.
    std::vector<std::pair<const DemandKey *, const FleetDemand *>>
    copyOrder(const DemandAggregator &demand) const;
    /// The model that the engine loads from the weight store, or is planned to.
    static const ModelName *storeLoadOf(const EngineState &engine);
    void onCopyRemoved(const PoolName &pool, const ModelName &model, bool wasCounted);
    void addOrder(EngineState &engine, PlacementOrder order, std::vector<PlacementOrder> &orders);

    const Clock &m_clock;
    /// Estimate of the loads that the weight store serves concurrently at full speed.
    int m_storeConcurrency;
    double m_smoothedStoreConcurrency;
    /// The most loads at a time that have all run at full speed.
    int m_provenStoreConcurrency = 1;
    std::set<PoolName> m_contendedPools;
    ServingConfigurationPtr m_configuration;
    /// Memory that is kept free for adapters on each engine of a pool.
    std::map<PoolName, double> m_adapterReserveMb;
    std::map<EndpointId, EngineState> m_engines;
    /// Fraction of each engine that the current demand is expected to use.
    std::map<EndpointId, double> m_utilization;
    std::map<PoolName, RequestCost> m_requestCosts;
    std::set<PoolName> m_contended;
    /// Models on engines whose rate limits are too low for the demand. They don't count as copies,
    /// so the models are loaded elsewhere.
    std::set<std::pair<EndpointId, ModelName>> m_shortCopies;
    /// Models that leaving engines have, or had when they ended, and no usable engine.
    std::set<std::pair<PoolName, ModelName>> m_leavingModels;

    /// \name State of one plan; the forecasts that follow it use the deferred loads
    /// \{
    /// Engines for which a load waits that is not ordered yet, with the expected end of that load.
    std::map<EndpointId, SteadyTime> m_reservedUntil;
    std::map<std::pair<PoolName, ModelName>, SteadyTime> m_deferredLoads;
    std::map<EndpointId, std::vector<std::pair<double, ModelName>>> m_evictionOrders;
    std::optional<std::map<std::pair<PoolName, ModelName>, int>> m_copyCounts;
    std::optional<int> m_storeLoads;
    /// \}
};

} // namespace marigoldspool

#endif
