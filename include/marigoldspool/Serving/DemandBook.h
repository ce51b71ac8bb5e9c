#ifndef MARIGOLDSPOOL_SERVING_DEMANDBOOK_H
#define MARIGOLDSPOOL_SERVING_DEMANDBOOK_H

#include "marigoldspool/Peer/Messages.h"
#include "marigoldspool/Serving/ServingTypes.h"

#include <map>
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

struct FleetDemand {
    /// Requests each second, smoothed.
    double rate = 0;
    std::uint64_t waiting = 0;
    /// When the oldest waiting request came.
    SteadyTime oldest;
    int priority = 0;
    SteadyTime lastArrival;
};

/// A request of this instance that waits for a model or adapter.
struct WaitingRequest {
    DemandKey key;
    Duration waited = Duration::zero();
    /// 0 is the most urgent.
    int priority = 0;
};

/// How often one instance is asked for each model and adapter.
class DemandTracker
{
public:
    explicit DemandTracker(const Clock &clock);

    void onArrival(const DemandKey &key);
    /// All that was asked for lately, without waiting requests.
    std::map<DemandKey, ReportedDemand> recent();
    /// What was asked for lately and what \p waiting waits for.
    DemandReport report(gsl::span<const WaitingRequest> waiting);

private:
    struct Count {
        double value = 0;
        SteadyTime at;
    };

    const Clock &m_clock;
    std::map<DemandKey, Count> m_counts;
};

/// What all instances ask for, as their reports say. Since reports carry rates, an instance that
/// becomes the placement owner knows the demand as soon as each instance has reported once.
class DemandBook
{
public:
    explicit DemandBook(const Clock &clock);

    void onReport(const InstanceId &from, const DemandReport &report);
    void clear();
    /// Drops the reports of instances that are silent.
    void onTick();

    std::size_t reporters() const { return m_reporters.size(); }
    const std::map<DemandKey, FleetDemand> &all() const;
    FleetDemand of(const DemandKey &key) const;

private:
    struct Reporter {
        SteadyTime at;
        std::map<DemandKey, FleetDemand> items;
    };

    const Clock &m_clock;
    std::map<InstanceId, Reporter> m_reporters;
    /// The sum of all reports, made when it is asked for.
    mutable std::map<DemandKey, FleetDemand> m_total;
    mutable bool m_outdated = false;
};

} // namespace marigoldspool

#endif
