#include "marigoldspool/Placement/PlacementEngine.h"

#include "Placement/PlacementState.h"
#include "marigoldspool/Support/EventLog.h"

#include <algorithm>
#include <utility>

namespace marigoldspool {

namespace {

constexpr std::string_view LedgerPrefix = "ledgers/";
constexpr std::string_view PlacementPrefix = "placements/";

// Ledgers with unfinished steps are read often enough to take over within seconds; the others
// rarely, because every instance of a zone reads them and the store takes 2,000 reads a second.
constexpr Duration UnsettledLedgerRead = std::chrono::seconds(2);
constexpr Duration SettledLedgerRead = std::chrono::seconds(30);
// Requests wait for a replica that an instance of another zone loads.
constexpr Duration AwaitedLedgerRead = std::chrono::milliseconds(500);
constexpr Duration RemoteLedgerRead = std::chrono::seconds(5);
// A ledger read this long ago still says what is loaded on an endpoint of another zone.
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

bool maySendOrder(const EngineOrder &order, SteadyTime now)
{
    return now < order.notAfter;
}

std::int64_t orderValidMs(const EngineOrder &order, SteadyTime now)
{
    return maySendOrder(order, now) ? toMilliseconds(order.notAfter - now) : 0;
}

const LoadedModel *EndpointView::findLoaded(const ModelName &model) const
{
    if (!status) {
        return nullptr;
    }
    const auto it =
        std::find_if(status->loaded.begin(), status->loaded.end(), [&](const LoadedModel &loaded) {
            return loaded.model == model;
        });
    return it == status->loaded.end() ? nullptr : &*it;
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

std::vector<EndpointId> PlacementEngine::awaitedEndpoints() const
{
    return m_state->awaitedEndpoints();
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

std::vector<EndpointId> PlacementEngine::State::awaitedEndpoints() const
{
    std::set<EndpointId> endpoints;
    for (const auto &[replica, work] : m_works) {
        if (work.step == Work::Step::Await && work.sent) {
            endpoints.insert(work.endpoint);
        }
    }
    // An adapter is loaded where its base is, which may be in a zone whose engines are not asked
    // for their status otherwise.
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

void PlacementEngine::State::on(const DemandSeen &event)
{
    const SteadyTime now = m_clock.now();
    ModelDemand &demand = m_demands[event.demand.model];
    demand.demand = event.demand;
    demand.seenAt = now;
    demand.standing = false;
    if (demand.demand.latestDeadline == SteadyTime()) {
        demand.demand.latestDeadline = demand.demand.earliestDeadline;
    }
    for (std::size_t n = 0; n < event.demand.arrived; ++n) {
        m_idlePolicy.onRequest(event.demand.model, now);
    }
    if (event.demand.arrived > 0 || event.demand.waiting > 0) {
        m_lastUse[event.demand.model] = now;
        noteUse(event.demand.model);
    }
    decideLoad(demand);
}

void PlacementEngine::State::on(const EngineStatus &status)
{
    EndpointView *view = findView(status.endpoint);
    if (!view || (view->status && status.at < view->status->at)) {
        return;
    }
    view->status = status;
    if (status.running > 0 || status.waiting > 0) {
        view->busyAt = m_clock.now();
    }
    reconcile(*view);
    reportReadiness(*view);
}

void PlacementEngine::State::on(const StoreReply &reply)
{
    m_store.onReply(reply);
    // A cold load must not wait for the next tick once its placement has been read.
    for (const ModelName &model : std::exchange(m_placementsRead, {})) {
        const auto it = m_demands.find(model);
        if (it != m_demands.end()) {
            decideLoad(it->second);
        }
    }
}

void PlacementEngine::State::on(const OrderReply &reply)
{
    for (auto &[replica, work] : m_works) {
        if (work.order == reply.order) {
            work.reply = reply.result;
            if (EndpointView *view = findView(work.endpoint)) {
                reconcile(*view);
            }
            return;
        }
    }
}

void PlacementEngine::State::on(const Tick &tick)
{
    m_running = tick.running;
    m_instances = std::max<std::size_t>(1, tick.instances);
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
    addStandingDemands();
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
            // Spreads the first reads of a zone's instances.
            view.nextLedgerRead = m_clock.now() + jittered(std::chrono::milliseconds(200));
        }
        view.rule = rule;
        views.emplace(rule.id, std::move(view));
    }
    for (auto &[id, view] : m_views) {
        if (views.find(id) == views.end()) {
            for (const ModelName &model : view.ready) {
                m_actions.emplace_back(ReplicaGone{model, id});
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
                view.since = m_clock.now();
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
        return RemoteLedgerRead;
    }
    const auto &entries = view.ledger.entries();
    const bool settled = std::all_of(entries.begin(), entries.end(), [&](const LedgerEntry &entry) {
        return entry.state == EntryState::Loaded && view.findLoaded(entry.model);
    });
    const bool allKnown = !view.status
        || std::all_of(view.status->loaded.begin(), view.status->loaded.end(),
                       [&](const LoadedModel &loaded) {
                           return view.ledger.findModel(loaded.model) != nullptr;
                       });
    return settled && allKnown ? SettledLedgerRead : UnsettledLedgerRead;
}

void PlacementEngine::State::readLedgers()
{
    const SteadyTime now = m_clock.now();
    // Endpoints with a decided replica of a demanded model; true where it is not yet ready.
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
            interval = view.ledgerKnown ? Duration(isRemote ? AwaitedLedgerRead : interval)
                                        : Duration::zero();
        }
        const SteadyTime latest = view.ledgerCheckedAt + interval;
        if (now >= view.nextLedgerRead && now >= latest) {
            view.nextLedgerRead = now + jittered(std::min<Duration>(interval, UnsettledLedgerRead));
            m_store.refresh(ledgerKey(id));
        }
    }
}

bool PlacementEngine::State::hasFreshStatus(const EndpointView &view) const
{
    return view.status && m_clock.now() - view.status->at <= m_options.statusExpiry;
}

bool PlacementEngine::State::reflects(const EndpointView &view, SteadyTime time) const
{
    return view.status && view.status->at >= time + m_options.statusLag;
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
        const LoadedModel *loaded = view.findLoaded(model);
        return hasFreshStatus(view) && loaded && loaded->state == EngineModelState::Loaded;
    }
    // Endpoints of other zones are not asked for their status; their ledgers say what is loaded.
    return entry && entry->state == EntryState::Loaded
        && m_clock.now() - view.ledgerCheckedAt <= RemoteLedgerExpiry;
}

void PlacementEngine::State::reportReadiness(EndpointView &view)
{
    std::set<ModelName> ready;
    if (hasFreshStatus(view)) {
        for (const LoadedModel &loaded : view.status->loaded) {
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
            m_actions.emplace_back(ReplicaGone{model, view.rule.id});
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

Work *PlacementEngine::State::findWork(const ReplicaId &replica)
{
    const auto it = m_works.find(replica);
    return it == m_works.end() ? nullptr : &it->second;
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
