#ifndef MARIGOLDSPOOL_LIB_PLACEMENT_PLACEMENTSTATE_H
#define MARIGOLDSPOOL_LIB_PLACEMENT_PLACEMENTSTATE_H

#include "Placement/StoreSession.h"
#include "marigoldspool/Placement/IdlePolicy.h"
#include "marigoldspool/Placement/Ledger.h"
#include "marigoldspool/Placement/PlacementEngine.h"

#include <map>
#include <set>
#include <tuple>

namespace marigoldspool {

/// State of a ledger entry, and since when this instance has seen it in that state.
struct EntryView {
    EntryState state = EntryState::Reserved;
    OrderId order;
    SteadyTime firstSeenAt;
};

/// Latest known state of one engine and its ledger.
struct EndpointView {
    EndpointRule rule;
    std::optional<EngineStatus> status;
    bool ledgerKnown = false;
    std::uint64_t ledgerVersion = 0;
    Ledger ledger;
    SteadyTime ledgerCheckedAt;
    SteadyTime nextLedgerRead;
    std::map<ReplicaId, EntryView> entries;
    /// Models that were last reported as ready.
    std::set<ModelName> ready;
    /// When a status last showed requests at the engine.
    SteadyTime lastBusyAt;

    const EngineModel *findLoaded(const ModelName &model) const;
};

/// Latest known placement of one model.
struct PlacementView {
    Placement value;
    std::uint64_t version = 0;
    /// When this version was first seen, and when the placement was last read or written.
    SteadyTime versionSeenAt;
    SteadyTime checkedAt;
    SteadyTime nextRead;
    /// When this instance last tried to set itself as usedBy.
    SteadyTime usedByUpdatedAt;
};

/// A load, unload or cleanup of one replica by this instance.
struct ReplicaTask {
    enum class Step {
        Reserve,
        AddToPlacement,
        AcquireSlot,
        MarkOrdered,
        AwaitEngine, ///< The ledger entry and the engine's status determine the next action.
        CleanUp, ///< The entry is removed; the replica's placement and active load follow.
    };
    ReplicaId replica;
    ModelName model;
    EndpointId endpoint;
    std::string version;
    std::uint64_t bytes = 0;
    CheckpointTier tier = CheckpointTier::Remote;
    Step step = Step::AwaitEngine;
    /// A store update for this replica is in progress.
    bool hasPendingUpdate = false;
    bool isCancelled = false;
    SteadyTime startedAt;
    SteadyTime retryAt;
    int attempts = 0;
    /// The latest order that this instance wrote to the ledger, its fencing number and its result.
    OrderId order;
    std::uint64_t fencing = 0;
    bool orderSent = false;
    SteadyTime orderSentAt;
    std::optional<Expected<void>> orderReply;

    bool waitsForSlot() const { return step == Step::AcquireSlot && !isCancelled; }
};

struct ModelDemand {
    Demand demand;
    SteadyTime seenAt;
    SteadyTime retryAt;
    SteadyTime refusedAt;
    SteadyTime nextOrphanCheck;
    /// The demand comes from min-replicas, not from requests.
    bool isForMinReplicas = false;
};

class PlacementEngine::State
{
public:
    State(PlacementOptions options, InstanceId self, const Clock &clock, RandomSource &random);

    std::vector<PlacementAction> handle(const PlacementEvent &event);
    std::vector<EndpointId> readyEndpoints(const ModelName &model) const;
    std::vector<EndpointId> endpointsToPoll() const;

private:
    // PlacementEngine.cpp: events, endpoint views and readiness.
    void on(const DemandUpdate &event);
    void on(const EngineStatus &status);
    void on(const StoreReply &reply);
    void on(const OrderReply &reply);
    void on(const Tick &tick);
    void on(const ConfigurationChanged &event);
    void onObject(const std::string &key, const KnownObject &object);
    void onLedger(EndpointView &view, const KnownObject &object);
    void readLedgers();
    Duration ledgerReadInterval(const EndpointView &view) const;
    bool isReady(const EndpointView &view, const ModelName &model) const;
    void reportReadiness(EndpointView &view);
    bool hasFreshStatus(const EndpointView &view) const;
    /// Whether the status certainly describes a state after \p time.
    bool isStatusTakenAfter(const EndpointView &view, SteadyTime time) const;
    bool isUsable(const EndpointView &view, const ModelRule &model) const;
    EndpointView *findView(const EndpointId &endpoint);
    ReplicaTask *findTask(const ReplicaId &replica);
    const ModelRule *findModel(const ModelName &model) const;
    /// Null until the placement has been read.
    const Placement *findPlacement(const ModelName &model) const;
    void readPlacement(const ModelName &model, Duration interval);
    void recordUse(const ModelName &model);
    Duration jittered(Duration duration);

    // LoadSteps.cpp: the steps of a load up to sending its order.
    void startLoad(const ModelRule &model, EndpointView &view);
    void continueLoad(ReplicaTask &task);
    void reserve(ReplicaTask &task);
    void addToPlacement(ReplicaTask &task);
    void acquireSlot(ReplicaTask &task);
    void removeStaleSlots();
    void removeOrphans(const ModelName &model);
    void confirmEntryRemoved(const ReplicaId &replica, const EndpointId &endpoint,
                             bool acceptLoaded, std::function<void()> onConfirmed);
    void removeSlot(const ReplicaId &replica);
    static StoreSession::Change removalFromPlacement(const ReplicaId &replica,
                                                     const ModelName &model);
    bool canStartAdapterLoad() const;
    void markOrdered(ReplicaTask &task);
    void sendOrder(ReplicaTask &task, OrderAction action, const WriteOutcome &written);
    void cancelLoad(ReplicaTask &task);
    void cleanUp(ReplicaTask &task);
    void removeTask(const ReplicaId &replica);
    using LedgerChange = std::function<Expected<Ledger>(const Ledger &ledger)>;
    /// Called only if the task still exists.
    using TaskCallback =
        std::function<void(ReplicaTask &task, const Expected<WriteOutcome> &outcome)>;
    void changeLedger(ReplicaTask &task, LedgerChange change, TaskCallback done);
    void updateFor(ReplicaTask &task, const std::string &key, StoreSession::Change change,
                   TaskCallback done);

