#include "Fleet/PlacementDriver.h"
#include "Fleet/EngineCalls.h"

#include "marigoldspool/Support/EventLog.h"
#include "marigoldspool/Support/Invariant.h"

#include <algorithm>

namespace marigoldspool {

namespace {

using std::chrono::milliseconds;

constexpr Duration UnloadPause = milliseconds(50);
constexpr Duration ConflictPause = milliseconds(80);
// An unload ends with the model's last request, so a load that waits for it is tried again at
// growing intervals.
constexpr int MaxUnloadConflictPauses = 3;
// How long a new owner waits for the demand reports of all instances before it plans; in a small
// fleet, instances report every 700 ms.
constexpr Duration MaxDemandWait = milliseconds(800);
constexpr Duration PlanInterval = milliseconds(100);
// Pause after a plan, as a multiple of the time it took, so that planning takes at most a fifth of
// the machine. After a longer pause, waiting requests would be refused for lack of a forecast.
constexpr int PlanPauseFactor = 4;
constexpr Duration MinPlanPause = milliseconds(10);
constexpr Duration MaxPlanPause = milliseconds(400);
// The users' engines load an adapter in 5 to 14 ms while they fetch few at once.
constexpr Duration AdapterLoadTime = milliseconds(30);
// Margin added to the forecast end of a load. Reports confirm a load much later: for nine in ten of
// 379 loads on a bench site, 214 to 371 ms after that time, due to the reports' age and the polling
// interval.
constexpr Duration ExpectedLoadMargin = milliseconds(20);

std::string sourceName(const PlacementOrder &order)
{
    if (!order.isLoad || !order.adapter.empty()) {
        return "none";
    }
    switch (order.source) {
    case LoadSource::Memory:
        return "memory";
    case LoadSource::Disk:
        return "disk";
    case LoadSource::Store:
        break;
    }
    return "store";
}

} // namespace

PlacementDriver::PlacementDriver(FleetRuntime &runtime, FleetLink &link)
    : m_runtime(runtime)
    , m_link(link)
    , m_lease(runtime.options.instance, runtime.orderClock, runtime.options.lease)
    , m_demand(runtime.clock)
    , m_planner(runtime.clock, runtime.options.storeLoadsAtOnce)
{ }

PlacementDriver::~PlacementDriver() = default;

void PlacementDriver::onTick()
{
    advanceLease();
    const bool canOrder = m_lease.canOrder();
    if (canOrder && !m_active) {
        activate();
    } else if (!canOrder && m_active) {
        deactivate();
    }
    if (m_lease.term() > m_seenTerm || m_active) {
        m_seenTerm = m_lease.term();
        m_link.setOwner(m_lease.holder());
    }
    if (!m_active) {
        return;
    }
    m_demand.onTick();
    applyDueLoads();
    pollReports();
    planIfDue();
    publishIfDue();
}

void PlacementDriver::activate()
{
    m_active = true;
    m_trackers.clear();
    m_planner.engines().clear();
    m_demand.clear();
    m_forecastRequests.clear();
    m_activeSince = m_runtime.clock.now();
    m_sequence = 0;
    logEvent(LogLevel::Info, "placement_active", {{"term", std::to_string(m_lease.term())}});
    onConfiguration();
    onEndpoints();
    m_nextPublish = m_runtime.clock.now();
}

void PlacementDriver::onOwnerSeen(const InstanceId &owner, const PlacementUpdate &update)
{
    if (update.term >= m_seenTerm) {
        m_seenTerm = update.term;
        m_link.setOwner(owner);
    }
    LeaseRecord record;
    record.holder = owner;
    record.term = update.term;
    record.released = update.lease.released;
    record.renewal = update.lease.renewal;
    for (const std::string &subject : update.lease.recentlyOrdered) {
        record.recentlyOrdered.insert(OrderSubject(subject));
    }
    record.orderDelay = milliseconds(update.lease.orderDelayMs);
    for (const EndpointDelay &it : update.lease.endpointDelays) {
        record.subjectDelays[endpointSubject(it.endpoint)] = milliseconds(it.delayMs);
    }
    record.version = update.lease.version;
    m_lease.onAnnounced(record);
}

void PlacementDriver::deactivate()
{
    m_active = false;
    logEvent(LogLevel::Info, "placement_inactive", {{"term", std::to_string(m_lease.term())}});
}

void PlacementDriver::onConfiguration()
{
    if (m_runtime.routes != nullptr) {
        m_planner.setConfiguration(m_runtime.routes->configuration());
        m_isPlanDue = true;
        onMembers();
    }
}

void PlacementDriver::onMembers()
{
    if (m_runtime.routes == nullptr) {
        return;
    }
    std::set<PoolName> contended;
    for (const auto &[name, pool] : m_runtime.routes->configuration()->pools) {
        if (m_runtime.directory.isContended(pool)) {
            contended.insert(name);
        }
    }
    m_planner.setContendedPools(std::move(contended));
}

void PlacementDriver::onEndpoints()
{
    if (!m_active || m_runtime.routes == nullptr) {
        return;
    }
    auto &engines = m_planner.engines();
    const ServingConfiguration &configuration = *m_runtime.routes->configuration();
    for (auto it = engines.begin(); it != engines.end();) {
        const auto listed = m_runtime.directory.endpoints().find(it->first);
        if (listed == m_runtime.directory.endpoints().end()) {
            m_trackers.erase(it->first);
            it = engines.erase(it);
        } else {
            ++it;
        }
    }
    for (const auto &[id, state] : m_runtime.directory.endpoints()) {
        const EndpointPool *pool = configuration.pool(state.listed.pool);
        if (pool == nullptr || !pool->engine) {
            continue;
        }
        EngineState &engine = engines[id];
        EngineTracker &tracker = m_trackers[id];
        if (engine.id.empty() || tracker.startedAtMs != state.listed.startedAtMs) {
            const bool wasCallPending = tracker.isCallPending;
            engine = EngineState();
            tracker = EngineTracker();
            tracker.isCallPending = wasCallPending;
            tracker.startedAtMs = state.listed.startedAtMs;
            tracker.nextReport = m_runtime.clock.now();
            engine.id = id;
            engine.pool = state.listed.pool;
            engine.zone = state.listed.zone;
            engine.models = state.listed.models;
            engine.inMemory = state.listed.inMemory;
            engine.onDisk = state.listed.onDisk;
        }
        updateUsable(engine, tracker);
    }
}

void PlacementDriver::setEngineLoads(const EndpointLoadSums &sums)
{
    const SteadyTime now = m_runtime.clock.now();
    for (auto &[id, engine] : m_planner.engines()) {
        const EndpointPool *pool = m_runtime.routes->configuration()->pool(engine.pool);
        if (pool == nullptr || !m_runtime.directory.isContended(*pool)) {
            continue;
        }
        engine.requests = sums.requestsAt(id, m_trackers[id].startedAtMs);
        engine.requestsKnownUntil = now + EndpointLoadView::Lifetime;
    }
}

void PlacementDriver::updateUsable(EngineState &engine, const EngineTracker &tracker)
{
    const bool usable =
        m_runtime.directory.canUse(engine.id) && tracker.failures < MaxReportFailures;
    engine.isLeaving = m_runtime.directory.isLeaving(engine.id);
    if (engine.isUsable != usable) {
        engine.isUsable = usable;
        m_isPlanDue = true;
    }
}

void PlacementDriver::onDemand(const InstanceId &from, const DemandReport &report)
{
    if (!m_active) {
        return;
    }
    m_demand.onReport(from, report);
    if (report.knownSequence == 0 && from != m_runtime.options.instance) {
        m_link.send(from, fullUpdate());
    }
    std::vector<DemandKey> waiting;
    for (const ReportedDemand &item : report.models) {
        if (item.waiting > 0) {
            waiting.push_back({PoolName(item.pool), item.model, item.adapter});
        }
    }
    if (!waiting.empty()) {
        m_forecastRequests[from] = std::move(waiting);
        m_isPlanDue = true;
        planIfDue();
    }
}

// Requests that wait for what an engine has loaded could not reach that engine, which may have
// crashed.
void PlacementDriver::checkHolders()
{
    std::set<DemandKey> waiting;
    for (const auto &[instance, keys] : m_forecastRequests) {
        waiting.insert(keys.begin(), keys.end());
    }
    const SteadyTime now = m_runtime.clock.now();
    for (auto &[id, engine] : m_planner.engines()) {
        EngineTracker &tracker = m_trackers[id];
        // Requests wait for an engine that limits its rate although it is in reach.
        if (!engine.isUsable || engine.rateLimit
            || now < tracker.reportedAt + MinSuspectReportInterval) {
            continue;
        }
        const EngineState &holder = engine;
        const bool isSuspect = std::any_of(waiting.begin(), waiting.end(), [&](const auto &key) {
            return holder.pool == key.pool && PlacementPlanner::canServe(holder, key.model)
                && (key.adapter.empty() || holder.models.at(key.model).count(key.adapter) > 0);
        });
        if (isSuspect) {
            tracker.nextReport = std::min(tracker.nextReport, now);
        }
    }
}

// A plan for hundreds of engines takes a small machine tens of milliseconds, and every report of a
// waiting request asks for one. At a report each, the owner had no time for its own requests.
void PlacementDriver::planIfDue()
{
    const SteadyTime start = m_runtime.clock.now();
    if (start < m_earliestPlan || (!m_isPlanDue && start < m_nextPlan)) {
        return;
    }
    checkHolders();
    plan();
    sendForecasts();
    const SteadyTime end = m_runtime.clock.now();
    m_earliestPlan =
        end + std::clamp<Duration>((end - start) * PlanPauseFactor, MinPlanPause, MaxPlanPause);
    m_runtime.metrics->observe("marigoldspool_plan_seconds", toSeconds(end - start));
}

// Instances decide by these whether their requests wait.
void PlacementDriver::sendForecasts()
{
    if (m_forecastRequests.empty()) {
        return;
    }
    std::map<std::pair<ModelName, std::string>, LoadForecast> forecasts;
    for (LoadForecast &it : m_planner.forecast(m_demand)) {
        forecasts.emplace(std::make_pair(it.model, it.adapter), it);
    }
    for (const auto &[instance, keys] : m_forecastRequests) {
        LoadForecasts message{m_lease.term(), {}};
        std::set<std::pair<ModelName, std::string>> added;
        for (const DemandKey &key : keys) {
            for (const std::string &adapter : {key.adapter, std::string()}) {
                const auto found = forecasts.find({key.model, adapter});
                if (found != forecasts.end() && added.insert(found->first).second) {
                    message.loading.push_back(found->second);
                }
            }
        }
        if (instance == m_runtime.options.instance) {
            m_onForecast(message);
        } else {
            m_link.send(instance, message);
        }
    }
    m_forecastRequests.clear();
}

void PlacementDriver::plan()
{
    m_isPlanDue = false;
    const SteadyTime now = m_runtime.clock.now();
    m_nextPlan = now + PlanInterval;
    // While demand reports are missing, a busy model could look idle and be unloaded.
    const bool hasAllReports = m_demand.reporterCount() > m_link.connectedPeers().size();
    if (!hasAllReports && now - m_activeSince < MaxDemandWait) {
        return;
    }
    // Engines that may not get an order yet are marked as busy for the planner.
    std::vector<EndpointId> blocked;
    for (auto &[id, engine] : m_planner.engines()) {
        const EngineTracker &tracker = m_trackers[id];
        engine.rateLimit = m_runtime.directory.statements().rateLimit(id);
        if (!engine.hasPendingOrder
            && (tracker.isCallPending || now < tracker.noOrderBefore
                || !m_lease.canOrder(endpointSubject(id))
                || !m_runtime.directory.acceptsCalls(id))) {
            engine.hasPendingOrder = true;
            blocked.push_back(id);
        }
    }
    for (const auto &[name, cost] : m_runtime.directory.responseTimes().requestCosts()) {
        m_planner.setRequestCost(name, cost);
    }
    if (m_runtime.routes != nullptr) {
        std::set<PoolName> contended;
        for (const auto &[name, pool] : m_runtime.routes->configuration()->pools) {
            if (m_runtime.directory.isContended(pool)) {
                contended.insert(name);
            }
        }
        m_planner.setContended(std::move(contended));
    }
    const std::vector<PlacementOrder> orders = m_planner.plan(m_demand);
    for (const EndpointId &id : blocked) {
        m_planner.engines()[id].hasPendingOrder = false;
    }
    for (const PlacementOrder &order : orders) {
        sendOrder(order);
    }
}

void PlacementDriver::sendOrder(const PlacementOrder &order)
{
    const TrackedEndpoint *state = m_runtime.directory.find(order.endpoint);
    EngineTracker &tracker = m_trackers[order.endpoint];
    EngineState &engine = m_planner.engines()[order.endpoint];
    // The lease may have expired since the planner ran, so it is checked again right before
    // sending.
    if (state == nullptr || !m_lease.canOrder(endpointSubject(order.endpoint))
        || tracker.isCallPending || !m_runtime.directory.canSend(order.endpoint)) {
        onOrderFailed(engine, tracker, order, ConflictPause);
        return;
    }
    tracker.isCallPending = true;
    m_lease.onOrder(endpointSubject(order.endpoint));
    if (!order.isLoad) {
        // Instances must stop sending requests for it before the engine unloads it.
        engine.unloading = std::make_pair(order.model, order.adapter);
        tracker.isUnpublished = true;
        m_hasUnpublished = true;
    }
    EndpointCall call = m_runtime.codec.encodeOrder(
        state->listed, order, m_runtime.options.instance, m_lease.term(), tracker.acceptedOrders);
    prepareEngineCall(call, "order-" + std::to_string(++m_callCounter));
    const FleetDemand demand = m_demand.demandFor({engine.pool, order.model, order.adapter});
    logEvent(LogLevel::Info, "order",
             {{"endpoint", order.endpoint.str()},
              {"op", order.isLoad ? "load" : "unload"},
              {"model", order.model.str()},
              {"adapter", order.adapter},
              {"source", sourceName(order)},
              {"cause", std::string(order.cause)},
              {"waiting", std::to_string(demand.waiting)},
              {"rate", std::to_string(demand.requestsPerSecond)},
              {"seq", std::to_string(tracker.acceptedOrders)},
              {"term", std::to_string(m_lease.term())}});
    m_runtime.metrics->add(
        "marigoldspool_orders_total", 1,
        {{"op", order.isLoad ? "load" : "unload"}, {"source", sourceName(order)}});
    m_runtime.endpoints->call(std::move(call),
                              std::make_shared<CollectingHandler>(
                                  m_runtime, state->listed, StatementSource::Order,
                                  [this, order](Expected<std::pair<int, std::string>> it) {
                                      if (it) {
                                          onOrderAnswer(order, it->first);
                                      } else {
                                          onOrderAnswer(order, tl::make_unexpected(it.error()));
                                      }
                                  }));
}

void PlacementDriver::onOrderAnswer(const PlacementOrder &order, Expected<int> status)
{
    const auto found = m_planner.engines().find(order.endpoint);
    if (found == m_planner.engines().end()) {
        return;
    }
    EngineState &engine = found->second;
    EngineTracker &tracker = m_trackers[order.endpoint];
    tracker.isCallPending = false;
    const Expected<OrderOutcome> outcome =
        status ? m_runtime.codec.decodeOrderAnswer(*status) : tl::make_unexpected(status.error());
    if (!outcome) {
        // The engine may have accepted the order or may still do so; only a report can tell.
        logEvent(LogLevel::Warning, "order_unanswered",
                 {{"endpoint", order.endpoint.str()},
                  {"model", order.model.str()},
                  {"error", describeError(outcome.error())}});
        tracker.conflicts = ConflictsBeforeReport;
        engine.hasReported = false;
        onOrderFailed(engine, tracker, order, FailureBackoff);
        return;
    }
    switch (*outcome) {
    case OrderOutcome::Accepted:
    case OrderOutcome::AlreadyInEffect:
        onOrderAccepted(engine, tracker, order);
        break;
    case OrderOutcome::Conflict:
        ++tracker.conflicts;
        if (order.isLoad && order.adapter.empty()
            && tracker.changes.isUnloading(m_runtime.clock.now())) {
            tracker.unloadConflicts =
                std::min(tracker.unloadConflicts + 1, MaxUnloadConflictPauses);
            onOrderFailed(engine, tracker, order, ConflictPause * tracker.unloadConflicts);
        } else {
            onOrderFailed(engine, tracker, order, ConflictPause);
        }
        break;
    case OrderOutcome::Rejected:
    case OrderOutcome::WrongEndpoint:
        logEvent(LogLevel::Warning, "order_rejected",
                 {{"endpoint", order.endpoint.str()},
                  {"model", order.model.str()},
                  {"status", std::to_string(*status)}});
        tracker.conflicts = ConflictsBeforeReport;
        engine.plannedLoad.reset();
        onOrderFailed(engine, tracker, order, FailureBackoff);
        break;
    }
}

void PlacementDriver::onOrderAccepted(EngineState &engine, EngineTracker &tracker,
                                      const PlacementOrder &order)
{
    const SteadyTime now = m_runtime.clock.now();
    tracker.conflicts = 0;
    ++tracker.acceptedOrders;
    if (!order.isLoad) {
        const auto model = engine.models.find(order.model);
        if (model != engine.models.end() && order.adapter.empty()) {
            engine.models.erase(model);
        } else if (model != engine.models.end()) {
            model->second.erase(order.adapter);
        }
        engine.unloading.reset();
        tracker.changes.onUnloadAccepted({order.model, order.adapter}, now);
        tracker.unloadConflicts = 0;
    }
    if (!order.adapter.empty()) {
        engine.hasPendingOrder = false;
        if (order.isLoad) {
            engine.loadingAdapters.emplace(order.model, order.adapter);
            tracker.nextReport = now + BusyReportInterval;
            tracker.changes.onLoadAccepted({order.model, order.adapter}, now + AdapterLoadTime);
        } else {
            m_isPlanDue = true;
        }
    } else if (order.isLoad) {
        engine.loadEndsAt = now + m_planner.loadTime(engine.pool, order.model, order.source);
        tracker.loadStartedAt = now;
        tracker.storeLoadsAtStart = m_planner.storeLoadCount();
        tracker.nextReport = engine.loadEndsAt;
        if (order.source != LoadSource::Store) {
            tracker.changes.onLoadAccepted({order.model, {}},
                                           engine.loadEndsAt + ExpectedLoadMargin);
        }
    } else {
        engine.hasPendingOrder = false;
        tracker.noOrderBefore = now + UnloadPause;
        m_isPlanDue = true;
    }
}

void PlacementDriver::onOrderFailed(EngineState &engine, EngineTracker &tracker,
                                    const PlacementOrder &order, Duration pause)
{
    const SteadyTime now = m_runtime.clock.now();
    const bool isUnloading = tracker.unloadConflicts > 0 && tracker.changes.isUnloading(now);
    engine.hasPendingOrder = false;
    tracker.noOrderBefore = now + pause;
    if (engine.unloading) {
        engine.unloading.reset();
        tracker.isUnpublished = true;
        m_hasUnpublished = true;
    }
    if (order.isLoad && order.adapter.empty() && engine.loading == order.model) {
        engine.loading.reset();
        if (isUnloading || tracker.conflicts < ConflictsBeforeReport) {
            // The conflict is probably due to an unload in progress; the load is tried again.
            engine.plannedLoad = order.model;
        }
    }
    if (tracker.conflicts >= ConflictsBeforeReport) {
        tracker.nextReport = now + ReportLag;
        if (!isUnloading) {
            tracker.noOrderBefore =
                std::max(tracker.noOrderBefore, now + ReportLag + ConflictPause);
        }
    }
    m_isPlanDue = true;
}

} // namespace marigoldspool
