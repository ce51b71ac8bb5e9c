#ifndef MARIGOLDSPOOL_LIB_FLEET_STATEMENTMONITOR_H
#define MARIGOLDSPOOL_LIB_FLEET_STATEMENTMONITOR_H

#include "Fleet/FleetLink.h"
#include "Fleet/FleetRuntime.h"

#include <functional>

namespace marigoldspool {

/// Follows the endpoints' statements about themselves in the directory: logs and counts each
/// change, closes kept connections to leaving endpoints and tells the placement owner of these, and
/// tells all instances of rate limits.
class StatementMonitor
{
public:
    /// Sends a message to all instances, in a large fleet through the hub.
    class FleetSender
    {
    public:
        virtual ~FleetSender() = default;
        virtual void sendToFleet(const PeerMessage &message) = 0;
        /// Whether this instance passes on what others send to it.
        virtual bool isHub() = 0;
    };

    StatementMonitor(FleetRuntime &runtime, FleetLink &link, FleetSender &fleet);

    /// \p handler is called after changes.
    void setChangeHandler(std::function<void()> handler) { m_onChange = std::move(handler); }
    void onTick();
    void onLeaving(const LeavingEndpoints &message);
    void onLimited(const LimitedEndpoints &message);

private:
    void record(const StatementChange &change);
    void closeConnections();
    /// Tells the owner of the leaving endpoints that the list in the store still shows as ready.
    void tellOwner();
    /// Tells all instances of the rate limits that this one has heard.
    void tellFleet();

    FleetRuntime &m_runtime;
    FleetLink &m_link;
    FleetSender &m_fleet;
    std::function<void()> m_onChange;
    /// Leaving endpoints to which connections may be open.
    std::map<EndpointId, SteadyTime> m_closingUntil;
    SteadyTime m_nextRepeat;
    SteadyTime m_nextLimitRepeat;
};

} // namespace marigoldspool

#endif
