#include "marigoldspool/Serving/UsageHub.h"

#include "marigoldspool/Peer/PeerTable.h"

#include <algorithm>

namespace marigoldspool {

namespace {

// The owner sends its sums every 450 ms; one that is missing starts the reports to the zone's hub,
// so that its sums are there before the owner's are too old to be used.
constexpr Duration OwnerOverdue = std::chrono::milliseconds(700);

// Within two intervals of their reports all have gone over to a new owner.
constexpr Duration OwnerSettles = std::chrono::milliseconds(1000);

bool contains(gsl::span<const InstanceId> ids, const InstanceId &id)
{
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

} // namespace

UsageHub::UsageHub(InstanceId self, const Clock &clock)
    : m_self(std::move(self))
    , m_clock(clock)
{ }

void UsageHub::setZoneMembers(std::vector<InstanceId> members)
{
    m_order = rendezvousOrder("usage", members);
}

bool UsageHub::hearsOwner() const
{
    return m_ownerHeard && m_clock.now() - m_ownerHeardAt < OwnerOverdue;
}

// The others go over to a new owner one by one. Until as many have as sum up in the zone, the sums
// of the zone tell more: with the few members of the owner's first ones nearly all of the rate
// would be left out for instances that seem silent.
bool UsageHub::onTotals(const InstanceId &from, std::size_t members,
                        gsl::span<const InstanceId> connected)
{
    if (from == m_owner) {
        const SteadyTime now = m_clock.now();
        if (!hearsOwner()) {
            m_ownerHeardFrom = now;
        }
        m_ownerHeard = true;
        m_ownerHeardAt = now;
        return members >= m_order.size() || now - m_ownerHeardFrom >= OwnerSettles;
    }
    return current(connected) == from;
}

InstanceId UsageHub::current(gsl::span<const InstanceId> connected) const
{
    if (m_owner == m_self || (hearsOwner() && contains(connected, m_owner))) {
        return m_owner;
    }
    for (const InstanceId &id : m_order) {
        if (id == m_self || contains(connected, id)) {
            return id;
        }
    }
    return m_self;
}

} // namespace marigoldspool
