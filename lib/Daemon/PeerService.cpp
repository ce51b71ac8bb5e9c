#include "Daemon/PeerService.h"

#include "marigoldspool/Support/EventLog.h"

#include <utility>

namespace marigoldspool {

namespace {

constexpr Duration HeartbeatInterval = std::chrono::seconds(1);
// Bounds how long a leaving endpoint gets new requests. 370 instances send 123 reads a second;
// the platform can answer about 2,000.
constexpr Duration PlatformListInterval = std::chrono::seconds(3);

} // namespace

PeerListener::~PeerListener() = default;

PeerService::PeerService(Runtime &runtime)
    : m_runtime(runtime)
    , m_table(runtime.settings.instance, runtime.settings.zone, runtime.clock)
    , m_heartbeatTimer(runtime.io)
    , m_listTimer(runtime.io)
{ }

Expected<void> PeerService::start()
{
    PeerChannelOptions options;
    options.self = m_runtime.settings.instance;
    options.incarnation = m_runtime.incarnation;
    options.address = m_runtime.settings.peerListenAddress;
    options.secret = m_runtime.settings.peerSecret;
    m_channel = makeWebSocketPeerChannel(m_runtime.io, options, m_runtime.clock, m_runtime.metrics);
    m_channel->setHandler(
        [this](const InstanceId &from, std::uint64_t incarnation, const PeerMessage &message) {
            if (const auto *heartbeat = std::get_if<Heartbeat>(&message)) {
                m_table.recordHeartbeat(from, incarnation, *heartbeat);
            }
            for (PeerListener *listener : m_listeners) {
                listener->onPeerMessage(from, incarnation, message);
            }
        });
    m_channel->setDownHandler([this](const InstanceId &peer) {
        logEvent(LogLevel::Warning, "peer_down", {{"peer", peer.str()}});
        m_table.markDown(peer);
        for (PeerListener *listener : m_listeners) {
            listener->onPeerDown(peer);
        }
    });
    Expected<void> started = m_channel->start();
    if (!started) {
        return started;
    }
    m_heartbeatTimer.start(HeartbeatInterval, [this] {
        sendHeartbeat();
    });
    m_listTimer.start(PlatformListInterval, [this] {
        readPlatformList();
    });
    readPlatformList();
    return {};
}

void PeerService::stop(std::function<void()> stopped)
{
    m_heartbeatTimer.stop();
    m_listTimer.stop();
    m_channel->stop(std::move(stopped));
}

bool PeerService::send(const InstanceId &to, const PeerMessage &message)
{
    return m_channel && m_channel->send(to, message);
}

void PeerService::send(gsl::span<const AddressedMessage> messages)
{
    for (const AddressedMessage &message : messages) {
        send(message.to, message.message);
    }
}

void PeerService::announceStopping()
{
    sendHeartbeat();
}

void PeerService::sendHeartbeat()
{
    m_table.onTick();
    Heartbeat heartbeat;
    heartbeat.zone = m_runtime.settings.zone;
    heartbeat.address = m_runtime.settings.listenAddress;
    heartbeat.stopping = m_runtime.stopping;
    for (const HeartbeatSource &source : m_heartbeatSources) {
        source(heartbeat);
    }
    for (const InstanceId &peer : m_channel->connectedPeers()) {
        send(peer, heartbeat);
    }
}

void PeerService::readPlatformList()
{
    if (m_listRequestPending) {
        return;
    }
    m_listRequestPending = true;
    m_runtime.store->instances([this](const Expected<std::vector<PlatformInstance>> &list) {
        m_listRequestPending = false;
        if (list) {
            m_lastStoreReplyAt = m_runtime.clock.now();
            onPlatformList(*list);
        }
    });
}

void PeerService::onPlatformList(const std::vector<PlatformInstance> &list)
{
    m_platformList = list;
    connectToPeers();
    for (PeerListener *listener : m_listeners) {
        listener->onPlatformList(list);
    }
}

void PeerService::connectToPeers()
{
    std::vector<PeerAddress> all;
    for (const PlatformInstance &instance : m_platformList) {
        const Expected<std::string> address =
            shiftPort(instance.address, m_runtime.settings.peerPortOffset);
        const bool isEndpoint = m_isEndpoint && m_isEndpoint(instance.id);
        if (address && !isEndpoint && instance.id != m_runtime.settings.instance.str()) {
            all.push_back({InstanceId(instance.id), *address});
        }
    }
    m_channel->setPeers(std::move(all));
}

} // namespace marigoldspool
