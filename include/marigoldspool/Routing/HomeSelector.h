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

/// Returns the zones in which \p target can currently be served, in order of preference.
///
/// All instances prefer the same zone for a model, so that its few replicas serve the requests of
/// every zone; an adapter has the preferred zone of its base model. Services prefer \p ownZone.
std::vector<ZoneName> servingZones(const Configuration &configuration, const Target &target,
                                   const ZoneName &ownZone);

/// The home of a target: the instance that holds its queue, and the zone of that instance.
struct Home {
    ZoneName zone;
    InstanceId instance;
};

/// Selects the first serving zone that has a live instance and is not in \p excluded, and in it the
/// instance with the highest rendezvous hash. Fails with ZoneDrained or NoCapacity.
tl::expected<Home, Refusal> selectHome(const Configuration &configuration, const PeerTable &peers,
                                       const Target &target, const ZoneName &ownZone,
                                       const std::set<ZoneName> &excluded = {});

} // namespace marigoldspool

#endif
