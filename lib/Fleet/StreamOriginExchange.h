#ifndef MARIGOLDSPOOL_LIB_FLEET_STREAMORIGINEXCHANGE_H
#define MARIGOLDSPOOL_LIB_FLEET_STREAMORIGINEXCHANGE_H

#include "Fleet/FleetLink.h"
#include "Fleet/FleetRuntime.h"
#include "Fleet/FleetState.h"
#include "Fleet/StatementMonitor.h"

#include <set>
#include <vector>

namespace marigoldspool {

/// The pools of the configuration whose streams may have begun at several software versions.
std::set<PoolName> mixedPools(const FleetRuntime &runtime);

/// Tells all instances which software version began each stream of this one, while a pool is served
/// by several, and passes on such notices at the hub.
class StreamOriginExchange
{
public:
    StreamOriginExchange(FleetRuntime &runtime, const FleetState &state, FleetLink &link,
                         StatementMonitor::FleetSender &fleet);

    void onTick();
    /// \p isFromHub: the message has notices of other instances.
    void onMessage(bool isFromHub, const StreamOriginNotices &message);

private:
    using Groups = std::vector<StreamOriginGroup>;
    using Send = std::function<void(const PeerMessage &)>;

    void logChanges(const std::set<PoolName> &mixed);
    void sendNew(const std::set<PoolName> &mixed);
    /// Sends the streams of the last seconds to instances whose connection is new.
    void sendRecentToNewPeers(const std::set<PoolName> &mixed);
    /// Splits \p groups into messages.
    void send(const Groups &groups, const Send &sendMessage);

    FleetRuntime &m_runtime;
    const FleetState &m_state;
    FleetLink &m_link;
    StatementMonitor::FleetSender &m_fleet;
    std::set<PoolName> m_mixed;
    std::set<InstanceId> m_connected;
    /// What the hub has received and not passed on yet.
    Groups m_relayed;
    SteadyTime m_nextBatch;
};

} // namespace marigoldspool

#endif
