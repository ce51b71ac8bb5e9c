#include "Fleet/ReplicaCountDriver.h"

#include "marigoldspool/Support/EventLog.h"

#include <algorithm>
#include <cmath>

namespace marigoldspool {

namespace {

constexpr Duration PlanInterval = std::chrono::milliseconds(500);

std::string percentText(double value)
{
    constexpr double Percent = 100;
    return std::to_string(std::lround(value * Percent)) + '%';
}

} // namespace

ReplicaCountDriver::ReplicaCountDriver(FleetRuntime &runtime, const FleetState &state,
                                       const PlacementDriver &placement, DutyCalls &calls)
    : m_runtime(runtime)
    , m_state(state)
    , m_placement(placement)
    , m_planner(runtime.clock)
    , m_sender(
          calls,
          [this](const ReplicaOrder &order, std::uint64_t token) {
              return m_runtime.codec.encodeReplicaCount(m_runtime.options.duties->address,
                                                        order.pool, order.zone, order.desired,
                                                        m_runtime.options.instance, token);
          },
          [this](const ReplicaOrder &order) {
              m_planner.onAccepted(order.pool, order.zone, order.desired);
          })
{ }

void ReplicaCountDriver::onTick()
{
    const bool hasDuty = m_runtime.options.duties && m_runtime.options.duties->ordersReplicas;
    // Before all endpoints are listed, the number that is present would be taken for a lower one.
    const bool isActive =
        hasDuty && m_placement.isOwner() && m_runtime.isLoaded && m_runtime.routes != nullptr;
    if (isActive != m_isActive) {
        m_isActive = isActive;
        m_sender.clear();
        m_planner.start();
        m_nextPlan = m_runtime.clock.now();
    }
    if (!m_isActive) {
        return;
    }
    const SteadyTime now = m_runtime.clock.now();
    if (now >= m_nextPlan) {
        m_nextPlan = now + PlanInterval;
        plan();
    }
    m_sender.send();
}

void ReplicaCountDriver::plan()
{
    std::set<PoolName> pools;
    for (const auto &[name, pool] : m_runtime.routes->configuration()->pools) {
        if (pool.replicas) {
            pools.insert(name);
            planPool(pool);
        }
    }
    for (const PoolName &name : m_pools) {
        if (pools.count(name) == 0) {
            m_sender.drop(name);
        }
    }
    m_planner.retain(pools);
    m_pools = std::move(pools);
}

void ReplicaCountDriver::planPool(const EndpointPool &pool)
{
    const PoolObservation observation = observe(pool);
    for (const ReplicaOrder &order : m_planner.update(pool.name, *pool.replicas, observation)) {
        logEvent(LogLevel::Info, "replicas_ordered",
                 {{"pool", order.pool.str()},
                  {"zone", order.zone.str()},
                  {"desired", std::to_string(order.desired)},
                  {"ready", std::to_string(order.ready)},
                  {"booting", std::to_string(order.booting)},
                  {"cause", std::string(order.cause)},
                  {"load", percentText(order.load)}});
        m_sender.add(order);
    }
    for (const auto &[zone, reporters] : observation.zones) {
        if (const std::optional<int> wanted = m_planner.wanted(pool.name, zone)) {
            m_runtime.metrics->set("marigoldspool_replicas_wanted", *wanted,
                                   {{"pool", pool.name.str()}, {"zone", zone.str()}});
        }
    }
}

PoolObservation ReplicaCountDriver::observe(const EndpointPool &pool) const
{
    PoolObservation observation;
    const DemandAggregator &demand = m_placement.demand();
    const InstanceId &self = m_runtime.options.instance;
    const auto addInstance = [&](const InstanceId &id, const ZoneName &zone) {
        ZoneReporters &reporters = observation.zones[zone];
        ++reporters.instances;
        reporters.reporting += demand.isReporting(id) ? 1 : 0;
    };
    for (const auto &[id, member] : m_state.members()) {
        addInstance(id, member.zone);
    }
    if (m_state.members().count(self) == 0) {
        addInstance(self, m_runtime.options.zone);
    }
    for (const auto &[id, endpoint] : m_runtime.directory.endpoints()) {
        if (endpoint.listed.pool == pool.name) {
            observation.endpoints.push_back(observeEndpoint(endpoint, pool));
            observation.zones[endpoint.listed.zone];
        }
    }
    for (auto &[zone, reporters] : observation.zones) {
        reporters.isEvacuated = m_runtime.directory.isEvacuated(zone);
    }
    for (const auto &[key, item] : demand.totalDemand()) {
        if (key.pool != pool.name) {
            continue;
        }
        observation.waitingForSlot += item.waitingForSlot;
        observation.waitingForLoad += item.waiting;
        if (key.adapter.empty() && !key.model.empty()) {
            observation.lastRequests[key.model] = item.lastArrival;
        }
    }
    const bool areRequestsKnown = pool.engine && m_runtime.directory.isContended(pool);
    if (!areRequestsKnown) {
        observation.expectedRequests = expectedRequests(pool.name);
    }
    // Services send no reports, so only the arrivals tell their load.
    observation.isLoadKnown = pool.engine || observation.expectedRequests;
    return observation;
}

ReplicaObservation ReplicaCountDriver::observeEndpoint(const TrackedEndpoint &endpoint,
                                                       const EndpointPool &pool) const
{
    const EndpointId &id = endpoint.listed.id;
    const bool isUsable = m_runtime.directory.canUse(id);
    ReplicaObservation result;
    result.zone = endpoint.listed.zone;
    result.isLeaving = !isUsable && !m_runtime.directory.isEvacuated(endpoint.listed.zone);
    result.slots = std::max(1, endpoint.listed.slots);
    if (!pool.engine) {
        result.isHeardOf = isUsable && m_runtime.clock.now() >= endpoint.unreachableUntil;
        return result;
    }
    const auto found = m_placement.engines().find(id);
    if (found == m_placement.engines().end()) {
        return result;
    }
    const EngineState &engine = found->second;
    result.isHeardOf = engine.isUsable && engine.hasReported;
    if (engine.requestsKnownUntil && m_runtime.clock.now() <= *engine.requestsKnownUntil) {
        for (const auto &[model, requests] : engine.requests) {
            result.requests += requests;
        }
    } else {
        result.requests = engine.active + engine.queued;
    }
    for (const auto &[model, adapters] : engine.models) {
        if (PlacementPlanner::canServe(engine, model)) {
            result.models.insert(model);
        }
    }
    return result;
}

std::optional<double> ReplicaCountDriver::expectedRequests(const PoolName &pool) const
{
    const auto costs = m_runtime.directory.responseTimes().requestCosts();
    const auto cost = costs.find(pool);
    if (cost == costs.end()) {
        return std::nullopt;
    }
    double requestsPerSecond = 0;
    for (const auto &[key, item] : m_placement.demand().totalDemand()) {
        if (key.pool == pool && key.adapter.empty()) {
            requestsPerSecond += item.requestsPerSecond;
        }
    }
    return requestsPerSecond * cost->second.runSeconds;
}

} // namespace marigoldspool
