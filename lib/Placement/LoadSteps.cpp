#include "Placement/PlacementState.h"
#include "marigoldspool/Support/EventLog.h"

#include <algorithm>
#include <utility>

namespace marigoldspool {

namespace {

constexpr Duration SlotRetryDelay = std::chrono::milliseconds(200);
constexpr Duration UsedPlacementReadInterval = std::chrono::seconds(5);
// Below the shortest idle timeout: if only one of two home instances still has requests, it has set
// itself as usedBy before the timeout of the other one passes.
constexpr Duration UsedByUpdateInterval = std::chrono::seconds(20);
constexpr Duration OrderRetryDelay = std::chrono::milliseconds(100);

Expected<Placement> parsePlacement(const KnownObject &object, const ModelName &model)
{
    return object.version == 0 ? Expected<Placement>(Placement{model, {}, {}, {}})
                               : Placement::parse(object.value);
}

Expected<ActiveLoads> parseLoads(const KnownObject &object)
{
    return object.version == 0 ? Expected<ActiveLoads>(ActiveLoads{})
                               : ActiveLoads::parse(object.value);
}

bool startsWith(const std::string &text, const std::string &prefix)
{
    return text.compare(0, prefix.size(), prefix) == 0;
}

Expected<Ledger> parseLedger(const KnownObject &object, const EndpointId &endpoint)
{
    return object.version == 0 ? Expected<Ledger>(Ledger(endpoint)) : Ledger::parse(object.value);
}

} // namespace

void PlacementEngine::State::updateFor(ReplicaTask &task, const std::string &key,
                                       StoreSession::Change change, TaskCallback done)
{
    task.hasPendingUpdate = true;
    m_store.update(key, std::move(change),
                   [this, replica = task.replica, done = std::move(done)](const auto &outcome) {
                       if (ReplicaTask *current = findTask(replica)) {
                           current->hasPendingUpdate = false;
                           done(*current, outcome);
                       }
                   });
}

void PlacementEngine::State::changeLedger(ReplicaTask &task, LedgerChange change, TaskCallback done)
{
    updateFor(
        task, ledgerKey(task.endpoint),
        [endpoint = task.endpoint, change = std::move(change)](
            const KnownObject &object,
            const WriteId &writeId) -> Expected<std::optional<std::string>> {
            const auto ledger = parseLedger(object, endpoint);
            if (!ledger) {
                return tl::unexpected<Error>(ledger.error());
            }
            const auto next = change(*ledger);
            if (!next) {
                return tl::unexpected<Error>(next.error());
            }
            if (next->writeId() == ledger->writeId() && next->serialise() == object.value) {
                return std::optional<std::string>();
            }
            return std::optional<std::string>(next->withWriteId(writeId).serialise());
        },
        std::move(done));
}

void PlacementEngine::State::startLoad(const ModelRule &model, EndpointView &view)
{
    ReplicaTask task;
    task.replica = ReplicaId(model.name.str() + "-" + m_random.hex(12));
    task.model = model.name;
    task.endpoint = view.rule.id;
    task.version = model.version;
    task.bytes = model.memoryBytes + model.kvBytes;
    task.tier = checkpointTier(view, model.name);
    task.step = ReplicaTask::Step::Reserve;
    task.startedAt = m_clock.now();
    const ReplicaId replica = task.replica;
    reserve(m_tasks.emplace(replica, std::move(task)).first->second);
}

// Runs the next step of a load whose ledger entry is Reserved.
void PlacementEngine::State::continueLoad(ReplicaTask &task)
{
    if (task.hasPendingUpdate || m_clock.now() < task.retryAt) {
        return;
    }
    if (task.isCancelled) {
        cancelLoad(task);
    } else if (task.step == ReplicaTask::Step::AddToPlacement) {
        addToPlacement(task);
    } else if (task.step == ReplicaTask::Step::AcquireSlot) {
        acquireSlot(task);
    } else if (task.step == ReplicaTask::Step::MarkOrdered) {
        markOrdered(task);
    }
}

void PlacementEngine::State::reserve(ReplicaTask &task)
{
    LedgerEntry entry{task.replica,         task.model, task.version, task.bytes,
                      EntryState::Reserved, {},         m_self,       {}};
    const EndpointView *view = findView(task.endpoint);
    const std::uint64_t bytes = capacity(*view);
    changeLedger(
        task,
        [entry = std::move(entry), bytes](const Ledger &ledger) -> Expected<Ledger> {
            return ledger.find(entry.replica) ? ledger : ledger.reserve(entry, bytes);
        },
        [this](ReplicaTask &current, const Expected<WriteOutcome> &outcome) {
            if (!outcome) {
                m_demands[current.model].retryAt = m_clock.now() + jittered(OrderRetryDelay);
                removeTask(current.replica);
                return;
            }
            current.step = ReplicaTask::Step::AddToPlacement;
            continueLoad(current);
        });
}

void PlacementEngine::State::addToPlacement(ReplicaTask &task)
{
    updateFor(
        task, placementKey(task.model),
        [this, model = task.model, replica = PlacedReplica{task.replica, task.endpoint}](
            const KnownObject &object,
            const WriteId &writeId) -> Expected<std::optional<std::string>> {
            const auto placement = parsePlacement(object, model);
            if (!placement) {
                return tl::unexpected<Error>(placement.error());
            }
            if (placement->find(replica.replica)) {
                return std::optional<std::string>();
            }
            // The limit is checked against the placement that the write replaces, so of several
            // instances that react to the same burst only one adds a replica.
            const ModelRule *rule = findModel(model);
            const int maxReplicas = rule ? desiredReplicas(*rule) : 0;
            auto next = placement->add(replica, static_cast<std::size_t>(std::max(0, maxReplicas)));
            if (!next) {
                return tl::unexpected<Error>(next.error());
            }
            next->usedBy = m_self;
            next->writeId = writeId;
            return std::optional<std::string>(next->serialise());
        },
        [this](ReplicaTask &current, const Expected<WriteOutcome> &outcome) {
            if (!outcome) {
                cancelLoad(current);
                return;
            }
            const ModelRule *rule = findModel(current.model);
            const bool isAdapter = rule && rule->kind == ModelKind::Adapter;
            current.step =
                isAdapter ? ReplicaTask::Step::MarkOrdered : ReplicaTask::Step::AcquireSlot;
            continueLoad(current);
        });
}

// Sets this instance as usedBy, the instance that knows how long the model has been idle.
void PlacementEngine::State::recordUse(const ModelName &model)
{
    PlacementView &view = m_placements[model];
    readPlacement(model, UsedPlacementReadInterval);
    if (view.checkedAt == SteadyTime() || view.value.replicas.empty() || view.value.usedBy == m_self
        || m_clock.now() - view.usedByUpdatedAt < UsedByUpdateInterval) {
        return;
    }
    view.usedByUpdatedAt = m_clock.now();
    m_store.update(
        placementKey(model),
        [self = m_self, model](const KnownObject &object,
                               const WriteId &writeId) -> Expected<std::optional<std::string>> {
            auto placement = parsePlacement(object, model);
            if (!placement || placement->replicas.empty() || placement->usedBy == self) {
                return std::optional<std::string>();
            }
            placement->usedBy = self;
            placement->writeId = writeId;
            return std::optional<std::string>(placement->serialise());
        },
        nullptr);
}

void PlacementEngine::State::acquireSlot(ReplicaTask &task)
{
    const auto best =
        std::min_element(m_tasks.begin(), m_tasks.end(), [this](const auto &a, const auto &b) {
            const bool aWaits = a.second.waitsForSlot();
            const bool bWaits = b.second.waitsForSlot();
            return aWaits != bWaits ? aWaits
                                    : std::make_pair(loadRank(a.second.model), a.first)
                    < std::make_pair(loadRank(b.second.model), b.first);
        });
    if (best->first != task.replica || m_clock.now() < m_nextSlotAttempt) {
        return;
    }
    const std::int64_t started =
        std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.wallNow().time_since_epoch())
            .count();
    ActiveLoad load{task.replica, task.model, task.endpoint, started};
    updateFor(
        task, activeLoadsKey(),
        [this, load = std::move(load)](const KnownObject &object, const WriteId &writeId)
            -> Expected<std::optional<std::string>> {
            const auto loads = parseLoads(object);
            if (!loads) {
                return tl::unexpected<Error>(loads.error());
            }
            if (loads->find(load.replica)) {
                return std::optional<std::string>();
            }
            auto next = loads->add(load, m_options.maxActiveLoads, m_options.loadsPerSecond);
            if (!next) {
                return tl::unexpected<Error>(next.error());
            }
            next->writeId = writeId;
            return std::optional<std::string>(next->serialise());
        },
        [this](ReplicaTask &current, const Expected<WriteOutcome> &outcome) {
            if (!outcome) {
                m_nextSlotAttempt = m_clock.now() + jittered(SlotRetryDelay);
                m_store.refresh(activeLoadsKey());
                removeStaleSlots();
                return;
            }
            current.step = ReplicaTask::Step::MarkOrdered;
            continueLoad(current);
        });
}

