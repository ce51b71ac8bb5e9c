#ifndef MARIGOLDSPOOL_PLACEMENT_PLACEMENTENGINE_H
#define MARIGOLDSPOOL_PLACEMENT_PLACEMENTENGINE_H

#include "marigoldspool/Config/Configuration.h"
#include "marigoldspool/Platform/ObjectStore.h"
#include "marigoldspool/Support/Clock.h"
#include "marigoldspool/Support/Error.h"
#include "marigoldspool/Support/Identifiers.h"
#include "marigoldspool/Support/RandomSource.h"
#include "marigoldspool/Support/Refusal.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace marigoldspool {

struct PlacementOptions {
    /// Zone of this instance.
    ZoneName zone;
    /// Model loads at once over all instances; the weight store serves four at full speed.
    std::size_t maxActiveLoads = 4;
    /// Model loads started a second over all instances.
    std::size_t loadsPerSecond = 5;
    /// Adapter loads at once over all instances; each takes an equal part, at least one.
    std::size_t maxAdapterLoads = 30;
    /// Greatest estimate for the load of a model that has not been loaded yet.
    Duration maxAssumedLoadTime = Duration::max();
    /// How long after its ledger write was issued an order may be sent.
    Duration orderValidity = std::chrono::seconds(5);
    /// Longest time that a sent order is under way to an endpoint that ignores fencing numbers.
    Duration maxOrderTransit = std::chrono::seconds(2);
    /// Greatest age of what a status says when it arrives.
    Duration maxStatusLag = std::chrono::seconds(2);
    /// A status older than this says nothing about what can be served.
    Duration statusExpiry = std::chrono::seconds(5);
    /// Another instance's step is taken over after this long without a change.
    Duration takeoverTimeout = std::chrono::seconds(10);
    /// How long an unloading mark stands before the order, so that other instances read it.
    Duration unloadNoticePeriod = std::chrono::seconds(1);
    /// Longest wait for an engine that does not say which model its requests run on.
    Duration unloadDrainTimeout = std::chrono::seconds(30);
    Duration minIdleTimeout = std::chrono::seconds(30);
    Duration maxIdleTimeout = std::chrono::minutes(30);
};

/// Where an endpoint holds a copy of a checkpoint.
enum class CheckpointTier {
    Memory,
    Disk,
    Remote,
};

struct CachedCheckpoint {
    ModelName model;
    CheckpointTier tier = CheckpointTier::Remote;
};

enum class EngineModelState {
    Loading,
    Loaded,
    Unloading,
};

struct EngineModel {
    ModelName model;
    std::string version;
    std::uint64_t bytes = 0;
    EngineModelState state = EngineModelState::Loaded;
};

/// The answer to one `GET /engine/status`. Statuses of one endpoint must be passed in the order in
/// which they were asked for, with at most one question under way.
struct EngineStatus {
    EndpointId endpoint;
    /// Distinguishes runs of one engine.
    std::string incarnation;
    std::uint64_t memoryTotal = 0;
    std::uint64_t memoryUsed = 0;
    std::vector<EngineModel> models;
    /// Requests running and waiting at the engine, of all instances.
    int running = 0;
    int waiting = 0;
    std::uint64_t completed = 0;
    /// Highest fencing number that this run has accepted.
    std::uint64_t lastFencing = 0;
    std::vector<CachedCheckpoint> cached;
    /// When the question was sent.
    SteadyTime requestedAt;
};

enum class OrderAction {
    Load,
    Unload,
};

struct EngineOrder {
    OrderId id;
    EndpointId endpoint;
    OrderAction action = OrderAction::Load;
    ModelName model;
    std::string version;
    std::uint64_t bytes = 0;
    std::uint64_t fencing = 0;
    /// The order must not be sent at or after this time.
    SteadyTime sendDeadline;
};

/// Whether \p order may still be written to the socket. The sender calls it right before the
/// write: a process that was paused since the ledger write must not send an order that other
/// instances take to be no longer under way.
bool canSendOrder(const EngineOrder &order, SteadyTime now);
/// The `valid_ms` of the order when sent at \p now.
std::int64_t remainingValidityMs(const EngineOrder &order, SteadyTime now);

