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
    /// Concurrent model loads over all instances; the weight store serves four at full speed.
    std::size_t maxActiveLoads = 4;
    /// Model loads started per second over all instances.
    std::size_t loadsPerSecond = 5;
    /// Concurrent adapter loads over all instances, divided equally among them with at least one
    /// for each.
    std::size_t maxAdapterLoads = 30;
    /// Upper bound of the estimated load time of a model that has not been loaded yet.
    Duration maxAssumedLoadTime = Duration::max();
    /// How long after its ledger write was issued an order can be sent.
    Duration orderValidity = std::chrono::seconds(5);
    /// Longest time that a sent order is in flight to an endpoint that ignores fencing numbers.
    Duration maxOrderTransit = std::chrono::seconds(2);
    /// Greatest age of the engine state in a status when the engine answers.
    Duration maxStatusLag = std::chrono::seconds(2);
    /// A status older than this is not used to decide which replicas are ready.
    Duration statusExpiry = std::chrono::seconds(5);
    /// An instance takes over an entry of another instance that has not changed for this long.
    Duration takeoverTimeout = std::chrono::seconds(10);
    /// Time between marking a replica as unloading and the unload order, in which the other
    /// instances read the mark and stop sending requests.
    Duration unloadNoticePeriod = std::chrono::seconds(1);
    /// Longest wait for an engine to become idle before an unload; its status does not tell which
    /// model its requests run on.
    Duration unloadDrainTimeout = std::chrono::seconds(30);
    Duration minIdleTimeout = std::chrono::seconds(30);
    Duration maxIdleTimeout = std::chrono::minutes(30);
};

/// Where an endpoint can read a checkpoint from, the fastest first.
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

/// The response to one `GET /engine/status`. Statuses of one endpoint must be passed in the order
/// in which they were requested, with at most one request in flight.
struct EngineStatus {
    EndpointId endpoint;
    /// Differs between runs of one engine.
    std::string incarnation;
    std::uint64_t memoryTotal = 0;
    std::uint64_t memoryUsed = 0;
    std::vector<EngineModel> models;
    /// Requests of all instances that are running and waiting at the engine.
    int running = 0;
    int waiting = 0;
    std::uint64_t completed = 0;
    /// Highest fencing number that this run has accepted.
    std::uint64_t lastFencing = 0;
    std::vector<CachedCheckpoint> cached;
    /// When the request was sent.
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
    /// The order must be sent before this time.
    SteadyTime sendDeadline;
};

/// Whether \p order can still be written to the socket. The sender calls it right before the
/// write: a process that was paused since the ledger write must not send an order that other
/// instances consider expired.
bool canSendOrder(const EngineOrder &order, SteadyTime now);
/// The `valid_ms` field of the order when sent at \p now.
std::int64_t remainingValidityMs(const EngineOrder &order, SteadyTime now);

/// Requests for one model that wait at this instance.
struct Demand {
    ModelName model;
    /// Requests queued.
    std::size_t waiting = 0;
    SteadyTime earliestDeadline;
    /// Zone of the callers.
    ZoneName zone;
    /// A load that finishes after this is too late for all of the requests; zero means
    /// earliestDeadline.
    SteadyTime latestDeadline;
    /// Requests that arrived since the previous DemandUpdate for the model.
    std::size_t arrived = 0;
    /// Predicted wait of the last request in the queue with the replicas that are ready.
    Duration predictedWait = Duration::zero();
    /// The preferred zone of the model could not serve these requests in time, so replicas in other
    /// zones do not help them.
    bool overflow = false;
    /// Fraction of its fair share that the worst-served workspace in the queue has received.
    double minServedFraction = 1;
};

/// Passed at the home instance of the model when a request is queued, and at least once a second
/// while requests wait. An update with waiting 0 ends the demand. One with arrived above 0 counts
/// as use of the model, so it is also passed for requests that did not wait.
struct DemandUpdate {
    Demand demand;
};

/// The result of the StoreGet or StorePut with the same token. After a StorePut only the version
/// of the object is used.
struct StoreReply {
    std::uint64_t token = 0;
    Expected<StoredObject> object;
};

/// The result of a SendOrder: success or one of these errors.
///   StaleFencing, InsufficientMemory: the engine answered 409 or 507.
///   Unavailable: no byte was sent, or canSendOrder() forbade it.
///   any other: the order may have been sent.
struct OrderReply {
    OrderId order;
    Expected<void> result;
};

/// Requests of this instance that are running at an endpoint.
struct RunningRequests {
    EndpointId endpoint;
    ModelName model;
    std::size_t count = 0;
};

/// Passed about every 100 ms.
struct Tick {
    /// All requests of this instance that are running at engines.
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

/// The endpoint can now serve requests for the model.
struct ReplicaReady {
    ModelName model;
    EndpointId endpoint;
};

/// No new requests for the model may be sent to the endpoint; those running there continue.
struct ReplicaNotReady {
    ModelName model;
    EndpointId endpoint;
};

/// No load can serve the waiting requests for the model in time. Reported at most once a second for
/// each model with demand.
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

/// Decides which model is loaded on which engine, and coordinates loads and unloads with the other
/// instances through conditional writes to the platform's store. Performs no I/O.
class PlacementEngine
{
public:
    PlacementEngine(PlacementOptions options, InstanceId self, const Clock &clock,
                    RandomSource &random);
    ~PlacementEngine();
    PlacementEngine(const PlacementEngine &) = delete;
    PlacementEngine &operator=(const PlacementEngine &) = delete;

    std::vector<PlacementAction> handle(const PlacementEvent &event);
    /// Endpoints to which requests for \p model can be sent, sorted by name.
    std::vector<EndpointId> readyEndpoints(const ModelName &model) const;
    /// Endpoints with an order in progress, and those of other zones on which a demanded adapter
    /// can be loaded. Polling their status every 50 to 100 ms instead of every second shortens cold
    /// starts. Without a status from the other zones the adapter is not loaded.
    std::vector<EndpointId> endpointsToPoll() const;

private:
    class State;
    std::unique_ptr<State> m_state;
};

} // namespace marigoldspool

#endif
