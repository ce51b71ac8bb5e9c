#include "marigoldspool/Serving/UsageHubSelector.h"

#include "marigoldspool/Peer/PeerTable.h"

#include <algorithm>

namespace marigoldspool {

namespace {

// The owner sends totals every 450 ms. After one missing message, instances report to the zone's
// hub, so that its totals arrive before those of the owner expire.
constexpr Duration OwnerTotalsLifetime = std::chrono::milliseconds(700);

bool contains(gsl::span<const InstanceId> ids, const InstanceId &id)
{
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

} // namespace

UsageHubSelector::UsageHubSelector(InstanceId self, const Clock &clock)
    : m_self(std::move(self))
    , m_clock(clock)
{ }

void UsageHubSelector::setZoneMembers(std::vector<InstanceId> members)
{
    m_hubOrder = rendezvousOrder("usage", members);
}

bool UsageHubSelector::hasOwnerTotals() const
{
    return m_lastOwnerTotalsAt && m_clock.now() - *m_lastOwnerTotalsAt < OwnerTotalsLifetime;
}

bool UsageHubSelector::acceptTotals(const InstanceId &from, gsl::span<const InstanceId> connected)
{
    if (from == m_owner) {
        m_lastOwnerTotalsAt = m_clock.now();
        return true;
    }
    return currentHub(connected) == from;
}

InstanceId UsageHubSelector::currentHub(gsl::span<const InstanceId> connected) const
{
    if (m_owner == m_self || (hasOwnerTotals() && contains(connected, m_owner))) {
        return m_owner;
    }
    for (const InstanceId &id : m_hubOrder) {
        if (id == m_self || contains(connected, id)) {
            return id;
        }
    }
    return m_self;
}

} // namespace marigoldspool
