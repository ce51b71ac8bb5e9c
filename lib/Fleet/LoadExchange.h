#ifndef MARIGOLDSPOOL_LIB_FLEET_LOADEXCHANGE_H
#define MARIGOLDSPOOL_LIB_FLEET_LOADEXCHANGE_H

#include "Fleet/FleetLink.h"
#include "Fleet/FleetRuntime.h"
#include "Fleet/PlacementDriver.h"

namespace marigoldspool {

/// Tells the lease holder what this instance has at the engines of contended pools and, at the
/// holder, tells all instances the sums.
class LoadExchange
{
public:
    LoadExchange(FleetRuntime &runtime, FleetLink &link, PlacementDriver &placement);

    void onTick();
    void onLoads(const InstanceId &from, const EndpointLoads &loads);
    void onTotals(const InstanceId &from, const FleetLoads &totals);

private:
    bool hasContendedPool() const;
    void report();
    void publish();
    /// Whether enough instances have reported for the sums to be of use.
    bool hasReports() const;

    FleetRuntime &m_runtime;
    FleetLink &m_link;
    PlacementDriver &m_placement;
    EndpointLoadSums m_sums;
    PriorityDemandSums m_demandSums;
    EndpointLoads m_reported;
    /// The holder that has received m_reported.
    InstanceId m_reportedTo;
    SteadyTime m_reportedAt;
    SteadyTime m_publishedAt;
    SteadyTime m_fullAt;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_term = 0;
    bool m_wasFresh = false;
};

} // namespace marigoldspool

#endif
