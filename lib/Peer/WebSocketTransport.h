#ifndef MARIGOLDSPOOL_LIB_PEER_WEBSOCKETTRANSPORT_H
#define MARIGOLDSPOOL_LIB_PEER_WEBSOCKETTRANSPORT_H

#include "marigoldspool/Support/Clock.h"
#include "marigoldspool/Support/Error.h"
#include "marigoldspool/Support/HeaderField.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <gsl/span>

namespace marigoldspool {

using ConnectionId = std::uint64_t;
/// The value of a header field of the handshake, empty if there is none.
using HeaderLookup = std::function<std::string(const char *name)>;
/// Header fields of the handshake response, or the HTTP status to reject the handshake with.
using HandshakeAnswer = tl::expected<std::vector<HeaderField>, int>;

/// Receives the events of the connections of a WebSocketTransport.
class TransportListener
{
public:
    virtual ~TransportListener();
    virtual HandshakeAnswer onHandshakeRequest(ConnectionId id, const HeaderLookup &request) = 0;
    virtual void onAccepted(ConnectionId id) = 0;
    virtual void onDialled(ConnectionId id, const HeaderLookup &response) = 0;
    virtual void onFrame(ConnectionId id, bool binary, gsl::span<const std::uint8_t> bytes) = 0;
    virtual void onControlFrame(ConnectionId id) = 0;
    /// Called once for each connection, including those whose handshake failed.
    virtual void onClosed(ConnectionId id, const std::string &cause) = 0;
};

/// Accepts and dials WebSocket connections without knowledge of peers. Confines websocketpp and its
/// long compile times to one source file.
class WebSocketTransport
{
public:
    virtual ~WebSocketTransport();
    virtual Expected<void> listen(std::string_view address) = 0;
    virtual std::uint16_t port() = 0;
    /// Returns 0 if the connection attempt could not be started.
    virtual ConnectionId dial(std::string_view address, gsl::span<const HeaderField> headers) = 0;
    /// Returns false if the frame was certainly not sent.
    virtual bool send(ConnectionId id, gsl::span<const std::uint8_t> bytes) = 0;
    virtual std::size_t queuedBytes(ConnectionId id) = 0;
    virtual void ping(ConnectionId id) = 0;
    /// Closes the socket without a closing handshake, since the peer may no longer answer.
    virtual void forceClose(ConnectionId id) = 0;
    /// Stops listening, closes \p open once their queued frames are sent, and force-closes the
    /// other connections at once and all remaining ones after \p timeout.
    virtual void closeAll(gsl::span<const ConnectionId> open, Duration timeout,
                          std::function<void()> closed) = 0;
};

std::unique_ptr<WebSocketTransport> makeWebSocketTransport(boost::asio::io_context &io,
                                                           std::size_t maxMessageBytes,
                                                           TransportListener &listener);

} // namespace marigoldspool

#endif
