#ifndef MARIGOLDSPOOL_SERVING_DEMANDAGGREGATOR_H
#define MARIGOLDSPOOL_SERVING_DEMANDAGGREGATOR_H

#include "marigoldspool/Peer/Messages.h"
#include "marigoldspool/Serving/ServingTypes.h"

#include <map>
#include <optional>
#include <tuple>

#include <gsl/span>

namespace marigoldspool {

/// A model, or one of its adapters, in one pool.
struct DemandKey {
    PoolName pool;
    ModelName model;
    std::string adapter;

    friend bool operator<(const DemandKey &a, const DemandKey &b)
    {
        return std::tie(a.pool, a.model, a.adapter) < std::tie(b.pool, b.model, b.adapter);
    }
};

/// Demand for one model or adapter, summed over all instances.
struct FleetDemand {
    /// Exponentially smoothed arrival rate.
    double requestsPerSecond = 0;
    /// The rate expected within the next seconds; above the current one while demand rises.
    double expectedRequestsPerSecond = 0;
    std::uint64_t waiting = 0;
    /// Arrival of the oldest waiting request.
    SteadyTime oldestWaitingSince;
    /// When the last waiting request passes its latency objective.
    SteadyTime latestDueAt;
    int priority = 0;
    SteadyTime lastArrival;
    /// Requests that wait for a free slot, in pools whose number of endpoints is ordered.
    std::uint64_t waitingForSlot = 0;
    /// Value of serving all waiting requests on time; see requestWeight().
    double weight = 0;
    /// When the first waiting request passes its latency objective.
    SteadyTime firstDueAt;
    /// When the last caller gives up; SteadyTime::max() if not stated.
    SteadyTime leaveAt;
};

/// A request queued at this instance until its model or adapter is loaded.
struct WaitingRequest {
    DemandKey key;
    Duration waited = Duration::zero();
    /// Time until its latency objective; negative if it has passed.
    Duration dueIn = Duration::zero();
    /// 0 is the most urgent.
    int priority = 0;
    /// What it needs is loaded, but all endpoints with it are full.
    bool isForSlot = false;
    /// Value of serving it on time; see requestWeight().
    double weight = 0;
    /// Time until its caller gives up.
    Duration leavesIn = Duration::zero();
};

/// Measures the request rate of each model and adapter at this instance.
class DemandTracker
{
public:
    explicit DemandTracker(const Clock &clock);

    void onArrival(const DemandKey &key);
    /// Demand with recent arrivals, without waiting requests.
    std::map<DemandKey, ReportedDemand> recent();
    /// Recent demand together with the \p waiting requests.
    DemandReport report(gsl::span<const WaitingRequest> waiting);

private:
    struct DecayedCount {
        double value = 0;
        SteadyTime at;
    };

    const Clock &m_clock;
    std::map<DemandKey, DecayedCount> m_counts;
};

/// Sums the demand reports of all instances. Reports carry rates, so a new placement owner knows
/// the whole demand after one report from each instance.
class DemandAggregator
{
public:
    explicit DemandAggregator(const Clock &clock);

    void onReport(const InstanceId &from, const DemandReport &report);
    void clear();
    /// Drops the reports of instances that have stopped reporting.
    void onTick();

    std::size_t reporterCount() const { return m_reporters.size(); }
    /// Whether \p instance has reported within the last three seconds.
    bool isReporting(const InstanceId &instance) const { return m_reporters.count(instance) > 0; }
    const std::map<DemandKey, FleetDemand> &totalDemand() const;
    FleetDemand demandFor(const DemandKey &key) const;

private:
    void updateLaggingRates();

    struct ReportingInstance {
        SteadyTime at;
        std::map<DemandKey, FleetDemand> items;
    };

    const Clock &m_clock;
    std::map<InstanceId, ReportingInstance> m_reporters;
    /// The total rates, smoothed once more; a rate above its entry here is rising.
    std::map<DemandKey, double> m_laggingRates;
    SteadyTime m_laggingRatesAt;
    /// When the first report arrived after clear().
    std::optional<SteadyTime> m_startedAt;
    /// The sum of all reports, computed on demand.
    mutable std::map<DemandKey, FleetDemand> m_total;
    mutable bool m_isTotalOutdated = false;
};

} // namespace marigoldspool

#endif
