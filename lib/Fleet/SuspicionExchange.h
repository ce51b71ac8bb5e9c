#ifndef MARIGOLDSPOOL_LIB_FLEET_SUSPICIONEXCHANGE_H
#define MARIGOLDSPOOL_LIB_FLEET_SUSPICIONEXCHANGE_H

#include "Fleet/FleetRuntime.h"
#include "Fleet/PlacementDriver.h"
#include "Fleet/StatementMonitor.h"

namespace marigoldspool {

/// Tells all instances of endpoints that have stopped answering requests of this one, passes on
/// such notices at the hub, and logs what becomes of suspicions.
class SuspicionExchange
{
public:
    SuspicionExchange(FleetRuntime &runtime, PlacementDriver &placement,
                      StatementMonitor::FleetSender &fleet);

    void onTick();
    /// \p isFromHub: the message has notices of other instances.
    void onMessage(const InstanceId &from, bool isFromHub, const SilentEndpoints &message);

private:
    void recordChanges();

    FleetRuntime &m_runtime;
    PlacementDriver &m_placement;
    StatementMonitor::FleetSender &m_fleet;
    SuspicionRelay m_relay;
};

} // namespace marigoldspool

#endif
