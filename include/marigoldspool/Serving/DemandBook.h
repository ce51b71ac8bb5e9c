#ifndef MARIGOLDSPOOL_SERVING_DEMANDBOOK_H
#define MARIGOLDSPOOL_SERVING_DEMANDBOOK_H

#include "marigoldspool/Peer/Messages.h"
#include "marigoldspool/Serving/ServingTypes.h"

#include <map>
#include <tuple>

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

struct Demand {
    /// Requests each second, smoothed.
    double rate = 0;
    std::uint64_t waiting = 0;
    /// When the oldest waiting request came.
    SteadyTime oldest;
    int priority = 0;
    SteadyTime lastArrival;
};

/// What all instances ask for, as their reports say.
class DemandBook
{
public:
    explicit DemandBook(const Clock &clock);

    void onReport(const InstanceId &from, const DemandReport &report);
    /// Forgets the waiting requests of an instance that is out of reach.
    void forget(const InstanceId &from);
    /// Smooths rates and drops the reports of instances that are silent.
    void onTick();

    const std::map<DemandKey, Demand> &all() const { return m_total; }
    Demand of(const DemandKey &key) const;

private:
    struct Waiting {
        std::uint64_t count = 0;
        SteadyTime oldest;
        int priority = 0;
    };
    struct Reporter {
        SteadyTime at;
        std::map<DemandKey, Waiting> waiting;
    };
    void sum();

    const Clock &m_clock;
    std::map<InstanceId, Reporter> m_reporters;
    std::map<DemandKey, double> m_arrivals;
    std::map<DemandKey, Demand> m_total;
    SteadyTime m_smoothedAt;
};

} // namespace marigoldspool

#endif
