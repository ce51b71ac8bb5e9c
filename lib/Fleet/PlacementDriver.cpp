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
// Reports of demand come twice a second.
constexpr Duration DemandWait = milliseconds(800);
constexpr Duration PlanInterval = milliseconds(100);
// Adapters take 5 to 14 ms on the users' engines while few are fetched at once.
constexpr Duration AdapterLoadTime = milliseconds(30);
// Of 379 loads on a grown bench site nine in ten were shown by a report 214 to 371 ms after their
// time, which is the age of the reports and the interval of asking.
constexpr Duration ExpectedMargin = milliseconds(20);

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
    stepLease();
    const bool mayOrder = m_lease.mayOrder();
    if (mayOrder && !m_active) {
        activate();
    } else if (!mayOrder && m_active) {
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
    applyExpected();
    pollReports();
    const SteadyTime now = m_runtime.clock.now();
    if (m_planDue || now >= m_planAt) {
        plan();
    }
    publishIfDue();
}

void PlacementDriver::activate()
{
    m_active = true;
    m_contacts.clear();
    m_planner.engines().clear();
    m_demand.clear();
    m_activeAt = m_runtime.clock.now();
    m_sequence = 0;
    logEvent(LogLevel::Info, "placement_active", {{"term", std::to_string(m_lease.term())}});
    onConfiguration();
    onEndpoints();
    m_publishAt = m_runtime.clock.now();
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
    for (const std::string &endpoint : update.lease.recentlyOrdered) {
        record.recentlyOrdered.insert(EndpointId(endpoint));
    }
    record.version = update.lease.version;
    m_lease.onTold(record);
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
        m_planDue = true;
    }
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
            m_contacts.erase(it->first);
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
        Contact &contact = m_contacts[id];
        if (engine.id.empty() || contact.startedAtMs != state.listed.startedAtMs) {
            const bool calling = contact.calling;
            engine = EngineState();
            contact = Contact();
            contact.calling = calling;
            contact.startedAtMs = state.listed.startedAtMs;
            contact.reportAt = m_runtime.clock.now();
            engine.id = id;
            engine.pool = state.listed.pool;
            engine.zone = state.listed.zone;
            engine.models = state.listed.models;
            engine.inMemory = state.listed.inMemory;
            engine.onDisk = state.listed.onDisk;
        }
        refreshUsable(engine, contact);
    }
}

void PlacementDriver::refreshUsable(EngineState &engine, const Contact &contact)
{
    const bool usable = m_runtime.directory.mayUse(engine.id) && contact.failures < MostFailures;
    if (engine.usable != usable) {
        engine.usable = usable;
        m_planDue = true;
    }
}

void PlacementDriver::onDemand(const InstanceId &from, const DemandReport &report)
{
    if (!m_active) {
        return;
    }
    m_demand.onReport(from, report);
    const bool waits =
        std::any_of(report.models.begin(), report.models.end(), [](const ReportedDemand &it) {
            return it.waiting > 0;
        });
    if (waits) {
        plan();
    }
    if (report.knownSequence == 0 && from != m_runtime.options.instance) {
        m_link.send(from, fullUpdate());
    }
    if (waits) {
        // The sender decides by the forecast whether its requests wait.
        const LoadForecasts forecasts{m_lease.term(), m_planner.forecast(m_demand)};
        if (from == m_runtime.options.instance) {
            m_onForecast(forecasts);
        } else {
            m_link.send(from, forecasts);
        }
    }
}

void PlacementDriver::plan()
{
    m_planDue = false;
    const SteadyTime now = m_runtime.clock.now();
    m_planAt = now + PlanInterval;
    // Without all reports of demand a busy model would look idle and be dropped.
    const bool isInformed = m_demand.reporters() > m_link.connectedPeers().size();
    if (!isInformed && now - m_activeAt < DemandWait) {
        return;
    }
    // Engines that may not take an order yet look busy to the planner.
    std::vector<EndpointId> held;
    for (auto &[id, engine] : m_planner.engines()) {
        const Contact &contact = m_contacts[id];
        if (!engine.busy && (contact.calling || now < contact.orderAt || !m_lease.mayOrder(id))) {
            engine.busy = true;
            held.push_back(id);
        }
    }
    const std::vector<PlacementOrder> orders = m_planner.plan(m_demand);
    for (const EndpointId &id : held) {
        m_planner.engines()[id].busy = false;
    }
    for (const PlacementOrder &order : orders) {
        sendOrder(order);
    }
}

