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
        && configuration.canRunIn(*model, endpoint.zone);
}

// Returns the key that zones are ranked by. An adapter has the key of its base model, because it
// can only be loaded where the base model is loaded.
std::string zonePreferenceKey(const Configuration &configuration, const Target &target)
{
    if (!target.isModel()) {
        return target.key();
    }
    const ModelRule *model = configuration.findModel(target.model.str());
    const bool isAdapter = model != nullptr && model->kind == ModelKind::Adapter;
    return Target{isAdapter ? model->base : target.model, {}}.key();
}

} // namespace

std::vector<ZoneName> servingZones(const Configuration &configuration, const Target &target,
                                   const ZoneName &ownZone)
{
    std::set<ZoneName> zones;
    for (const EndpointRule &endpoint : configuration.endpoints()) {
        if (canServe(configuration, target, endpoint)) {
            zones.insert(endpoint.zone);
        }
    }
    std::vector<ZoneName> ordered(zones.begin(), zones.end());
    const std::string key = zonePreferenceKey(configuration, target);
    std::sort(ordered.begin(), ordered.end(), [&](const ZoneName &a, const ZoneName &b) {
        if (!target.isModel() && (a == ownZone) != (b == ownZone)) {
            return a == ownZone;
        }
        return stableHash(key + "/" + a.str()) > stableHash(key + "/" + b.str());
    });
    return ordered;
}

tl::expected<Home, Refusal> selectHome(const Configuration &configuration, const PeerTable &peers,
                                       const Target &target, const ZoneName &ownZone,
                                       const std::set<ZoneName> &excluded)
{
    const std::vector<ZoneName> zones = servingZones(configuration, target, ownZone);
    for (const ZoneName &zone : zones) {
        if (excluded.count(zone) > 0) {
            continue;
        }
        const std::vector<InstanceId> candidates = peers.candidatesInZone(zone);
        if (!candidates.empty()) {
            return Home{zone, rendezvousOwner(target.key(), candidates)};
        }
    }
    const bool drained = zones.empty() && !configuration.isZoneServing(ownZone);
    return tl::make_unexpected(
        Refusal{drained ? RefusalReason::ZoneDrained : RefusalReason::NoCapacity, RanState::No,
                "no zone that this instance can reach serves " + target.key(),
                "send it again later", std::chrono::seconds(1)});
}

} // namespace marigoldspool
