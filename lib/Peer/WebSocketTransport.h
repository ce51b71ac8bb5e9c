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
/// Header fields to answer a handshake with, or the HTTP status to refuse it with.
using HandshakeAnswer = tl::expected<std::vector<HeaderField>, int>;

/// Receives what happens on the connections of a WebSocketTransport.
class TransportListener
{
public:
    virtual ~TransportListener();
    virtual HandshakeAnswer onRequest(ConnectionId id, const HeaderLookup &request) = 0;
    virtual void onAccepted(ConnectionId id) = 0;
    virtual void onDialled(ConnectionId id, const HeaderLookup &response) = 0;
    virtual void onFrame(ConnectionId id, bool binary, gsl::span<const std::uint8_t> bytes) = 0;
    virtual void onControlFrame(ConnectionId id) = 0;
    /// Once for each connection, also for one whose handshake failed.
    virtual void onClosed(ConnectionId id, const std::string &cause) = 0;
};

/// WebSocket connections in both directions, without a notion of peers. Keeps websocketpp and its
/// long compile times in one file.
class WebSocketTransport
{
public:
    virtual ~WebSocketTransport();
    virtual Expected<void> listen(std::string_view address) = 0;
    virtual std::uint16_t port() = 0;
    /// Zero if the connection could not even be begun.
    virtual ConnectionId dial(std::string_view address, gsl::span<const HeaderField> headers) = 0;
    /// False if the frame was certainly not sent.
    virtual bool send(ConnectionId id, gsl::span<const std::uint8_t> bytes) = 0;
    virtual std::size_t queuedBytes(ConnectionId id) = 0;
    virtual void ping(ConnectionId id) = 0;
    /// Closes without a closing handshake, since the other side may no longer answer.
    virtual void abandon(ConnectionId id) = 0;
    /// Stops listening, closes \p open after what is queued on them, abandons the others, and
    /// abandons all after \p limit.
    virtual void closeAll(gsl::span<const ConnectionId> open, Duration limit,
                          std::function<void()> closed) = 0;
};

std::unique_ptr<WebSocketTransport> makeWebSocketTransport(boost::asio::io_context &io,
                                                           std::size_t maxMessageBytes,
                                                           TransportListener &listener);

} // namespace marigoldspool

#endif
