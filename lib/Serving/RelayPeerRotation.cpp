#include "marigoldspool/Serving/RelayPeerRotation.h"

namespace marigoldspool {

namespace {

// Each peer that has the objects sends all of them but large values, of which one peer sends parts
// on request. The answers of twenty peers, asked again before they had arrived, kept a link of
// 20 Mbit/s full for ten seconds.
constexpr std::size_t MaxPeersAtOnce = 2;

} // namespace

std::vector<InstanceId> RelayPeerRotation::next(gsl::span<const InstanceId> connected,
                                                bool isSmallFleet)
{
    if (isSmallFleet || connected.size() <= MaxPeersAtOnce) {
        return {connected.begin(), connected.end()};
    }
    std::vector<InstanceId> peers;
    for (std::size_t i = 0; i < MaxPeersAtOnce; ++i) {
        m_position = (m_position + 1) % connected.size();
        peers.push_back(connected[m_position]);
    }
    return peers;
}

} // namespace marigoldspool
