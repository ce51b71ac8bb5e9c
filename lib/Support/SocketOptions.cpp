#include "marigoldspool/Support/SocketOptions.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace marigoldspool {

namespace {

// Together three seconds, the time within which a lost connection has to be noticed.
constexpr int IdleSeconds = 1;
constexpr int IntervalSeconds = 1;
constexpr int Probes = 2;

} // namespace

// A socket that does not take the options works without them; the time-outs of its user remain.
void enableKeepAlive(int socket)
{
    const int on = 1;
    ::setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    ::setsockopt(socket, IPPROTO_TCP, TCP_KEEPIDLE, &IdleSeconds, sizeof(IdleSeconds));
    ::setsockopt(socket, IPPROTO_TCP, TCP_KEEPINTVL, &IntervalSeconds, sizeof(IntervalSeconds));
    ::setsockopt(socket, IPPROTO_TCP, TCP_KEEPCNT, &Probes, sizeof(Probes));
}

} // namespace marigoldspool
