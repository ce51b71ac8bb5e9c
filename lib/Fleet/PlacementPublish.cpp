// How the driver tells the other instances what each engine holds.
#include "Fleet/PlacementDriver.h"

namespace marigoldspool {

namespace {

using std::chrono::milliseconds;

constexpr Duration PublishInterval = milliseconds(1000);
// Changes are gathered for this long: in a large fleet each of them goes to many instances.
constexpr Duration SmallGather = milliseconds(20);
constexpr Duration LargeGather = milliseconds(150);

} // namespace

PlacedEndpoint PlacementDriver::placedOf(const EngineState &engine) const
{
    PlacedEndpoint placed{engine.id, {}};
    for (const auto &[model, adapters] : engine.models) {
        if (!PlacementPlanner::offers(engine, model)) {
            continue;
        }
        placed.models.push_back(model.str());
        for (const std::string &adapter : adapters) {
            if (engine.dropping != std::make_pair(model, adapter)) {
                placed.models.push_back(model.str() + '/' + adapter);
            }
        }
    }
    return placed;
}

LeaseAnnouncement PlacementDriver::leaseNews() const
{
    const std::optional<LeaseRecord> &record = m_lease.current();
    if (!record) {
        return {};
    }
    LeaseAnnouncement news{record->version, record->renewal, record->released, {}};
    for (const EndpointId &endpoint : record->recentlyOrdered) {
        news.recentlyOrdered.push_back(endpoint.str());
    }
    return news;
}

PlacementUpdate PlacementDriver::fullUpdate() const
{
    PlacementUpdate update;
    update.term = m_lease.term();
    update.lease = leaseNews();
    update.sequence = m_sequence;
    update.full = true;
    for (const auto &[id, engine] : m_planner.engines()) {
        if (engine.known) {
            update.endpoints.push_back(placedOf(engine));
        }
    }
    return update;
}

void PlacementDriver::publishIfDue()
{
    const SteadyTime now = m_runtime.clock.now();
    const bool isSmall = m_link.connectedPeers().size() < FleetLink::MostMeshMembers;
    const bool isDue = m_changed && now - m_publishedAt >= (isSmall ? SmallGather : LargeGather);
    if (isDue || now >= m_publishAt) {
        publish();
    }
}

void PlacementDriver::publish()
{
    PlacementUpdate update;
    update.term = m_lease.term();
    update.sequence = ++m_sequence;
    update.lease = leaseNews();
    for (const auto &[id, engine] : m_planner.engines()) {
        Contact &contact = m_contacts[id];
        if (contact.changed && engine.known) {
            contact.changed = false;
            update.endpoints.push_back(placedOf(engine));
        }
    }
    m_changed = false;
    m_publishedAt = m_runtime.clock.now();
    m_publishAt = m_publishedAt + PublishInterval;
    for (const InstanceId &peer : m_link.connectedPeers()) {
        m_link.send(peer, update);
    }
    if (m_onUpdate) {
        m_onUpdate(update);
    }
}

} // namespace marigoldspool
