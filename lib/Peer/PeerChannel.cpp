#include "marigoldspool/Peer/PeerChannel.h"

namespace marigoldspool {

PeerChannel::~PeerChannel() = default;

} // namespace marigoldspool
