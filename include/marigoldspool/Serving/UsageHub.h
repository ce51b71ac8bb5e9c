#ifndef MARIGOLDSPOOL_SERVING_USAGEHUB_H
#define MARIGOLDSPOOL_SERVING_USAGEHUB_H

#include "marigoldspool/Support/Clock.h"
#include "marigoldspool/Support/Identifiers.h"

#include <optional>
#include <vector>

#include <gsl/span>

namespace marigoldspool {

/// Which instance of a large fleet sums up the use of quotas for this one.
///
/// That is the placement owner, which everyone is connected with. Without it each zone sums up for
/// itself: the first reachable member by an order that all members share.
class UsageHub
{
public:
    UsageHub(InstanceId self, const Clock &clock);

    /// The instances of the own zone, this one included.
    void setZoneMembers(std::vector<InstanceId> members);
    void setOwner(const InstanceId &owner) { m_owner = owner; }
    /// Sums of \p from have come; returns whether they are the ones to use.
    bool onTotals(const InstanceId &from, gsl::span<const InstanceId> connected);
    /// The hub to report to; this instance itself when it is the one that sums up.
    InstanceId current(gsl::span<const InstanceId> connected) const;

private:
    bool hearsOwner() const;

    InstanceId m_self;
    const Clock &m_clock;
    InstanceId m_owner;
    std::optional<SteadyTime> m_ownerHeardAt;
    std::vector<InstanceId> m_order;
};

} // namespace marigoldspool

#endif
