#include "marigoldspool/Serving/RateDivider.h"

#include "marigoldspool/Peer/PeerTable.h"

#include <algorithm>
#include <map>

namespace marigoldspool {

namespace {

// The users tolerate one and a half times the limit and five requests more within four seconds.
// Each sender may send one request at once after a time without any; a sender for each half request
// a second and three more use up less than this tolerance, whatever the limit.
constexpr double SendersPerRate = 2;
constexpr int MinSenders = 3;
// The rest is for instances that have not learnt yet that the number of instances has changed.
constexpr double RateFraction = 0.9;
// Time without requests that a sender may make up for, beyond the one request.
constexpr double BurstSeconds = 0.25;

bool hasSmallerId(const TopologyMember &a, const TopologyMember &b)
{
    return a.id < b.id;
}

// The members of each zone by rendezvous hash, one of each zone in turn: callers in every zone then
// have a sender as long as there are enough. The endpoint's own zone is first, since it can reach
// the endpoint when it is partitioned from the others.
std::vector<InstanceId> senderOrder(const EndpointId &endpoint, const ZoneName &endpointZone,
                                    gsl::span<const TopologyMember> members)
{
    std::map<ZoneName, std::vector<InstanceId>> zones;
    for (const TopologyMember &member : members) {
        zones[member.zone].push_back(member.id);
    }
    std::vector<InstanceId> zoneIds;
    for (auto &[zone, ids] : zones) {
        ids = rendezvousOrder(endpoint.str(), ids);
        zoneIds.emplace_back(zone.str());
    }
    zoneIds = rendezvousOrder(endpoint.str(), zoneIds);
    std::stable_partition(zoneIds.begin(), zoneIds.end(), [&](const InstanceId &id) {
        return id.str() == endpointZone.str();
    });
    std::vector<InstanceId> order;
    for (std::size_t i = 0; order.size() < static_cast<std::size_t>(members.size()); ++i) {
        for (const InstanceId &zone : zoneIds) {
            const std::vector<InstanceId> &ids = zones[ZoneName(zone.str())];
            if (i < ids.size()) {
                order.push_back(ids[i]);
            }
        }
    }
    return order;
}

} // namespace

RateDivider::RateDivider(InstanceId self, ZoneName zone)
    : m_self{std::move(self), std::move(zone)}
    , m_members{m_self}
{ }

void RateDivider::setMembers(gsl::span<const TopologyMember> members)
{
    m_members.assign(members.begin(), members.end());
    // This instance counts from its start, even before it is listed.
    const bool isListed = std::any_of(m_members.begin(), m_members.end(), [this](const auto &it) {
        return it.id == m_self.id;
    });
    if (!isListed) {
        m_members.push_back(m_self);
    }
    std::sort(m_members.begin(), m_members.end(), hasSmallerId);
}

RateShare RateDivider::share(const EndpointId &endpoint, const ZoneName &zone,
                             double perSecond) const
{
    const auto maxSenders = static_cast<double>(m_members.size());
    const auto senders = static_cast<std::size_t>(
        std::min(maxSenders, std::max(0.0, SendersPerRate * perSecond) + MinSenders));
    const std::vector<InstanceId> order = senderOrder(endpoint, zone, m_members);
    const auto end = order.begin() + static_cast<std::ptrdiff_t>(senders);
    if (std::find(order.begin(), end, m_self.id) == end) {
        return {};
    }
    const double rate = RateFraction * perSecond / static_cast<double>(senders);
    return {rate, std::max(1.0, rate * BurstSeconds)};
}

} // namespace marigoldspool