/// What waits for one model at this instance.
struct Demand {
    ModelName model;
    /// Requests queued.
    std::size_t waiting = 0;
    SteadyTime earliestDeadline;
    /// Zone of the callers.
    ZoneName zone;
    /// A load that finishes after this helps none of the requests; zero means earliestDeadline.
    SteadyTime latestDeadline;
    /// Requests that arrived since the previous DemandUpdate for the model.
    std::size_t arrived = 0;
    /// How long the last request in the queue waits with the ready replicas.
    Duration predictedWait = Duration::zero();
    /// The zone that is preferred for the model could not serve these requests in time, so replicas
    /// in other zones do not help them.
    bool overflow = false;
    /// Part of its due that the worst-served workspace in the queue has received; 1 is all.
    double minServedFraction = 1;
};

/// Passed at the home instance of the model: when a request is queued, and at least each second
/// while requests wait. One with waiting 0 ends the demand; one with arrived above 0 counts as use
/// of the model, so it is passed also for requests that did not wait.
struct DemandUpdate {
    Demand demand;
};

/// The answer to the StoreGet or StorePut with the same token. After a StorePut only the version
/// of the object is used.
struct StoreReply {
    std::uint64_t token = 0;
    Expected<StoredObject> object;
};

/// The answer to a SendOrder: no value or one of these errors.
///   StaleFencing, InsufficientMemory: the engine's 409 and 507.
///   Unavailable: no byte was sent, or canSendOrder() forbade it.
///   any other: it may have been sent.
struct OrderReply {
    OrderId order;
    Expected<void> result;
};

/// Requests that this instance has under way at an endpoint.
struct RunningRequests {
    EndpointId endpoint;
    ModelName model;
    std::size_t count = 0;
};

/// Passed about every 100 ms.
struct Tick {
    /// All requests of this instance that are under way at engines.
    std::vector<RunningRequests> runningRequests;
    /// Live instances, this one included.
    std::size_t instanceCount = 1;
};

struct ConfigurationChanged {
    std::shared_ptr<const Configuration> configuration;
};

using PlacementEvent =
    std::variant<DemandUpdate, EngineStatus, StoreReply, OrderReply, Tick, ConfigurationChanged>;

struct StoreGet {
    std::uint64_t token = 0;
    std::string key;
};

struct StorePut {
    std::uint64_t token = 0;
    std::string key;
    /// 0: the object must not exist.
    std::uint64_t expectedVersion = 0;
    std::string value;
    WriteId writeId;
};

/// `POST /engine/orders` to the order's endpoint, after canSendOrder().
struct SendOrder {
    EngineOrder order;
};

/// Requests for the model can be sent to the endpoint.
struct ReplicaReady {
    ModelName model;
    EndpointId endpoint;
};

/// No new requests for the model may be sent to the endpoint; those running there go on.
struct ReplicaNotReady {
    ModelName model;
    EndpointId endpoint;
};

/// Requests waiting for the model cannot be served by a load in time. Passed at most once a second
/// for a model while its demand lasts.
struct LoadRefused {
    ModelName model;
    /// NoCapacity, DeadlineTooShort, StoreUnavailable, ZoneDrained or ModelUnknown.
    RefusalReason reason = RefusalReason::NoCapacity;
    std::string message;
    std::string remedy;
    Duration retryAfter = Duration::zero();
};

using PlacementAction =
    std::variant<StoreGet, StorePut, SendOrder, ReplicaReady, ReplicaNotReady, LoadRefused>;

/// Decides which model is loaded on which engine and carries the decisions out with other
/// instances, through conditional writes to the platform's store. Performs no I/O.
class PlacementEngine
{
public:
    PlacementEngine(PlacementOptions options, InstanceId self, const Clock &clock,
                    RandomSource &random);
    ~PlacementEngine();
    PlacementEngine(const PlacementEngine &) = delete;
    PlacementEngine &operator=(const PlacementEngine &) = delete;

    std::vector<PlacementAction> handle(const PlacementEvent &event);
    /// Endpoints to which requests for \p model can be sent, in order of their names.
    std::vector<EndpointId> readyEndpoints(const ModelName &model) const;
    /// Endpoints with an order under way, and those of other zones on which a demanded adapter
    /// can be loaded. Asking for their status every 50 to 100 ms instead of each second shortens
    /// cold starts; those of other zones have to be asked, or the adapter is not loaded.
    std::vector<EndpointId> endpointsToPoll() const;

private:
    class State;
    std::unique_ptr<State> m_state;
};

} // namespace marigoldspool

#endif
