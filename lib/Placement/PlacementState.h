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

/// When this instance first saw a ledger entry in its present state.
struct EntryView {
    EntryState state = EntryState::Reserved;
    OrderId order;
    SteadyTime since;
};

/// What this instance knows of one engine.
struct EndpointView {
    EndpointRule rule;
    std::optional<EngineStatus> status;
    bool ledgerKnown = false;
    std::uint64_t ledgerVersion = 0;
    Ledger ledger;
    SteadyTime ledgerCheckedAt;
    SteadyTime nextLedgerRead;
    std::map<ReplicaId, EntryView> entries;
    /// Models for which ReplicaReady was the last that was reported.
    std::set<ModelName> ready;
    /// When the engine last had requests.
    SteadyTime busyAt;

    const EngineModel *findLoaded(const ModelName &model) const;
};

/// What this instance knows of one model's placement.
struct PlacementView {
    Placement value;
    std::uint64_t version = 0;
    /// When this version was first seen, and when the store was last read.
    SteadyTime since;
    SteadyTime checkedAt;
    SteadyTime nextRead;
    /// When this instance last tried to enter itself as the user.
    SteadyTime touchedAt;
};

/// One replica that this instance loads, unloads or cleans up after.
struct Work {
    enum class Step {
        Reserve,
        Place,
        TakeSlot,
        Order,
        Await, ///< The ledger entry and the engine's status decide what comes next.
        Clear, ///< The entry is gone; placement and active load are being removed.
    };
    ReplicaId replica;
    ModelName model;
    EndpointId endpoint;
    std::string version;
    std::uint64_t bytes = 0;
    CheckpointTier place = CheckpointTier::Remote;
    Step step = Step::Await;
    /// A store update for this replica is under way.
    bool busy = false;
    bool abandoned = false;
    SteadyTime startedAt;
    SteadyTime retryAt;
    int attempts = 0;
    /// The latest order marked by this instance, its number, and what became of it.
    OrderId order;
    std::uint64_t fencing = 0;
    bool sent = false;
    SteadyTime sentAt;
    std::optional<Expected<void>> reply;

    bool waitsForSlot() const { return step == Step::TakeSlot && !abandoned; }
};

struct ModelDemand {
    Demand demand;
    SteadyTime seenAt;
    SteadyTime retryAt;
    SteadyTime refusedAt;
    SteadyTime nextOrphanCheck;
    /// The demand stands for min-replicas, not for requests.
    bool standing = false;
};

class PlacementEngine::State
{
public:
    State(PlacementOptions options, InstanceId self, const Clock &clock, RandomSource &random);

    std::vector<PlacementAction> handle(const PlacementEvent &event);
    std::vector<EndpointId> readyEndpoints(const ModelName &model) const;
    std::vector<EndpointId> endpointsToPoll() const;

private:
    // PlacementEngine.cpp: events, views of endpoints, readiness.
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
    /// Whether the status was taken for certain after \p time.
    bool reflects(const EndpointView &view, SteadyTime time) const;
    bool isUsable(const EndpointView &view, const ModelRule &model) const;
    EndpointView *findView(const EndpointId &endpoint);
    Work *findWork(const ReplicaId &replica);
    const ModelRule *findModel(const ModelName &model) const;
    /// Null until the placement has been read.
    const Placement *findPlacement(const ModelName &model) const;
    void readPlacement(const ModelName &model, Duration interval);
    void noteUse(const ModelName &model);
    Duration jittered(Duration duration);

