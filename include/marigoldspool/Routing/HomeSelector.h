#ifndef MARIGOLDSPOOL_ROUTING_HOMESELECTOR_H
#define MARIGOLDSPOOL_ROUTING_HOMESELECTOR_H

#include "marigoldspool/Config/Configuration.h"
#include "marigoldspool/Peer/PeerTable.h"
#include "marigoldspool/Routing/Request.h"
#include "marigoldspool/Support/Refusal.h"

#include <tl/expected.hpp>

namespace marigoldspool {

/// The zones in which \p target can be served now, the preferred one first: \p own if it is one of
/// them, then the others in an order that depends on the target only.
std::vector<ZoneName> servingZones(const Configuration &configuration, const Target &target,
                                   const ZoneName &own);

/// The instance that holds the queue for \p target: of the first serving zone with a live
/// instance, the one with the highest rendezvous hash. Fails with ZoneDrained or NoCapacity.
tl::expected<InstanceId, Refusal> selectHome(const Configuration &configuration,
                                             const PeerTable &peers, const Target &target,
                                             const ZoneName &own);

} // namespace marigoldspool

#endif
