#ifndef MARIGOLDSPOOL_PEER_WEBSOCKETPEERCHANNEL_H
#define MARIGOLDSPOOL_PEER_WEBSOCKETPEERCHANNEL_H

#include "marigoldspool/Peer/PeerChannel.h"
#include "marigoldspool/Support/Clock.h"
#include "marigoldspool/Support/Metrics.h"

#include <memory>
#include <vector>

#include <boost/asio/io_context.hpp>

namespace marigoldspool {

struct PeerAddress {
    InstanceId id;
    /// `IP:PORT`.
    std::string address;
};

struct PeerChannelOptions {
    /// Visible ASCII characters only, because it travels in a header field.
    InstanceId self;
    /// Must increase with each run of an instance.
    std::uint64_t incarnation = 0;
    /// Listening address, `IP:PORT`; port 0 picks a free port.
    std::string address;
    /// Shared secret, the same on all instances.
    std::string secret;
    /// Larger messages are neither sent nor accepted. A configuration of 1 MB has to fit.
    std::size_t maxMessageBytes = 4U << 20U;
    /// send() fails if the queue would exceed this; messages being written are not counted.
    std::size_t maxQueuedBytes = 8U << 20U;
    /// A connection on which nothing was received for this long is closed.
    Duration idleTimeout = std::chrono::seconds(3);
    Duration initialReconnectDelay = std::chrono::milliseconds(100);
    Duration maxReconnectDelay = std::chrono::seconds(5);
    /// How long stop() waits for queued messages and the closing handshakes.
    Duration closeTimeout = std::chrono::seconds(2);
};

/// One WebSocket connection to each peer; of two instances the one with the lower id dials.
///
/// An accepted connection is kept even if the dialler is not in the peer list, because instances
/// learn of membership changes at different times. All callbacks run on the io_context and must not
/// destroy the channel.
class WebSocketPeerChannel : public PeerChannel
{
public:
    /// Starts to listen. Fails with InvalidArgument or Unavailable.
    virtual Expected<void> start() = 0;
    /// The listening port.
    virtual std::uint16_t port() const = 0;
    /// Replaces the list of peers to stay connected with; an entry for this instance is ignored.
    virtual void setPeers(std::vector<PeerAddress> peers) = 0;
    /// Peers with an open connection, ordered by id.
    virtual std::vector<InstanceId> connectedPeers() const = 0;
    /// Sends queued messages and closes all connections without calling the down handler.
    /// \p stopped is never called from within stop().
    virtual void stop(std::function<void()> stopped) = 0;
};

std::unique_ptr<WebSocketPeerChannel> makeWebSocketPeerChannel(boost::asio::io_context &io,
                                                               PeerChannelOptions options,
                                                               const Clock &clock,
                                                               Metrics &metrics);

} // namespace marigoldspool

#endif
