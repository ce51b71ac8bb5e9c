#include "marigoldspool/Peer/WebSocketPeerChannel.h"

#include "WebSocketTransport.h"
#include "marigoldspool/Peer/PeerHandshake.h"
#include "marigoldspool/Support/EventLog.h"
#include "marigoldspool/Support/IpAddress.h"
#include "marigoldspool/Support/RandomSource.h"

#include <algorithm>
#include <charconv>
#include <map>
#include <optional>
#include <utility>

#include <boost/asio/steady_timer.hpp>

namespace marigoldspool {

namespace {

// HTTP status codes of rejected handshakes.
constexpr int StatusForbidden = 403;
constexpr int StatusConflict = 409;
constexpr int StatusUpgradeRequired = 426;
constexpr int StatusUnavailable = 503;

constexpr Duration MaxTickInterval = std::chrono::milliseconds(100);
constexpr Duration MetricsInterval = std::chrono::seconds(1);

/// One established connection.
struct Link {
    ConnectionId connection = 0;
    InstanceId peer;
    std::uint64_t incarnation = 0;
    std::uint64_t sent = 0;
    SteadyTime lastReceived;
    SteadyTime lastPing;
};

using LinkPtr = std::shared_ptr<Link>;

struct Peer {
    std::string address;
    bool listed = false;
    bool dialling = false;
    LinkPtr link;
    unsigned failedDials = 0;
    SteadyTime nextDial;
};

struct Traffic {
    std::uint64_t framesSent = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t framesReceived = 0;
    std::uint64_t bytesReceived = 0;
};

bool isHeaderSafe(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
        return c > ' ' && c < '\x7f';
    });
}

