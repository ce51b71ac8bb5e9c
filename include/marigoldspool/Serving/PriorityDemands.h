#ifndef MARIGOLDSPOOL_SERVING_PRIORITYDEMANDS_H
#define MARIGOLDSPOOL_SERVING_PRIORITYDEMANDS_H

#include "marigoldspool/Peer/Messages.h"
#include "marigoldspool/Serving/AdmissionOrder.h"
#include "marigoldspool/Serving/ServingTypes.h"

#include <deque>
#include <map>
#include <optional>
#include <tuple>
#include <vector>

namespace marigoldspool {

/// Requests of one priority for one model in one pool.
struct PriorityKey {
    PoolName pool;
    ModelName model;
    int priority = 0;

    friend bool operator<(const PriorityKey &a, const PriorityKey &b)
    {
        return std::tie(a.pool, a.model, a.priority) < std::tie(b.pool, b.model, b.priority);
    }
};

/// Sums the demand of all instances by priority. Kept by the lease holder.
class PriorityDemandSums
{
public:
    explicit PriorityDemandSums(const Clock &clock);

    /// Replaces the last report of \p from; counts and rates beyond reason are bounded.
    void onReport(const InstanceId &from, gsl::span<const PriorityLoad> report);
    /// Drops the reports of instances that have stopped reporting.
    void onTick();
    void clear() { m_reports.clear(); }
    /// The models with waiting requests and, if \p full, those with many arrivals.
    std::vector<PriorityLoad> totals(bool full) const;

private:
    struct Report {
        SteadyTime at;
        std::map<PriorityKey, PriorityLoad> loads;
    };

    const Clock &m_clock;
    std::map<InstanceId, Report> m_reports;
};

/// The demand by priority at this instance, and what it knows of the others' from the holder.
class PriorityDemandView
{
public:
    explicit PriorityDemandView(const Clock &clock);

    void onArrival(const PriorityKey &key);
    /// Number of this instance's requests that wait for a slot, by aged priority.
    void setWaiting(std::map<PriorityKey, int> waiting) { m_waiting = std::move(waiting); }
    /// What to tell the holder.
    std::vector<PriorityLoad> report();
    /// What the sums may contain of this instance.
    void onOwnReport(gsl::span<const PriorityLoad> report);
    void onTotals(const FleetLoads &totals);
    /// The demand for \p model at all instances; unset if the holder does not sum it. Whether the
    /// sums are recent is known to the EndpointLoadView that has received them.
    std::optional<std::vector<PriorityDemand>> demandFor(const PoolName &pool,
                                                         const ModelName &model) const;

private:
    struct FleetEntry {
        std::int64_t waiting = 0;
        double requestsPerSecond = 0;
    };

    const Clock &m_clock;
    /// Times of the last arrivals, the earliest first.
    std::map<PriorityKey, std::deque<SteadyTime>> m_arrivals;
    std::map<PriorityKey, int> m_waiting;
    std::map<PriorityKey, std::int64_t> m_ownReported;
    std::map<PriorityKey, FleetEntry> m_totals;
    bool m_isKnown = false;
};

} // namespace marigoldspool

#endif
