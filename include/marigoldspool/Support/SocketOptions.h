#ifndef MARIGOLDSPOOL_SUPPORT_SOCKETOPTIONS_H
#define MARIGOLDSPOOL_SUPPORT_SOCKETOPTIONS_H

namespace marigoldspool {

/// Enables TCP keep-alive, so that a connection whose peer is unreachable fails after about three
/// seconds even when no data is pending. Has no effect on other sockets.
void enableKeepAlive(int socket);

} // namespace marigoldspool

#endif
