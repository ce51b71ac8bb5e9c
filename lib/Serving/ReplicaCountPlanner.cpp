#include "marigoldspool/Serving/ReplicaCountPlanner.h"

#include <algorithm>
#include <cmath>

namespace marigoldspool {

namespace {

using std::chrono::seconds;

// A zone grows above the first fraction of its slots, to the second one.
constexpr double GrowLoad = 0.7;
constexpr double TargetLoad = 0.6;
constexpr double ShrinkLoad = 0.3;
constexpr Duration OverloadTime = seconds(2);
constexpr Duration WaitingTime = seconds(1);
constexpr Duration IdleTime = seconds(30);
// At most this part of a zone's endpoints is added at once, since the demand that calls for them
// may be over when they have started.
constexpr int GrowDivisor = 4;
// Time that endpoints may be late beyond the pool's boot time.
constexpr Duration BootMargin = seconds(2);
constexpr Duration MinStartHold = seconds(10);
// The platform chooses the endpoint that goes, so each model requested within this time needs two
// copies. For as long after the start, not all of these models are known.
constexpr Duration RequestedWindow = seconds(60);

void updateSince(std::optional<SteadyTime> &since, bool holds, SteadyTime now)
{
    if (!holds) {
        since.reset();
    } else if (!since) {
        since = now;
    }
}

bool hasLasted(const std::optional<SteadyTime> &since, Duration time, SteadyTime now)
{
    return since && now - *since >= time;
}

} // namespace

ReplicaCountPlanner::ReplicaCountPlanner(const Clock &clock)
    : m_clock(clock)
    , m_startedAt(clock.now())
{ }

void ReplicaCountPlanner::start()
{
    m_startedAt = m_clock.now();
    m_pools.clear();
}

void ReplicaCountPlanner::retain(const std::set<PoolName> &pools)
{
    for (auto it = m_pools.begin(); it != m_pools.end();) {
        it = pools.count(it->first) == 0 ? m_pools.erase(it) : std::next(it);
    }
}

std::optional<int> ReplicaCountPlanner::wanted(const PoolName &pool, const ZoneName &zone) const
{
    const auto poolFound = m_pools.find(pool);
    if (poolFound == m_pools.end()) {
        return std::nullopt;
    }
    const auto found = poolFound->second.zones.find(zone);
    return found == poolFound->second.zones.end() ? std::nullopt
                                                  : std::make_optional(found->second.wanted);
}

void ReplicaCountPlanner::onAccepted(const PoolName &pool, const ZoneName &zone, int desired)
{
    const auto found = m_pools.find(pool);
    if (found == m_pools.end()) {
        return;
    }
    ZoneState &state = found->second.zones[zone];
    if (state.wanted == desired) {
        const SteadyTime dueAt = m_clock.now() + found->second.bootTime + BootMargin;
        state.isOrderOpen = false;
        state.settledAt = dueAt;
        if (desired > state.ready) {
            state.bootsDueAt = dueAt;
            state.nextGrowthAt = dueAt;
        }
    }
}

ReplicaCountPlanner::Sums ReplicaCountPlanner::sumUp(const PoolObservation &observation,
                                                     const PoolState &pool)
{
    Sums sums;
    // A zone that has lost its last endpoint gets new ones.
    for (const auto &[name, state] : pool.zones) {
        sums[name];
    }
    for (const auto &[name, reporters] : observation.zones) {
        sums[name].isEvacuated = reporters.isEvacuated;
    }
    int allSlots = 0;
    for (const ReplicaObservation &it : observation.endpoints) {
        ZoneSums &zone = sums[it.zone];
        if (it.isLeaving) {
            continue;
        }
        ++zone.ready;
        if (it.isHeardOf) {
            ++zone.heardOf;
            zone.slots += it.slots;
            zone.requests += it.requests;
            allSlots += it.slots;
        }
    }
    for (auto &[name, zone] : sums) {
        const auto found = observation.zones.find(name);
        const ZoneReporters reporters =
            found == observation.zones.end() ? ZoneReporters() : found->second;
        zone.isObserved = !zone.isEvacuated && 2 * reporters.reporting >= reporters.instances
            && 2 * zone.heardOf >= zone.ready;
        // The requests are assumed to be spread evenly over the slots.
        if (observation.expectedRequests && allSlots > 0) {
            zone.requests =
                std::max(zone.requests, *observation.expectedRequests * zone.slots / allSlots);
        }
    }
    return sums;
}

void ReplicaCountPlanner::adoptCounts(PoolState &pool, const Sums &sums, bool isHolding) const
{
    const SteadyTime now = m_clock.now();
    for (const auto &[name, zone] : sums) {
        ZoneState &state = pool.zones[name];
        state.ready = zone.ready;
        // Later, more endpoints than wanted are ones that an order to shrink has not reached, or
        // that an earlier holder's order has brought late.
        if (zone.ready > state.wanted
            && (isHolding || (!state.isOrderOpen && now >= state.settledAt))) {
            state.wanted = zone.ready;
        }
        updateSince(state.unsettledSince, zone.ready != state.wanted, now);
    }
}

void ReplicaCountPlanner::updateTimers(PoolState &pool, const PoolObservation &observation,
                                       const Sums &sums) const
{
    const SteadyTime now = m_clock.now();
    double slots = 0;
    double requests = static_cast<double>(observation.waitingForSlot);
    // The demand of a zone that cannot be observed is missing in the loads of the others, too.
    bool isAllObserved = observation.isLoadKnown;
    for (const auto &[name, zone] : sums) {
        if (!zone.isEvacuated) {
            isAllObserved = isAllObserved && zone.isObserved;
            slots += zone.slots;
            requests += zone.requests;
        }
    }
    for (const auto &[name, zone] : sums) {
        ZoneState &state = pool.zones[name];
        updateSince(state.overloadedSince, zone.isObserved && zone.load() > GrowLoad, now);
        updateSince(
            state.idleSince,
            isAllObserved && !zone.isEvacuated && zone.ready > 0 && zone.load() < ShrinkLoad, now);
    }
    // While others have free slots, another copy of the model serves the requests.
    updateSince(pool.waitingSince, observation.waitingForSlot > 0 && requests >= TargetLoad * slots,
                now);
    updateSince(pool.quietSince, observation.waitingForSlot == 0 && observation.waitingForLoad == 0,
                now);
    for (const auto &[model, at] : observation.lastRequests) {
        SteadyTime &last = pool.lastRequests[model];
        last = std::max(last, at);
    }
    for (auto it = pool.lastRequests.begin(); it != pool.lastRequests.end();) {
        it = now - it->second > RequestedWindow ? pool.lastRequests.erase(it) : std::next(it);
    }
}

bool ReplicaCountPlanner::canGrow(const ZoneState &zone, const ZoneSums &sums,
                                  const ReplicaBounds &bounds) const
{
    const bool isGrowthOpen = zone.isOrderOpen && zone.wanted > sums.ready;
    return sums.isObserved && zone.wanted < bounds.max && !isGrowthOpen
        && m_clock.now() >= zone.nextGrowthAt;
}

std::optional<ZoneName> ReplicaCountPlanner::zoneForWaiting(const PoolState &pool,
                                                            const ReplicaBounds &bounds,
                                                            const Sums &sums) const
{
    std::optional<ZoneName> best;
    if (!hasLasted(pool.waitingSince, WaitingTime, m_clock.now())) {
        return best;
    }
    for (const auto &[name, zone] : sums) {
        // One zone at a time, since the waiting requests are those of the whole pool.
        const ZoneState &state = pool.zones.at(name);
        const bool isBooting =
            state.wanted > zone.ready && (state.isOrderOpen || m_clock.now() < state.bootsDueAt);
        if (isBooting && zone.isObserved) {
            return std::nullopt;
        }
        if (canGrow(state, zone, bounds) && (!best || zone.load() > sums.at(*best).load())) {
            best = name;
        }
    }
    return best;
}

std::pair<int, std::string_view>
ReplicaCountPlanner::decide(const ZoneState &zone, const ZoneSums &sums,
                            const ReplicaBounds &bounds, std::optional<std::uint64_t> waiting) const
{
    const SteadyTime now = m_clock.now();
    if (!sums.isObserved) {
        return {zone.wanted, {}};
    }
    const int bounded = std::clamp(zone.wanted, bounds.min, bounds.max);
    if (bounded != zone.wanted) {
        return {bounded, "bounds"};
    }
    const bool isOverloaded = hasLasted(zone.overloadedSince, OverloadTime, now);
    if ((isOverloaded || waiting) && canGrow(zone, sums, bounds)) {
        const double slots = sums.heardOf == 0 ? 1 : static_cast<double>(sums.slots) / sums.heardOf;
        const double requests = sums.requests + static_cast<double>(waiting.value_or(0));
        // Both are far below the range of int; the bound keeps an absurd report within it.
        const int needed =
            static_cast<int>(std::ceil(std::min(requests / (TargetLoad * slots), 1e6)));
        const bool areAllReady = sums.ready >= zone.wanted;
        if (needed > zone.wanted || (areAllReady && waiting)) {
            const int step =
                std::clamp(needed - zone.wanted, 1, std::max(1, zone.wanted / GrowDivisor));
            return {std::min(zone.wanted + step, bounds.max), isOverloaded ? "load" : "waiting"};
        }
    }
    // Also repeats an order whose endpoints have not come.
    if (sums.ready < zone.wanted && !zone.isOrderOpen && now >= zone.bootsDueAt) {
        return {zone.wanted, "replaces_lost"};
    }
    return {zone.wanted, {}};
}

bool ReplicaCountPlanner::hasSpareCopies(const PoolState &pool,
                                         const PoolObservation &observation) const
{
    return std::all_of(pool.lastRequests.begin(), pool.lastRequests.end(), [&](const auto &it) {
        const auto copies = std::count_if(observation.endpoints.begin(),
                                          observation.endpoints.end(), [&](const auto &endpoint) {
                                              return !endpoint.isLeaving && endpoint.isHeardOf
                                                  && endpoint.models.count(it.first) > 0;
                                          });
        return copies != 1;
    });
}

std::optional<ZoneName> ReplicaCountPlanner::zoneToShrink(const PoolState &pool,
                                                          const ReplicaBounds &bounds,
                                                          const PoolObservation &observation,
                                                          const Sums &sums) const
{
    const SteadyTime now = m_clock.now();
    std::optional<ZoneName> best;
    if (now - m_startedAt < RequestedWindow || !hasLasted(pool.quietSince, IdleTime, now)
        || !hasSpareCopies(pool, observation)) {
        return best;
    }
    for (const auto &[name, zone] : sums) {
        const ZoneState &state = pool.zones.at(name);
        // Two zones could give up both copies of a model, so one endpoint leaves at a time.
        // Endpoints that the platform does not provide don't keep the other zones from shrinking
        // for good.
        const bool isUnsettled =
            state.unsettledSince && now - *state.unsettledSince < RequestedWindow;
        const bool isGrowthOpen = state.isOrderOpen && state.wanted > zone.ready;
        if (!zone.isEvacuated && isUnsettled && !isGrowthOpen) {
            return std::nullopt;
        }
        if (zone.ready > state.wanted) {
            continue;
        }
        const double remainingSlots =
            static_cast<double>(zone.slots) * (zone.ready - 1) / std::max(1, zone.ready);
        const bool isPossible = hasLasted(state.idleSince, IdleTime, now)
            && state.wanted > bounds.min && zone.requests <= TargetLoad * remainingSlots;
        if (isPossible && (!best || zone.ready > sums.at(*best).ready)) {
            best = name;
        }
    }
    return best;
}

std::vector<ReplicaOrder> ReplicaCountPlanner::update(const PoolName &pool,
                                                      const ReplicaBounds &bounds,
                                                      const PoolObservation &observation)
{
    const SteadyTime now = m_clock.now();
    PoolState &state = m_pools[pool];
    state.bootTime = bounds.bootTime;
    const Sums sums = sumUp(observation, state);
    updateTimers(state, observation, sums);
    const Duration bootTime = bounds.bootTime + BootMargin;
    // What an earlier holder has ordered appears within this time.
    const bool isHolding = now - m_startedAt < std::max(MinStartHold, bootTime);
    adoptCounts(state, sums, isHolding);
    std::vector<ReplicaOrder> orders;
    // Bounds that contradict each other allow no number.
    if (isHolding || bounds.min > bounds.max) {
        return orders;
    }
    const auto addOrder = [&](const ZoneName &name, int desired, std::string_view cause) {
        ZoneState &zone = state.zones[name];
        const ZoneSums &zoneSums = sums.at(name);
        if (desired > zoneSums.ready) {
            zone.bootsDueAt = now + bootTime;
        }
        if (desired > zone.wanted) {
            zone.nextGrowthAt = now + bootTime;
        }
        zone.wanted = desired;
        zone.isOrderOpen = true;
        zone.settledAt = now + bootTime;
        orders.push_back({pool, name, desired, zoneSums.ready,
                          std::max(0, desired - zoneSums.ready), zoneSums.load(), cause});
    };
    const std::optional<ZoneName> waitingZone = zoneForWaiting(state, bounds, sums);
    for (const auto &[name, zoneSums] : sums) {
        const auto waiting =
            waitingZone == name ? std::make_optional(observation.waitingForSlot) : std::nullopt;
        const auto [desired, cause] = decide(state.zones[name], zoneSums, bounds, waiting);
        if (!cause.empty()) {
            addOrder(name, desired, cause);
        }
    }
    if (orders.empty()) {
        if (const auto name = zoneToShrink(state, bounds, observation, sums)) {
            state.zones[*name].idleSince.reset();
            addOrder(*name, state.zones[*name].wanted - 1, "idle");
        }
    }
    return orders;
}

} // namespace marigoldspool
