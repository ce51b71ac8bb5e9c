#include "Simulation.h"

#include <algorithm>
#include <cassert>

namespace marigoldspool::bench {

namespace {

constexpr Duration Step = std::chrono::milliseconds(5);
constexpr double StepMs = 5;
// A request that is still open this long after the last arrival does not end any more.
constexpr Duration LongestTail = std::chrono::seconds(60);

double toMs(Duration value)
{
    return std::chrono::duration<double, std::milli>(value).count();
}

} // namespace

Scheduler::~Scheduler() = default;

bool SimulatedEngine::offers(const ModelName &model, const std::string &adapter) const
{
    const auto it = models.find(model);
    return it != models.end() && dropping != model
        && (adapter.empty() || it->second.count(adapter) > 0);
}

LoadSource SimulatedEngine::sourceOf(const ModelName &model) const
{
    if (std::find(inMemory.begin(), inMemory.end(), model) != inMemory.end()) {
        return LoadSource::Memory;
    }
    return onDisk.count(model) > 0 ? LoadSource::Disk : LoadSource::Store;
}

bool SimulatedEngine::runsModel(const ModelName &model, gsl::span<const Arrival> arrivals) const
{
    return std::any_of(runs.begin(), runs.end(), [&](const Run &run) {
        return arrivals[run.request].model == model;
    });
}

Simulation::Simulation(const Pattern &pattern, Scheduler &scheduler)
    : m_pattern(pattern)
    , m_configuration(pattern.configuration())
    , m_scheduler(scheduler)
    , m_start(m_clock.now())
    , m_progress(pattern.arrivals.size())
{
    m_outcome.classes.resize(pattern.classes.size());
    for (const EngineStart &start : pattern.engines) {
        SimulatedEngine &engine = m_engines[start.id];
        engine.id = start.id;
        engine.zone = start.zone;
        for (const ModelName &model : start.models) {
            engine.models[model] = {};
        }
        engine.inMemory.assign(start.inMemory.begin(), start.inMemory.end());
        engine.onDisk = start.onDisk;
    }
}

Outcome Simulation::run()
{
    m_scheduler.begin(*this);
    while (!isOver()) {
        advanceCallers();
        advanceLoads();
        for (auto &[id, engine] : m_engines) {
            advanceRuns(engine);
            finishDrop(engine);
        }
        m_scheduler.onStep();
        m_clock.advance(Step);
    }
    return m_outcome;
}

bool Simulation::isOver() const
{
    if (m_next < m_pattern.arrivals.size()) {
        return false;
    }
    return m_open == 0
        || (!m_pattern.arrivals.empty() && now() > m_pattern.arrivals.back().at + LongestTail);
}

ClassOutcome &Simulation::classOutcome(RequestIndex request)
{
    return m_outcome.classes[arrival(request).requestClass];
}

const SimulatedEngine *Simulation::leastBusy(RequestIndex request) const
{
    const Arrival &wanted = arrival(request);
    const SimulatedEngine *best = nullptr;
    for (const auto &[id, engine] : m_engines) {
        if (engine.offers(wanted.model, wanted.adapter)
            && (best == nullptr || engine.runs.size() < best->runs.size())) {
            best = &engine;
        }
    }
    return best;
}

Duration Simulation::loadTime(const ModelName &model, LoadSource source) const
{
    const HostedModel &hosted = m_pattern.profile.models.at(model);
    switch (source) {
    case LoadSource::Memory:
        return hosted.memoryLoadTime;
    case LoadSource::Disk:
        return hosted.diskLoadTime;
    case LoadSource::Store:
        break;
    }
    return hosted.storeLoadTime;
}

Duration Simulation::waited(RequestIndex request) const
{
    return now() - m_progress[request].since;
}

void Simulation::beginAttempt(RequestIndex request)
{
    Progress &progress = m_progress[request];
    progress.phase = Phase::Waiting;
    progress.since = now();
    ++progress.attempts;
    m_scheduler.onAttempt(request);
}

void Simulation::advanceCallers()
{
    for (RequestIndex i = 0; i < m_next; ++i) {
        const Progress &progress = m_progress[i];
        if (progress.phase == Phase::Returning && now() >= progress.returnsAt) {
            beginAttempt(i);
        } else if (progress.phase == Phase::Waiting && waited(i) > requestClass(i).patience) {
            m_scheduler.onGone(i);
            lose(i);
        }
    }
    while (m_next < m_pattern.arrivals.size() && m_pattern.arrivals[m_next].at <= now()) {
        m_outcome.owed += requestClass(m_next).worth;
        ++m_open;
        beginAttempt(m_next++);
    }
}

void Simulation::advanceLoads()
{
    const auto atOnce = std::count_if(m_engines.begin(), m_engines.end(), [](const auto &it) {
        return it.second.load && it.second.load->fromStore;
    });
    const double storeSpeed =
        std::min(1.0,
                 static_cast<double>(m_pattern.figures.storeLoadsAtOnce)
                     / static_cast<double>(std::max<std::ptrdiff_t>(atOnce, 1)));
    for (auto &[id, engine] : m_engines) {
        for (auto it = engine.adaptersComing.begin(); it != engine.adaptersComing.end();) {
            if (now() < it->second) {
                ++it;
                continue;
            }
            const auto model = engine.models.find(it->first.first);
            if (model != engine.models.end()) {
                model->second.insert(it->first.second);
            }
            ++engine.changes;
            it = engine.adaptersComing.erase(it);
        }
        if (!engine.load) {
            continue;
        }
        engine.load->leftMs -= StepMs * (engine.load->fromStore ? storeSpeed : 1);
        if (engine.load->leftMs <= 0) {
            engine.models[engine.load->model] = {};
            engine.onDisk.insert(engine.load->model);
            engine.load.reset();
            ++engine.changes;
        }
    }
}

void Simulation::advanceRuns(SimulatedEngine &engine)
{
    // The prompts are read one after another while all others go on.
    double promptTokens = StepMs * m_pattern.figures.promptTokensPerMs;
    const double stepMs = m_pattern.figures.stepMs
        + m_pattern.figures.stepPerRunMs * static_cast<double>(engine.runs.size());
    for (auto it = engine.runs.begin(); it != engine.runs.end();) {
        if (it->promptLeft > 0) {
            const double read = std::min(promptTokens, it->promptLeft);
            promptTokens -= read;
            it->promptLeft -= read;
            if (it->promptLeft <= 0) {
                onFirstByte(it->request, engine);
            }
            ++it;
            continue;
        }
        it->outputLeft -= StepMs / stepMs;
        if (it->outputLeft > 0) {
            ++it;
            continue;
        }
        const RequestIndex request = it->request;
        it = engine.runs.erase(it);
        m_progress[request].phase = Phase::Done;
        --m_open;
        m_scheduler.onEnd(request, engine.id);
    }
}

void Simulation::finishDrop(SimulatedEngine &engine)
{
    if (!engine.dropping || engine.runsModel(*engine.dropping, m_pattern.arrivals)) {
        return;
    }
    engine.models.erase(*engine.dropping);
    engine.inMemory.push_back(*engine.dropping);
    if (engine.inMemory.size() > m_pattern.figures.modelsInMemory) {
        engine.inMemory.pop_front();
    }
    engine.dropping.reset();
    ++engine.changes;
}

void Simulation::onFirstByte(RequestIndex request, const SimulatedEngine &engine)
{
    const RequestClass &wanted = requestClass(request);
    if (now() - arrival(request).at <= wanted.objective) {
        ++m_outcome.onTime;
        ++classOutcome(request).onTime;
        m_outcome.earned += wanted.worth;
    } else {
        ++m_outcome.late;
        ++classOutcome(request).late;
        m_outcome.earned += wanted.lateWorth;
    }
    m_scheduler.onFirstByte(request, engine.id);
}

void Simulation::lose(RequestIndex request)
{
    ++m_outcome.lost;
    ++classOutcome(request).lost;
    m_progress[request].phase = Phase::Done;
    --m_open;
}

bool Simulation::send(RequestIndex request, const EndpointId &engine)
{
    SimulatedEngine &to = m_engines.at(engine);
    const Arrival &wanted = arrival(request);
    assert(m_progress[request].phase == Phase::Waiting && "a waiting attempt is sent");
    if (!to.offers(wanted.model, wanted.adapter)
        || to.runs.size() >= static_cast<std::size_t>(m_pattern.profile.slots)) {
        return false;
    }
    m_progress[request].phase = Phase::Running;
    to.runs.push_back({request, std::max(wanted.promptTokens, 1.0), wanted.outputTokens});
    return true;
}

void Simulation::refuse(RequestIndex request, Duration retryAfter)
{
    Progress &progress = m_progress[request];
    ++m_outcome.refusals;
    if (progress.attempts > requestClass(request).retries) {
        lose(request);
        return;
    }
    progress.phase = Phase::Returning;
    progress.returnsAt = now() + retryAfter;
}

void Simulation::load(const EndpointId &engine, const ModelName &model)
{
    SimulatedEngine &at = m_engines.at(engine);
    assert(!at.load && "an engine loads one model at a time");
    const LoadSource source = at.sourceOf(model);
    const bool fromStore = source == LoadSource::Store;
    at.load = SimulatedEngine::Load{model, fromStore, toMs(loadTime(model, source))};
    at.inMemory.erase(std::remove(at.inMemory.begin(), at.inMemory.end(), model),
                      at.inMemory.end());
    ++at.changes;
    ++(fromStore ? m_outcome.storeLoads : m_outcome.otherLoads);
}

void Simulation::unload(const EndpointId &engine, const ModelName &model)
{
    SimulatedEngine &at = m_engines.at(engine);
    assert(!at.dropping && "an engine drops one model at a time");
    at.dropping = model;
    ++at.changes;
}

void Simulation::loadAdapter(const EndpointId &engine, const ModelName &model,
                             const std::string &adapter)
{
    SimulatedEngine &at = m_engines.at(engine);
    at.adaptersComing[{model, adapter}] = now() + m_pattern.figures.adapterLoad;
    ++at.changes;
}

void Simulation::unloadAdapter(const EndpointId &engine, const ModelName &model,
                               const std::string &adapter)
{
    SimulatedEngine &at = m_engines.at(engine);
    const auto it = at.models.find(model);
    if (it != at.models.end()) {
        it->second.erase(adapter);
    }
    ++at.changes;
}

} // namespace marigoldspool::bench
