#ifndef MARIGOLDSPOOL_BENCH_SERVING_MODEL_PRESENTSCHEDULER_H
#define MARIGOLDSPOOL_BENCH_SERVING_MODEL_PRESENTSCHEDULER_H

#include "Simulation.h"

#include "marigoldspool/Serving/EndpointDirectory.h"
#include "marigoldspool/Serving/PlacementPlanner.h"

#include <list>

namespace marigoldspool::bench {

/// The decisions of the product: its demand book, planner, choice of endpoints and wait policy, as
/// one instance that is also the placement owner uses them.
class PresentScheduler final : public Scheduler
{
public:
    std::string_view name() const override { return "present"; }
    void begin(Simulation &simulation) override;
    void onAttempt(RequestIndex request) override;
    void onGone(RequestIndex request) override;
    void onFirstByte(RequestIndex request, const EndpointId &engine) override;
    void onEnd(RequestIndex request, const EndpointId &engine) override;
    void onStep() override;

private:
    struct Parts {
        explicit Parts(Simulation &simulation);
        PlacementPlanner planner;
        DemandTracker tracker;
        DemandAggregator book;
        EndpointDirectory directory;
    };
    struct Waiting {
        RequestIndex request = 0;
        std::optional<ChoiceKind> waitsFor;
    };
    /// What the instance has not heard of an engine yet.
    struct Seen {
        int changes = -1;
        Duration changedAt = Duration::zero();
        bool isPublished = true;
        bool wasLoading = false;
    };

    int promptTokens(RequestIndex request) const;
    void syncEngines();
    void syncEngine(EngineState &state, const SimulatedEngine &engine, Seen &seen);
    void reportDemand();
    void plan();
    void carryOut(const PlacementOrder &order);
    /// True when the request waits on.
    bool dispatch(Waiting &waiting);
    std::optional<Duration> forecast(const Arrival &wanted) const;

    Simulation *m_simulation = nullptr;
    std::optional<Parts> m_parts;
    std::map<EndpointId, Seen> m_seen;
    std::list<Waiting> m_waiting;
    std::map<std::pair<ModelName, std::string>, Duration> m_forecasts;
    std::map<RequestIndex, Duration> m_sentAt;
    Duration m_reportAt = Duration::zero();
    Duration m_planAt = Duration::zero();
    bool m_newDemand = false;
};

} // namespace marigoldspool::bench

#endif
