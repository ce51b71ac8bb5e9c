#ifndef MARIGOLDSPOOL_LIB_FLEET_PLACEMENTDRIVER_H
#define MARIGOLDSPOOL_LIB_FLEET_PLACEMENTDRIVER_H

#include "Fleet/FleetLink.h"
#include "Fleet/FleetRuntime.h"
#include "marigoldspool/Serving/OwnerLease.h"
#include "marigoldspool/Serving/PlacementPlanner.h"

#include <functional>

namespace marigoldspool {

/// Holds the placement lease when it is this instance's turn, and then sends the planner's orders
/// to the engines and tells the other instances what each engine holds.
class PlacementDriver
{
public:
    PlacementDriver(FleetRuntime &runtime, FleetLink &link);
    ~PlacementDriver();

    void onTick();
    void onDemand(const InstanceId &from, const DemandReport &report);
    void onEndpoints();
    void onConfiguration();
    /// Called with the updates that the other instances get, for this instance itself.
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
    /// Also true while the orders of the holder before keep this instance from ordering.
    bool holdsLease() const { return m_lease.isHolder(); }
    /// Another instance acts as the owner.
    void onOwnerSeen(const InstanceId &owner, const PlacementUpdate &update);

private:
    /// A load that should be done although no report shows it yet.
    struct ExpectedLoad {
        SteadyTime from;
        /// Without a report that shows it, it is not expected any more.
        SteadyTime until;
        bool applied = false;
    };

    /// What the driver keeps of an engine beside the planner's state.
    struct Contact {
        std::uint64_t orders = 0;
        std::int64_t startedAtMs = 0;
        bool calling = false;
        SteadyTime reportAt;
        /// No order before this time.
        SteadyTime orderAt;
        int conflicts = 0;
        int failures = 0;
        bool changed = false;
        SteadyTime loadStartedAt;
        int loadsAtStart = 0;
        /// By model and adapter.
        std::map<std::pair<ModelName, std::string>, ExpectedLoad> expected;
    };

    void stepLease();
    void readLease();
    void writeLease();
    LeaseAnnouncement leaseNews() const;
    void activate();
    void deactivate();
    void refreshUsable(EngineState &engine, const Contact &contact);
    void plan();
    void pollReports();
    void applyExpected();
    void expect(Contact &contact, const PlacementOrder &order, SteadyTime from);
    static void keepExpected(Contact &contact, HeldModels &reported, SteadyTime now);
    void requestReport(const EndpointId &id);
    void onReport(const EndpointId &id, Expected<std::string> body);
    void sendOrder(const PlacementOrder &order);
    void onOrderAnswer(const PlacementOrder &order, Expected<int> status);
    void orderAccepted(EngineState &engine, Contact &contact, const PlacementOrder &order);
    void orderFailed(EngineState &engine, Contact &contact, const PlacementOrder &order,
                     Duration pause);
    /// Tells all instances what changed; without a change, that the owner is still there.
    void publish();
    PlacementUpdate fullUpdate() const;
    void publishIfDue();
    PlacedEndpoint placedOf(const EngineState &engine) const;

    FleetRuntime &m_runtime;
    FleetLink &m_link;
    OwnerLease m_lease;
    DemandBook m_demand;
    PlacementPlanner m_planner;
    std::map<EndpointId, Contact> m_contacts;
    std::function<void(const PlacementUpdate &)> m_onUpdate;
    std::function<void(const LoadForecasts &)> m_onForecast;
    bool m_active = false;
    bool m_planDue = false;
    SteadyTime m_publishAt;
    SteadyTime m_activeAt;
    std::uint64_t m_seenTerm = 0;
    SteadyTime m_planAt;
    std::uint64_t m_sequence = 0;
    SteadyTime m_publishedAt;
    bool m_changed = false;
    std::uint64_t m_callCounter = 0;
};

} // namespace marigoldspool

#endif
