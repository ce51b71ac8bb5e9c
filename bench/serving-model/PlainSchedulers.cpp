#include "PlainSchedulers.h"

#include <algorithm>
#include <limits>

namespace marigoldspool::bench {

namespace {

constexpr double NoUseYet = 1e6;

} // namespace

void PlainScheduler::begin(Simulation &simulation)
{
    m_simulation = &simulation;
}

void PlainScheduler::onAttempt(RequestIndex request)
{
    m_lastUse[m_simulation->arrival(request).model] = m_simulation->now();
    m_waiting.push_back(request);
}

void PlainScheduler::onGone(RequestIndex request)
{
    m_waiting.remove(request);
}

void PlainScheduler::onStep()
{
    for (auto it = m_intents.begin(); it != m_intents.end();) {
        const SimulatedEngine &engine = m_simulation->engines().at(it->first);
        if (engine.dropping || engine.load || !makeRoom(engine, it->second)) {
            ++it;
            continue;
        }
        m_simulation->load(it->first, it->second);
        it = m_intents.erase(it);
    }
    for (auto it = m_waiting.begin(); it != m_waiting.end();) {
        if (trySend(*it)) {
            it = m_waiting.erase(it);
            continue;
        }
        const Arrival &wanted = m_simulation->arrival(*it);
        bring(wanted);
        bringAdapter(wanted);
        if (isStrict()) {
            return;
        }
        ++it;
    }
}

Duration PlainScheduler::lastUse(const ModelName &model) const
{
    const auto it = m_lastUse.find(model);
    return it == m_lastUse.end() ? Duration::zero() : it->second;
}

bool PlainScheduler::trySend(RequestIndex request)
{
    const SimulatedEngine *best = m_simulation->leastBusy(request);
    return best != nullptr && m_simulation->send(request, best->id);
}

bool PlainScheduler::isComing(const ModelName &model) const
{
    const bool isIntended = std::any_of(m_intents.begin(), m_intents.end(), [&](const auto &it) {
        return it.second == model;
    });
    return isIntended
        || std::any_of(
               m_simulation->engines().begin(), m_simulation->engines().end(), [&](const auto &it) {
                   const SimulatedEngine &engine = it.second;
                   return engine.offers(model, {}) || (engine.load && engine.load->model == model);
               });
}

void PlainScheduler::bring(const Arrival &wanted)
{
    if (isComing(wanted.model)) {
        return;
    }
    const SimulatedEngine *best = nullptr;
    double bestCost = std::numeric_limits<double>::infinity();
    for (const auto &[id, engine] : m_simulation->engines()) {
        if (engine.load || engine.dropping || m_intents.count(id) > 0) {
            continue;
        }
        const double cost = engineCost(engine, wanted.model);
        if (cost < bestCost) {
            best = &engine;
            bestCost = cost;
        }
    }
    if (best != nullptr) {
        m_intents[best->id] = wanted.model;
    }
}

void PlainScheduler::bringAdapter(const Arrival &wanted)
{
    if (wanted.adapter.empty()) {
        return;
    }
    const std::pair<ModelName, std::string> adapter{wanted.model, wanted.adapter};
    for (const auto &[id, engine] : m_simulation->engines()) {
        if (!engine.offers(wanted.model, {})) {
            continue;
        }
        if (engine.adaptersComing.count(adapter) > 0
            || engine.offers(wanted.model, wanted.adapter)) {
            return;
        }
        std::size_t places = engine.adaptersComing.size();
        const std::string *other = nullptr;
        const ModelName *otherModel = nullptr;
        for (const auto &[model, adapters] : engine.models) {
            places += adapters.size();
            if (!adapters.empty()) {
                other = &*adapters.begin();
                otherModel = &model;
            }
        }
        if (places >= static_cast<std::size_t>(m_simulation->pattern().profile.adapterSlots)) {
            if (other != nullptr) {
                m_simulation->unloadAdapter(id, *otherModel, std::string(*other));
            }
            continue;
        }
        m_simulation->loadAdapter(id, wanted.model, wanted.adapter);
        return;
    }
}

// True when the engine has room for the model; else the next victim is dropped.
bool PlainScheduler::makeRoom(const SimulatedEngine &engine, const ModelName &model)
{
    const EngineProfile &profile = m_simulation->pattern().profile;
    double used = profile.models.at(model).weightsMb;
    for (const auto &[held, adapters] : engine.models) {
        used += profile.models.at(held).weightsMb;
    }
    if (used <= profile.weightMemoryMb || engine.models.empty()) {
        return true;
    }
    const auto victim = std::min_element(
        engine.models.begin(), engine.models.end(), [&](const auto &a, const auto &b) {
            return modelValue(engine, a.first) < modelValue(engine, b.first);
        });
    m_simulation->unload(engine.id, ModelName(victim->first));
    return false;
}

double LeastLoadedScheduler::engineCost(const SimulatedEngine &engine,
                                        const ModelName & /*model*/) const
{
    return static_cast<double>(engine.runs.size());
}

double LeastLoadedScheduler::modelValue(const SimulatedEngine &engine, const ModelName &model) const
{
    return static_cast<double>(
        std::count_if(engine.runs.begin(), engine.runs.end(), [&](const auto &run) {
            return simulation().arrival(run.request).model == model;
        }));
}

double LeastRecentlyUsedScheduler::engineCost(const SimulatedEngine &engine,
                                              const ModelName &model) const
{
    // A load from the weight store takes several times as long as waiting for an engine that has
    // the weights.
    const bool isElsewhere = engine.sourceOf(model) == LoadSource::Store
        && std::any_of(simulation().engines().begin(), simulation().engines().end(),
                       [&](const auto &it) {
                           return it.second.sourceOf(model) != LoadSource::Store;
                       });
    if (isElsewhere) {
        return std::numeric_limits<double>::infinity();
    }
    double oldest = NoUseYet;
    for (const auto &[held, adapters] : engine.models) {
        oldest = std::min(oldest, toSeconds(lastUse(held)));
    }
    return engine.models.empty() ? 0 : oldest;
}

double LeastRecentlyUsedScheduler::modelValue(const SimulatedEngine & /*engine*/,
                                              const ModelName &model) const
{
    return toSeconds(lastUse(model));
}

} // namespace marigoldspool::bench
