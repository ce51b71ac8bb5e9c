#ifndef MARIGOLDSPOOL_PEER_PEERCHANNEL_H
#define MARIGOLDSPOOL_PEER_PEERCHANNEL_H

#include "marigoldspool/Peer/Messages.h"

#include <functional>

namespace marigoldspool {

/// Carries messages between instances. Messages arrive in order on each connection; the last ones
/// may be lost when a connection breaks.
class PeerChannel
{
public:
    using Handler = std::function<void(const InstanceId &from, std::uint64_t incarnation,
                                       const PeerMessage &message)>;
    using DownHandler = std::function<void(const InstanceId &peer)>;

    virtual ~PeerChannel();
    /// Returns false if the message was certainly not sent; true does not imply delivery.
    virtual bool send(const InstanceId &to, const PeerMessage &message) = 0;
    virtual void setHandler(Handler handler) = 0;
    /// Called when the connection to a peer was closed or timed out; whether the messages last sent
    /// on it arrived is unknown.
    virtual void setDownHandler(DownHandler handler) = 0;
};

} // namespace marigoldspool

#endif
