#ifndef MARIGOLDSPOOL_SERVING_REPLICACOUNTPLANNER_H
#define MARIGOLDSPOOL_SERVING_REPLICACOUNTPLANNER_H

#include "marigoldspool/Serving/ServingTypes.h"

#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <utility>
#include <vector>

namespace marigoldspool {

/// What the lease holder knows of one endpoint of a pool.
struct ReplicaObservation {
    ZoneName zone;
    /// The endpoint leaves; it does not count towards the number.
    bool isLeaving = false;
    /// The endpoint answers the holder, so its load and models are known.
    bool isHeardOf = false;
    int slots = 1;
    /// Requests at the endpoint, running or queued.
    int requests = 0;
    std::set<ModelName> models;
};

/// The instances of an availability zone, as far as the lease holder hears of them.
struct ZoneReporters {
    int instances = 0;
    /// Instances whose demand reports have arrived lately.
    int reporting = 0;
    bool isEvacuated = false;
};

/// The state of one pool, at one time.
struct PoolObservation {
    std::vector<ReplicaObservation> endpoints;
    std::map<ZoneName, ZoneReporters> zones;
    /// Requests at all endpoints together by arrival rate and run time. Unset if the requests of
    /// the observations are complete.
    std::optional<double> expectedRequests;
    /// Whether the requests at the endpoints are known in either way.
    bool isLoadKnown = true;
    /// Requests for which all endpoints that could serve them are full.
    std::uint64_t waitingForSlot = 0;
    /// Requests whose model or adapter is not loaded.
    std::uint64_t waitingForLoad = 0;
    /// The last request for each model.
    std::map<ModelName, SteadyTime> lastRequests;
};

/// The number of endpoints to order for a pool in a zone.
struct ReplicaOrder {
    PoolName pool;
    ZoneName zone;
    int desired = 0;
    /// Endpoints that are listed and don't leave, and those ordered before that are not listed yet.
    int ready = 0;
    int booting = 0;
    /// Fraction of the zone's slots in use.
    double load = 0;
    /// Reason for the order, for the log.
    std::string_view cause;
};

/// Decides how many endpoints each zone of a pool gets, within the pool's bounds. Kept by the lease
/// holder, who calls update() about twice a second.
///
/// Too few endpoints cost callers until new ones have started and loaded models, so a zone grows
/// within seconds; it shrinks by single endpoints after a time without need.
class ReplicaCountPlanner
{
public:
    explicit ReplicaCountPlanner(const Clock &clock);

    /// Begins anew. The endpoints present within the next seconds count as ordered, since the
    /// orders of earlier holders are not known.
    void start();
    /// Returns the orders that are due now, at most one for each zone. An order replaces an earlier
    /// one of its zone, whether or not that one was accepted.
    std::vector<ReplicaOrder> update(const PoolName &pool, const ReplicaBounds &bounds,
                                     const PoolObservation &observation);
    /// The platform has accepted the order for \p desired endpoints.
    void onAccepted(const PoolName &pool, const ZoneName &zone, int desired);
    /// Forgets all pools but \p pools.
    void retain(const std::set<PoolName> &pools);
    /// The wanted number in a zone; unset if none has been decided yet.
    std::optional<int> wanted(const PoolName &pool, const ZoneName &zone) const;

private:
    struct ZoneState {
        int wanted = 0;
        /// An order has been returned that the platform has not accepted yet.
        bool isOrderOpen = false;
        /// Endpoints that are listed and don't leave.
        int ready = 0;
        /// When the endpoints that were ordered must have started; an order is then repeated.
        SteadyTime bootsDueAt;
        SteadyTime nextGrowthAt;
        /// When an order must have taken effect.
        SteadyTime settledAt;
        /// Since when the number of endpoints differs from the wanted one.
        std::optional<SteadyTime> unsettledSince;
        std::optional<SteadyTime> overloadedSince;
        std::optional<SteadyTime> idleSince;
    };
    /// Sums over the endpoints of a zone.
    struct ZoneSums {
        int ready = 0;
        int heardOf = 0;
        int slots = 0;
        double requests = 0;
        bool isEvacuated = false;
        /// Enough instances have reported and enough endpoints are heard of for a decision.
        bool isObserved = false;

        double load() const { return slots == 0 ? 0 : requests / slots; }
    };
    struct PoolState {
        Duration bootTime = Duration::zero();
        std::map<ZoneName, ZoneState> zones;
        std::optional<SteadyTime> waitingSince;
        std::optional<SteadyTime> quietSince;
        std::map<ModelName, SteadyTime> lastRequests;
    };
    using Sums = std::map<ZoneName, ZoneSums>;

    static Sums sumUp(const PoolObservation &observation, const PoolState &pool);
    /// Follows the numbers of endpoints that are not due to this holder's orders.
    void adoptCounts(PoolState &pool, const Sums &sums, bool isHolding) const;
    void updateTimers(PoolState &pool, const PoolObservation &observation, const Sums &sums) const;
    /// The zone that grows for requests that wait for a slot, if any.
    std::optional<ZoneName> zoneForWaiting(const PoolState &pool, const ReplicaBounds &bounds,
                                           const Sums &sums) const;
    /// The wanted number of a zone, and the reason if an order is due.
    std::pair<int, std::string_view> decide(const ZoneState &zone, const ZoneSums &sums,
                                            const ReplicaBounds &bounds,
                                            std::optional<std::uint64_t> waiting) const;
    bool canGrow(const ZoneState &zone, const ZoneSums &sums, const ReplicaBounds &bounds) const;
    std::optional<ZoneName> zoneToShrink(const PoolState &pool, const ReplicaBounds &bounds,
                                         const PoolObservation &observation,
                                         const Sums &sums) const;
    /// Whether each model that was requested lately has a copy left without any one endpoint.
    bool hasSpareCopies(const PoolState &pool, const PoolObservation &observation) const;

    const Clock &m_clock;
    SteadyTime m_startedAt;
    std::map<PoolName, PoolState> m_pools;
};

} // namespace marigoldspool

#endif
