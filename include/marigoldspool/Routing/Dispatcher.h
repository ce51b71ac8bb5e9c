#ifndef MARIGOLDSPOOL_ROUTING_DISPATCHER_H
#define MARIGOLDSPOOL_ROUTING_DISPATCHER_H

#include "marigoldspool/Config/Configuration.h"
#include "marigoldspool/Routing/EndpointState.h"
#include "marigoldspool/Routing/FairQueue.h"
#include "marigoldspool/Routing/Request.h"
#include "marigoldspool/Routing/RetryPolicy.h"
#include "marigoldspool/Routing/WaitEstimator.h"
#include "marigoldspool/Support/Clock.h"
#include "marigoldspool/Support/Metrics.h"
#include "marigoldspool/Support/Refusal.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace marigoldspool {

/// Grants this instance slots (concurrent requests) at endpoints; the total over all instances is
/// limited.
class SlotSource
{
public:
    virtual ~SlotSource();
    /// \p maxHoldTime is the longest time for which the slot may be held.
    virtual bool tryTakeSlot(const EndpointId &endpoint, Duration maxHoldTime) = 0;
    virtual void returnSlot(const EndpointId &endpoint) = 0;
    /// Sets the total number of slots of \p endpoint over all instances.
    virtual void setSlots(const EndpointId &endpoint, int slots) = 0;
};

struct SendToEndpoint {
    RequestId request;
    EndpointId endpoint;
};

/// Ends an unserved request with a refusal to its caller.
struct RefuseRequest {
    RequestId request;
    Refusal refusal;
};

/// Reports to placement the requests that wait for a model and those that have arrived for it.
struct ReportDemand {
    ModelName model;
    std::size_t waiting = 0;
    /// The earliest and latest deadline of the waiting requests.
    SteadyTime earliestDeadline;
    SteadyTime latestDeadline;
    /// Requests that arrived since the last report for the model.
    std::size_t arrived = 0;
    /// Predicted wait of the last request in the queue with the current replicas.
    Duration predictedWait = Duration::zero();
    /// Whether they include requests that the preferred zone could not serve in time.
    bool overflow = false;
};

/// Closes the connection of the request's current attempt and discards its answer.
struct CancelAtEndpoint {
    RequestId request;
    EndpointId endpoint;
};

/// Reports that an endpoint refused a request because a model listed as loaded there is not loaded.
struct ModelNotLoaded {
    EndpointId endpoint;
    ModelName model;
};

using DispatchAction =
    std::variant<SendToEndpoint, RefuseRequest, ReportDemand, CancelAtEndpoint, ModelNotLoaded>;
using DispatchActions = std::vector<DispatchAction>;

struct DispatcherOptions {
    ZoneName zone;
    std::size_t maxQueuedPerTarget = 1000;
    /// Predicted wait for a model that no usable endpoint has loaded.
    Duration assumedColdStart = std::chrono::seconds(5);
    /// Requests are refused this long before their deadline, so that the refusal arrives in time.
    Duration refusalMargin = std::chrono::milliseconds(30);
};

/// Queues requests for the targets whose home instance this is, selects endpoints, and enforces
/// retries and deadlines.
///
/// Every submitted request ends in exactly one of: a RefuseRequest action, an Answered result, or a
/// call of cancel().
class Dispatcher
{
public:
    Dispatcher(DispatcherOptions options, const Clock &clock, SlotSource &slots, Metrics &metrics);

    DispatchActions onConfiguration(std::shared_ptr<const Configuration> configuration);
    DispatchActions submit(Request request);
    /// Handles the end of a request's current attempt; unknown requests are ignored.
    DispatchActions onEndpointResult(const RequestId &id, EndpointOutcome outcome);
    /// The first part of the answer has been forwarded; the request is not retried from now on.
    void onAnswerStarted(const RequestId &id);
    /// Drops a request whose caller has disconnected.
    DispatchActions cancel(const RequestId &id);
    /// Sets the endpoints that have \p model loaded.
    DispatchActions onReplicas(const ModelName &model, std::vector<EndpointId> endpoints);
    /// \p model will not be loaded for the waiting requests; they are refused with \p refusal
    /// unless a usable endpoint has it loaded.
    DispatchActions onLoadRefused(const ModelName &model, const Refusal &refusal);
    DispatchActions onEndpointStatus(const EndpointId &endpoint, std::string_view incarnation,
                                     std::uint64_t completed);
    /// Refuses overdue requests and reports demand. Call at least every few tens of milliseconds
    /// while requests are queued or in flight.
    DispatchActions onTick();

