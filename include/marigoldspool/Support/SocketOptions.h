#ifndef MARIGOLDSPOOL_SUPPORT_SOCKETOPTIONS_H
#define MARIGOLDSPOOL_SUPPORT_SOCKETOPTIONS_H

#include "marigoldspool/Support/Clock.h"

namespace marigoldspool {

/// Default time after which an unreachable peer is detected.
constexpr std::chrono::seconds DefaultPeerTimeout(3);

/// Enables TCP keep-alive, so that a connection whose peer is unreachable fails after
/// \p peerTimeout, in whole seconds from 2 to 128, even when no data is pending. Has no effect on
/// other sockets.
void enableKeepAlive(int socket, Duration peerTimeout = DefaultPeerTimeout);

} // namespace marigoldspool

#endif
