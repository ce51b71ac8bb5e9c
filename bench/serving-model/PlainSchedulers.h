#ifndef MARIGOLDSPOOL_BENCH_SERVING_MODEL_PLAINSCHEDULERS_H
#define MARIGOLDSPOOL_BENCH_SERVING_MODEL_PLAINSCHEDULERS_H

#include "Simulation.h"

#include <list>

namespace marigoldspool::bench {

/// What the baselines share: requests wait in order of arrival until their callers leave, go to the
/// engine with the fewest runs that offers the model, and a model that none offers is loaded where
/// and at the cost of what the baseline says.
class PlainScheduler : public Scheduler
{
public:
    void begin(Simulation &simulation) override;
    void onAttempt(RequestIndex request) override;
    void onGone(RequestIndex request) override;
    void onStep() override;

protected:
    /// The less, the sooner the engine takes a load.
    virtual double engineCost(const SimulatedEngine &engine, const ModelName &model) const = 0;
    /// The less, the sooner the engine drops the model.
    virtual double modelValue(const SimulatedEngine &engine, const ModelName &model) const = 0;
    /// Whether a request that cannot be sent holds up all later ones.
    virtual bool isStrict() const { return false; }
    Duration lastUse(const ModelName &model) const;
    const Simulation &simulation() const { return *m_simulation; }

private:
    bool trySend(RequestIndex request);
    void bring(const Arrival &wanted);
    void bringAdapter(const Arrival &wanted);
    bool makeRoom(const SimulatedEngine &engine, const ModelName &model);
    bool isComing(const ModelName &model) const;

    Simulation *m_simulation = nullptr;
    std::list<RequestIndex> m_waiting;
    std::map<ModelName, Duration> m_lastUse;
    /// Room is being made for these.
    std::map<EndpointId, ModelName> m_intents;
};

/// Loads where the fewest requests run, and drops the model with the fewest runs there.
class LeastLoadedScheduler final : public PlainScheduler
{
public:
    std::string_view name() const override { return "least loaded"; }

protected:
    double engineCost(const SimulatedEngine &engine, const ModelName &model) const override;
    double modelValue(const SimulatedEngine &engine, const ModelName &model) const override;
};

/// Drops the model that was asked for longest ago.
class LeastRecentlyUsedScheduler : public PlainScheduler
{
public:
    std::string_view name() const override { return "least recently used"; }

protected:
    double engineCost(const SimulatedEngine &engine, const ModelName &model) const override;
    double modelValue(const SimulatedEngine &engine, const ModelName &model) const override;
};

/// As least recently used, and no request passes an earlier one.
class FirstComeScheduler final : public LeastRecentlyUsedScheduler
{
public:
    std::string_view name() const override { return "first come first served"; }

protected:
    bool isStrict() const override { return true; }
};

} // namespace marigoldspool::bench

#endif
