#include "Fleet/FleetLink.h"

#include "marigoldspool/Peer/PeerTopology.h"
#include "marigoldspool/Platform/StorePosition.h"
#include "marigoldspool/Support/EventLog.h"

#include <algorithm>
#include <variant>

namespace marigoldspool {

namespace {

constexpr Duration HeartbeatInterval = std::chrono::seconds(1);
constexpr Duration BeaconInterval = std::chrono::milliseconds(300);
// How often outdated objects are requested from peers. A relayed copy lags the peer's own by at
// most this.
constexpr Duration RelayInterval = std::chrono::milliseconds(300);
// Not confidential: the platform provides no shared secret, and only its machines can reach these
// ports. The handshake's proof rejects connections from other programs.
const std::string PeerSecret = "marigoldspool";

} // namespace

FleetLink::FleetLink(FleetRuntime &runtime, FleetState &state)
    : m_runtime(runtime)
    , m_state(state)
    , m_nextHeartbeat(runtime.clock.now())
    , m_nextRelayRequest(runtime.clock.now())
{
    PeerChannelOptions options;
    options.self = runtime.options.instance;
    options.incarnation = runtime.incarnation;
    options.address = runtime.options.peerAddress;
    options.secret = PeerSecret;
    options.maxReconnectDelay = std::chrono::milliseconds(800);
    m_channel = makeWebSocketPeerChannel(runtime.io, options, runtime.clock, *runtime.metrics);
}

Expected<void> FleetLink::start()
{
    m_channel->setHandler(
        [this](const InstanceId &from, std::uint64_t incarnation, const PeerMessage &message) {
            onMessage(from, incarnation, message);
        });
    m_channel->setDownHandler([](const InstanceId &peer) {
        logEvent(LogLevel::Warning, "peer_lost", {{"peer", peer.str()}});
    });
    return m_channel->start();
}

void FleetLink::stop(std::function<void()> stopped)
{
    m_channel->stop(std::move(stopped));
}

void FleetLink::setOwner(const InstanceId &owner)
{
    if (owner != m_owner) {
        m_owner = owner;
        updatePeers();
    }
}

bool FleetLink::isConnected(const InstanceId &peer) const
{
    const std::vector<InstanceId> peers = m_channel->connectedPeers();
    return std::find(peers.begin(), peers.end(), peer) != peers.end();
}

bool FleetLink::isOwnerReachable() const
{
    return !m_owner.empty() && (m_owner == m_runtime.options.instance || isConnected(m_owner));
}

std::vector<InstanceId> FleetLink::connectedPeers() const
{
    return m_channel->connectedPeers();
}

bool FleetLink::send(const InstanceId &to, const PeerMessage &message)
{
    return m_channel->send(to, message);
}

// The owner connects to all instances; in a large fleet, the others connect only to the owner and
// to the few peers that the topology assigns.
void FleetLink::updatePeers()
{
    const auto &members = m_state.members();
    const InstanceId &self = m_runtime.options.instance;
    const bool isSmall = members.size() <= MaxMeshMembers;
    const std::vector<InstanceId> chosen = choosePeers(self, m_state.topology());
    std::vector<PeerAddress> peers;
    for (const auto &[id, member] : members) {
        const bool isChosen = std::find(chosen.begin(), chosen.end(), id) != chosen.end();
        if (id != self && (isSmall || isChosen || id == m_owner || self == m_owner)) {
            peers.push_back({id, member.peerAddress});
        }
    }
    m_channel->setPeers(std::move(peers));
}

void FleetLink::onTick()
{
    const SteadyTime now = m_runtime.clock.now();
    if (now >= m_nextHeartbeat) {
        m_nextHeartbeat = now + HeartbeatInterval;
        Heartbeat heartbeat;
        heartbeat.zone = m_runtime.options.zone;
        heartbeat.address = m_runtime.options.peerAddress;
        heartbeat.stopping = m_runtime.stopping;
        for (const InstanceId &peer : connectedPeers()) {
            m_channel->send(peer, heartbeat);
        }
    }
    if (m_state.isWatcher()) {
        sendChanges(now);
    }
    if (now >= m_nextRelayRequest) {
        m_nextRelayRequest = now + RelayInterval;
        for (const AddressedMessage &request : m_state.resumeDownloads(connectedPeers())) {
            m_channel->send(request.to, request.message);
        }
        const std::vector<ObjectsRequest> outdated = m_state.outdatedPrefixes();
        if (outdated.empty()) {
            return;
        }
        const bool isSmallFleet = m_state.members().size() <= MaxMeshMembers;
        for (const InstanceId &peer : m_relayPeers.next(connectedPeers(), isSmallFleet)) {
            for (const ObjectsRequest &request : outdated) {
                m_channel->send(peer, request);
            }
        }
    }
}

void FleetLink::sendChanges(SteadyTime now)
{
    const std::vector<ObjectsTransfer> changes = m_state.takeChanges();
    const RevisionBeacon beacon = m_state.beacon();
    std::uint64_t changed = 0;
    for (const KnownRevision &known : beacon.prefixes) {
        changed = std::max(changed, known.lastChangeVersion);
    }
    const bool isBeaconDue = now >= m_nextBeacon || changed > m_lastBeaconChange;
    m_lastBeaconChange = changed;
    for (const InstanceId &peer : connectedPeers()) {
        for (const ObjectsTransfer &transfer : changes) {
            if (m_state.sendsChangesTo(peer)) {
                m_channel->send(peer, transfer);
            }
        }
        if (isBeaconDue && m_state.sendsBeaconsTo(peer)) {
            m_channel->send(peer, beacon);
        }
    }
    if (isBeaconDue) {
        m_nextBeacon = now + BeaconInterval;
    }
}

void FleetLink::requestPart(const InstanceId &from, const std::optional<ObjectPartRequest> &request)
{
    if (request) {
        m_channel->send(from, *request);
    }
}

void FleetLink::sendPart(const InstanceId &to, const ObjectPartRequest &request)
{
    const ObjectPart part = m_state.partFor(request);
    m_channel->send(to, part);
    m_runtime.metrics->add("marigoldspool_relayed_bytes_total",
                           static_cast<double>(part.bytes.size()), {{"prefix", part.prefix}});
    if (request.offset == 0) {
        logEvent(LogLevel::Info, "value_requested",
                 {{"peer", to.str()},
                  {"key", request.key},
                  {"version", positionText(request.version)},
                  {"bytes", std::to_string(part.totalBytes)}});
    }
}

void FleetLink::onMessage(const InstanceId &from, std::uint64_t incarnation,
                          const PeerMessage &message)
{
    if (const auto *request = std::get_if<ObjectsRequest>(&message)) {
        ObjectsTransfer transfer = m_state.transferFor(*request);
        if (transfer.revision > request->revision) {
            m_channel->send(from, transfer);
        }
        return;
    }
    if (const auto *transfer = std::get_if<ObjectsTransfer>(&message)) {
        requestPart(from, m_state.onTransfer(from, *transfer));
        return;
    }
    if (const auto *request = std::get_if<ObjectPartRequest>(&message)) {
        sendPart(from, *request);
        return;
    }
    if (const auto *part = std::get_if<ObjectPart>(&message)) {
        requestPart(from, m_state.onPart(from, *part));
        return;
    }
    if (const auto *beacon = std::get_if<RevisionBeacon>(&message)) {
        for (const ObjectsRequest &request : m_state.onBeacon(*beacon)) {
            m_channel->send(from, request);
        }
        return;
    }
    if (m_handler) {
        m_handler(from, incarnation, message);
    }
}

} // namespace marigoldspool