void PlacementDriver::sendOrder(const PlacementOrder &order)
{
    const EndpointState *state = m_runtime.directory.find(order.endpoint);
    Contact &contact = m_contacts[order.endpoint];
    EngineState &engine = m_planner.engines()[order.endpoint];
    // The lease may have ended since the planner ran; this is the last moment to see it.
    if (state == nullptr || !m_lease.mayOrder(order.endpoint) || contact.calling) {
        orderFailed(engine, contact, order, ConflictPause);
        return;
    }
    contact.calling = true;
    m_lease.onOrder(order.endpoint);
    if (!order.isLoad) {
        // Callers stop asking for it before the engine drops it.
        engine.dropping = std::make_pair(order.model, order.adapter);
        contact.changed = true;
        m_changed = true;
    }
    EndpointCall call = m_runtime.wire.encodeOrder(state->listed, order, m_runtime.options.instance,
                                                   m_lease.term(), contact.orders);
    call.id = RequestId("order-" + std::to_string(++m_callCounter));
    call.timeout = CallTimeout;
    call.connectTimeout = CallTimeout;
    const FleetDemand asked = m_demand.of({engine.pool, order.model, order.adapter});
    logEvent(LogLevel::Info, "order",
             {{"endpoint", order.endpoint.str()},
              {"op", order.isLoad ? "load" : "unload"},
              {"model", order.model.str()},
              {"adapter", order.adapter},
              {"source", sourceName(order)},
              {"cause", std::string(order.cause)},
              {"waiting", std::to_string(asked.waiting)},
              {"rate", std::to_string(asked.rate)},
              {"seq", std::to_string(contact.orders)},
              {"term", std::to_string(m_lease.term())}});
    m_runtime.metrics->add(
        "marigoldspool_orders_total", 1,
        {{"op", order.isLoad ? "load" : "unload"}, {"source", sourceName(order)}});
    m_runtime.endpoints->call(std::move(call),
                              std::make_shared<CollectingHandler>(
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
    Contact &contact = m_contacts[order.endpoint];
    contact.calling = false;
    const Expected<OrderOutcome> outcome =
        status ? m_runtime.wire.decodeOrderAnswer(*status) : tl::make_unexpected(status.error());
    if (!outcome) {
        // It may have been accepted, or may be later; only reports tell.
        logEvent(LogLevel::Warning, "order_unanswered",
                 {{"endpoint", order.endpoint.str()},
                  {"model", order.model.str()},
                  {"error", describeError(outcome.error())}});
        contact.conflicts = ConflictsBeforeReport;
        engine.known = false;
        orderFailed(engine, contact, order, FailurePause);
        return;
    }
    switch (*outcome) {
    case OrderOutcome::Accepted:
    case OrderOutcome::Holds:
        orderAccepted(engine, contact, order);
        break;
    case OrderOutcome::Conflict:
        ++contact.conflicts;
        orderFailed(engine, contact, order, ConflictPause);
        break;
    case OrderOutcome::Rejected:
    case OrderOutcome::WrongEndpoint:
        logEvent(LogLevel::Warning, "order_rejected",
                 {{"endpoint", order.endpoint.str()},
                  {"model", order.model.str()},
                  {"status", std::to_string(*status)}});
        contact.conflicts = ConflictsBeforeReport;
        engine.intent.reset();
        orderFailed(engine, contact, order, FailurePause);
        break;
    }
}

void PlacementDriver::orderAccepted(EngineState &engine, Contact &contact,
                                    const PlacementOrder &order)
{
    const SteadyTime now = m_runtime.clock.now();
    contact.conflicts = 0;
    ++contact.orders;
    if (!order.isLoad) {
        const auto model = engine.models.find(order.model);
        if (model != engine.models.end() && order.adapter.empty()) {
            engine.models.erase(model);
        } else if (model != engine.models.end()) {
            model->second.erase(order.adapter);
        }
        engine.dropping.reset();
    }
    if (!order.adapter.empty()) {
        engine.busy = false;
        if (order.isLoad) {
            engine.coming.emplace(order.model, order.adapter);
            contact.reportAt = now + BusyReportInterval;
            expect(contact, order, now + AdapterLoadTime);
        } else {
            m_planDue = true;
        }
    } else if (order.isLoad) {
        engine.loadedAt = now + m_planner.loadTime(engine.pool, order.model, order.source);
        contact.loadStartedAt = now;
        contact.loadsAtStart = m_planner.storeLoads();
        contact.reportAt = engine.loadedAt;
        if (order.source != LoadSource::Store) {
            expect(contact, order, engine.loadedAt + ExpectedMargin);
        }
    } else {
        engine.busy = false;
        contact.orderAt = now + UnloadPause;
        m_planDue = true;
    }
}

void PlacementDriver::orderFailed(EngineState &engine, Contact &contact,
                                  const PlacementOrder &order, Duration pause)
{
    const SteadyTime now = m_runtime.clock.now();
    engine.busy = false;
    contact.orderAt = now + pause;
    if (engine.dropping) {
        engine.dropping.reset();
        contact.changed = true;
        m_changed = true;
    }
    if (order.isLoad && order.adapter.empty() && engine.loading == order.model) {
        engine.loading.reset();
        if (contact.conflicts < ConflictsBeforeReport) {
            // An unload that is still under way; the load is tried again.
            engine.intent = order.model;
        }
    }
    if (contact.conflicts >= ConflictsBeforeReport) {
        contact.reportAt = now + ReportLag;
        contact.orderAt = std::max(contact.orderAt, now + ReportLag + ConflictPause);
    }
    m_planDue = true;
}

} // namespace marigoldspool
