#ifndef MARIGOLDSPOOL_LIB_FLEET_STATEMENTMONITOR_H
#define MARIGOLDSPOOL_LIB_FLEET_STATEMENTMONITOR_H

#include "Fleet/FleetLink.h"
#include "Fleet/FleetRuntime.h"

#include <functional>

namespace marigoldspool {

/// Follows the endpoints' statements about themselves in the directory: logs and counts each
/// change, closes kept connections to leaving endpoints and tells the placement owner of these.
class StatementMonitor
{
public:
    StatementMonitor(FleetRuntime &runtime, FleetLink &link);

    /// \p handler is called after changes.
    void setChangeHandler(std::function<void()> handler) { m_onChange = std::move(handler); }
    void onTick();
    void onLeaving(const LeavingEndpoints &message);

private:
    void record(const StatementChange &change);
    void closeConnections();
    /// Tells the owner of the leaving endpoints that the list in the store still shows as ready.
    void tellOwner();

    FleetRuntime &m_runtime;
    FleetLink &m_link;
    std::function<void()> m_onChange;
    /// Leaving endpoints to which connections may be open.
    std::map<EndpointId, SteadyTime> m_closingUntil;
    SteadyTime m_nextRepeat;
};

} // namespace marigoldspool

#endif
