#ifndef MARIGOLDSPOOL_LIB_DAEMON_PEERSERVICE_H
#define MARIGOLDSPOOL_LIB_DAEMON_PEERSERVICE_H

#include "Daemon/Runtime.h"
#include "marigoldspool/Peer/PeerChannel.h"
#include "marigoldspool/Peer/PeerTable.h"
#include "marigoldspool/Peer/WebSocketPeerChannel.h"
#include "marigoldspool/Supervisor/Supervisor.h"
#include "marigoldspool/Support/PeriodicTimer.h"

#include <functional>
#include <memory>
#include <vector>

namespace marigoldspool {

/// Receives messages of peers and changes of their state.
class PeerListener
{
public:
    virtual ~PeerListener();
    virtual void onPeerMessage(const InstanceId &from, std::uint64_t incarnation,
                               const PeerMessage &message) = 0;
    /// The connection is lost; the last messages sent on it may not have arrived.
    virtual void onPeerDown(const InstanceId &) { }
    virtual void onPlatformList(gsl::span<const PlatformInstance>) { }
};

/// Keeps the connections to other instances, sends heartbeats and follows the platform's list.
class PeerService final : public Service
{
public:
    using HeartbeatSource = std::function<void(Heartbeat &)>;

    explicit PeerService(Runtime &runtime);

    std::string_view name() const override { return "peer"; }
    Expected<void> start() override;
    void stop(std::function<void()> stopped) override;

    /// Listeners are called in the order in which they were added.
    void addListener(PeerListener &listener) { m_listeners.push_back(&listener); }
    /// \p source fills in its fields of each heartbeat.
    void addHeartbeatSource(HeartbeatSource source)
    {
        m_heartbeatSources.push_back(std::move(source));
    }
    /// False if the message was definitely not sent.
    bool send(const InstanceId &to, const PeerMessage &message);
    void send(gsl::span<const AddressedMessage> messages);
    PeerTable &table() { return m_table; }
    /// \p check recognizes the entries of the platform's list that are endpoints; instances do not
    /// connect to those.
    void setEndpointCheck(std::function<bool(std::string_view id)> check)
    {
        m_isEndpoint = std::move(check);
    }
    /// When the platform last answered a read of its list.
    SteadyTime lastStoreReplyAt() const { return m_lastStoreReplyAt; }
    /// Tells all peers immediately that this instance accepts no new requests.
    void announceStopping();

private:
    void sendHeartbeat();
    void readPlatformList();
    void onPlatformList(const std::vector<PlatformInstance> &list);
    void connectToPeers();

    Runtime &m_runtime;
    PeerTable m_table;
    std::unique_ptr<WebSocketPeerChannel> m_channel;
    std::vector<PeerListener *> m_listeners;
    std::vector<HeartbeatSource> m_heartbeatSources;
    std::vector<PlatformInstance> m_platformList;
    std::function<bool(std::string_view id)> m_isEndpoint;
    PeriodicTimer m_heartbeatTimer;
    PeriodicTimer m_listTimer;
    bool m_listRequestPending = false;
    SteadyTime m_lastStoreReplyAt;
};

} // namespace marigoldspool

#endif
