#include "marigoldspool/Peer/PeerTopology.h"

#include "marigoldspool/Peer/PeerTable.h"

#include <algorithm>
#include <map>
#include <set>

namespace marigoldspool {

namespace {

// Two, so that a zone stays reachable while one gateway is replaced.
constexpr std::size_t GatewaysPerZonePair = 2;

// Independent of the argument order, so that both zones rank their gateways by the same key.
std::string zonePairKey(const ZoneName &a, const ZoneName &b)
{
    const auto &[first, second] = std::minmax(a, b);
    return first.str() + '\0' + second.str();
}

std::vector<InstanceId> idsOf(gsl::span<const TopologyMember> members)
{
    std::vector<InstanceId> ids;
    ids.reserve(static_cast<std::size_t>(members.size()));
    for (const TopologyMember &member : members) {
        ids.push_back(member.id);
    }
    return ids;
}

bool contains(const std::vector<InstanceId> &ids, const InstanceId &id)
{
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

std::vector<InstanceId> firstByHash(std::string_view pair, const std::vector<InstanceId> &ids)
{
    std::vector<InstanceId> order = rendezvousOrder(pair, ids);
    order.resize(std::min(order.size(), GatewaysPerZonePair));
    return order;
}

// Gateways that stop keep their connections until they end; their successors connect meanwhile.
std::vector<InstanceId> selectGateways(std::string_view pair, gsl::span<const TopologyMember> zone)
{
    std::vector<InstanceId> gateways = firstByHash(pair, idsOf(zone));
    for (InstanceId &id : firstByHash(pair, electableMembers(zone))) {
        if (!contains(gateways, id)) {
            gateways.push_back(std::move(id));
        }
    }
    return gateways;
}

} // namespace

std::vector<InstanceId> electableMembers(gsl::span<const TopologyMember> members)
{
    std::vector<InstanceId> electable;
    for (const TopologyMember &member : members) {
        if (!member.isStopping) {
            electable.push_back(member.id);
        }
    }
    return electable.empty() ? idsOf(members) : electable;
}

std::vector<InstanceId> choosePeers(const InstanceId &self, gsl::span<const TopologyMember> members)
{
    std::map<ZoneName, std::vector<TopologyMember>> zones;
    const TopologyMember *own = nullptr;
    for (const TopologyMember &member : members) {
        zones[member.zone].push_back(member);
        if (member.id == self) {
            own = &member;
        }
    }
    if (own == nullptr) {
        return {};
    }
    const std::vector<TopologyMember> &ownZoneMembers = zones[own->zone];
    const std::vector<InstanceId> ownZoneIds = idsOf(ownZoneMembers);
    std::set<InstanceId> peers(ownZoneIds.begin(), ownZoneIds.end());
    for (const auto &[zone, zoneMembers] : zones) {
        if (zone == own->zone) {
            continue;
        }
        const std::string pair = zonePairKey(own->zone, zone);
        const std::vector<InstanceId> linked = contains(selectGateways(pair, ownZoneMembers), self)
            ? idsOf(zoneMembers)
            : selectGateways(pair, zoneMembers);
        peers.insert(linked.begin(), linked.end());
    }
    peers.erase(self);
    return {peers.begin(), peers.end()};
}

} // namespace marigoldspool
