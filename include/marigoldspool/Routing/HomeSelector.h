#ifndef MARIGOLDSPOOL_ROUTING_HOMESELECTOR_H
#define MARIGOLDSPOOL_ROUTING_HOMESELECTOR_H

#include "marigoldspool/Config/Configuration.h"
#include "marigoldspool/Peer/PeerTable.h"
#include "marigoldspool/Routing/Request.h"
#include "marigoldspool/Support/Refusal.h"

#include <set>
#include <vector>

#include <tl/expected.hpp>

namespace marigoldspool {

/// The zones in which \p target can be served now, the preferred one first.
///
/// All instances prefer the same zone for a model, so that its few replicas serve the requests of
/// every zone; an adapter follows its base model. Services are preferred in \p own zone.
std::vector<ZoneName> servingZones(const Configuration &configuration, const Target &target,
                                   const ZoneName &own);

/// Where the queue for a target is held.
struct Home {
    ZoneName zone;
    InstanceId instance;
};

/// The first serving zone with a live instance, without those in \p excluded, and its instance
/// with the highest rendezvous hash. Fails with ZoneDrained or NoCapacity.
tl::expected<Home, Refusal> selectHome(const Configuration &configuration, const PeerTable &peers,
                                       const Target &target, const ZoneName &own,
                                       const std::set<ZoneName> &excluded = {});

} // namespace marigoldspool

#endif
