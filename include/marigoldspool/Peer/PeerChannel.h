#ifndef MARIGOLDSPOOL_PEER_PEERCHANNEL_H
#define MARIGOLDSPOOL_PEER_PEERCHANNEL_H

#include "marigoldspool/Peer/Messages.h"

#include <functional>

namespace marigoldspool {

/// Carries messages between instances, in order on each connection, possibly losing the last ones
/// when a connection breaks.
class PeerChannel
{
public:
    using Handler = std::function<void(const InstanceId &from, std::uint64_t incarnation,
                                       const PeerMessage &message)>;
    using DownHandler = std::function<void(const InstanceId &peer)>;

    virtual ~PeerChannel();
    /// False when the message was surely not sent; true says nothing about its arrival.
    virtual bool send(const InstanceId &to, const PeerMessage &message) = 0;
    virtual void setHandler(Handler handler) = 0;
    /// Called when the connection to a peer is closed or silent: whether the messages last sent on
    /// it arrived is unknown.
    virtual void setDownHandler(DownHandler handler) = 0;
};

} // namespace marigoldspool

#endif
