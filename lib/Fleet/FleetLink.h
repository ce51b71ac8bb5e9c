#ifndef MARIGOLDSPOOL_LIB_FLEET_FLEETLINK_H
#define MARIGOLDSPOOL_LIB_FLEET_FLEETLINK_H

#include "Fleet/FleetState.h"
#include "marigoldspool/Peer/WebSocketPeerChannel.h"
#include "marigoldspool/Serving/RelayPeerRotation.h"

#include <functional>
#include <memory>
#include <optional>

namespace marigoldspool {

/// Connections to other instances: to the placement owner and to those that relay objects from the
/// store.
class FleetLink
{
public:
    using Handler = std::function<void(const InstanceId &from, std::uint64_t incarnation,
                                       const PeerMessage &message)>;
    /// Up to this fleet size, each instance connects to all others.
    static constexpr std::size_t MaxMeshMembers = 12;

    FleetLink(FleetRuntime &runtime, FleetState &state);

    Expected<void> start();
    void stop(std::function<void()> stopped);
    /// \p handler receives the messages that FleetLink does not handle itself.
    void setHandler(Handler handler) { m_handler = std::move(handler); }
    void setOwner(const InstanceId &owner);
    const InstanceId &owner() const { return m_owner; }
    bool isOwnerReachable() const;
    bool isConnected(const InstanceId &peer) const;
    std::vector<InstanceId> connectedPeers() const;
    bool send(const InstanceId &to, const PeerMessage &message);
    void updatePeers();
    void onTick();

private:
    void onMessage(const InstanceId &from, std::uint64_t incarnation, const PeerMessage &message);
    void sendChanges(SteadyTime now);
    void requestPart(const InstanceId &from, const std::optional<ObjectPartRequest> &request);
    void sendPart(const InstanceId &to, const ObjectPartRequest &request);

    FleetRuntime &m_runtime;
    FleetState &m_state;
    std::unique_ptr<WebSocketPeerChannel> m_channel;
    Handler m_handler;
    InstanceId m_owner;
    SteadyTime m_nextHeartbeat;
    SteadyTime m_nextRelayRequest;
    RelayPeerRotation m_relayPeers;
    SteadyTime m_nextBeacon;
    std::uint64_t m_lastBeaconChange = 0;
};

} // namespace marigoldspool

#endif
