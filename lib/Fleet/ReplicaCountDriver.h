#ifndef MARIGOLDSPOOL_LIB_FLEET_REPLICACOUNTDRIVER_H
#define MARIGOLDSPOOL_LIB_FLEET_REPLICACOUNTDRIVER_H

#include "Fleet/FleetState.h"
#include "Fleet/PlacementDriver.h"
#include "Fleet/ReplicaOrderSender.h"

namespace marigoldspool {

/// Orders the numbers of endpoints from the platform while this instance is the placement owner,
/// if the settings give the instances this duty.
class ReplicaCountDriver
{
public:
    /// All arguments must outlive the driver.
    ReplicaCountDriver(FleetRuntime &runtime, const FleetState &state,
                       const PlacementDriver &placement, DutyCalls &calls);

    void onTick();

private:
    void plan();
    void planPool(const EndpointPool &pool);
    PoolObservation observe(const EndpointPool &pool) const;
    ReplicaObservation observeEndpoint(const TrackedEndpoint &endpoint,
                                       const EndpointPool &pool) const;
    /// Requests at all endpoints of the pool by arrival rate and run time; unset without a measured
    /// run time.
    std::optional<double> expectedRequests(const PoolName &pool) const;

    FleetRuntime &m_runtime;
    const FleetState &m_state;
    const PlacementDriver &m_placement;
    ReplicaCountPlanner m_planner;
    ReplicaOrderSender m_sender;
    bool m_isActive = false;
    SteadyTime m_nextPlan;
    /// Pools with an order or a published wanted number.
    std::set<PoolName> m_pools;
};

} // namespace marigoldspool

#endif
