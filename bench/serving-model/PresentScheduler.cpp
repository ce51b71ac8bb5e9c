#include "PresentScheduler.h"

#include "marigoldspool/Serving/WaitPolicy.h"

#include <algorithm>
#include <cmath>

namespace marigoldspool::bench {

namespace {

using std::chrono::milliseconds;

// The intervals of the daemon; see lib/Fleet/PlacementDriver.cpp, PlacementPublish.cpp and
// FleetDaemon.cpp.
constexpr Duration DemandInterval = milliseconds(500);
constexpr Duration PlanInterval = milliseconds(100);
// From a change at an engine to the instances: the age of reports, the interval of asking and the
// gathering of changes.
constexpr Duration PublishLag = milliseconds(250);

const InstanceId Self("instance");

// One instance fills three quarters of an endpoint's slots and leaves the rest to the others; here
// it stands for all of them. See OwnSlotShare in lib/Serving/EndpointDirectory.cpp.
constexpr double OwnSlotShare = 0.75;

} // namespace

PresentScheduler::Parts::Parts(Simulation &simulation)
    : planner(simulation.clock(), simulation.pattern().figures.storeLoadsAtOnce)
    , tracker(simulation.clock())
    , book(simulation.clock())
    , directory(ZoneName(), simulation.clock())
{ }

void PresentScheduler::begin(Simulation &simulation)
{
    m_simulation = &simulation;
    m_parts.emplace(simulation);
    m_parts->planner.setConfiguration(simulation.configuration());
    m_parts->directory.setConfiguration(simulation.configuration());
    for (const auto &[id, engine] : simulation.engines()) {
        ListedEndpoint listed;
        listed.id = id;
        listed.pool = simulation.pattern().pool;
        listed.zone = engine.zone;
        listed.slots =
            static_cast<int>(std::ceil(simulation.pattern().profile.slots / OwnSlotShare));
        listed.models = engine.models;
        m_parts->directory.apply(listed);
        EngineState &state = m_parts->planner.engines()[id];
        state.id = id;
        state.pool = listed.pool;
        state.zone = listed.zone;
        state.hasReported = true;
    }
    syncEngines();
}

void PresentScheduler::onAttempt(RequestIndex request)
{
    const Arrival &wanted = m_simulation->arrival(request);
    const PoolName &pool = m_simulation->pattern().pool;
    m_parts->tracker.onArrival({pool, wanted.model, {}});
    if (!wanted.adapter.empty()) {
        m_parts->tracker.onArrival({pool, wanted.model, wanted.adapter});
    }
    Waiting waiting{request, {}};
    if (!dispatch(waiting)) {
        return;
    }
    const int priority = m_simulation->requestClass(request).priority;
    const auto isLater = [&](const Waiting &it) {
        return m_simulation->requestClass(it.request).priority > priority;
    };
    m_waiting.insert(std::find_if(m_waiting.begin(), m_waiting.end(), isLater), waiting);
}

void PresentScheduler::onGone(RequestIndex request)
{
    m_waiting.remove_if([&](const Waiting &it) {
        return it.request == request;
    });
}

int PresentScheduler::promptTokens(RequestIndex request) const
{
    return static_cast<int>(m_simulation->arrival(request).promptTokens);
}

void PresentScheduler::onFirstByte(RequestIndex request, const EndpointId &engine)
{
    m_parts->directory.onFirstByte(engine, promptTokens(request),
                                   m_simulation->now() - m_sentAt.at(request));
}

void PresentScheduler::onEnd(RequestIndex request, const EndpointId &engine)
{
    m_parts->directory.onResponse(engine, promptTokens(request),
                                  m_simulation->now() - m_sentAt.at(request));
    m_parts->directory.onResult(engine, EndpointResult::Answered,
                                m_simulation->arrival(request).model);
    m_sentAt.erase(request);
}

void PresentScheduler::onStep()
{
    syncEngines();
    if (m_newDemand || m_simulation->now() >= m_reportAt) {
        reportDemand();
    }
    if (m_simulation->now() >= m_planAt) {
        plan();
    }
    for (auto it = m_waiting.begin(); it != m_waiting.end();) {
        it = dispatch(*it) ? std::next(it) : m_waiting.erase(it);
    }
}

void PresentScheduler::syncEngines()
{
    for (const auto &[id, engine] : m_simulation->engines()) {
        Seen &seen = m_seen[id];
        EngineState &state = m_parts->planner.engines()[id];
        if (seen.changes != engine.changes) {
            seen.changes = engine.changes;
            if (seen.isPublished) {
                seen.changedAt = m_simulation->now();
                seen.isPublished = false;
            }
            syncEngine(state, engine, seen);
        }
        if (!seen.isPublished && m_simulation->now() - seen.changedAt >= PublishLag) {
            seen.isPublished = true;
            LoadedModels offered = state.models;
            for (auto it = offered.begin(); it != offered.end();) {
                it = PlacementPlanner::canServe(state, it->first) ? std::next(it)
                                                                  : offered.erase(it);
            }
            m_parts->directory.setOwnerModels(id, std::move(offered));
        }
    }
}

void PresentScheduler::syncEngine(EngineState &state, const SimulatedEngine &engine, Seen &seen)
{
    state.models = engine.models;
    state.inMemory = {engine.inMemory.begin(), engine.inMemory.end()};
    state.onDisk = engine.onDisk;
    state.loadingAdapters.clear();
    for (const auto &[adapter, at] : engine.adaptersComing) {
        state.loadingAdapters.insert(adapter);
    }
    if (state.loading && !engine.load && seen.wasLoading) {
        state.loading.reset();
    }
    seen.wasLoading = engine.load.has_value();
    if (!engine.dropping) {
        state.unloading.reset();
    }
    state.hasPendingOrder = engine.load || engine.dropping;
}

void PresentScheduler::reportDemand()
{
    m_newDemand = false;
    m_reportAt = m_simulation->now() + DemandInterval;
    std::vector<WaitingRequest> waiting;
    for (const Waiting &it : m_waiting) {
        if (it.waitsFor == ChoiceKind::NotLoaded) {
            const Arrival &wanted = m_simulation->arrival(it.request);
            waiting.push_back({{m_simulation->pattern().pool, wanted.model, wanted.adapter},
                               m_simulation->waited(it.request),
                               m_simulation->requestClass(it.request).objective
                                   - m_simulation->waited(it.request),
                               m_simulation->requestClass(it.request).priority});
        }
    }
    m_parts->book.onReport(Self, m_parts->tracker.report(waiting));
    if (!waiting.empty()) {
        plan();
        m_forecasts.clear();
        for (const LoadForecast &load : m_parts->planner.forecast(m_parts->book)) {
            m_forecasts[{load.model, load.adapter}] =
                m_simulation->now() + milliseconds(load.readyInMs);
        }
    }
}

void PresentScheduler::plan()
{
    m_planAt = m_simulation->now() + PlanInterval;
    for (const auto &[pool, cost] : m_parts->directory.responseTimes().requestCosts()) {
        m_parts->planner.setRequestCost(pool, cost);
    }
    for (const PlacementOrder &order : m_parts->planner.plan(m_parts->book)) {
        carryOut(order);
    }
}

void PresentScheduler::carryOut(const PlacementOrder &order)
{
    EngineState &state = m_parts->planner.engines()[order.endpoint];
    if (!order.adapter.empty()) {
        state.hasPendingOrder = false;
        if (order.isLoad) {
            m_simulation->loadAdapter(order.endpoint, order.model, order.adapter);
        } else {
            m_simulation->unloadAdapter(order.endpoint, order.model, order.adapter);
        }
        return;
    }
    if (order.isLoad) {
        m_simulation->load(order.endpoint, order.model);
        return;
    }
    state.unloading = std::make_pair(order.model, std::string());
    LoadedModels offered = state.models;
    offered.erase(order.model);
    m_parts->directory.setOwnerModels(order.endpoint, std::move(offered));
    m_simulation->unload(order.endpoint, order.model);
}

std::optional<Duration> PresentScheduler::forecast(const Arrival &wanted) const
{
    auto it = m_forecasts.find({wanted.model, wanted.adapter});
    if (it == m_forecasts.end()) {
        it = m_forecasts.find({wanted.model, {}});
    }
    if (it == m_forecasts.end()) {
        return std::nullopt;
    }
    return std::max(it->second - m_simulation->now(), Duration::zero());
}

bool PresentScheduler::dispatch(Waiting &waiting)
{
    const Arrival &wanted = m_simulation->arrival(waiting.request);
    EndpointQuery query;
    query.pool = &m_simulation->pool();
    query.model = wanted.model;
    query.adapter = wanted.adapter;
    query.objective = m_simulation->requestClass(waiting.request).objective;
    const EndpointChoice choice = m_parts->directory.choose(query);
    if (choice.kind == ChoiceKind::Send) {
        if (m_simulation->send(waiting.request, choice.endpoint)) {
            m_parts->directory.onSent(choice.endpoint, promptTokens(waiting.request));
            m_sentAt[waiting.request] = m_simulation->now();
            return false;
        }
        m_parts->directory.onSent(choice.endpoint);
        m_parts->directory.onResult(choice.endpoint, EndpointResult::RefusedNotLoaded, wanted.model,
                                    wanted.adapter);
        waiting.waitsFor.reset();
        return true;
    }
    WaitQuery wait;
    wait.kind = choice.kind;
    wait.waited = m_simulation->waited(waiting.request);
    wait.callerTimeLeft = m_simulation->requestClass(waiting.request).patience - wait.waited;
    wait.forecast = forecast(wanted);
    wait.ownerReachable = true;
    wait.retryIn = choice.retryIn;
    const WaitDecision decision = decideWait(wait);
    if (!decision.wait) {
        m_simulation->refuse(waiting.request, decision.retryAfter);
        return false;
    }
    if (choice.kind == ChoiceKind::NotLoaded && waiting.waitsFor != choice.kind) {
        m_newDemand = true;
    }
    waiting.waitsFor = choice.kind;
    return true;
}

} // namespace marigoldspool::bench