    // Reconcile.cpp: actions that follow from ledger entries and statuses.
    void reconcile(EndpointView &view);
    void cleanUpRemovedEntries(const EndpointView &view);
    void reconcileEntry(EndpointView &view, const LedgerEntry &entry, const EntryView &seen);
    void reconcileReserved(const LedgerEntry &entry, bool takeOver);
    void reconcileOrdered(EndpointView &view, const LedgerEntry &entry, const EntryView &seen);
    void reconcileLoaded(EndpointView &view, const LedgerEntry &entry, const EntryView &seen);
    void reconcileUnloading(EndpointView &view, const LedgerEntry &entry, const EntryView &seen);
    void handleRefusedOrder(ReplicaTask &task, const LedgerEntry &entry);
    void finishLoad(ReplicaTask &task, const LedgerEntry &entry);
    void recordLoadTime(const ReplicaTask &task);
    void startUnload(EndpointView &view, const LedgerEntry &entry);
    void orderUnload(ReplicaTask &task, const EndpointView &view);
    void retryUnload(ReplicaTask &task, const LedgerEntry &entry);
    bool isDrained(const EndpointView &view, const LedgerEntry &entry, const EntryView &seen) const;
    bool isUnloadConfirmed(const EndpointView &view, const LedgerEntry &entry,
                           const ReplicaTask &task) const;
    void release(ReplicaTask &task, const LedgerEntry &entry);
    bool isOrderExpired(const EndpointView &view, const EntryView &seen) const;
    ReplicaTask &adoptTask(const LedgerEntry &entry, const EndpointId &endpoint);

    // LoadDecision.cpp: which model to load and where, and what to unload.
    void decideLoads();
    void decideLoad(ModelDemand &demand);
    void tryStartLoad(ModelDemand &demand, const ModelRule &rule);
    bool requestBaseIfMissing(const ModelDemand &demand, const ModelRule &adapter);
    void addMinReplicaDemands();
    int desiredReplicas(const ModelRule &model) const;
    bool canServeHere(const EndpointView &view) const;
    bool areAllReplicasElsewhere(const ModelRule &model, const Placement &placement) const;
    bool isActive(const ModelDemand &demand) const;
    EndpointView *chooseEndpoint(const ModelRule &model, const ZoneName &zone);
    std::uint64_t freeBytes(const EndpointView &view) const;
    std::uint64_t capacity(const EndpointView &view) const;
    CheckpointTier checkpointTier(const EndpointView &view, const ModelName &model) const;
    Duration estimateLoad(const ModelRule &model, CheckpointTier tier) const;
    bool isLoadUseful(const ModelDemand &demand, Duration loadTime) const;
    bool tryFreeMemory(const ModelRule &model, const ZoneName &zone);
    std::optional<std::vector<LedgerEntry>> findVictims(const EndpointView &view,
                                                        std::uint64_t bytes) const;
    bool isUnloadWanted(const EndpointView &view, const LedgerEntry &entry, const EntryView &seen);
    bool isIdleTooLong(const EndpointView &view, const LedgerEntry &entry, const EntryView &seen,
                       const ModelRule &rule);
    Duration idleTime(const EndpointView &view, const LedgerEntry &entry,
                      const EntryView &seen) const;
    bool isBaseInUse(const EndpointView &view, const LedgerEntry &entry) const;
    void refuse(ModelDemand &demand, RefusalReason reason, std::string message, std::string remedy,
                Duration retryAfter);
    std::tuple<SteadyTime, std::int64_t, double> loadRank(const ModelName &model) const;
    std::size_t countOwnRequests(const EndpointId &endpoint, const ModelName &model) const;

    PlacementOptions m_options;
    InstanceId m_self;
    const Clock &m_clock;
    RandomSource &m_random;
    StoreSession m_store;
    IdlePolicy m_idlePolicy;
    std::shared_ptr<const Configuration> m_configuration;
    std::map<EndpointId, EndpointView> m_views;
    std::map<ModelName, PlacementView> m_placements;
    ActiveLoads m_activeLoads;
    std::map<ReplicaId, ReplicaTask> m_tasks;
    std::map<ModelName, ModelDemand> m_demands;
    std::map<ModelName, SteadyTime> m_lastUse;
    std::map<std::pair<ModelName, CheckpointTier>, Duration> m_loadTimes;
    std::vector<RunningRequests> m_running;
    std::size_t m_instances = 1;
    SteadyTime m_nextSlotAttempt;
    SteadyTime m_nextMinReplicaCheck;
    /// Models whose placement was read since the last decision about loads.
    std::vector<ModelName> m_placementsRead;
    std::vector<PlacementAction> m_actions;
};

std::string ledgerKey(const EndpointId &endpoint);
std::string placementKey(const ModelName &model);
std::string activeLoadsKey();

} // namespace marigoldspool

#endif