    /// A planned stop ends at \p end: queued requests that cannot be served by then are refused,
    /// now and from now on.
    DispatchActions stopBy(SteadyTime end);
    /// Refuses all queued requests, since the instance stops now.
    DispatchActions refuseQueued();
    /// Cancels and refuses a request in flight, since the instance stops now.
    DispatchActions abandon(const RequestId &id);

    std::size_t queuedCount() const;
    std::size_t inFlightCount() const { return m_inFlight.size(); }
    /// Number of requests in flight for one model at one endpoint.
    struct RunningCount {
        EndpointId endpoint;
        ModelName model;
        std::size_t count = 0;
    };
    std::vector<RunningCount> runningCounts() const;
    /// Lengths of the non-empty queues by target key.
    std::map<std::string, std::size_t> queueLengths() const;
    /// Slots and requests in flight of one endpoint.
    struct EndpointSnapshot {
        EndpointId id;
        int slots = 0;
        int inFlight = 0;
        bool available = false;
    };
    std::vector<EndpointSnapshot> endpointSnapshots() const;
    /// Returns the predicted wait of a new request, or nullopt if no endpoint can serve it.
    std::optional<Duration> predictWait(const Request &request) const;

private:
    struct InFlightRequest {
        Request request;
        EndpointId endpoint;
        SteadyTime sentAt;
        bool answerStarted = false;
    };
    struct TargetState {
        Target target;
        FairQueue queue;
        WaitEstimator waitEstimator;
        /// Time of the last sample passed to \c waitEstimator.
        SteadyTime lastMeasuredAt;
        std::vector<EndpointId> replicas;
        /// Number of requests in flight.
        std::size_t runningCount = 0;
        std::size_t arrived = 0;
        bool overflow = false;
        std::size_t reportedWaiting = 0;
        SteadyTime reportedAt;
    };

    TargetState &targetState(const Target &target);
    const TargetState *findTarget(const Target &target) const;
    /// \p submitted is the request that has just been submitted, if any.
    void dispatch(TargetState &state, DispatchActions &actions, const RequestId &submitted = {});
    std::optional<EndpointId> chooseEndpoint(const TargetState &state);
    Duration maxHoldTime(const TargetState &state) const;
    bool isUsable(const EndpointId &endpoint) const;
    bool hasUsableEndpoint(const TargetState &state) const;
    int usableSlots(const TargetState &state) const;
    void reportDemand(TargetState &state, DispatchActions &actions);
    void reportDemandIfDue(TargetState &state, DispatchActions &actions);
    Duration predictQueueWait(const TargetState &state) const;
    Duration expectedRunTime(const TargetState &state, const Request &request) const;
    bool canProbe(const TargetState &state, const Request &request) const;
    std::optional<Request> popServable(TargetState &state, DispatchActions &actions,
                                       const RequestId &submitted);
    void refuse(const Request &request, Refusal refusal, DispatchActions &actions);
    void refuseWithdrawnKeys(DispatchActions &actions);
    void expireInFlight(SteadyTime now, DispatchActions &actions);
    void recordEndpointResult(const InFlightRequest &inFlight, EndpointOutcome outcome);
    void retryOrGiveUp(const InFlightRequest &inFlight, EndpointOutcome outcome,
                       DispatchActions &actions);
    void refuseAll(TargetState &state, const Refusal &refusal, DispatchActions &actions);
    /// Whether a request that is answered after \p remaining is answered too late for the stop.
    bool outlastsStop(Duration remaining) const;
    std::vector<RequestId> queuedPastStop(const TargetState &state) const;
    bool isKeyActive(const Request &request) const;
    void updateSlots(const EndpointId &endpoint);
    void updatePools();

    DispatcherOptions m_options;
    const Clock &m_clock;
    SlotSource &m_slots;
    Metrics &m_metrics;
    std::shared_ptr<const Configuration> m_configuration;
    /// The end of a planned stop, once it has begun.
    SteadyTime m_stopEnd = SteadyTime::max();
    std::map<std::string, TargetState> m_targets;
    std::unordered_map<RequestId, InFlightRequest> m_inFlight;
    std::map<EndpointId, EndpointBehaviour> m_endpoints;
};

} // namespace marigoldspool

#endif