// A slot whose load has no unfinished ledger entry was left behind by an instance that died. A slot
// is acquired only while the entry exists, so a current ledger without the entry proves that the
// slot is stale.
void PlacementEngine::State::removeStaleSlots()
{
    for (const ActiveLoad &load : m_activeLoads.loads) {
        if (!findTask(load.replica)) {
            confirmEntryRemoved(load.replica, load.endpoint, true, [this, replica = load.replica] {
                removeSlot(replica);
            });
        }
    }
}

// Calls \p onConfirmed if the ledger has no entry for the replica, or with \p acceptLoaded a Loaded
// one. Reads may be stale, so the ledger is written back unchanged: the conditional write succeeds
// only if the ledger that was read is current.
void PlacementEngine::State::confirmEntryRemoved(const ReplicaId &replica,
                                                 const EndpointId &endpoint, bool acceptLoaded,
                                                 std::function<void()> onConfirmed)
{
    m_store.update(
        ledgerKey(endpoint),
        [replica, endpoint, acceptLoaded](const KnownObject &object, const WriteId &writeId)
            -> Expected<std::optional<std::string>> {
            const auto ledger = parseLedger(object, endpoint);
            const LedgerEntry *entry = ledger ? ledger->find(replica) : nullptr;
            const bool isRemoved =
                ledger && (!entry || (acceptLoaded && entry->state == EntryState::Loaded));
            return isRemoved ? std::optional<std::string>(ledger->withWriteId(writeId).serialise())
                             : std::optional<std::string>();
        },
        [onConfirmed = std::move(onConfirmed)](const Expected<WriteOutcome> &outcome) {
            if (outcome && outcome->written) {
                onConfirmed();
            }
        },
        true);
}