std::optional<std::uint64_t> parseNumber(const std::string &text)
{
    std::uint64_t value = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (ec != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

class Channel final : public WebSocketPeerChannel, private TransportListener
{
public:
    Channel(boost::asio::io_context &io, PeerChannelOptions options, const Clock &clock,
            Metrics &metrics)
        : m_options(std::move(options))
        , m_clock(clock)
        , m_metrics(metrics)
        , m_random(entropySeed())
        , m_tickTimer(io)
        , m_tickInterval(std::min(MaxTickInterval, m_options.idleTimeout / 6))
        , m_transport(makeWebSocketTransport(io, m_options.maxMessageBytes, *this))
    { }

    Expected<void> start() override
    {
        if (!isHeaderSafe(m_options.self.str())) {
            return unexpectedError(ErrorKind::InvalidArgument,
                                   "instance id \"" + m_options.self.str()
                                       + "\" is not a valid header field value",
                                   "use letters, digits and dashes");
        }
        Expected<void> listening = m_transport->listen(m_options.address);
        if (listening) {
            m_running = true;
            m_lastTick = m_clock.now();
            dialDuePeers();
            scheduleTick();
        }
        return listening;
    }

    std::uint16_t port() const override { return m_transport->port(); }
    void setHandler(Handler handler) override { m_handler = std::move(handler); }
    void setDownHandler(DownHandler handler) override { m_downHandler = std::move(handler); }
    void setPeers(std::vector<PeerAddress> list) override;
    std::vector<InstanceId> connectedPeers() const override;
    bool send(const InstanceId &to, const PeerMessage &message) override;
    void stop(std::function<void()> stopped) override;

private:
    // TransportListener.
    HandshakeAnswer onHandshakeRequest(ConnectionId id, const HeaderLookup &request) override;
    void onAccepted(ConnectionId id) override;
    void onDialled(ConnectionId id, const HeaderLookup &response) override;
    void onFrame(ConnectionId id, bool binary, gsl::span<const std::uint8_t> bytes) override;
    void onControlFrame(ConnectionId id) override;
    void onClosed(ConnectionId id, const std::string &cause) override;

    int rejectionStatus(const PeerHello &hello, const HeaderLookup &request);
    void recordRejection(const char *reason, const InstanceId &peer);
    /// Of two instances the one with the lower id dials, so that they share one connection.
    bool isDialler(const InstanceId &peer) const { return m_options.self < peer; }
    void dialDuePeers();
    void dial(const InstanceId &id, Peer &peer);
    void onDialFailed(const InstanceId &id, const std::string &cause);
    void scheduleRedial(Peer &peer);
    void establish(ConnectionId connection, const InstanceId &id, std::uint64_t incarnation);

    void dropLink(const LinkPtr &link, const char *reason);
    void removeUnlistedPeers();

    void onLinkActivity(Link &link);
    void recordDroppedFrame(const char *reason, const InstanceId &peer, std::string_view detail);
    void publishTraffic();

    void scheduleTick();
    void onTick();
    void checkLinks(SteadyTime now);

    PeerChannelOptions m_options;
    const Clock &m_clock;
    Metrics &m_metrics;
    SeededRandomSource m_random;
    boost::asio::steady_timer m_tickTimer;
    Duration m_tickInterval;
    Handler m_handler;
    DownHandler m_downHandler;
    std::map<InstanceId, Peer> m_peers;
    /// Connections with a handshake in progress, in either direction.
    std::map<ConnectionId, PeerHello> m_handshakes;
    std::map<ConnectionId, LinkPtr> m_links;
    Traffic m_traffic;
    SteadyTime m_lastTick;
    SteadyTime m_lastPublish;
    bool m_running = false;
    /// Lets a queued timer handler detect that this object has been destroyed.
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
    /// Declared last so that it is destroyed first, because it calls back into this object.
    std::unique_ptr<WebSocketTransport> m_transport;
};

void Channel::setPeers(std::vector<PeerAddress> list)
{
    for (auto &[id, peer] : m_peers) {
        peer.listed = false;
    }
    for (PeerAddress &entry : list) {
        if (entry.id == m_options.self) {
            continue;
        }
        if (!isHeaderSafe(entry.id.str()) || !splitAddress(entry.address)) {
            logEvent(LogLevel::Warning, "peer_unusable",
                     {{"peer", entry.id.str()}, {"address", entry.address}});
            continue;
        }
        Peer &peer = m_peers[entry.id];
        if (peer.address != entry.address) {
            peer.address = std::move(entry.address);
            peer.failedDials = 0;
            peer.nextDial = m_clock.now();
        }
        peer.listed = true;
    }
    removeUnlistedPeers();
    dialDuePeers();
}

std::vector<InstanceId> Channel::connectedPeers() const
{
    std::vector<InstanceId> ids;
    for (const auto &[id, peer] : m_peers) {
        if (peer.link != nullptr) {
            ids.push_back(id);
        }
    }
    return ids;
}

bool Channel::send(const InstanceId &to, const PeerMessage &message)
{
    const auto it = m_peers.find(to);
    if (!m_running || it == m_peers.end() || it->second.link == nullptr) {
        return false;
    }
    Link &link = *it->second.link;
    const Envelope envelope{PeerProtocolVersion, m_options.self, m_options.incarnation, link.sent};
    const std::vector<std::uint8_t> bytes = encodeMessage(envelope, message);
    if (bytes.size() > m_options.maxMessageBytes) {
        recordDroppedFrame("too_large", to, messageName(message));
        return false;
    }
    if (m_transport->queuedBytes(link.connection) + bytes.size() > m_options.maxQueuedBytes) {
        recordDroppedFrame("queue_full", to, messageName(message));
        return false;
    }
    if (!m_transport->send(link.connection, bytes)) {
        return false;
    }
    ++link.sent;
    ++m_traffic.framesSent;
    m_traffic.bytesSent += bytes.size();
    return true;
}

void Channel::stop(std::function<void()> stopped)
{
    m_running = false;
    m_tickTimer.cancel();
    publishTraffic();
    std::vector<ConnectionId> open;
    open.reserve(m_links.size());
    for (const auto &[id, link] : m_links) {
        open.push_back(id);
    }
    m_transport->closeAll(open, m_options.closeTimeout, std::move(stopped));
}

// Connection setup.

HandshakeAnswer Channel::onHandshakeRequest(ConnectionId id, const HeaderLookup &request)
{
    PeerHello hello;
    hello.from = InstanceId(request(peerHeader::From));
    hello.to = m_options.self;
    hello.nonce = request(peerHeader::Nonce);
    hello.incarnation = parseNumber(request(peerHeader::Incarnation)).value_or(0);
    const int status = rejectionStatus(hello, request);
    if (status != 0) {
        return tl::unexpected<int>(status);
    }
    std::vector<HeaderField> fields{
        {peerHeader::Incarnation, std::to_string(m_options.incarnation)},
        {peerHeader::Proof, acceptProof(m_options.secret, hello, m_options.incarnation)}};
    m_handshakes[id] = std::move(hello);
    return fields;
}

// Returns the HTTP status to reject the handshake with, or 0 to accept it.
int Channel::rejectionStatus(const PeerHello &hello, const HeaderLookup &request)
{
    if (parseNumber(request(peerHeader::Protocol)) != PeerProtocolVersion) {
        recordRejection("protocol", hello.from);
        return StatusUpgradeRequired;
    }
    if (!isHeaderSafe(hello.from.str())
        || !equalProofs(request(peerHeader::Proof), dialProof(m_options.secret, hello))) {
        recordRejection("proof", hello.from);
        return StatusForbidden;
    }
    if (!(hello.from < m_options.self)) {
        recordRejection("direction", hello.from);
        return StatusConflict;
    }
    const auto known = m_peers.find(hello.from);
    if (known != m_peers.end() && known->second.link != nullptr
        && known->second.link->incarnation > hello.incarnation) {
        recordRejection("incarnation", hello.from);
        return StatusConflict;
    }
    if (!m_running) {
        recordRejection("stopping", hello.from);
        return StatusUnavailable;
    }
    return 0;
}

void Channel::recordRejection(const char *reason, const InstanceId &peer)
{
    m_metrics.add("marigoldspool_peer_rejected_total", 1, {{"reason", reason}});
    logEvent(LogLevel::Warning, "peer_rejected", {{"peer", peer.str()}, {"reason", reason}});
}

void Channel::onAccepted(ConnectionId id)
{
    const auto it = m_handshakes.find(id);
    if (it == m_handshakes.end() || !m_running) {
        m_transport->forceClose(id);
        return;
    }
    const PeerHello hello = std::move(it->second);
    m_handshakes.erase(it);
    establish(id, hello.from, hello.incarnation);
}

void Channel::dialDuePeers()
{
    const SteadyTime now = m_clock.now();
    for (auto &[id, peer] : m_peers) {
        if (m_running && peer.listed && isDialler(id) && peer.link == nullptr && !peer.dialling
            && now >= peer.nextDial) {
            dial(id, peer);
        }
    }
}

void Channel::dial(const InstanceId &id, Peer &peer)
{
    PeerHello hello{PeerProtocolVersion, m_options.self, m_options.incarnation, id,
                    m_random.hex(32)};
    const HeaderField fields[] = {
        {peerHeader::Protocol, std::to_string(PeerProtocolVersion)},
        {peerHeader::From, hello.from.str()},
        {peerHeader::Incarnation, std::to_string(hello.incarnation)},
        {peerHeader::Nonce, hello.nonce},
        {peerHeader::Proof, dialProof(m_options.secret, hello)},
    };
    const ConnectionId connection = m_transport->dial(peer.address, fields);
    if (connection == 0) {
        scheduleRedial(peer);
        return;
    }
    peer.dialling = true;
    m_handshakes[connection] = std::move(hello);
}

void Channel::onDialled(ConnectionId id, const HeaderLookup &response)
{
    const auto handshake = m_handshakes.find(id);
    if (handshake == m_handshakes.end()) {
        m_transport->forceClose(id);
        return;
    }
    const PeerHello hello = std::move(handshake->second);
    m_handshakes.erase(handshake);
    const auto incarnation = parseNumber(response(peerHeader::Incarnation));
    const bool proven = incarnation
        && equalProofs(response(peerHeader::Proof),
                       acceptProof(m_options.secret, hello, *incarnation));
    const auto it = m_peers.find(hello.to);
    const bool listed = m_running && it != m_peers.end() && it->second.listed;
    if (!proven || !listed) {
        if (!proven) {
            recordRejection("proof", hello.to);
        }
        onDialFailed(hello.to, proven ? "peer was removed from the peer list" : "invalid proof");
        m_transport->forceClose(id);
        return;
    }
    it->second.dialling = false;
    establish(id, hello.to, *incarnation);
}

void Channel::onDialFailed(const InstanceId &id, const std::string &cause)
{
    const auto it = m_peers.find(id);
    if (it == m_peers.end()) {
        return;
    }
    Peer &peer = it->second;
    peer.dialling = false;
    // Logged once per outage, not for each retry.
    if (peer.failedDials == 0 && m_running) {
        logEvent(LogLevel::Info, "peer_dial_failed",
                 {{"peer", id.str()}, {"address", peer.address}, {"cause", cause}});
    }
    scheduleRedial(peer);
    removeUnlistedPeers();
}

void Channel::scheduleRedial(Peer &peer)
{
    const unsigned doublings = std::min(peer.failedDials++, 10U);
    const Duration maxDelay =
        std::min(m_options.maxReconnectDelay, m_options.initialReconnectDelay * (1U << doublings));
    // Half of the delay is random so that a restarted instance is not dialled by all at once.
    const double jitter = m_random.uniform() * static_cast<double>(maxDelay.count()) / 2;
    peer.nextDial = m_clock.now() + maxDelay / 2 + Duration(static_cast<Duration::rep>(jitter));
}

void Channel::establish(ConnectionId connection, const InstanceId &id, std::uint64_t incarnation)
{
    const LinkPtr old = m_peers[id].link;
    if (old != nullptr) {
        dropLink(old, "replaced");
    }
    const SteadyTime now = m_clock.now();
    const auto link = std::make_shared<Link>(Link{connection, id, incarnation, 0, now, now});
    m_links[connection] = link;
    m_peers[id].link = link;
    logEvent(LogLevel::Info, "peer_connected",
             {{"peer", id.str()}, {"incarnation", std::to_string(incarnation)}});
}

// Connection teardown.

void Channel::onClosed(ConnectionId id, const std::string &cause)
{
    const auto link = m_links.find(id);
    if (link != m_links.end()) {
        dropLink(LinkPtr(link->second), "closed");
        return;
    }
    const auto handshake = m_handshakes.find(id);
    if (handshake == m_handshakes.end()) {
        return;
    }
    const PeerHello hello = std::move(handshake->second);
    m_handshakes.erase(handshake);
    if (hello.from == m_options.self) {
        onDialFailed(hello.to, cause);
    }
}

void Channel::dropLink(const LinkPtr &link, const char *reason)
{
    if (m_links.erase(link->connection) == 0) {
        return;
    }
    m_transport->forceClose(link->connection);
    const auto it = m_peers.find(link->peer);
    if (it != m_peers.end() && it->second.link == link) {
        it->second.link.reset();
        scheduleRedial(it->second);
        removeUnlistedPeers();
    }
    m_metrics.add("marigoldspool_peer_disconnects_total", 1, {{"reason", reason}});
    logEvent(LogLevel::Info, "peer_disconnected", {{"peer", link->peer.str()}, {"reason", reason}});
    if (m_running && m_downHandler) {
        m_downHandler(link->peer);
    }
}

// Only the dialler closes the connection to a peer that is no longer listed; the acceptor keeps it
// because the dialler's peer list may be newer.
void Channel::removeUnlistedPeers()
{
    std::vector<LinkPtr> unlisted;
    for (auto it = m_peers.begin(); it != m_peers.end();) {
        const Peer &peer = it->second;
        if (!peer.listed && peer.link != nullptr && isDialler(it->first)) {
            unlisted.push_back(peer.link);
        }
        it = !peer.listed && peer.link == nullptr ? m_peers.erase(it) : std::next(it);
    }
    for (const LinkPtr &link : unlisted) {
        dropLink(link, "unwanted");
    }
}

// Messages.

void Channel::onFrame(ConnectionId id, bool binary, gsl::span<const std::uint8_t> bytes)
{
    const auto it = m_links.find(id);
    if (it == m_links.end()) {
        return;
    }
    const LinkPtr link = it->second;
    onLinkActivity(*link);
    ++m_traffic.framesReceived;
    m_traffic.bytesReceived += bytes.size();
    if (!binary) {
        recordDroppedFrame("malformed", link->peer, "text frame");
        return;
    }
    const auto decoded = decodeMessage(bytes);
    if (!decoded) {
        recordDroppedFrame("malformed", link->peer, decoded.error().message);
        return;
    }
    if (decoded->envelope.from != link->peer
        || decoded->envelope.incarnation != link->incarnation) {
        recordDroppedFrame("foreign_sender", link->peer, messageName(decoded->message));
        return;
    }
    if (m_handler) {
        m_handler(link->peer, link->incarnation, decoded->message);
    }
}

void Channel::onControlFrame(ConnectionId id)
{
    const auto it = m_links.find(id);
    if (it != m_links.end()) {
        onLinkActivity(*it->second);
    }
}

void Channel::onLinkActivity(Link &link)
{
    link.lastReceived = m_clock.now();
    // Only a connection that carries data resets the backoff; a peer that accepts and closes at
    // once must still be dialled at growing intervals.
    const auto it = m_peers.find(link.peer);
    if (it != m_peers.end()) {
        it->second.failedDials = 0;
    }
}

void Channel::recordDroppedFrame(const char *reason, const InstanceId &peer,
                                 std::string_view detail)
{
    m_metrics.add("marigoldspool_peer_dropped_frames_total", 1, {{"reason", reason}});
    logEvent(LogLevel::Warning, "peer_frame_dropped",
             {{"peer", peer.str()}, {"reason", reason}, {"detail", std::string(detail)}});
}

// Traffic is counted in plain integers and published every second, because Metrics looks up a
// labelled counter by its labels on every call.
void Channel::publishTraffic()
{
    const Traffic traffic = std::exchange(m_traffic, {});
    const auto add = [this](const char *name, const char *direction, std::uint64_t n) {
        m_metrics.add(name, static_cast<double>(n), {{"direction", direction}});
    };
    add("marigoldspool_peer_frames_total", "sent", traffic.framesSent);
    add("marigoldspool_peer_bytes_total", "sent", traffic.bytesSent);
    add("marigoldspool_peer_frames_total", "received", traffic.framesReceived);
    add("marigoldspool_peer_bytes_total", "received", traffic.bytesReceived);
    m_metrics.set("marigoldspool_peer_connections", static_cast<double>(m_links.size()));
}

// Timer.

void Channel::scheduleTick()
{
    m_tickTimer.expires_after(m_tickInterval);
    m_tickTimer.async_wait(
        [this, alive = std::weak_ptr<int>(m_alive)](boost::system::error_code ec) {
            if (!ec && !alive.expired()) {
                onTick();
                if (m_running) {
                    scheduleTick();
                }
            }
        });
}

void Channel::onTick()
{
    const SteadyTime now = m_clock.now();
    // After a pause of this process, frames that arrived during the pause are still unread, so the
    // links must not be taken for idle.
    const bool paused = now - m_lastTick > m_options.idleTimeout / 2;
    m_lastTick = now;
    if (!paused) {
        checkLinks(now);
    }
    dialDuePeers();
    if (now - m_lastPublish >= MetricsInterval) {
        m_lastPublish = now;
        publishTraffic();
    }
}

void Channel::checkLinks(SteadyTime now)
{
    std::vector<LinkPtr> idle;
    for (const auto &[id, link] : m_links) {
        if (now - link->lastReceived >= m_options.idleTimeout) {
            idle.push_back(link);
        } else if (now - std::max(link->lastReceived, link->lastPing)
                   >= m_options.idleTimeout / 2) {
            // Rarely needed, because heartbeats usually keep the link active.
            link->lastPing = now;
            m_transport->ping(id);
        }
    }
    for (const LinkPtr &link : idle) {
        dropLink(link, "silent");
    }
}

} // namespace

std::unique_ptr<WebSocketPeerChannel> makeWebSocketPeerChannel(boost::asio::io_context &io,
                                                               PeerChannelOptions options,
                                                               const Clock &clock, Metrics &metrics)
{
    return std::make_unique<Channel>(io, std::move(options), clock, metrics);
}

} // namespace marigoldspool
