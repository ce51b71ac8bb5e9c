#ifndef MARIGOLDSPOOL_PEER_PEERTOPOLOGY_H
#define MARIGOLDSPOOL_PEER_PEERTOPOLOGY_H

#include "marigoldspool/Support/Identifiers.h"

#include <vector>

#include <gsl/span>

namespace marigoldspool {

struct TopologyMember {
    InstanceId id;
    ZoneName zone;
};

/// The peers that \p self keeps a connection with, ordered by id; empty if \p self is not a member.
///
/// Those are all members of its zone, the two gateways of each other zone, and, where it is a
/// gateway itself, all members of the other zone. The gateways of a zone towards another one are
/// its first two members by rendezvous hash of the pair of zones. Of two instances with the same
/// view, either both list the other or neither does; \p members need not be ordered.
std::vector<InstanceId> choosePeers(const InstanceId &self,
                                    gsl::span<const TopologyMember> members);

} // namespace marigoldspool

#endif
