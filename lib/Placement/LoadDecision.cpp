#include "Placement/PlacementState.h"
#include "marigoldspool/Support/EventLog.h"

#include <algorithm>
#include <utility>

namespace marigoldspool {

namespace {

// A home instance repeats its demand each second; three missed ones end it.
constexpr Duration DemandExpiry = std::chrono::seconds(3);
constexpr Duration DemandForgotten = std::chrono::minutes(1);
constexpr Duration WaitingPlacementRead = std::chrono::seconds(1);
constexpr Duration ReadyPlacementRead = std::chrono::seconds(5);
constexpr Duration StandingCheck = std::chrono::seconds(2);
constexpr Duration RefusalInterval = std::chrono::seconds(1);
constexpr Duration OrphanCheck = std::chrono::seconds(5);
// A store that has failed this long is taken to be away.
constexpr Duration StoreAwayAfter = std::chrono::seconds(1);
// A model used less long ago than this is not unloaded for another one.
constexpr Duration LeastIdleForEviction = std::chrono::seconds(10);

// Assumed speed of loading until a load has been seen, in bytes a second.
double assumedSpeed(CheckpointPlace place)
{
    switch (place) {
    case CheckpointPlace::Memory:
        return 10e9;
    case CheckpointPlace::Disk:
        return 2e9;
    case CheckpointPlace::Remote:
        break;
    }
    return 1e9;
}

} // namespace

bool PlacementEngine::State::isActive(const ModelDemand &demand) const
{
    return (demand.standing || demand.demand.waiting > 0)
        && m_clock.now() - demand.seenAt <= DemandExpiry;
}

void PlacementEngine::State::addStandingDemands()
{
    const SteadyTime now = m_clock.now();
    if (now < m_nextStandingCheck) {
        return;
    }
    m_nextStandingCheck = now + jittered(StandingCheck);
    for (const ModelRule &rule : m_configuration->models()) {
        if (rule.minReplicas <= 0 || !m_configuration->canRunIn(rule, m_options.zone)) {
            continue;
        }
        ModelDemand &demand = m_demands[rule.name];
        if (demand.standing || !isActive(demand)) {
            demand.demand = Demand();
            demand.demand.model = rule.name;
            demand.demand.zone = m_options.zone;
            demand.demand.earliestDeadline = SteadyTime::max();
            demand.demand.latestDeadline = SteadyTime::max();
            demand.standing = true;
            demand.seenAt = now;
        }
    }
}

std::tuple<SteadyTime, std::int64_t, double>
PlacementEngine::State::loadRank(const ModelName &model) const
{
    const auto it = m_demands.find(model);
    if (it == m_demands.end() || !isActive(it->second)) {
        return {SteadyTime::max(), 0, 1};
    }
    const Demand &demand = it->second.demand;
    return {demand.earliestDeadline, -static_cast<std::int64_t>(demand.waiting),
            demand.worstService};
}

void PlacementEngine::State::decideLoads()
{
    const SteadyTime now = m_clock.now();
    std::vector<ModelName> active;
    for (auto it = m_demands.begin(); it != m_demands.end();) {
        if (isActive(it->second)) {
            active.push_back(it->first);
        } else if (now - it->second.seenAt > DemandForgotten) {
            it = m_demands.erase(it);
            continue;
        }
        ++it;
    }
    std::sort(active.begin(), active.end(), [this](const ModelName &a, const ModelName &b) {
        return std::make_pair(loadRank(a), a) < std::make_pair(loadRank(b), b);
    });
    for (const ModelName &model : active) {
        decideLoad(m_demands[model]);
    }
}

// Replicas elsewhere count towards min-replicas and max-replicas, but do not help requests that
// their zone could not serve.
int PlacementEngine::State::desiredReplicas(const ModelRule &model) const
{
    const auto it = m_demands.find(model.name);
    const bool waiting =
        it != m_demands.end() && isActive(it->second) && it->second.demand.waiting > 0;
    const bool overflow = waiting && it->second.demand.overflow;
    int unusable = 0;
    int usable = 0;
    int elsewhere = 0;
    if (const Placement *placement = findPlacement(model.name)) {
        for (const PlacedReplica &replica : placement->replicas) {
            const auto view = m_views.find(replica.endpoint);
            if (view == m_views.end() || !isUsable(view->second, model)) {
                ++unusable;
            } else {
                ++(overflow && !canServeHere(view->second) ? elsewhere : usable);
            }
        }
    }
    int wanted = model.minReplicas;
    if (waiting) {
        const Demand &demand = it->second.demand;
        const int ready = static_cast<int>(readyEndpoints(model.name).size());
        const bool tooSlow = m_clock.now() + demand.predictedWait > demand.earliestDeadline;
        const bool grows = tooSlow && ready >= usable && ready > 0;
        wanted = std::max(wanted, elsewhere + (grows ? usable + 1 : 1));
    }
    return std::min(wanted + unusable, model.maxReplicas);
}

// Engines of other zones are followed only while something is loaded there for this instance.
bool PlacementEngine::State::canServeHere(const EndpointView &view) const
{
    return view.rule.zone == m_options.zone || hasFreshStatus(view);
}

// Requests that wait here are better served where the replicas are.
bool PlacementEngine::State::isFullElsewhere(const ModelRule &model,
                                             const Placement &placement) const
{
    const bool underWay = std::any_of(m_works.begin(), m_works.end(), [&](const auto &item) {
        return item.second.model == model.name;
    });
    return !underWay && static_cast<int>(placement.replicas.size()) >= model.maxReplicas
        && std::none_of(placement.replicas.begin(), placement.replicas.end(),
                        [&](const PlacedReplica &replica) {
                            const auto it = m_views.find(replica.endpoint);
                            return it == m_views.end() || canServeHere(it->second);
                        });
}

void PlacementEngine::State::decideLoad(ModelDemand &demand)
{
    const SteadyTime now = m_clock.now();
    if (!m_configuration || !isActive(demand) || now < demand.retryAt) {
        return;
    }
    const ModelName model = demand.demand.model;
    const ModelRule *rule = findModel(model);
    if (!rule) {
        refuse(demand, RefusalReason::ModelUnknown, "model " + model.str() + " has no rule",
               "add a model rule", Duration::zero());
        return;
    }
    const bool isServed = !readyEndpoints(model).empty();
    readPlacement(model, isServed ? ReadyPlacementRead : WaitingPlacementRead);
    if (m_store.failingSince() && now - *m_store.failingSince() >= StoreAwayAfter) {
        if (!isServed) {
            refuse(demand, RefusalReason::StoreUnavailable,
                   "the platform's store does not answer, so no model can be loaded",
                   "try again later", std::chrono::seconds(5));
        }
        return;
    }
    const Placement *placement = findPlacement(model);
    if (!placement) {
        return;
    }
    if (!isServed && demand.demand.overflow && isFullElsewhere(*rule, *placement)) {
        refuse(demand, RefusalReason::NoCapacity,
               "all replicas of " + model.str() + " that may run are in other zones",
               "send the request there", std::chrono::seconds(1));
        return;
    }
    const auto decided = static_cast<int>(placement->replicas.size());
    if (now >= demand.nextOrphanCheck) {
        demand.nextOrphanCheck = now + jittered(OrphanCheck);
        removeOrphans(model);
    }
    const auto undecided = std::count_if(m_works.begin(), m_works.end(), [&](const auto &item) {
        const Work::Step step = item.second.step;
        return item.second.model == model
            && (step == Work::Step::Reserve || step == Work::Step::Place);
    });
    if (decided + static_cast<int>(undecided) < desiredReplicas(*rule)) {
        beginLoad(demand, *rule);
    }
}

void PlacementEngine::State::beginLoad(ModelDemand &demand, const ModelRule &rule)
{
    const auto zones = m_configuration->zones();
    if (std::none_of(zones.begin(), zones.end(), [&](const ZoneRule &zone) {
            return m_configuration->canRunIn(rule, zone.name);
        })) {
        refuse(demand, RefusalReason::ZoneDrained,
               "every zone in which " + rule.name.str() + " may run is drained",
               "try again when a zone is serving", std::chrono::seconds(5));
        return;
    }
    if (rule.kind == ModelKind::Adapter && requestBase(demand, rule)) {
        return;
    }
    const auto rank = loadRank(rule.name);
    const auto ahead = std::count_if(m_works.begin(), m_works.end(), [&](const auto &item) {
        const Work &work = item.second;
        return work.step != Work::Step::Await && work.step != Work::Step::Clear
            && loadRank(work.model) <= rank;
    });
    // Memory reserved by a load that waits long for its turn is lost to others.
    const std::size_t most =
        rule.kind == ModelKind::Adapter ? m_options.maxAdapterLoads : m_options.maxActiveLoads;
    if (static_cast<std::size_t>(ahead) >= most) {
        return;
    }
    EndpointView *view = chooseEndpoint(rule, demand.demand.zone);
    if (!view) {
        if (!makeRoom(rule, demand.demand.zone)) {
            refuse(demand, RefusalReason::NoCapacity, "no engine has memory for " + rule.name.str(),
                   "try again later or add an engine", std::chrono::seconds(5));
        }
        return;
    }
    const Duration loadTime = estimateLoad(rule, checkpointPlace(*view, rule.name));
    if (!helpsAnyone(demand, loadTime)) {
        refuse(demand, RefusalReason::DeadlineTooShort,
               "loading " + rule.name.str() + " takes longer than any waiting request may wait",
               "send a later deadline", loadTime);
        return;
    }
    startLoad(rule, *view);
}

// Whether the adapter has to wait for its base model, which is then demanded with it.
bool PlacementEngine::State::requestBase(const ModelDemand &demand, const ModelRule &adapter)
{
    const bool isThere = !readyEndpoints(adapter.base).empty();
    if (isThere) {
        return false;
    }
    ModelDemand &base = m_demands[adapter.base];
    if (!isActive(base) || base.standing) {
        base.demand = demand.demand;
        base.demand.model = adapter.base;
        base.demand.predictedWait = Duration::zero();
        base.standing = false;
    }
    base.seenAt = m_clock.now();
    m_lastUse[adapter.base] = m_clock.now();
    return true;
}

CheckpointPlace PlacementEngine::State::checkpointPlace(const EndpointView &view,
                                                        const ModelName &model) const
{
    CheckpointPlace best = CheckpointPlace::Remote;
    if (view.status) {
        for (const CachedCheckpoint &cached : view.status->cached) {
            if (cached.model == model) {
                best = std::min(best, cached.place);
            }
        }
    }
    return best;
}

std::uint64_t PlacementEngine::State::capacity(const EndpointView &view) const
{
    const std::uint64_t total = view.status ? view.status->memoryTotal : 0;
    return total == 0 ? view.rule.memoryBytes : std::min(view.rule.memoryBytes, total);
}

std::uint64_t PlacementEngine::State::freeBytes(const EndpointView &view) const
{
    std::uint64_t used = view.ledger.reservedBytes();
    for (const auto &[replica, work] : m_works) {
        if (work.endpoint == view.rule.id && work.step == Work::Step::Reserve
            && !view.ledger.find(replica)) {
            used += work.bytes;
        }
    }
    if (view.status) {
        for (const LoadedModel &loaded : view.status->loaded) {
            used += view.ledger.findModel(loaded.model) ? 0 : loaded.bytes;
        }
    }
    return capacity(view) - std::min(capacity(view), used);
}

EndpointView *PlacementEngine::State::chooseEndpoint(const ModelRule &model, const ZoneName &zone)
{
    EndpointView *best = nullptr;
    std::tuple<CheckpointPlace, bool, std::uint64_t> bestRank;
    for (auto &[id, view] : m_views) {
        const bool canTake = view.ledgerKnown && hasFreshStatus(view) && isUsable(view, model)
            && !view.findLoaded(model.name) && !view.ledger.findModel(model.name)
            && (model.kind == ModelKind::Model || isReady(view, model.base));
        const std::uint64_t free = freeBytes(view);
        if (!canTake || free < model.memoryBytes + model.kvBytes) {
            continue;
        }
        const std::tuple<CheckpointPlace, bool, std::uint64_t> rank(
            checkpointPlace(view, model.name), view.rule.zone != zone, ~free);
        if (!best || rank < bestRank) {
            best = &view;
            bestRank = rank;
        }
    }
    return best;
}

Duration PlacementEngine::State::estimateLoad(const ModelRule &model, CheckpointPlace place) const
{
    const auto it = m_loadTimes.find({model.name, place});
    if (it != m_loadTimes.end()) {
        return it->second;
    }
    const double seconds = static_cast<double>(model.memoryBytes) / assumedSpeed(place);
    const auto bySize =
        std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
    return std::min(bySize, m_options.assumedLoad);
}

bool PlacementEngine::State::helpsAnyone(const ModelDemand &demand, Duration loadTime) const
{
    const ModelName &model = demand.demand.model;
    return demand.standing || m_clock.now() + loadTime <= demand.demand.latestDeadline
        || m_idlePolicy.expectsRequestWithin(model, m_idlePolicy.timeoutFor(model, loadTime));
}

// Starts unloading idle models from the endpoint that needs the fewest unloads, or finds one where
// enough are being unloaded already.
bool PlacementEngine::State::makeRoom(const ModelRule &model, const ZoneName &zone)
{
    EndpointView *best = nullptr;
    std::vector<LedgerEntry> victims;
    bool undecided = false;
    for (auto &[id, view] : m_views) {
        if (!isUsable(view, model) || view.ledger.findModel(model.name)
            || (model.kind == ModelKind::Adapter && !isReady(view, model.base))) {
            continue;
        }
        if (!view.ledgerKnown || !hasFreshStatus(view)) {
            // The engines of this zone, and those with an adapter's base, are being asked.
            undecided =
                undecided || view.rule.zone == m_options.zone || model.kind == ModelKind::Adapter;
            continue;
        }
        const auto found = findVictims(view, model.memoryBytes + model.kvBytes);
        if (found && found->empty()) {
            return true;
        }
        const auto rank = [&](const EndpointView &other, std::size_t count) {
            return std::make_pair(count, other.rule.zone != zone);
        };
        if (found && (!best || rank(view, found->size()) < rank(*best, victims.size()))) {
            best = &view;
            victims = *found;
        }
    }
    for (const LedgerEntry &victim : victims) {
        logEvent(LogLevel::Info, "eviction",
                 {{"endpoint", best->rule.id.str()},
                  {"model", victim.model.str()},
                  {"for", model.name.str()}});
        startUnload(*best, victim);
    }
    return best || undecided;
}

// The longest-idle entries whose unloading frees \p bytes; empty if that much is on its way out,
// nothing if it cannot be freed.
std::optional<std::vector<LedgerEntry>>
PlacementEngine::State::findVictims(const EndpointView &view, std::uint64_t bytes) const
{
    std::uint64_t free = freeBytes(view);
    std::vector<std::pair<Duration, LedgerEntry>> candidates;
    for (const LedgerEntry &entry : view.ledger.entries()) {
        const auto work = m_works.find(entry.replica);
        if (entry.state == EntryState::Unloading
            || (entry.state == EntryState::Loaded && work != m_works.end() && work->second.busy)) {
            free += entry.bytes;
            continue;
        }
        const auto seen = view.entries.find(entry.replica);
        const auto demand = m_demands.find(entry.model);
        const ModelRule *rule = findModel(entry.model);
        const Duration idle =
            seen == view.entries.end() ? Duration::zero() : idleTime(view, entry, seen->second);
        const bool isKept = (rule && rule->minReplicas > 0)
            || (demand != m_demands.end() && isActive(demand->second)) || isBaseInUse(view, entry)
            || runningHere(view.rule.id, entry.model) > 0;
        if (entry.state == EntryState::Loaded && !isKept && idle >= LeastIdleForEviction) {
            candidates.emplace_back(idle, entry);
        }
    }
    std::stable_sort(candidates.begin(), candidates.end(), [](const auto &a, const auto &b) {
        return a.first > b.first;
    });
    std::vector<LedgerEntry> victims;
    for (const auto &[idle, entry] : candidates) {
        if (free >= bytes) {
            break;
        }
        free += entry.bytes;
        victims.push_back(entry);
    }
    return free >= bytes ? std::make_optional(std::move(victims)) : std::nullopt;
}

bool PlacementEngine::State::isBaseInUse(const EndpointView &view, const LedgerEntry &entry) const
{
    const auto &entries = view.ledger.entries();
    return std::any_of(entries.begin(), entries.end(), [&](const LedgerEntry &other) {
        const ModelRule *rule = findModel(other.model);
        return rule && rule->kind == ModelKind::Adapter && rule->base == entry.model;
    });
}

Duration PlacementEngine::State::idleTime(const EndpointView &view, const LedgerEntry &entry,
                                          const EntryView &seen) const
{
    SteadyTime used = seen.since;
    const auto own = m_lastUse.find(entry.model);
    const Placement *placement = findPlacement(entry.model);
    const bool isOwn = placement && placement->usedBy == m_self && own != m_lastUse.end();
    if (!isOwn || placement->replicas.size() > 1) {
        // Requests that pass other instances show only in the engine's status.
        used = std::max(used, view.busyAt);
    } else {
        used = std::max(used, own->second);
    }
    return m_clock.now() - used;
}

bool PlacementEngine::State::isUnloadWanted(const EndpointView &view, const LedgerEntry &entry,
                                            const EntryView &seen)
{
    const ModelRule *rule = findModel(entry.model);
    if (isBaseInUse(view, entry)) {
        return false;
    }
    if (!rule) {
        return true;
    }
    const auto it = m_demands.find(entry.model);
    const bool demanded = it != m_demands.end() && isActive(it->second);
    const Placement *placement = findPlacement(entry.model);
    const auto decided = placement ? static_cast<int>(placement->replicas.size()) : 0;
    if (!isUsable(view, *rule)) {
        // The replacement is loaded first where max-replicas leaves room for it.
        return !demanded || decided >= rule->maxReplicas || !readyEndpoints(entry.model).empty();
    }
    if (entry.version != rule->version) {
        return runningHere(view.rule.id, entry.model) == 0;
    }
    const bool isLast = placement && !placement->replicas.empty()
        && std::none_of(placement->replicas.begin(), placement->replicas.end(),
                        [&](const PlacedReplica &other) {
                            return entry.replica < other.replica;
                        });
    if ((rule->minReplicas > 0 && decided <= rule->minReplicas) || (decided > 1 && !isLast)) {
        return false;
    }
    if (demanded && decided <= 1) {
        return false;
    }
    return isIdleTooLong(view, entry, seen, *rule);
}

bool PlacementEngine::State::isIdleTooLong(const EndpointView &view, const LedgerEntry &entry,
                                           const EntryView &seen, const ModelRule &rule)
{
    const Duration idle = idleTime(view, entry, seen);
    if (idle < m_options.minIdleTimeout || runningHere(view.rule.id, entry.model) > 0) {
        return false;
    }
    readPlacement(entry.model, ReadyPlacementRead);
    const PlacementView &placement = m_placements[entry.model];
    const SteadyTime now = m_clock.now();
    if (placement.checkedAt == SteadyTime() || now - placement.checkedAt > ReadyPlacementRead) {
        return false;
    }
    if (placement.value.usedBy != m_self) {
        // The home instance decides. If it is gone and the model has no requests, nobody enters
        // itself as its user any more.
        return std::min(idle, now - placement.since) >= m_options.maxIdleTimeout;
    }
    const Duration coldStart = estimateLoad(rule, checkpointPlace(view, entry.model));
    return idle >= m_idlePolicy.timeoutFor(entry.model, coldStart);
}

std::size_t PlacementEngine::State::runningHere(const EndpointId &endpoint,
                                                const ModelName &model) const
{
    std::size_t count = 0;
    for (const RunningRequests &running : m_running) {
        if (running.endpoint == endpoint && running.model == model) {
            count += running.count;
        }
    }
    return count;
}

void PlacementEngine::State::refuse(ModelDemand &demand, RefusalReason reason, std::string message,
                                    std::string remedy, Duration retryAfter)
{
    const SteadyTime now = m_clock.now();
    if (demand.standing
        || (demand.refusedAt != SteadyTime() && now - demand.refusedAt < RefusalInterval)) {
        return;
    }
    demand.refusedAt = now;
    m_actions.emplace_back(LoadRefused{demand.demand.model, reason, std::move(message),
                                       std::move(remedy), retryAfter});
}

} // namespace marigoldspool
