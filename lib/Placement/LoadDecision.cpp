#include "Placement/PlacementState.h"
#include "marigoldspool/Support/EventLog.h"

#include <algorithm>
#include <utility>

namespace marigoldspool {

namespace {

// A home instance repeats its demand every second; three missed updates end the demand.
constexpr Duration DemandExpiry = std::chrono::seconds(3);
constexpr Duration DemandRetention = std::chrono::minutes(1);
constexpr Duration WaitingPlacementReadInterval = std::chrono::seconds(1);
constexpr Duration ReadyPlacementReadInterval = std::chrono::seconds(5);
constexpr Duration MinReplicaCheckInterval = std::chrono::seconds(2);
constexpr Duration RefusalInterval = std::chrono::seconds(1);
constexpr Duration OrphanCheckInterval = std::chrono::seconds(5);
// A store that has failed for this long is considered unavailable.
constexpr Duration StoreOutageThreshold = std::chrono::seconds(1);
// A model that was used more recently is not evicted for another one.
constexpr Duration MinIdleForEviction = std::chrono::seconds(10);

// Assumed load speed in bytes per second until a load time has been measured.
double assumedBytesPerSecond(CheckpointTier tier)
{
    switch (tier) {
    case CheckpointTier::Memory:
        return 10e9;
    case CheckpointTier::Disk:
        return 2e9;
    case CheckpointTier::Remote:
        break;
    }
    return 1e9;
}

} // namespace

bool PlacementEngine::State::isActive(const ModelDemand &demand) const
{
    return (demand.isForMinReplicas || demand.demand.waiting > 0)
        && m_clock.now() - demand.seenAt <= DemandExpiry;
}

void PlacementEngine::State::addMinReplicaDemands()
{
    const SteadyTime now = m_clock.now();
    if (now < m_nextMinReplicaCheck) {
        return;
    }
    m_nextMinReplicaCheck = now + jittered(MinReplicaCheckInterval);
    for (const ModelRule &rule : m_configuration->models()) {
        if (rule.minReplicas <= 0 || !m_configuration->canRunIn(rule, m_options.zone)) {
            continue;
        }
        ModelDemand &demand = m_demands[rule.name];
        if (demand.isForMinReplicas || !isActive(demand)) {
            demand.demand = Demand();
            demand.demand.model = rule.name;
            demand.demand.zone = m_options.zone;
            demand.demand.earliestDeadline = SteadyTime::max();
            demand.demand.latestDeadline = SteadyTime::max();
            demand.isForMinReplicas = true;
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
            demand.minServedFraction};
}

void PlacementEngine::State::decideLoads()
{
    const SteadyTime now = m_clock.now();
    std::vector<ModelName> active;
    for (auto it = m_demands.begin(); it != m_demands.end();) {
        if (isActive(it->second)) {
            active.push_back(it->first);
        } else if (now - it->second.seenAt > DemandRetention) {
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

// Replicas in other zones count towards min-replicas and max-replicas, but do not help overflow
// requests, which their preferred zone could not serve in time.
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

// Engines of other zones are polled only while a model is being loaded there for this instance.
bool PlacementEngine::State::canServeHere(const EndpointView &view) const
{
    return view.rule.zone == m_options.zone || hasFreshStatus(view);
}

// Whether max-replicas is used up by replicas in other zones, so that requests have to be sent
// there.
bool PlacementEngine::State::areAllReplicasElsewhere(const ModelRule &model,
                                                     const Placement &placement) const
{
    const bool hasTask = std::any_of(m_tasks.begin(), m_tasks.end(), [&](const auto &item) {
        return item.second.model == model.name;
    });
    return !hasTask && static_cast<int>(placement.replicas.size()) >= model.maxReplicas
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
    readPlacement(model, isServed ? ReadyPlacementReadInterval : WaitingPlacementReadInterval);
    if (m_store.failingSince() && now - *m_store.failingSince() >= StoreOutageThreshold) {
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
    if (!isServed && demand.demand.overflow && areAllReplicasElsewhere(*rule, *placement)) {
        refuse(demand, RefusalReason::NoCapacity,
               "max-replicas of " + model.str() + " is used up by replicas in other zones",
               "send the request to one of these zones", std::chrono::seconds(1));
        return;
    }
    const auto placedCount = static_cast<int>(placement->replicas.size());
    if (now >= demand.nextOrphanCheck) {
        demand.nextOrphanCheck = now + jittered(OrphanCheckInterval);
        removeOrphans(model);
    }
    const auto startingCount = std::count_if(m_tasks.begin(), m_tasks.end(), [&](const auto &item) {
        const ReplicaTask::Step step = item.second.step;
        return item.second.model == model
            && (step == ReplicaTask::Step::Reserve || step == ReplicaTask::Step::AddToPlacement);
    });
    if (placedCount + static_cast<int>(startingCount) < desiredReplicas(*rule)) {
        tryStartLoad(demand, *rule);
    }
}

void PlacementEngine::State::tryStartLoad(ModelDemand &demand, const ModelRule &rule)
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
    if (rule.kind == ModelKind::Adapter && requestBaseIfMissing(demand, rule)) {
        return;
    }
    const auto rank = loadRank(rule.name);
    const auto loadsAhead = std::count_if(m_tasks.begin(), m_tasks.end(), [&](const auto &item) {
        const ReplicaTask &task = item.second;
        return task.step != ReplicaTask::Step::AwaitEngine
            && task.step != ReplicaTask::Step::CleanUp && loadRank(task.model) <= rank;
    });
    // Loads that would wait long for a slot are not started, because their reserved memory could
    // not be used by others meanwhile.
    const std::size_t maxLoads =
        rule.kind == ModelKind::Adapter ? m_options.maxAdapterLoads : m_options.maxActiveLoads;
    if (static_cast<std::size_t>(loadsAhead) >= maxLoads) {
        return;
    }
    EndpointView *view = chooseEndpoint(rule, demand.demand.zone);
    if (!view) {
        if (!tryFreeMemory(rule, demand.demand.zone)) {
            refuse(demand, RefusalReason::NoCapacity, "no engine has memory for " + rule.name.str(),
                   "try again later or add an engine", std::chrono::seconds(5));
        }
        return;
    }
    const Duration loadTime = estimateLoad(rule, checkpointTier(*view, rule.name));
    if (!isLoadUseful(demand, loadTime)) {
        refuse(demand, RefusalReason::DeadlineTooShort,
               "loading " + rule.name.str()
                   + " takes longer than the deadlines of all requests allow",
               "send a later deadline", loadTime);
        return;
    }
    startLoad(rule, *view);
}

// If the base model of an adapter is not ready, adds demand for it and returns true.
bool PlacementEngine::State::requestBaseIfMissing(const ModelDemand &demand,
                                                  const ModelRule &adapter)
{
    const bool isThere = !readyEndpoints(adapter.base).empty();
    if (isThere) {
        return false;
    }
    ModelDemand &base = m_demands[adapter.base];
    if (!isActive(base) || base.isForMinReplicas) {
        base.demand = demand.demand;
        base.demand.model = adapter.base;
        base.demand.predictedWait = Duration::zero();
        base.isForMinReplicas = false;
    }
    base.seenAt = m_clock.now();
    m_lastUse[adapter.base] = m_clock.now();
    return true;
}

CheckpointTier PlacementEngine::State::checkpointTier(const EndpointView &view,
                                                      const ModelName &model) const
{
    CheckpointTier best = CheckpointTier::Remote;
    if (view.status) {
        for (const CachedCheckpoint &cached : view.status->cached) {
            if (cached.model == model) {
                best = std::min(best, cached.tier);
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
    for (const auto &[replica, task] : m_tasks) {
        if (task.endpoint == view.rule.id && task.step == ReplicaTask::Step::Reserve
            && !view.ledger.find(replica)) {
            used += task.bytes;
        }
    }
    if (view.status) {
        for (const EngineModel &loaded : view.status->models) {
            used += view.ledger.findModel(loaded.model) ? 0 : loaded.bytes;
        }
    }
    return capacity(view) - std::min(capacity(view), used);
}

EndpointView *PlacementEngine::State::chooseEndpoint(const ModelRule &model, const ZoneName &zone)
{
    EndpointView *best = nullptr;
    std::tuple<CheckpointTier, bool, std::uint64_t> bestRank;
    for (auto &[id, view] : m_views) {
        const bool canTake = view.ledgerKnown && hasFreshStatus(view) && isUsable(view, model)
            && !view.findLoaded(model.name) && !view.ledger.findModel(model.name)
            && (model.kind == ModelKind::Model || isReady(view, model.base));
        const std::uint64_t free = freeBytes(view);
        if (!canTake || free < model.memoryBytes + model.kvBytes) {
            continue;
        }
        const std::tuple<CheckpointTier, bool, std::uint64_t> rank(checkpointTier(view, model.name),
                                                                   view.rule.zone != zone, ~free);
        if (!best || rank < bestRank) {
            best = &view;
            bestRank = rank;
        }
    }
    return best;
}

Duration PlacementEngine::State::estimateLoad(const ModelRule &model, CheckpointTier tier) const
{
    const auto it = m_loadTimes.find({model.name, tier});
    if (it != m_loadTimes.end()) {
        return it->second;
    }
    const double seconds = static_cast<double>(model.memoryBytes) / assumedBytesPerSecond(tier);
    return std::min(fromSeconds(seconds), m_options.maxAssumedLoadTime);
}

bool PlacementEngine::State::isLoadUseful(const ModelDemand &demand, Duration loadTime) const
{
    const ModelName &model = demand.demand.model;
    return demand.isForMinReplicas || m_clock.now() + loadTime <= demand.demand.latestDeadline
        || m_idlePolicy.isRequestExpectedWithin(model, m_idlePolicy.timeoutFor(model, loadTime));
}

// Starts unloading idle models from the endpoint that needs the fewest unloads, unless enough
// memory is already being freed on some endpoint. Returns false if no endpoint can get enough.
bool PlacementEngine::State::tryFreeMemory(const ModelRule &model, const ZoneName &zone)
{
    EndpointView *best = nullptr;
    std::vector<LedgerEntry> victims;
    bool statusMissing = false;
    for (auto &[id, view] : m_views) {
        if (!isUsable(view, model) || view.ledger.findModel(model.name)
            || (model.kind == ModelKind::Adapter && !isReady(view, model.base))) {
            continue;
        }
        if (!view.ledgerKnown || !hasFreshStatus(view)) {
            // The engines of this zone, and those with an adapter's base, are being polled.
            statusMissing = statusMissing || view.rule.zone == m_options.zone
                || model.kind == ModelKind::Adapter;
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
    return best || statusMissing;
}

// Returns the entries to unload, the longest idle first, so that \p bytes become free. Returns an
// empty list if enough memory is already being freed, and nothing if it cannot be freed.
std::optional<std::vector<LedgerEntry>>
PlacementEngine::State::findVictims(const EndpointView &view, std::uint64_t bytes) const
{
    std::uint64_t free = freeBytes(view);
    std::vector<std::pair<Duration, LedgerEntry>> candidates;
    for (const LedgerEntry &entry : view.ledger.entries()) {
        const auto task = m_tasks.find(entry.replica);
        if (entry.state == EntryState::Unloading
            || (entry.state == EntryState::Loaded && task != m_tasks.end()
                && task->second.hasPendingUpdate)) {
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
            || countOwnRequests(view.rule.id, entry.model) > 0;
        if (entry.state == EntryState::Loaded && !isKept && idle >= MinIdleForEviction) {
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
    SteadyTime used = seen.firstSeenAt;
    const auto own = m_lastUse.find(entry.model);
    const Placement *placement = findPlacement(entry.model);
    const bool isOwn = placement && placement->usedBy == m_self && own != m_lastUse.end();
    if (!isOwn || placement->replicas.size() > 1) {
        // Requests sent by other instances are visible only in the engine's status.
        used = std::max(used, view.lastBusyAt);
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
    const auto placedCount = placement ? static_cast<int>(placement->replicas.size()) : 0;
    if (!isUsable(view, *rule)) {
        // The replacement is loaded first if max-replicas allows one more replica.
        return !demanded || placedCount >= rule->maxReplicas
            || !readyEndpoints(entry.model).empty();
    }
    if (entry.version != rule->version) {
        return countOwnRequests(view.rule.id, entry.model) == 0;
    }
    const bool isLast = placement && !placement->replicas.empty()
        && std::none_of(placement->replicas.begin(), placement->replicas.end(),
                        [&](const PlacedReplica &other) {
                            return entry.replica < other.replica;
                        });
    if ((rule->minReplicas > 0 && placedCount <= rule->minReplicas)
        || (placedCount > 1 && !isLast)) {
        return false;
    }
    if (demanded && placedCount <= 1) {
        return false;
    }
    return isIdleTooLong(view, entry, seen, *rule);
}

bool PlacementEngine::State::isIdleTooLong(const EndpointView &view, const LedgerEntry &entry,
                                           const EntryView &seen, const ModelRule &rule)
{
    const Duration idle = idleTime(view, entry, seen);
    if (idle < m_options.minIdleTimeout || countOwnRequests(view.rule.id, entry.model) > 0) {
        return false;
    }
    readPlacement(entry.model, ReadyPlacementReadInterval);
    const PlacementView &placement = m_placements[entry.model];
    const SteadyTime now = m_clock.now();
    if (placement.checkedAt == SteadyTime()
        || now - placement.checkedAt > ReadyPlacementReadInterval) {
        return false;
    }
    if (placement.value.usedBy != m_self) {
        // The instance in usedBy decides. If it has failed and the model has no requests, no other
        // instance replaces it there, so any instance unloads the model after the longest timeout.
        return std::min(idle, now - placement.versionSeenAt) >= m_options.maxIdleTimeout;
    }
    const Duration coldStart = estimateLoad(rule, checkpointTier(view, entry.model));
    return idle >= m_idlePolicy.timeoutFor(entry.model, coldStart);
}

std::size_t PlacementEngine::State::countOwnRequests(const EndpointId &endpoint,
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
    if (demand.isForMinReplicas
        || (demand.refusedAt != SteadyTime() && now - demand.refusedAt < RefusalInterval)) {
        return;
    }
    demand.refusedAt = now;
    m_actions.emplace_back(LoadRefused{demand.demand.model, reason, std::move(message),
                                       std::move(remedy), retryAfter});
}

} // namespace marigoldspool