    // LoadSteps.cpp: the steps of a load up to its order, and the order itself.
    void startLoad(const ModelRule &model, EndpointView &view);
    void continueLoad(Work &work);
    void reserve(Work &work);
    void place(Work &work);
    void takeSlot(Work &work);
    void removeStaleSlots();
    void removeOrphans(const ModelName &model);
    void confirmGone(const ReplicaId &replica, const EndpointId &endpoint, bool orLoaded,
                     std::function<void()> then);
    void removeSlot(const ReplicaId &replica);
    static StoreSession::Change placementWithout(const ReplicaId &replica, const ModelName &model);
    bool mayTakeAdapterPlace() const;
    void markOrdered(Work &work);
    void send(Work &work, OrderAction action, const WriteOutcome &written);
    void abandon(Work &work);
    void clear(Work &work);
    void forget(const ReplicaId &replica);
    using LedgerChange = std::function<Expected<Ledger>(const Ledger &ledger)>;
    /// \p done is called only while the work still exists.
    using WorkDone = std::function<void(Work &work, const Expected<WriteOutcome> &outcome)>;
    void changeLedger(Work &work, LedgerChange change, WorkDone done);
    void updateFor(Work &work, const std::string &key, StoreSession::Change change, WorkDone done);

    // Reconcile.cpp: what follows from ledger entries and statuses.
    void reconcile(EndpointView &view);
    void clearAbsent(const EndpointView &view);
    void reconcileEntry(EndpointView &view, const LedgerEntry &entry, const EntryView &seen);
    void reconcileReserved(const LedgerEntry &entry, bool takeOver);
    void reconcileOrdered(EndpointView &view, const LedgerEntry &entry, const EntryView &seen);
    void reconcileLoaded(EndpointView &view, const LedgerEntry &entry, const EntryView &seen);
    void reconcileUnloading(EndpointView &view, const LedgerEntry &entry, const EntryView &seen);
    void resolveRefused(Work &work, const LedgerEntry &entry);
    void finishLoad(Work &work, const LedgerEntry &entry);
    void noteLoadTime(const Work &work);
    void startUnload(EndpointView &view, const LedgerEntry &entry);
    void orderUnload(Work &work, const EndpointView &view);
    void repeatUnload(Work &work, const LedgerEntry &entry);
    bool isDrained(const EndpointView &view, const LedgerEntry &entry, const EntryView &seen) const;
    bool isUnloadConfirmed(const EndpointView &view, const LedgerEntry &entry,
                           const Work &work) const;
    void release(Work &work, const LedgerEntry &entry);
    bool isOrderDead(const EndpointView &view, const EntryView &seen) const;
    Work &adoptWork(const LedgerEntry &entry, const EndpointId &endpoint);

    // LoadDecision.cpp: which model to load and where, and what to unload.
    void decideLoads();
    void decideLoad(ModelDemand &demand);
    void beginLoad(ModelDemand &demand, const ModelRule &rule);
    bool requestBase(const ModelDemand &demand, const ModelRule &adapter);
    void addStandingDemands();
    int desiredReplicas(const ModelRule &model) const;
    bool canServeHere(const EndpointView &view) const;
    bool isFullElsewhere(const ModelRule &model, const Placement &placement) const;
    bool isActive(const ModelDemand &demand) const;
    EndpointView *chooseEndpoint(const ModelRule &model, const ZoneName &zone);
    std::uint64_t freeBytes(const EndpointView &view) const;
    std::uint64_t capacity(const EndpointView &view) const;
    CheckpointTier checkpointPlace(const EndpointView &view, const ModelName &model) const;
    Duration estimateLoad(const ModelRule &model, CheckpointTier place) const;
    bool helpsAnyone(const ModelDemand &demand, Duration loadTime) const;
    bool makeRoom(const ModelRule &model, const ZoneName &zone);
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
    std::size_t runningHere(const EndpointId &endpoint, const ModelName &model) const;

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
    std::map<ReplicaId, Work> m_works;
    std::map<ModelName, ModelDemand> m_demands;
    std::map<ModelName, SteadyTime> m_lastUse;
    std::map<std::pair<ModelName, CheckpointTier>, Duration> m_loadTimes;
    std::vector<RunningRequests> m_running;
    std::size_t m_instances = 1;
    SteadyTime m_nextSlotTry;
    SteadyTime m_nextStandingCheck;
    /// Models whose placement was read since the last decision.
    std::vector<ModelName> m_placementsRead;
    std::vector<PlacementAction> m_actions;
};

std::string ledgerKey(const EndpointId &endpoint);
std::string placementKey(const ModelName &model);
std::string activeLoadsKey();

} // namespace marigoldspool

#endif
