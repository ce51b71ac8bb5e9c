// The part of PlacementDriver that publishes the loaded models of each engine to all instances.
#include "Fleet/PlacementDriver.h"

namespace marigoldspool {

namespace {

using std::chrono::milliseconds;

constexpr Duration PublishInterval = milliseconds(1000);
// Changes within this time are sent in one update; longer in a large fleet, where each update goes
// to many instances.
constexpr Duration SmallFleetBatchTime = milliseconds(20);
constexpr Duration LargeFleetBatchTime = milliseconds(150);

} // namespace

PlacedEndpoint PlacementDriver::placedEndpoint(const EngineState &engine) const
{
    PlacedEndpoint placed{engine.id, {}};
    for (const auto &[model, adapters] : engine.models) {
        if (!PlacementPlanner::canServe(engine, model)) {
            continue;
        }
        placed.models.push_back(model.str());
        for (const std::string &adapter : adapters) {
            if (engine.unloading != std::make_pair(model, adapter)) {
                placed.models.push_back(model.str() + '/' + adapter);
            }
        }
    }
    return placed;
}

LeaseAnnouncement PlacementDriver::leaseStatus() const
{
    const std::optional<LeaseRecord> &record = m_lease.current();
    if (!record) {
        return {};
    }
    LeaseAnnouncement status;
    status.version = record->version;
    status.renewal = record->renewal;
    status.released = record->released;
    for (const OrderSubject &subject : record->recentlyOrdered) {
        status.recentlyOrdered.push_back(subject.str());
    }
    status.orderDelayMs = toMilliseconds(record->orderDelay);
    for (const auto &[subject, delay] : record->subjectDelays) {
        status.endpointDelays.push_back({EndpointId(subject.str()), toMilliseconds(delay)});
    }
    return status;
}

PlacementUpdate PlacementDriver::fullUpdate() const
{
    PlacementUpdate update;
    update.term = m_lease.term();
    update.lease = leaseStatus();
    update.sequence = m_sequence;
    update.full = true;
    for (const auto &[id, engine] : m_planner.engines()) {
        if (engine.hasReported) {
            update.endpoints.push_back(placedEndpoint(engine));
        }
    }
    return update;
}

void PlacementDriver::publishIfDue()
{
    const SteadyTime now = m_runtime.clock.now();
    const bool isSmall = m_link.connectedPeers().size() < FleetLink::MaxMeshMembers;
    const bool isDue = m_hasUnpublished
        && now - m_publishedAt >= (isSmall ? SmallFleetBatchTime : LargeFleetBatchTime);
    if (isDue || now >= m_nextPublish) {
        publish();
    }
}

void PlacementDriver::publish()
{
    PlacementUpdate update;
    update.term = m_lease.term();
    update.sequence = ++m_sequence;
    update.lease = leaseStatus();
    for (const auto &[id, engine] : m_planner.engines()) {
        EngineTracker &tracker = m_trackers[id];
        if (tracker.isUnpublished && engine.hasReported) {
            tracker.isUnpublished = false;
            update.endpoints.push_back(placedEndpoint(engine));
        }
    }
    m_hasUnpublished = false;
    m_publishedAt = m_runtime.clock.now();
    m_nextPublish = m_publishedAt + PublishInterval;
    for (const InstanceId &peer : m_link.connectedPeers()) {
        m_link.send(peer, update);
    }
    if (m_onUpdate) {
        m_onUpdate(update);
    }
}

} // namespace marigoldspool
