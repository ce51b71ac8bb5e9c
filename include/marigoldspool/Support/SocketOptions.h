#ifndef MARIGOLDSPOOL_SUPPORT_SOCKETOPTIONS_H
#define MARIGOLDSPOOL_SUPPORT_SOCKETOPTIONS_H

namespace marigoldspool {

/// Makes the kernel probe an idle TCP connection, so that one that has gone silent fails after
/// about three seconds, also where no byte is due. Does nothing for other sockets.
void enableKeepAlive(int socket);

} // namespace marigoldspool

#endif
