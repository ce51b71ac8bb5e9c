#ifndef MARIGOLDSPOOL_PEER_PEERTOPOLOGY_H
#define MARIGOLDSPOOL_PEER_PEERTOPOLOGY_H

#include "marigoldspool/Support/Identifiers.h"

#include <vector>

#include <gsl/span>

namespace marigoldspool {

struct TopologyMember {
    InstanceId id;
    ZoneName zone;
    /// In a planned stop: it still serves requests and exchanges messages, but takes no new duty.
    bool isStopping = false;
};

/// The members that may take a duty for others: those that are not stopping, or all of \p members
/// if all are. In the order of \p members.
std::vector<InstanceId> electableMembers(gsl::span<const TopologyMember> members);

/// The peers that \p self keeps a connection with, ordered by id; empty if \p self is not a member.
///
/// These are all members of its own zone and, for each other zone, its two gateways, or all its
/// members if \p self is a gateway to that zone. The gateways between two zones are the first two
/// members of each by rendezvous hash of the zone pair, and the first two electable ones if those
/// are others, so a member that begins to stop loses no connection. The relation is symmetric: of
/// two instances with the same \p members, both list each other or neither does. \p members may be
/// in any order.
std::vector<InstanceId> choosePeers(const InstanceId &self,
                                    gsl::span<const TopologyMember> members);

} // namespace marigoldspool

#endif
