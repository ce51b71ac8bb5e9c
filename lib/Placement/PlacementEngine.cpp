#include "marigoldspool/Placement/PlacementEngine.h"

#include "Placement/PlacementState.h"
#include "marigoldspool/Support/EventLog.h"

#include <algorithm>
#include <utility>

namespace marigoldspool {

namespace {

constexpr std::string_view LedgerPrefix = "ledgers/";
constexpr std::string_view PlacementPrefix = "placements/";

// Ledgers with unfinished loads or unloads are read often enough that another instance takes over
// within seconds. The others are read rarely, because every instance of a zone reads them and the
// store serves 2,000 reads a second.
constexpr Duration UnsettledLedgerReadInterval = std::chrono::seconds(2);
constexpr Duration SettledLedgerReadInterval = std::chrono::seconds(30);
// For requests that wait for a replica which an instance of another zone is loading.
constexpr Duration AwaitedLedgerReadInterval = std::chrono::milliseconds(500);
constexpr Duration RemoteLedgerReadInterval = std::chrono::seconds(5);
// How long a ledger read is trusted to tell what is loaded on an endpoint of another zone.
constexpr Duration RemoteLedgerExpiry = std::chrono::seconds(15);

bool startsWith(const std::string &text, std::string_view prefix)
{
    return text.compare(0, prefix.size(), prefix) == 0;
}

} // namespace

std::string ledgerKey(const EndpointId &endpoint)
{
    return std::string(LedgerPrefix) + endpoint.str();
}

std::string placementKey(const ModelName &model)
{
    return std::string(PlacementPrefix) + model.str();
}

std::string activeLoadsKey()
{
    return "loads/active";
}

bool canSendOrder(const EngineOrder &order, SteadyTime now)
{
    return now < order.sendDeadline;
}

std::int64_t remainingValidityMs(const EngineOrder &order, SteadyTime now)
{
    return canSendOrder(order, now) ? toMilliseconds(order.sendDeadline - now) : 0;
}

const EngineModel *EndpointView::findLoaded(const ModelName &model) const
{
    if (!status) {
        return nullptr;
    }
    const auto it =
        std::find_if(status->models.begin(), status->models.end(), [&](const EngineModel &loaded) {
            return loaded.model == model;
        });
    return it == status->models.end() ? nullptr : &*it;
}

PlacementEngine::PlacementEngine(PlacementOptions options, InstanceId self, const Clock &clock,
                                 RandomSource &random)
    : m_state(std::make_unique<State>(std::move(options), std::move(self), clock, random))
{ }

PlacementEngine::~PlacementEngine() = default;

std::vector<PlacementAction> PlacementEngine::handle(const PlacementEvent &event)
{
    return m_state->handle(event);
}

std::vector<EndpointId> PlacementEngine::readyEndpoints(const ModelName &model) const
{
    return m_state->readyEndpoints(model);
}

std::vector<EndpointId> PlacementEngine::endpointsToPoll() const
{
    return m_state->endpointsToPoll();
}

PlacementEngine::State::State(PlacementOptions options, InstanceId self, const Clock &clock,
                              RandomSource &random)
    : m_options(std::move(options))
    , m_self(self)
    , m_clock(clock)
    , m_random(random)
    , m_store(std::move(self), clock, random,
              [this](const std::string &key, const KnownObject &object) {
                  onObject(key, object);
              })
    , m_idlePolicy({m_options.minIdleTimeout, m_options.maxIdleTimeout})
{ }

std::vector<PlacementAction> PlacementEngine::State::handle(const PlacementEvent &event)
{
    std::visit(
        [this](const auto &alternative) {
            on(alternative);
        },
        event);
    std::vector<PlacementAction> actions = m_store.takeActions();
    for (PlacementAction &action : std::exchange(m_actions, {})) {
        actions.push_back(std::move(action));
    }
    return actions;
}

std::vector<EndpointId> PlacementEngine::State::readyEndpoints(const ModelName &model) const
{
    std::vector<EndpointId> endpoints;
    for (const auto &[id, view] : m_views) {
        if (isReady(view, model)) {
            endpoints.push_back(id);
        }
    }
    return endpoints;
}

std::vector<EndpointId> PlacementEngine::State::endpointsToPoll() const
{
    std::set<EndpointId> endpoints;
    for (const auto &[replica, task] : m_tasks) {
        if (task.step == ReplicaTask::Step::AwaitEngine && task.orderSent) {
            endpoints.insert(task.endpoint);
        }
    }
    // An adapter is loaded on an engine that has its base, possibly in another zone, whose engines
    // are not polled otherwise.
    for (const auto &[model, demand] : m_demands) {
        const ModelRule *rule = isActive(demand) ? findModel(model) : nullptr;
        if (!rule || rule->kind != ModelKind::Adapter || !readyEndpoints(model).empty()) {
            continue;
        }
        for (const EndpointId &endpoint : readyEndpoints(rule->base)) {
            endpoints.insert(endpoint);
        }
    }
    return {endpoints.begin(), endpoints.end()};
}

void PlacementEngine::State::on(const DemandUpdate &event)
{
    const SteadyTime now = m_clock.now();
    ModelDemand &demand = m_demands[event.demand.model];
    demand.demand = event.demand;
    demand.seenAt = now;
    demand.isForMinReplicas = false;
    if (demand.demand.latestDeadline == SteadyTime()) {
        demand.demand.latestDeadline = demand.demand.earliestDeadline;
    }
    for (std::size_t n = 0; n < event.demand.arrived; ++n) {
        m_idlePolicy.onRequest(event.demand.model, now);
    }
    if (event.demand.arrived > 0 || event.demand.waiting > 0) {
        m_lastUse[event.demand.model] = now;
        recordUse(event.demand.model);
    }
    decideLoad(demand);
}

void PlacementEngine::State::on(const EngineStatus &status)
{
    EndpointView *view = findView(status.endpoint);
    if (!view || (view->status && status.requestedAt < view->status->requestedAt)) {
        return;
    }
    view->status = status;
    if (status.running > 0 || status.waiting > 0) {
        view->lastBusyAt = m_clock.now();
    }
    reconcile(*view);
    reportReadiness(*view);
}

void PlacementEngine::State::on(const StoreReply &reply)
{
    m_store.onReply(reply);
    // Decides now that the placement is known, so that a cold start does not wait for a tick.
    for (const ModelName &model : std::exchange(m_placementsRead, {})) {
        const auto it = m_demands.find(model);
        if (it != m_demands.end()) {
            decideLoad(it->second);
        }
    }
}

void PlacementEngine::State::on(const OrderReply &reply)
{
    for (auto &[replica, task] : m_tasks) {
        if (task.order == reply.order) {
            task.orderReply = reply.result;
            if (EndpointView *view = findView(task.endpoint)) {
                reconcile(*view);
            }
            return;
        }
    }
}

void PlacementEngine::State::on(const Tick &tick)
{
    m_running = tick.runningRequests;
    m_instances = std::max<std::size_t>(1, tick.instanceCount);
    if (!m_configuration) {
        return;
    }
    m_placementsRead.clear();
    readLedgers();
    m_store.tick();
    for (auto &[id, view] : m_views) {
        reconcile(view);
        reportReadiness(view);
    }
    addMinReplicaDemands();
    decideLoads();
}

void PlacementEngine::State::on(const ConfigurationChanged &event)
{
    m_configuration = event.configuration;
    std::map<EndpointId, EndpointView> views;
    for (const EndpointRule &rule : m_configuration->endpoints()) {
        if (rule.kind != EndpointKind::Engine) {
            continue;
        }
        EndpointView view;
        if (EndpointView *known = findView(rule.id)) {
            view = std::move(*known);
        } else if (rule.zone == m_options.zone) {
            // Spreads out the first reads of all instances of a zone.
            view.nextLedgerRead = m_clock.now() + jittered(std::chrono::milliseconds(200));
        }
        view.rule = rule;
        views.emplace(rule.id, std::move(view));
    }
    for (auto &[id, view] : m_views) {
        if (views.find(id) == views.end()) {
            for (const ModelName &model : view.ready) {
                m_actions.emplace_back(ReplicaNotReady{model, id});
            }
        }
    }
    m_views = std::move(views);
    for (auto &[id, view] : m_views) {
        reportReadiness(view);
    }
}

void PlacementEngine::State::onObject(const std::string &key, const KnownObject &object)
{
    if (startsWith(key, LedgerPrefix)) {
        if (EndpointView *view = findView(EndpointId(key.substr(LedgerPrefix.size())))) {
            onLedger(*view, object);
        }
        return;
    }
    if (startsWith(key, PlacementPrefix)) {
        const ModelName model(key.substr(PlacementPrefix.size()));
        auto placement = object.version == 0 ? Expected<Placement>(Placement{model, {}, {}, {}})
                                             : Placement::parse(object.value);
        if (placement) {
            PlacementView &view = m_placements[model];
            if (view.checkedAt == SteadyTime() || view.version != object.version) {
                view.versionSeenAt = m_clock.now();
            }
            view.value = std::move(*placement);
            view.version = object.version;
            view.checkedAt = m_clock.now();
            m_placementsRead.push_back(model);
        } else {
            logEvent(LogLevel::Error, "placement_malformed",
                     {{"key", key}, {"cause", describeError(placement.error())}});
        }
        return;
    }
    if (object.version != 0) {
        if (auto loads = ActiveLoads::parse(object.value)) {
            m_activeLoads = std::move(*loads);
        }
    }
}

void PlacementEngine::State::onLedger(EndpointView &view, const KnownObject &object)
{
    const SteadyTime now = m_clock.now();
    view.ledgerCheckedAt = now;
    if (view.ledgerKnown && view.ledgerVersion == object.version) {
        return;
    }
    auto ledger =
        object.version == 0 ? Expected<Ledger>(Ledger(view.rule.id)) : Ledger::parse(object.value);
    if (!ledger) {
        logEvent(LogLevel::Error, "ledger_malformed",
                 {{"endpoint", view.rule.id.str()}, {"cause", describeError(ledger.error())}});
        return;
    }
    view.ledgerKnown = true;
    view.ledgerVersion = object.version;
    view.ledger = std::move(*ledger);
    std::map<ReplicaId, EntryView> entries;
    for (const LedgerEntry &entry : view.ledger.entries()) {
        const auto known = view.entries.find(entry.replica);
        const bool same = known != view.entries.end() && known->second.state == entry.state
            && known->second.order == entry.order;
        entries[entry.replica] = same ? known->second : EntryView{entry.state, entry.order, now};
    }
    view.entries = std::move(entries);
    reportReadiness(view);
}

Duration PlacementEngine::State::ledgerReadInterval(const EndpointView &view) const
{
    if (view.rule.zone != m_options.zone) {
        return RemoteLedgerReadInterval;
    }
    const auto &entries = view.ledger.entries();
    const bool settled = std::all_of(entries.begin(), entries.end(), [&](const LedgerEntry &entry) {
        return entry.state == EntryState::Loaded && view.findLoaded(entry.model);
    });
    const bool allKnown = !view.status
        || std::all_of(view.status->models.begin(), view.status->models.end(),
                       [&](const EngineModel &loaded) {
                           return view.ledger.findModel(loaded.model) != nullptr;
                       });
    return settled && allKnown ? SettledLedgerReadInterval : UnsettledLedgerReadInterval;
}

void PlacementEngine::State::readLedgers()
{
    const SteadyTime now = m_clock.now();
    // Endpoints with a placed replica of a demanded model; true where it is not yet ready.
    std::map<EndpointId, bool> wanted;
    for (const auto &[model, demand] : m_demands) {
        const Placement *placement = isActive(demand) ? findPlacement(model) : nullptr;
        if (!placement) {
            continue;
        }
        for (const PlacedReplica &replica : placement->replicas) {
            const EndpointView *view = findView(replica.endpoint);
            wanted[replica.endpoint] |= view && !isReady(*view, model);
        }
    }
    for (auto &[id, view] : m_views) {
        const auto use = wanted.find(id);
        const bool isRemote = view.rule.zone != m_options.zone;
        if (isRemote && use == wanted.end()) {
            continue;
        }
        Duration interval = ledgerReadInterval(view);
        if (use != wanted.end() && use->second) {
            interval = view.ledgerKnown ? Duration(isRemote ? AwaitedLedgerReadInterval : interval)
                                        : Duration::zero();
        }
        const SteadyTime latest = view.ledgerCheckedAt + interval;
        if (now >= view.nextLedgerRead && now >= latest) {
            view.nextLedgerRead =
                now + jittered(std::min<Duration>(interval, UnsettledLedgerReadInterval));
            m_store.refresh(ledgerKey(id));
        }
    }
}

bool PlacementEngine::State::hasFreshStatus(const EndpointView &view) const
{
    return view.status && m_clock.now() - view.status->requestedAt <= m_options.statusExpiry;
}

bool PlacementEngine::State::isStatusTakenAfter(const EndpointView &view, SteadyTime time) const
{
    return view.status && view.status->requestedAt >= time + m_options.maxStatusLag;
}

bool PlacementEngine::State::isReady(const EndpointView &view, const ModelName &model) const
{
    const ModelRule *rule = findModel(model);
    if (!rule || !isUsable(view, *rule)) {
        return false;
    }
    const LedgerEntry *entry = view.ledgerKnown ? view.ledger.findModel(model) : nullptr;
    if (entry && entry->state == EntryState::Unloading) {
        return false;
    }
    if (view.rule.zone == m_options.zone || hasFreshStatus(view)) {
        const EngineModel *loaded = view.findLoaded(model);
        return hasFreshStatus(view) && loaded && loaded->state == EngineModelState::Loaded;
    }
    // Endpoints of other zones are not polled for their status; their ledgers tell what is loaded.
    return entry && entry->state == EntryState::Loaded
        && m_clock.now() - view.ledgerCheckedAt <= RemoteLedgerExpiry;
}

void PlacementEngine::State::reportReadiness(EndpointView &view)
{
    std::set<ModelName> ready;
    if (hasFreshStatus(view)) {
        for (const EngineModel &loaded : view.status->models) {
            if (isReady(view, loaded.model)) {
                ready.insert(loaded.model);
            }
        }
    }
    for (const LedgerEntry &entry : view.ledger.entries()) {
        if (isReady(view, entry.model)) {
            ready.insert(entry.model);
        }
    }
    for (const ModelName &model : view.ready) {
        if (ready.count(model) == 0) {
            m_actions.emplace_back(ReplicaNotReady{model, view.rule.id});
        }
    }
    for (const ModelName &model : ready) {
        if (view.ready.count(model) == 0) {
            m_actions.emplace_back(ReplicaReady{model, view.rule.id});
        }
    }
    view.ready = std::move(ready);
}

bool PlacementEngine::State::isUsable(const EndpointView &view, const ModelRule &model) const
{
    return view.rule.state == EndpointState::Serving
        && m_configuration->canRunIn(model, view.rule.zone);
}

EndpointView *PlacementEngine::State::findView(const EndpointId &endpoint)
{
    const auto it = m_views.find(endpoint);
    return it == m_views.end() ? nullptr : &it->second;
}

ReplicaTask *PlacementEngine::State::findTask(const ReplicaId &replica)
{
    const auto it = m_tasks.find(replica);
    return it == m_tasks.end() ? nullptr : &it->second;
}

const ModelRule *PlacementEngine::State::findModel(const ModelName &model) const
{
    return m_configuration ? m_configuration->findModel(model.str()) : nullptr;
}

const Placement *PlacementEngine::State::findPlacement(const ModelName &model) const
{
    const auto it = m_placements.find(model);
    return it == m_placements.end() || it->second.checkedAt == SteadyTime() ? nullptr
                                                                            : &it->second.value;
}

void PlacementEngine::State::readPlacement(const ModelName &model, Duration interval)
{
    PlacementView &view = m_placements[model];
    const SteadyTime now = m_clock.now();
    if (now >= view.nextRead) {
        view.nextRead = now + jittered(interval);
        m_store.refresh(placementKey(model));
    }
}

Duration PlacementEngine::State::jittered(Duration duration)
{
    return Duration(static_cast<std::int64_t>(static_cast<double>(duration.count())
                                              * (0.5 + m_random.uniform() / 2)));
}

} // namespace marigoldspool
