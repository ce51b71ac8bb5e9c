#include "ForesightScheduler.h"

#include <algorithm>
#include <cmath>

namespace marigoldspool::bench {

namespace {

using std::chrono::milliseconds;

constexpr Duration PlanInterval = milliseconds(50);
// A load that begins this much earlier than it must is ready in spite of runs that hold up a drop.
constexpr Duration Lead = milliseconds(2500);
// How far ahead the use of a model is looked at for copies, and how long a run takes.
constexpr Duration CopyHorizon = std::chrono::seconds(2);
// Part of an engine's slots that one model may fill before it gets a copy.
constexpr double ComfortablePart = 0.6;
constexpr Duration Never = std::chrono::hours(24);

} // namespace

void ForesightScheduler::begin(Simulation &simulation)
{
    m_simulation = &simulation;
    const auto &arrivals = simulation.pattern().arrivals;
    for (RequestIndex i = 0; i < arrivals.size(); ++i) {
        m_arrivals[arrivals[i].model].push_back(i);
    }
}

void ForesightScheduler::onAttempt(RequestIndex request)
{
    const auto isLessUrgent = [&](RequestIndex it) {
        return m_simulation->requestClass(it).priority
            > m_simulation->requestClass(request).priority;
    };
    m_waiting.insert(std::find_if(m_waiting.begin(), m_waiting.end(), isLessUrgent), request);
}

void ForesightScheduler::onGone(RequestIndex request)
{
    m_waiting.remove(request);
}

void ForesightScheduler::onStep()
{
    for (auto it = m_intents.begin(); it != m_intents.end();) {
        if (m_simulation->engines().at(it->first).dropping) {
            ++it;
            continue;
        }
        m_simulation->load(it->first, it->second);
        it = m_intents.erase(it);
    }
    if (m_simulation->now() >= m_planAt) {
        m_planAt = m_simulation->now() + PlanInterval;
        for (const Need &need : needs()) {
            const std::optional<Place> place = choosePlace(need);
            if (!place) {
                continue;
            }
            if (!place->victim.empty()) {
                m_intents[place->engine->id] = need.model;
                m_simulation->unload(place->engine->id, place->victim);
            } else {
                m_simulation->load(place->engine->id, need.model);
            }
        }
    }
    bringAdapters();
    for (auto it = m_waiting.begin(); it != m_waiting.end();) {
        const SimulatedEngine *best = m_simulation->leastBusy(*it);
        const bool isSent = best != nullptr && m_simulation->send(*it, best->id);
        it = isSent ? m_waiting.erase(it) : std::next(it);
    }
}

// Zero while requests for the model wait.
Duration ForesightScheduler::nextUse(const ModelName &model) const
{
    const bool isWaitedFor = std::any_of(m_waiting.begin(), m_waiting.end(), [&](RequestIndex it) {
        return m_simulation->arrival(it).model == model;
    });
    if (isWaitedFor) {
        return Duration::zero();
    }
    const auto found = m_arrivals.find(model);
    if (found == m_arrivals.end()) {
        return Never;
    }
    std::size_t &next = m_nextOf[model];
    while (next < found->second.size()
           && m_simulation->arrival(found->second[next]).at < m_simulation->now()) {
        ++next;
    }
    return next < found->second.size() ? m_simulation->arrival(found->second[next]).at : Never;
}

int ForesightScheduler::copies(const ModelName &model) const
{
    int n = 0;
    for (const auto &[id, engine] : m_simulation->engines()) {
        const auto intent = m_intents.find(id);
        n += engine.offers(model, {}) || (engine.load && engine.load->model == model)
                || (intent != m_intents.end() && intent->second == model)
            ? 1
            : 0;
    }
    return n;
}

std::vector<ForesightScheduler::Need> ForesightScheduler::needs() const
{
    const double slots = m_simulation->pattern().profile.slots;
    const Duration now = m_simulation->now();
    std::vector<Need> found;
    for (const auto &[model, arrivals] : m_arrivals) {
        Need need{model, nextUse(model)};
        int soon = 0;
        for (std::size_t i = m_nextOf[model];
             i < arrivals.size() && m_simulation->arrival(arrivals[i]).at - now <= CopyHorizon;
             ++i) {
            ++soon;
        }
        const int wanted = std::max(1, static_cast<int>(std::ceil(soon / slots / ComfortablePart)));
        if (need.at < Never && copies(model) < wanted) {
            found.push_back(std::move(need));
        }
    }
    std::sort(found.begin(), found.end(), [](const Need &a, const Need &b) {
        return a.at < b.at;
    });
    return found;
}

int ForesightScheduler::storeLoads() const
{
    int n = 0;
    for (const auto &[id, engine] : m_simulation->engines()) {
        n += engine.load && engine.load->fromStore ? 1 : 0;
        const auto intent = m_intents.find(id);
        n += intent != m_intents.end() && engine.onDisk.count(intent->second) == 0 ? 1 : 0;
    }
    return n;
}

std::optional<ForesightScheduler::Place> ForesightScheduler::placeAt(const SimulatedEngine &engine,
                                                                     const Need &need) const
{
    const Pattern &pattern = m_simulation->pattern();
    if (engine.load || engine.dropping || m_intents.count(engine.id) > 0
        || engine.offers(need.model, {})) {
        return std::nullopt;
    }
    Place place;
    place.engine = &engine;
    const LoadSource source = engine.sourceOf(need.model);
    place.time = m_simulation->loadTime(need.model, source);
    if (source == LoadSource::Store && storeLoads() >= pattern.figures.storeLoadsAtOnce) {
        return std::nullopt;
    }
    if (m_simulation->now() + place.time + Lead < need.at) {
        return std::nullopt;
    }
    double used = pattern.profile.models.at(need.model).weightsMb;
    for (const auto &[held, adapters] : engine.models) {
        used += pattern.profile.models.at(held).weightsMb;
        const Duration use = copies(held) > 1 ? Never : nextUse(held);
        if (place.victim.empty() || use > place.victimNeededAt) {
            place.victim = held;
            place.victimNeededAt = use;
        }
    }
    if (used <= pattern.profile.weightMemoryMb) {
        place.victim = ModelName();
        place.victimNeededAt = Never;
        return place;
    }
    // Dropping what is needed sooner gains nothing.
    return place.victimNeededAt > need.at ? std::optional<Place>(place) : std::nullopt;
}

std::optional<ForesightScheduler::Place> ForesightScheduler::choosePlace(const Need &need) const
{
    std::optional<Place> best;
    for (const auto &[id, engine] : m_simulation->engines()) {
        const std::optional<Place> place = placeAt(engine, need);
        if (place
            && (!best || place->time < best->time
                || (place->time == best->time && place->victimNeededAt > best->victimNeededAt))) {
            best = place;
        }
    }
    return best;
}

void ForesightScheduler::bringAdapters()
{
    const auto places = static_cast<std::size_t>(m_simulation->pattern().profile.adapterSlots);
    for (const RequestIndex request : m_waiting) {
        const Arrival &wanted = m_simulation->arrival(request);
        if (wanted.adapter.empty()) {
            continue;
        }
        const SimulatedEngine *best = nullptr;
        bool isThere = false;
        for (const auto &[id, engine] : m_simulation->engines()) {
            if (!engine.offers(wanted.model, {})) {
                continue;
            }
            isThere = isThere || engine.offers(wanted.model, wanted.adapter)
                || engine.adaptersComing.count({wanted.model, wanted.adapter}) > 0;
            best = &engine;
        }
        if (isThere || best == nullptr) {
            continue;
        }
        std::size_t held = best->adaptersComing.size();
        std::pair<ModelName, std::string> victim;
        for (const auto &[model, adapters] : best->models) {
            held += adapters.size();
            if (!adapters.empty()) {
                victim = {model, *adapters.begin()};
            }
        }
        if (held >= places && !victim.second.empty()) {
            m_simulation->unloadAdapter(best->id, victim.first, victim.second);
        }
        m_simulation->loadAdapter(best->id, wanted.model, wanted.adapter);
    }
}

} // namespace marigoldspool::bench
