#ifndef MARIGOLDSPOOL_SERVING_USAGEHUBSELECTOR_H
#define MARIGOLDSPOOL_SERVING_USAGEHUBSELECTOR_H

#include "marigoldspool/Support/Clock.h"
#include "marigoldspool/Support/Identifiers.h"

#include <optional>
#include <vector>

#include <gsl/span>

namespace marigoldspool {

/// Selects the hub: the instance of a large fleet that aggregates quota usage for this one.
///
/// The hub is the placement owner, to which all instances are connected. While the owner is
/// unreachable, each zone uses its first reachable member in a rendezvous hash order.
class UsageHubSelector
{
public:
    UsageHubSelector(InstanceId self, const Clock &clock);

    /// The instances of this zone, including this one.
    void setZoneMembers(std::vector<InstanceId> members);
    void setOwner(const InstanceId &owner) { m_owner = owner; }
    /// Totals of \p from have arrived; returns whether to use them.
    bool acceptTotals(const InstanceId &from, gsl::span<const InstanceId> connected);
    /// The hub to report to, which may be this instance itself.
    InstanceId currentHub(gsl::span<const InstanceId> connected) const;

private:
    bool hasOwnerTotals() const;

    InstanceId m_self;
    const Clock &m_clock;
    InstanceId m_owner;
    std::optional<SteadyTime> m_lastOwnerTotalsAt;
    std::vector<InstanceId> m_hubOrder;
};

} // namespace marigoldspool

#endif
