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

std::vector<InstanceId> selectGateways(std::string_view pair, const std::vector<InstanceId> &zone)
{
    std::vector<InstanceId> order = rendezvousOrder(pair, zone);
    order.resize(std::min(order.size(), GatewaysPerZonePair));
    return order;
}

bool contains(const std::vector<InstanceId> &ids, const InstanceId &id)
{
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

} // namespace

std::vector<InstanceId> choosePeers(const InstanceId &self, gsl::span<const TopologyMember> members)
{
    std::map<ZoneName, std::vector<InstanceId>> zones;
    const TopologyMember *own = nullptr;
    for (const TopologyMember &member : members) {
        zones[member.zone].push_back(member.id);
        if (member.id == self) {
            own = &member;
        }
    }
    if (own == nullptr) {
        return {};
    }
    const std::vector<InstanceId> &ownZoneMembers = zones[own->zone];
    std::set<InstanceId> peers(ownZoneMembers.begin(), ownZoneMembers.end());
    for (const auto &[zone, ids] : zones) {
        if (zone == own->zone) {
            continue;
        }
        const std::string pair = zonePairKey(own->zone, zone);
        const std::vector<InstanceId> linked =
            contains(selectGateways(pair, ownZoneMembers), self) ? ids : selectGateways(pair, ids);
        peers.insert(linked.begin(), linked.end());
    }
    peers.erase(self);
    return {peers.begin(), peers.end()};
}

} // namespace marigoldspool
