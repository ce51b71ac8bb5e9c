#include "marigoldspool/Support/SocketOptions.h"

#include <algorithm>
#include <cstdint>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace marigoldspool {

namespace {

// A lost connection is detected after IdleSeconds + IntervalSeconds * the number of probes.
constexpr int IdleSeconds = 1;
constexpr int IntervalSeconds = 1;
// The largest number that Linux accepts.
constexpr std::int64_t MaxProbeCount = 127;

} // namespace

// Errors are ignored: a socket that rejects the options works without them, and its user's
// timeouts still apply.
void enableKeepAlive(int socket, Duration peerTimeout)
{
    const int on = 1;
    const auto timeout = std::chrono::ceil<std::chrono::seconds>(peerTimeout).count();
    const int probeCount = static_cast<int>(
        std::clamp<std::int64_t>((timeout - IdleSeconds) / IntervalSeconds, 1, MaxProbeCount));
    ::setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    ::setsockopt(socket, IPPROTO_TCP, TCP_KEEPIDLE, &IdleSeconds, sizeof(IdleSeconds));
    ::setsockopt(socket, IPPROTO_TCP, TCP_KEEPINTVL, &IntervalSeconds, sizeof(IntervalSeconds));
    ::setsockopt(socket, IPPROTO_TCP, TCP_KEEPCNT, &probeCount, sizeof(probeCount));
}

} // namespace marigoldspool
