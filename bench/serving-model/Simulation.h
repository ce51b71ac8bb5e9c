#ifndef MARIGOLDSPOOL_BENCH_SERVING_MODEL_SIMULATION_H
#define MARIGOLDSPOOL_BENCH_SERVING_MODEL_SIMULATION_H

#include "Pattern.h"

#include "marigoldspool/Serving/PlacementPlanner.h"

#include <deque>

namespace marigoldspool::bench {

using RequestIndex = std::size_t;

/// One replica: what it holds, loads and runs.
struct SimulatedEngine {
    struct Run {
        RequestIndex request = 0;
        double promptLeft = 0;
        double outputLeft = 0;
    };
    struct Load {
        ModelName model;
        bool fromStore = false;
        /// At full speed.
        double leftMs = 0;
    };

    EndpointId id;
    ZoneName zone;
    LoadedModels models;
    std::deque<ModelName> inMemory;
    std::set<ModelName> onDisk;
    std::vector<Run> runs;
    std::optional<Load> load;
    /// Dropped as soon as its last run has ended; takes no new runs.
    std::optional<ModelName> dropping;
    std::map<std::pair<ModelName, std::string>, Duration> adaptersComing;
    /// Counts changes of what is held, loaded or dropped.
    int changes = 0;

    bool offers(const ModelName &model, const std::string &adapter) const;
    /// Where the weights of a load would come from.
    LoadSource sourceOf(const ModelName &model) const;
    bool runsModel(const ModelName &model, gsl::span<const Arrival> arrivals) const;
};

/// What became of the callers' requests.
struct ClassOutcome {
    int onTime = 0;
    int late = 0;
    int lost = 0;
};

struct Outcome : ClassOutcome {
    /// By the order of the pattern's classes.
    std::vector<ClassOutcome> classes;
    int refusals = 0;
    int storeLoads = 0;
    int otherLoads = 0;
    double earned = 0;
    double owed = 0;
};

class Simulation;

/// Decides what the engines load and where requests go.
class Scheduler
{
public:
    virtual ~Scheduler();
    virtual std::string_view name() const = 0;
    /// Once, before the first step.
    virtual void begin(Simulation &simulation) = 0;
    /// An attempt of a caller begins; the scheduler sends or refuses it, now or in a later step.
    virtual void onAttempt(RequestIndex request) = 0;
    /// The caller has left; the attempt must not be sent any more.
    virtual void onGone(RequestIndex request) = 0;
    virtual void onFirstByte(RequestIndex /*request*/, const EndpointId & /*engine*/) { }
    virtual void onEnd(RequestIndex /*request*/, const EndpointId & /*engine*/) { }
    /// After what has happened in a step, in any case.
    virtual void onStep() = 0;
};

/// Plays a pattern against engines and a weight store of their own time.
///
/// Left out: instances (all requests are decided in one place), quotas, faults, the sharing of
/// prompts, and memory of running requests.
class Simulation
{
public:
    Simulation(const Pattern &pattern, Scheduler &scheduler);
    Outcome run();

    ManualClock &clock() { return m_clock; }
    const Pattern &pattern() const { return m_pattern; }
    /// The configured pool, which lives as long as the simulation.
    const EndpointPool &pool() const { return m_configuration->pools.begin()->second; }
    const ServingConfigurationPtr &configuration() const { return m_configuration; }
    Duration now() const { return m_clock.now() - m_start; }
    const std::map<EndpointId, SimulatedEngine> &engines() const { return m_engines; }
    const Arrival &arrival(RequestIndex request) const { return m_pattern.arrivals[request]; }
    const RequestClass &requestClass(RequestIndex request) const
    {
        return m_pattern.classes[arrival(request).requestClass];
    }
    /// The engine with the fewest runs that offers what the request needs; null: none does.
    const SimulatedEngine *leastBusy(RequestIndex request) const;
    /// At full speed.
    Duration loadTime(const ModelName &model, LoadSource source) const;
    /// Since the attempt under way began.
    Duration waited(RequestIndex request) const;

    /// False when the engine does not offer what the request needs or its slots are taken.
    bool send(RequestIndex request, const EndpointId &engine);
    void refuse(RequestIndex request, Duration retryAfter);
    /// The engine must hold less than its memory and neither load nor drop a model.
    void load(const EndpointId &engine, const ModelName &model);
    void unload(const EndpointId &engine, const ModelName &model);
    void loadAdapter(const EndpointId &engine, const ModelName &model, const std::string &adapter);
    void unloadAdapter(const EndpointId &engine, const ModelName &model,
                       const std::string &adapter);

private:
    enum class Phase {
        NotCome,
        Waiting,
        Running,
        Returning,
        Done,
    };
    struct Progress {
        Phase phase = Phase::NotCome;
        Duration since = Duration::zero();
        Duration returnsAt = Duration::zero();
        int attempts = 0;
    };

    void beginAttempt(RequestIndex request);
    void advanceCallers();
    void advanceLoads();
    void advanceRuns(SimulatedEngine &engine);
    void finishDrop(SimulatedEngine &engine);
    void onFirstByte(RequestIndex request, const SimulatedEngine &engine);
    void lose(RequestIndex request);
    ClassOutcome &classOutcome(RequestIndex request);
    bool isOver() const;

    const Pattern &m_pattern;
    ServingConfigurationPtr m_configuration;
    Scheduler &m_scheduler;
    ManualClock m_clock;
    SteadyTime m_start;
    std::map<EndpointId, SimulatedEngine> m_engines;
    std::vector<Progress> m_progress;
    RequestIndex m_next = 0;
    std::size_t m_open = 0;
    Outcome m_outcome;
};

} // namespace marigoldspool::bench

#endif
