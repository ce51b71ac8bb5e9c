#include "marigoldspool/Routing/HomeSelector.h"

#include "marigoldspool/Support/Digest.h"

#include <algorithm>
#include <set>

namespace marigoldspool {

namespace {

bool canServe(const Configuration &configuration, const Target &target,
              const EndpointRule &endpoint)
{
    if (endpoint.state != EndpointState::Serving || !configuration.isZoneServing(endpoint.zone)) {
        return false;
    }
    if (!target.isModel()) {
        return endpoint.kind == EndpointKind::Service && endpoint.pool == target.pool;
    }
    const ModelRule *model = configuration.findModel(target.model.str());
    return endpoint.kind == EndpointKind::Engine && model != nullptr
        && configuration.mayRunIn(*model, endpoint.zone);
}

} // namespace

std::vector<ZoneName> servingZones(const Configuration &configuration, const Target &target,
                                   const ZoneName &own)
{
    std::set<ZoneName> zones;
    for (const EndpointRule &endpoint : configuration.endpoints()) {
        if (canServe(configuration, target, endpoint)) {
            zones.insert(endpoint.zone);
        }
    }
    std::vector<ZoneName> ordered(zones.begin(), zones.end());
    const std::string key = target.key();
    std::sort(ordered.begin(), ordered.end(), [&](const ZoneName &a, const ZoneName &b) {
        if ((a == own) != (b == own)) {
            return a == own;
        }
        return stableHash(key + "/" + a.str()) > stableHash(key + "/" + b.str());
    });
    return ordered;
}

tl::expected<InstanceId, Refusal> selectHome(const Configuration &configuration,
                                             const PeerTable &peers, const Target &target,
                                             const ZoneName &own)
{
    const std::vector<ZoneName> zones = servingZones(configuration, target, own);
    for (const ZoneName &zone : zones) {
        const std::vector<InstanceId> candidates = peers.candidatesInZone(zone);
        if (!candidates.empty()) {
            return rendezvousOwner(target.key(), candidates);
        }
    }
    const bool drained = zones.empty() && !configuration.isZoneServing(own);
    return tl::make_unexpected(
        Refusal{drained ? RefusalReason::ZoneDrained : RefusalReason::NoCapacity, RanState::No,
                "no zone that this instance can reach serves " + target.key(),
                "send it again later", std::chrono::seconds(1)});
}

} // namespace marigoldspool
