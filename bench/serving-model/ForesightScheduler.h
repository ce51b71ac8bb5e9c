#ifndef MARIGOLDSPOOL_BENCH_SERVING_MODEL_FORESIGHTSCHEDULER_H
#define MARIGOLDSPOOL_BENCH_SERVING_MODEL_FORESIGHTSCHEDULER_H

#include "Simulation.h"

#include <list>

namespace marigoldspool::bench {

/// Knows all arrivals: has models loaded when they are first asked for, and drops what is asked for
/// again last. A greedy one, so what it earns is a lower bound of what an ideal one could.
class ForesightScheduler final : public Scheduler
{
public:
    std::string_view name() const override { return "with foresight"; }
    void begin(Simulation &simulation) override;
    void onAttempt(RequestIndex request) override;
    void onGone(RequestIndex request) override;
    void onStep() override;

private:
    /// A model that no engine offers, or too few, and when it is needed.
    struct Need {
        ModelName model;
        Duration at = Duration::zero();
    };
    struct Place {
        const SimulatedEngine *engine = nullptr;
        /// Empty when there is room.
        ModelName victim;
        Duration victimNeededAt = Duration::zero();
        Duration time = Duration::zero();
    };

    Duration nextUse(const ModelName &model) const;
    int copies(const ModelName &model) const;
    std::vector<Need> needs() const;
    std::optional<Place> choosePlace(const Need &need) const;
    std::optional<Place> placeAt(const SimulatedEngine &engine, const Need &need) const;
    int storeLoads() const;
    void bringAdapters();

    Simulation *m_simulation = nullptr;
    /// Arrivals of each model, by time, and the first of them that has not come yet.
    std::map<ModelName, std::vector<RequestIndex>> m_arrivals;
    mutable std::map<ModelName, std::size_t> m_nextOf;
    std::list<RequestIndex> m_waiting;
    std::map<EndpointId, ModelName> m_intents;
    Duration m_planAt = Duration::zero();
};

} // namespace marigoldspool::bench

#endif
