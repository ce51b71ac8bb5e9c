#ifndef MARIGOLDSPOOL_SERVING_RATEDIVIDER_H
#define MARIGOLDSPOOL_SERVING_RATEDIVIDER_H

#include "marigoldspool/Peer/PeerTopology.h"

#include <cstddef>
#include <vector>

#include <gsl/span>

namespace marigoldspool {

/// What one instance may send to an endpoint that limits the rate of all instances together.
struct RateShare {
    /// Requests a second; 0 if only other instances send.
    double perSecond = 0;
    /// Requests that may be sent at once after a time without any.
    double burst = 0;
};

/// Divides the rate that an endpoint takes from all instances together among some of these.
///
/// All instances with the same list of members choose the same senders, without messages. No share
/// depends on who can be reached, so that the sum holds under any network partition.
class RateDivider
{
public:
    RateDivider(InstanceId self, ZoneName zone);

    /// The instances of the fleet, in any order; may lack this one.
    void setMembers(gsl::span<const TopologyMember> members);
    /// Includes this instance.
    std::size_t memberCount() const { return m_members.size(); }
    /// This instance's share of \p perSecond at an endpoint in \p zone.
    RateShare share(const EndpointId &endpoint, const ZoneName &zone, double perSecond) const;

private:
    TopologyMember m_self;
    std::vector<TopologyMember> m_members;
};

} // namespace marigoldspool

#endif
