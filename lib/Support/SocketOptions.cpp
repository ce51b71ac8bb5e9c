#include "marigoldspool/Support/SocketOptions.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace marigoldspool {

namespace {

// Detects a lost connection within three seconds: IdleSeconds + IntervalSeconds * ProbeCount.
constexpr int IdleSeconds = 1;
constexpr int IntervalSeconds = 1;
constexpr int ProbeCount = 2;

} // namespace

// Errors are ignored: a socket that rejects the options works without them, and its user's
// timeouts still apply.
void enableKeepAlive(int socket)
{
    const int on = 1;
    ::setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    ::setsockopt(socket, IPPROTO_TCP, TCP_KEEPIDLE, &IdleSeconds, sizeof(IdleSeconds));
    ::setsockopt(socket, IPPROTO_TCP, TCP_KEEPINTVL, &IntervalSeconds, sizeof(IntervalSeconds));
    ::setsockopt(socket, IPPROTO_TCP, TCP_KEEPCNT, &ProbeCount, sizeof(ProbeCount));
}

} // namespace marigoldspool
