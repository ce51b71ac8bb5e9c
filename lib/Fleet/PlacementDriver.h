#ifndef MARIGOLDSPOOL_LIB_FLEET_PLACEMENTDRIVER_H
#define MARIGOLDSPOOL_LIB_FLEET_PLACEMENTDRIVER_H

#include "Fleet/FleetLink.h"
#include "Fleet/FleetRuntime.h"
#include "marigoldspool/Serving/AcceptedChanges.h"
#include "marigoldspool/Serving/OwnerLease.h"
#include "marigoldspool/Serving/PlacementPlanner.h"

#include <functional>

namespace marigoldspool {

/// Competes for the placement lease. While it holds the lease, sends the planner's orders to the
/// engines and publishes to the other instances which models each engine has loaded.
class PlacementDriver
{
public:
    PlacementDriver(FleetRuntime &runtime, FleetLink &link);
    ~PlacementDriver();

    void onTick();
    void onDemand(const InstanceId &from, const DemandReport &report);
    void onEndpoints();
    void onConfiguration();
    /// The number of instances has changed.
    void onMembers();
    /// Called with each update that is published to the other instances.
    void setUpdateHandler(std::function<void(const PlacementUpdate &)> handler)
    {
        m_onUpdate = std::move(handler);
    }
    void setForecastHandler(std::function<void(const LoadForecasts &)> handler)
    {
        m_onForecast = std::move(handler);
    }
    void release() { m_lease.release(); }
    bool isReleased() const { return m_lease.isReleased(); }
    bool isOwner() const { return m_active; }
    std::uint64_t term() const { return m_lease.term(); }
    /// Tells the planner how many requests the instances have at engines.
    void setEngineLoads(const EndpointLoadSums &sums);
    /// Asks an engine that instances have found silent for its report.
    void onSuspected(const EndpointId &endpoint);
    /// Also true while this instance may not send orders yet because of its predecessor's orders.
    bool isLeaseHolder() const { return m_lease.isHolder(); }
    /// While this instance is the owner: the engines and the demand of all instances.
    const std::map<EndpointId, EngineState> &engines() const { return m_planner.engines(); }
    const DemandAggregator &demand() const { return m_demand; }
    /// The lease that also covers the duties.
    OwnerLease &lease() { return m_lease; }
    /// Handles an update from another instance that acts as the owner.
    void onOwnerSeen(const InstanceId &owner, const PlacementUpdate &update);

private:
    /// State of an engine that the driver needs in addition to the planner's.
    struct EngineTracker {
        std::uint64_t acceptedOrders = 0;
        std::int64_t startedAtMs = 0;
        bool isCallPending = false;
        SteadyTime nextReport;
        SteadyTime reportedAt;
        SteadyTime noOrderBefore;
        int conflicts = 0;
        int failures = 0;
        bool isUnpublished = false;
        SteadyTime loadStartedAt;
        int storeLoadsAtStart = 0;
        AcceptedChanges changes;
        /// Consecutive conflicts while the engine finishes an unload.
        int unloadConflicts = 0;
    };

    void advanceLease();
    void readLease();
    void writeLease();
    LeaseAnnouncement leaseStatus() const;
    void activate();
    void deactivate();
    void updateUsable(EngineState &engine, const EngineTracker &tracker);
    void checkHolders();
    void planIfDue();
    void plan();
    void sendForecasts();
    void pollReports();
    void applyDueLoads();
    void onModelLoaded(EngineState &engine, EngineTracker &tracker, std::string_view source);
    void requestReport(const EndpointId &id);
    void onReport(const EndpointId &id, Expected<std::string> body);
    void sendOrder(const PlacementOrder &order);
    void onOrderAnswer(const PlacementOrder &order, Expected<int> status);
    void onOrderAccepted(EngineState &engine, EngineTracker &tracker, const PlacementOrder &order);
    void onOrderFailed(EngineState &engine, EngineTracker &tracker, const PlacementOrder &order,
                       Duration pause);
    /// Sends the changes to all instances; without changes, the update serves as a heartbeat.
    void publish();
    PlacementUpdate fullUpdate() const;
    void publishIfDue();
    PlacedEndpoint placedEndpoint(const EngineState &engine) const;

    FleetRuntime &m_runtime;
    FleetLink &m_link;
    OwnerLease m_lease;
    DemandAggregator m_demand;
    PlacementPlanner m_planner;
    std::map<EndpointId, EngineTracker> m_trackers;
    std::function<void(const PlacementUpdate &)> m_onUpdate;
    std::function<void(const LoadForecasts &)> m_onForecast;
    bool m_active = false;
    bool m_isPlanDue = false;
    SteadyTime m_nextPublish;
    SteadyTime m_activeSince;
    std::uint64_t m_seenTerm = 0;
    SteadyTime m_nextPlan;
    SteadyTime m_earliestPlan;
    /// Instances that have reported waiting requests since the last forecasts.
    std::map<InstanceId, std::vector<DemandKey>> m_forecastRequests;
    std::uint64_t m_sequence = 0;
    SteadyTime m_publishedAt;
    bool m_hasUnpublished = false;
    std::uint64_t m_callCounter = 0;
};

} // namespace marigoldspool

#endif
