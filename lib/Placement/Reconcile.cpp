#include "Placement/PlacementState.h"
#include "marigoldspool/Support/EventLog.h"

#include <algorithm>
#include <utility>

namespace marigoldspool {

namespace {

constexpr int MaxOrderAttempts = 5;
constexpr Duration OrderRetryDelay = std::chrono::milliseconds(100);

bool failedWith(const ReplicaTask &task, ErrorKind kind)
{
    return task.orderReply && !*task.orderReply && task.orderReply->error().kind == kind;
}

} // namespace

void PlacementEngine::State::reconcile(EndpointView &view)
{
    if (!view.ledgerKnown || view.rule.zone.empty()) {
        return;
    }
    // Copied because reconciling an entry may change the ledger.
    const std::vector<LedgerEntry> entries = view.ledger.entries();
    for (const LedgerEntry &entry : entries) {
        const auto seen = view.entries.find(entry.replica);
        if (seen != view.entries.end()) {
            reconcileEntry(view, entry, EntryView(seen->second));
        }
    }
    cleanUpRemovedEntries(view);
}

// Cleans up replicas whose entry another instance has removed. That instance may have died before
// it removed them from the placement and the active loads.
void PlacementEngine::State::cleanUpRemovedEntries(const EndpointView &view)
{
    std::vector<ReplicaId> removed;
    for (const auto &[replica, task] : m_tasks) {
        const bool hadEntry =
            task.step != ReplicaTask::Step::Reserve && task.step != ReplicaTask::Step::CleanUp;
        if (task.endpoint == view.rule.id && hadEntry && !task.hasPendingUpdate
            && !view.ledger.find(replica)) {
            removed.push_back(replica);
        }
    }
    for (const ReplicaId &replica : removed) {
        cleanUp(*findTask(replica));
    }
}

void PlacementEngine::State::reconcileEntry(EndpointView &view, const LedgerEntry &entry,
                                            const EntryView &seen)
{
    ReplicaTask *task = findTask(entry.replica);
    if (task && (task->hasPendingUpdate || m_clock.now() < task->retryAt)) {
        return;
    }
    // Without a task the entry belongs to another instance, or to this one before a restart.
    const bool inZone = view.rule.zone == m_options.zone;
    const bool takeOver = inZone && m_clock.now() - seen.firstSeenAt >= m_options.takeoverTimeout;
    if (!task && !takeOver) {
        return;
    }
    switch (entry.state) {
    case EntryState::Reserved:
        reconcileReserved(entry, takeOver);
        break;
    case EntryState::Ordered:
        reconcileOrdered(view, entry, seen);
        break;
    case EntryState::Loaded:
        reconcileLoaded(view, entry, seen);
        break;
    case EntryState::Unloading:
        reconcileUnloading(view, entry, seen);
        break;
    }
}

ReplicaTask &PlacementEngine::State::adoptTask(const LedgerEntry &entry, const EndpointId &endpoint)
{
    if (ReplicaTask *known = findTask(entry.replica)) {
        return *known;
    }
    ReplicaTask task;
    task.replica = entry.replica;
    task.model = entry.model;
    task.endpoint = endpoint;
    task.version = entry.version;
    task.bytes = entry.bytes;
    task.startedAt = m_clock.now();
    return m_tasks.emplace(entry.replica, std::move(task)).first->second;
}

void PlacementEngine::State::reconcileReserved(const LedgerEntry &entry, bool takeOver)
{
    if (ReplicaTask *task = findTask(entry.replica)) {
        continueLoad(*task);
        return;
    }
    if (takeOver) {
        for (auto &[id, view] : m_views) {
            if (view.ledger.find(entry.replica)) {
                logEvent(LogLevel::Info, "load_undone",
                         {{"endpoint", id.str()}, {"model", entry.model.str()}});
                cancelLoad(adoptTask(entry, id));
                return;
            }
        }
    }
}

// Whether an order that this instance first saw in \p seen can no longer be in flight, and the
// status describes a later state.
bool PlacementEngine::State::isOrderExpired(const EndpointView &view, const EntryView &seen) const
{
    return isStatusTakenAfter(
        view, seen.firstSeenAt + m_options.orderValidity + m_options.maxOrderTransit);
}

void PlacementEngine::State::reconcileOrdered(EndpointView &view, const LedgerEntry &entry,
                                              const EntryView &seen)
{
    ReplicaTask *task = findTask(entry.replica);
    const bool ownOrder = task && task->order == entry.order;
    const EngineModel *loaded = view.findLoaded(entry.model);
    if (loaded) {
        // The model was not on the engine when its memory was reserved, so the instance that sent
        // this order can trust any status. Others may have one from before an earlier unload.
        const bool isEvidence = ownOrder || isStatusTakenAfter(view, seen.firstSeenAt);
        if (loaded->state == EngineModelState::Loaded && isEvidence) {
            finishLoad(adoptTask(entry, view.rule.id), entry);
        }
        return;
    }
    if (ownOrder && task->orderReply && !*task->orderReply) {
        const ErrorKind kind = task->orderReply->error().kind;
        if (kind == ErrorKind::InsufficientMemory || kind == ErrorKind::StaleFencing
            || kind == ErrorKind::Unavailable) {
            handleRefusedOrder(*task, entry);
            return;
        }
    }
    if (!isOrderExpired(view, seen)) {
        return;
    }
    ReplicaTask &current = adoptTask(entry, view.rule.id);
    if (view.rule.fencing == FencingMode::Ignored) {
        release(current, entry);
    } else {
        // A delayed order may still reach an engine that checks fencing numbers. An unload with a
        // higher number makes it refuse the old order, and only then is the memory free.
        startUnload(view, entry);
    }
}

// The engine refused the order, or it was never sent, so it cannot be in flight.
void PlacementEngine::State::handleRefusedOrder(ReplicaTask &task, const LedgerEntry &entry)
{
    const bool again =
        !failedWith(task, ErrorKind::InsufficientMemory) && ++task.attempts < MaxOrderAttempts;
    logEvent(LogLevel::Warning, "order_refused",
             {{"endpoint", task.endpoint.str()},
              {"model", task.model.str()},
              {"cause", describeError(task.orderReply->error())}});
    if (again) {
        task.retryAt = m_clock.now() + jittered(OrderRetryDelay);
        markOrdered(task);
    } else {
        m_demands[task.model].retryAt = m_clock.now() + std::chrono::seconds(1);
        release(task, entry);
    }
}

void PlacementEngine::State::finishLoad(ReplicaTask &task, const LedgerEntry &entry)
{
    changeLedger(
        task,
        [replica = entry.replica, order = entry.order](const Ledger &ledger) -> Expected<Ledger> {
            const LedgerEntry *now = ledger.find(replica);
            return now && now->state == EntryState::Loaded ? ledger
                                                           : ledger.markLoaded(replica, order);
        },
        [this](ReplicaTask &current, const Expected<WriteOutcome> &outcome) {
            if (outcome) {
                recordLoadTime(current);
                removeSlot(current.replica);
            }
            removeTask(current.replica);
        });
}

void PlacementEngine::State::recordLoadTime(const ReplicaTask &task)
{
    if (!task.orderSent) {
        return;
    }
    const Duration took = m_clock.now() - task.orderSentAt;
    const auto [it, isNew] = m_loadTimes.try_emplace({task.model, task.tier}, took);
    if (!isNew) {
        it->second = (it->second * 3 + took) / 4;
    }
    logEvent(LogLevel::Info, "model_loaded",
             {{"endpoint", task.endpoint.str()},
              {"model", task.model.str()},
              {"ms", std::to_string(toMilliseconds(took))}});
}

void PlacementEngine::State::reconcileLoaded(EndpointView &view, const LedgerEntry &entry,
                                             const EntryView &seen)
{
    if (!hasFreshStatus(view)) {
        return;
    }
    if (!view.findLoaded(entry.model)) {
        // The engine has restarted without the model. The load order was executed before, so none
        // is in flight.
        if (isStatusTakenAfter(view, seen.firstSeenAt)) {
            logEvent(LogLevel::Warning, "replica_lost",
                     {{"endpoint", view.rule.id.str()}, {"model", entry.model.str()}});
            release(adoptTask(entry, view.rule.id), entry);
        }
        return;
    }
    if (isUnloadWanted(view, entry, seen)) {
        startUnload(view, entry);
    } else {
        removeTask(entry.replica);
    }
}

// Marks the entry as Unloading without an order, so that no instance sends new requests to the
// replica.
void PlacementEngine::State::startUnload(EndpointView &view, const LedgerEntry &entry)
{
    ReplicaTask &task = adoptTask(entry, view.rule.id);
    if (task.hasPendingUpdate) {
        return;
    }
    task.step = ReplicaTask::Step::AwaitEngine;
    task.order = OrderId();
    task.orderSent = false;
    task.orderReply.reset();
    changeLedger(
        task,
        [replica = entry.replica, order = entry.order,
         self = m_self](const Ledger &ledger) -> Expected<Ledger> {
            const LedgerEntry *now = ledger.find(replica);
            const bool done = now && now->state == EntryState::Unloading && now->order.empty();
            return done ? ledger : ledger.markUnloading(replica, order, self);
        },
        [this](ReplicaTask &current, const Expected<WriteOutcome> &outcome) {
            if (!outcome) {
                removeTask(current.replica);
            }
        });
}

void PlacementEngine::State::reconcileUnloading(EndpointView &view, const LedgerEntry &entry,
                                                const EntryView &seen)
{
    if (!hasFreshStatus(view)) {
        return;
    }
    ReplicaTask &task = adoptTask(entry, view.rule.id);
    if (entry.order.empty()) {
        if (isDrained(view, entry, seen)) {
            orderUnload(task, view);
        }
        return;
    }
    if (task.order != entry.order) {
        // The order of another instance; a new one is sent once that one has expired.
        if (isOrderExpired(view, seen)) {
            retryUnload(task, entry);
        } else {
            removeTask(entry.replica);
        }
        return;
    }
    if (isUnloadConfirmed(view, entry, task)) {
        release(task, entry);
    } else if (failedWith(task, ErrorKind::StaleFencing) || failedWith(task, ErrorKind::Unavailable)
               || isOrderExpired(view, seen)) {
        retryUnload(task, entry);
    }
}

bool PlacementEngine::State::isDrained(const EndpointView &view, const LedgerEntry &entry,
                                       const EntryView &seen) const
{
    const Duration waited = m_clock.now() - seen.firstSeenAt;
    if (!view.findLoaded(entry.model)) {
        return isStatusTakenAfter(view, seen.firstSeenAt);
    }
    if (waited < m_options.unloadNoticePeriod || countOwnRequests(view.rule.id, entry.model) > 0) {
        return false;
    }
    const bool engineIdle = view.status->running == 0 && view.status->waiting == 0
        && view.status->requestedAt >= seen.firstSeenAt;
    return engineIdle || waited >= m_options.unloadDrainTimeout;
}

bool PlacementEngine::State::isUnloadConfirmed(const EndpointView &view, const LedgerEntry &entry,
                                               const ReplicaTask &task) const
{
    if (view.findLoaded(entry.model)) {
        return false;
    }
    if (view.rule.fencing == FencingMode::Checked) {
        // The engine has seen this order's fencing number and refuses all earlier orders.
        return view.status->lastFencing >= task.fencing;
    }
    return task.orderReply && *task.orderReply && isStatusTakenAfter(view, task.orderSentAt);
}

void PlacementEngine::State::orderUnload(ReplicaTask &task, const EndpointView &view)
{
    const bool onlyOneOrder = view.rule.fencing == FencingMode::Ignored;
    if (onlyOneOrder && view.ledger.hasOtherOrder(task.replica)) {
        return;
    }
    task.step = ReplicaTask::Step::AwaitEngine;
    task.order = OrderId(m_self.str() + "-" + m_random.hex(12));
    task.orderSent = false;
    task.orderReply.reset();
    changeLedger(
        task,
        [replica = task.replica, order = task.order, onlyOneOrder,
         self = m_self](const Ledger &ledger) -> Expected<Ledger> {
            if (onlyOneOrder && ledger.hasOtherOrder(replica)) {
                return unexpectedError(ErrorKind::RateLimited,
                                       "another order to the endpoint may be in flight",
                                       "wait until it is confirmed");
            }
            const LedgerEntry *entry = ledger.find(replica);
            const bool done = entry && entry->order == order;
            return done ? ledger : ledger.markUnloadOrdered(replica, order, self);
        },
        [this](ReplicaTask &current, const Expected<WriteOutcome> &outcome) {
            if (outcome) {
                sendOrder(current, OrderAction::Unload, *outcome);
            } else if (outcome.error().kind == ErrorKind::RateLimited) {
                current.order = OrderId();
                current.retryAt = m_clock.now() + jittered(OrderRetryDelay);
            } else {
                removeTask(current.replica);
            }
        });
}

void PlacementEngine::State::retryUnload(ReplicaTask &task, const LedgerEntry &entry)
{
    if (EndpointView *view = findView(task.endpoint)) {
        task.retryAt = m_clock.now() + jittered(OrderRetryDelay);
        startUnload(*view, entry);
    }
}

void PlacementEngine::State::release(ReplicaTask &task, const LedgerEntry &entry)
{
    changeLedger(
        task,
        [replica = entry.replica, state = entry.state,
         order = entry.order](const Ledger &ledger) -> Expected<Ledger> {
            return ledger.find(replica) ? ledger.release(replica, state, order) : ledger;
        },
        [this](ReplicaTask &current, const Expected<WriteOutcome> &outcome) {
            if (outcome) {
                cleanUp(current);
            } else {
                removeTask(current.replica);
            }
        });
}

} // namespace marigoldspool