void PlacementEngine::State::removeSlot(const ReplicaId &replica)
{
    m_store.update(
        activeLoadsKey(),
        [replica](const KnownObject &object,
                  const WriteId &writeId) -> Expected<std::optional<std::string>> {
            const auto loads = parseLoads(object);
            if (!loads || !loads->find(replica)) {
                return std::optional<std::string>();
            }
            ActiveLoads next = loads->remove(replica);
            next.writeId = writeId;
            return std::optional<std::string>(next.serialise());
        },
        nullptr, true);
}

StoreSession::Change PlacementEngine::State::removalFromPlacement(const ReplicaId &replica,
                                                                  const ModelName &model)
{
    return [replica, model](const KnownObject &object,
                            const WriteId &writeId) -> Expected<std::optional<std::string>> {
        const auto placement = parsePlacement(object, model);
        if (!placement || !placement->find(replica)) {
            return std::optional<std::string>();
        }
        Placement next = placement->remove(replica);
        next.writeId = writeId;
        return std::optional<std::string>(next.serialise());
    };
}

bool PlacementEngine::State::canStartAdapterLoad() const
{
    const std::size_t maxLoads = std::max<std::size_t>(1, m_options.maxAdapterLoads / m_instances);
    const auto inFlight = std::count_if(m_tasks.begin(), m_tasks.end(), [this](const auto &item) {
        const ModelRule *rule = findModel(item.second.model);
        return rule && rule->kind == ModelKind::Adapter && !item.second.order.empty()
            && item.second.step != ReplicaTask::Step::CleanUp;
    });
    return static_cast<std::size_t>(inFlight) < maxLoads;
}

void PlacementEngine::State::markOrdered(ReplicaTask &task)
{
    const ModelRule *rule = findModel(task.model);
    const EndpointView *view = findView(task.endpoint);
    if (!rule || !view || !isUsable(*view, *rule)) {
        cancelLoad(task);
        return;
    }
    if (task.order.empty() && rule->kind == ModelKind::Adapter && !canStartAdapterLoad()) {
        return;
    }
    const bool onlyOneOrder = view->rule.fencing == FencingMode::Ignored;
    if (onlyOneOrder && view->ledger.hasOtherOrder(task.replica)) {
        return;
    }
    const OrderId previous = task.order;
    task.order = OrderId(m_self.str() + "-" + m_random.hex(12));
    task.orderSent = false;
    task.orderReply.reset();
    changeLedger(
        task,
        [this, replica = task.replica, previous, order = task.order,
         onlyOneOrder](const Ledger &ledger) -> Expected<Ledger> {
            if (onlyOneOrder && ledger.hasOtherOrder(replica)) {
                return unexpectedError(ErrorKind::RateLimited,
                                       "another order to the endpoint may be in flight",
                                       "wait until it is confirmed");
            }
            const LedgerEntry *entry = ledger.find(replica);
            if (entry && entry->state == EntryState::Ordered) {
                // The order was refused or not sent, or it comes from an earlier attempt of this
                // write whose response was lost, so that its fencing number is unknown and it was
                // not sent. It cannot be in flight.
                const bool ownAttempt = startsWith(entry->order.str(), order.str());
                return ownAttempt ? ledger.replaceOrder(replica, entry->order,
                                                        OrderId(entry->order.str() + "r"), m_self)
                                  : ledger.replaceOrder(replica, previous, order, m_self);
            }
            return ledger.markOrdered(replica, order, m_self);
        },
        [this](ReplicaTask &current, const Expected<WriteOutcome> &outcome) {
            if (outcome) {
                current.step = ReplicaTask::Step::AwaitEngine;
                sendOrder(current, OrderAction::Load, *outcome);
            } else if (outcome.error().kind == ErrorKind::RateLimited) {
                current.order = OrderId();
                current.retryAt = m_clock.now() + jittered(OrderRetryDelay);
            } else {
                cancelLoad(current);
            }
        });
}

