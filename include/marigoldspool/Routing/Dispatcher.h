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

/// Slots of endpoints that this instance may use; their sum over all instances is limited.
class SlotSource
{
public:
    virtual ~SlotSource();
    /// \p left: how long the slot may be held, until the request's deadline.
    virtual bool tryTakeSlot(const EndpointId &endpoint, Duration left) = 0;
    virtual void returnSlot(const EndpointId &endpoint) = 0;
    /// Limits the slots of \p endpoint over all instances together.
    virtual void setSlots(const EndpointId &endpoint, int slots) = 0;
};

struct SendToEndpoint {
    RequestId request;
    EndpointId endpoint;
};

/// The final answer to a request that is not served.
struct RefuseRequest {
    RequestId request;
    Refusal refusal;
};

/// Use of a model: requests that wait for it, or that have arrived for it.
struct ReportDemand {
    ModelName model;
    std::size_t waiting = 0;
    /// Of the requests that wait.
    SteadyTime earliestDeadline;
    SteadyTime latestDeadline;
    /// Requests that arrived since the last note for the model.
    std::size_t arrived = 0;
    /// How long the last request in the queue waits with the replicas at hand.
    Duration predictedWait = Duration::zero();
    /// Requests that the preferred zone could not serve in time are among them.
    bool overflow = false;
};

/// The connection of the request's try has to be closed; its answer is not wanted any more.
struct CancelAtEndpoint {
    RequestId request;
    EndpointId endpoint;
};

/// An endpoint said that it does not hold a model that was taken for loaded.
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
    /// Assumed for a model that is not loaded and has no history.
    Duration assumedColdStart = std::chrono::seconds(5);
    /// A refusal leaves this much ahead of the deadline, so that it arrives in time.
    Duration refusalMargin = std::chrono::milliseconds(30);
};

/// Queues, endpoint choice, retries and deadlines of the requests whose home this instance is.
///
/// Every submitted request ends in exactly one of: an RefuseRequest action, an Answered result, or
/// a call of cancel().
class Dispatcher
{
public:
    Dispatcher(DispatcherOptions options, const Clock &clock, SlotSource &slots, Metrics &metrics);

    DispatchActions onConfiguration(std::shared_ptr<const Configuration> configuration);
    DispatchActions submit(Request request);
    /// The current try of a request has ended; unknown requests are ignored.
    DispatchActions onEndpointResult(const RequestId &id, EndpointOutcome outcome);
    /// The first part of the answer has been passed on; no other try is made from now on.
    void onAnswerStarted(const RequestId &id);
    /// The caller has gone.
    DispatchActions cancel(const RequestId &id);
    /// The endpoints that hold \p model at present.
    DispatchActions onReplicas(const ModelName &model, std::vector<EndpointId> endpoints);
    /// No load helps the requests that wait for \p model; they are refused with \p refusal unless
    /// a replica serves them.
    DispatchActions onLoadRefused(const ModelName &model, const Refusal &refusal);
    DispatchActions onEndpointStatus(const EndpointId &endpoint, std::string_view incarnation,
                                     std::uint64_t completed);
    /// Call at least every few tens of milliseconds while requests are open.
    DispatchActions onTick();

    std::size_t queuedCount() const;
    std::size_t inFlightCount() const { return m_inFlight.size(); }
    /// Requests in flight by endpoint and model.
    struct RunningCount {
        EndpointId endpoint;
        ModelName model;
        std::size_t count = 0;
    };
    std::vector<RunningCount> runningCounts() const;
    /// Queue length by target key.
    std::map<std::string, std::size_t> queueLengths() const;
    /// Slots and requests in flight by endpoint.
    struct EndpointSnapshot {
        EndpointId id;
        int slots = 0;
        int inFlight = 0;
        bool available = false;
    };
    std::vector<EndpointSnapshot> endpointSnapshots() const;
    /// Predicted wait of a new request, if it can be served at all.
    std::optional<Duration> predictWait(const Request &request) const;

private:
    struct InFlight {
        Request request;
        EndpointId endpoint;
        SteadyTime sentAt;
        bool answerStarted = false;
    };
    struct TargetState {
        Target target;
        FairQueue queue;
        WaitEstimator waits;
        /// When a run last told \c waits how long it took.
        SteadyTime measuredAt;
        std::vector<EndpointId> replicas;
        /// Requests in flight.
        std::size_t running = 0;
        std::size_t arrived = 0;
        bool overflow = false;
        std::size_t notedWaiting = 0;
        SteadyTime notedAt;
    };

    TargetState &targetState(const Target &target);
    const TargetState *findTarget(const Target &target) const;
    /// \p fresh: the request that has just been submitted, if any.
    void dispatch(TargetState &state, DispatchActions &actions, const RequestId &fresh = {});
    std::optional<EndpointId> chooseEndpoint(const TargetState &state);
    Duration longestHold(const TargetState &state) const;
    bool isUsable(const EndpointId &endpoint) const;
    bool hasUsableEndpoint(const TargetState &state) const;
    int usableSlots(const TargetState &state) const;
    void noteDemand(TargetState &state, DispatchActions &actions);
    void noteDemandIfDue(TargetState &state, DispatchActions &actions);
    Duration predictLastWait(const TargetState &state) const;
    Duration expectedRun(const TargetState &state, const Request &request) const;
    bool mayProbe(const TargetState &state, const Request &request) const;
    std::optional<Request> popServable(TargetState &state, DispatchActions &actions,
                                       const RequestId &fresh);
    void refuse(const Request &request, Refusal refusal, DispatchActions &actions);
    void refuseWithdrawn(DispatchActions &actions);
    void expireInFlight(SteadyTime now, DispatchActions &actions);
    void settleEndpoint(const InFlight &flight, EndpointOutcome outcome);
    void retryOrGiveUp(const InFlight &flight, EndpointOutcome outcome, DispatchActions &actions);
    void refuseAll(TargetState &state, const Refusal &refusal, DispatchActions &actions);
    bool isKeyInForce(const Request &request) const;
    void updateSlots(const EndpointId &endpoint);
    void updatePools();

    DispatcherOptions m_options;
    const Clock &m_clock;
    SlotSource &m_slots;
    Metrics &m_metrics;
    std::shared_ptr<const Configuration> m_configuration;
    std::map<std::string, TargetState> m_targets;
    std::unordered_map<RequestId, InFlight> m_inFlight;
    std::map<EndpointId, EndpointBehaviour> m_endpoints;
};

} // namespace marigoldspool

#endif
