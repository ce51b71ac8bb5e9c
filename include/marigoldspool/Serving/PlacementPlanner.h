#ifndef MARIGOLDSPOOL_SERVING_PLACEMENTPLANNER_H
#define MARIGOLDSPOOL_SERVING_PLACEMENTPLANNER_H

#include "marigoldspool/Serving/DemandBook.h"
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

/// What the placement owner knows of one engine.
struct EngineState {
    EndpointId id;
    PoolName pool;
    ZoneName zone;
    /// Neither leaving nor in a zone that is being emptied, and it answers.
    bool usable = true;
    /// A report of this run has come.
    bool known = false;
    HeldModels models;
    /// Adapters that the engine is fetching, as (model, adapter).
    std::set<std::pair<ModelName, std::string>> coming;
    std::set<ModelName> inMemory;
    std::set<ModelName> onDisk;
    /// An order is being sent or carried out.
    bool busy = false;
    /// The model that is being loaded, where from, and until when.
    std::optional<ModelName> loading;
    LoadSource source = LoadSource::Store;
    SteadyTime loadedAt;
    /// What an unload that has not been accepted yet names; it still takes its room.
    std::optional<std::pair<ModelName, std::string>> dropping;
    /// The model for which room is being made.
    std::optional<ModelName> intent;
    /// It carries out an order of the owner before, as far as known a load from the weight store.
    bool hasForeignOrder = false;
    int active = 0;
    int queued = 0;
};

struct PlacementOrder {
    EndpointId endpoint;
    bool isLoad = true;
    ModelName model;
    /// Empty for the model itself.
    std::string adapter;
    LoadSource source = LoadSource::Store;
    /// Why, for the log.
    std::string_view cause;
};

/// Decides which engine loads and drops what. One order an engine at a time.
///
/// Load patterns it answers: rare models that are asked for one by one, each of which has a copy on
/// some engine's disk; busy models whose demand moves on; many rare models at once, for which the
/// weight store is too slow.
class PlacementPlanner
{
public:
    /// \p storeLoadsAtOnce: loads that the weight store serves at full speed.
    PlacementPlanner(const Clock &clock, int storeLoadsAtOnce);

    void setConfiguration(ServingConfigurationPtr configuration);
    std::map<EndpointId, EngineState> &engines() { return m_engines; }
    const std::map<EndpointId, EngineState> &engines() const { return m_engines; }

    /// Orders to send now. Each names an engine that is not busy; the caller marks it so.
    std::vector<PlacementOrder> plan(const DemandBook &demand);
    /// A load from the weight store has ended; \p atOnce ran on average beside and with it.
    void onStoreLoaded(const PoolName &pool, const ModelName &model, Duration took, int atOnce);
    int storeLoads() const;
    /// When models that are waited for will be there, as far as can be told.
    std::vector<LoadForecast> forecast(const DemandBook &demand) const;

    Duration loadTime(const PoolName &pool, const ModelName &model, LoadSource source) const;
    static LoadSource sourceOf(const EngineState &engine, const ModelName &model);
    double freeMb(const EngineState &engine) const;
    /// Whether the engine serves the model and is not about to drop it.
    static bool offers(const EngineState &engine, const ModelName &model);

private:
    struct Victims {
        std::vector<ModelName> models;
        double cost = 0;
    };
    const EngineProfile *profile(const PoolName &pool) const;
    const HostedModel *hosted(const PoolName &pool, const ModelName &model) const;
    int copies(const PoolName &pool, const ModelName &model) const;
    int coming(const PoolName &pool, const ModelName &model) const;
    bool isComing(const PoolName &pool, const ModelName &model) const;
    bool isAtHand(const PoolName &pool, const ModelName &model) const;
    void estimateLoads(const DemandBook &demand);
    double loadOf(const EngineState &engine) const;
    bool isCrowded(const PoolName &pool, const ModelName &model) const;
    void forecastFromStore(std::vector<std::pair<const DemandKey *, const FleetDemand *>> &waiting,
                           std::vector<LoadForecast> &result) const;
    std::optional<Duration> forecastFromDisk(const PoolName &pool, const ModelName &model) const;
    double dropCost(const EngineState &engine, const ModelName &model,
                    const DemandBook &demand) const;
    std::optional<Victims> makeRoom(const EngineState &engine, double needMb,
                                    const DemandBook &demand, double most) const;
    /// Adds the order that brings \p model nearer, if one is worth its cost.
    bool place(const PoolName &pool, const ModelName &model, const DemandBook &demand,
               double mostCost, std::string_view cause, std::vector<PlacementOrder> &orders);
    void continueIntents(const DemandBook &demand, std::vector<PlacementOrder> &orders);
    void placeWaiting(const DemandBook &demand, std::vector<PlacementOrder> &orders);
    void placeAdapters(const DemandBook &demand, std::vector<PlacementOrder> &orders);
    void addCopies(const DemandBook &demand, bool onlyUrgent, std::vector<PlacementOrder> &orders);
    void prefetch(const DemandBook &demand, std::vector<PlacementOrder> &orders);
    void emit(EngineState &engine, PlacementOrder order, std::vector<PlacementOrder> &orders);

    const Clock &m_clock;
    int m_storeLoadsAtOnce;
    double m_storeServes;
    ServingConfigurationPtr m_configuration;
    std::map<EndpointId, EngineState> m_engines;
    /// Part of each engine's slots that the demand is expected to take.
    std::map<EndpointId, double> m_loads;
};

} // namespace marigoldspool

#endif