void PlacementEngine::State::sendOrder(ReplicaTask &task, OrderAction action,
                                       const WriteOutcome &written)
{
    const EndpointView *view = findView(task.endpoint);
    const LedgerEntry *entry = view ? view->ledger.find(task.replica) : nullptr;
    if (!entry || !written.written) {
        task.orderReply = unexpectedError(
            ErrorKind::Unavailable, "the order was not sent because its fencing number is unknown",
            "write the order to the ledger again");
        return;
    }
    task.order = entry->order;
    task.fencing = written.version;
    const EngineOrder order{
        task.order,   task.endpoint, action,       task.model,
        task.version, task.bytes,    task.fencing, written.issuedAt + m_options.orderValidity};
    if (!canSendOrder(order, m_clock.now())) {
        task.orderReply =
            unexpectedError(ErrorKind::Unavailable, "the order expired before it was sent",
                            "write the order to the ledger again");
        return;
    }
    task.orderSent = true;
    task.orderSentAt = m_clock.now();
    logEvent(LogLevel::Info, "order_sent",
             {{"endpoint", task.endpoint.str()},
              {"model", task.model.str()},
              {"action", action == OrderAction::Load ? "load" : "unload"},
              {"order", task.order.str()},
              {"fencing", std::to_string(task.fencing)}});
    m_actions.emplace_back(SendOrder{order});
}

// Cancels a load that has sent no order. Removes the ledger entry first, so that no order can be
// sent for it later.
void PlacementEngine::State::cancelLoad(ReplicaTask &task)
{
    task.isCancelled = true;
    m_demands[task.model].retryAt = m_clock.now() + jittered(OrderRetryDelay);
    changeLedger(
        task,
        [replica = task.replica](const Ledger &ledger) -> Expected<Ledger> {
            const LedgerEntry *entry = ledger.find(replica);
            return entry ? ledger.release(replica, EntryState::Reserved, OrderId()) : ledger;
        },
        [this](ReplicaTask &current, const Expected<WriteOutcome> &outcome) {
            if (outcome) {
                cleanUp(current);
            } else {
                // Another instance has taken over the replica.
                removeTask(current.replica);
            }
        });
}

// Removes a replica whose ledger entry is gone from the active loads and the placement.
void PlacementEngine::State::cleanUp(ReplicaTask &task)
{
    task.step = ReplicaTask::Step::CleanUp;
    removeSlot(task.replica);
    updateFor(task, placementKey(task.model), removalFromPlacement(task.replica, task.model),
              [this](ReplicaTask &current, const Expected<WriteOutcome> &) {
                  removeTask(current.replica);
              });
}

// Removes replicas from the model's placement whose ledger entry is gone. A replica is added to the
// placement only while its entry exists, and replica names are never reused.
void PlacementEngine::State::removeOrphans(const ModelName &model)
{
    const Placement *placement = findPlacement(model);
    if (!placement) {
        return;
    }
    for (const PlacedReplica &replica : placement->replicas) {
        const EndpointView *view = findView(replica.endpoint);
        if (!view) {
            // The endpoint was removed from the configuration. Gives the
            // other instances time to read the new configuration.
            if (m_clock.now() - m_placements[model].versionSeenAt >= m_options.takeoverTimeout) {
                m_store.update(placementKey(model), removalFromPlacement(replica.replica, model),
                               nullptr);
            }
            continue;
        }
        const bool seemsRemoved = view->ledgerKnown && !view->ledger.find(replica.replica);
        if (seemsRemoved && !findTask(replica.replica)) {
            confirmEntryRemoved(
                replica.replica, replica.endpoint, false, [this, model, id = replica.replica] {
                    m_store.update(placementKey(model), removalFromPlacement(id, model), nullptr);
                });
        }
    }
}

void PlacementEngine::State::removeTask(const ReplicaId &replica)
{
    m_tasks.erase(replica);
}

} // namespace marigoldspool
