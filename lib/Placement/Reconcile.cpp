#include "Placement/PlacementState.h"
#include "marigoldspool/Support/EventLog.h"

#include <algorithm>
#include <utility>

namespace marigoldspool {

namespace {

constexpr int MaxOrderAttempts = 5;
constexpr Duration OrderRetry = std::chrono::milliseconds(100);

bool failedWith(const Work &work, ErrorKind kind)
{
    return work.reply && !*work.reply && work.reply->error().kind == kind;
}

} // namespace

void PlacementEngine::State::reconcile(EndpointView &view)
{
    if (!view.ledgerKnown || view.rule.zone.empty()) {
        return;
    }
    // Steps may change the ledger while they run.
    const std::vector<LedgerEntry> entries = view.ledger.entries();
    for (const LedgerEntry &entry : entries) {
        const auto seen = view.entries.find(entry.replica);
        if (seen != view.entries.end()) {
            reconcileEntry(view, entry, EntryView(seen->second));
        }
    }
    clearAbsent(view);
}

// Ends work on replicas whose entry another instance has removed. It may have died before it
// removed the rest.
void PlacementEngine::State::clearAbsent(const EndpointView &view)
{
    std::vector<ReplicaId> absent;
    for (const auto &[replica, work] : m_works) {
        const bool hadEntry = work.step != Work::Step::Reserve && work.step != Work::Step::Clear;
        if (work.endpoint == view.rule.id && hadEntry && !work.busy && !view.ledger.find(replica)) {
            absent.push_back(replica);
        }
    }
    for (const ReplicaId &replica : absent) {
        clear(*findWork(replica));
    }
}

void PlacementEngine::State::reconcileEntry(EndpointView &view, const LedgerEntry &entry,
                                            const EntryView &seen)
{
    Work *work = findWork(entry.replica);
    if (work && (work->busy || m_clock.now() < work->retryAt)) {
        return;
    }
    // Without own work the entry belongs to another instance, or to this one before a restart.
    const bool inZone = view.rule.zone == m_options.zone;
    const bool takeOver = inZone && m_clock.now() - seen.since >= m_options.takeoverTimeout;
    if (!work && !takeOver) {
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

Work &PlacementEngine::State::adoptWork(const LedgerEntry &entry, const EndpointId &endpoint)
{
    if (Work *known = findWork(entry.replica)) {
        return *known;
    }
    Work work;
    work.replica = entry.replica;
    work.model = entry.model;
    work.endpoint = endpoint;
    work.version = entry.version;
    work.bytes = entry.bytes;
    work.startedAt = m_clock.now();
    return m_works.emplace(entry.replica, std::move(work)).first->second;
}

void PlacementEngine::State::reconcileReserved(const LedgerEntry &entry, bool takeOver)
{
    if (Work *work = findWork(entry.replica)) {
        continueLoad(*work);
        return;
    }
    if (takeOver) {
        for (auto &[id, view] : m_views) {
            if (view.ledger.find(entry.replica)) {
                logEvent(LogLevel::Info, "load_undone",
                         {{"endpoint", id.str()}, {"model", entry.model.str()}});
                abandon(adoptWork(entry, id));
                return;
            }
        }
    }
}

// Whether an order that was marked when this instance first saw it can no longer be under way, and
// the status was taken after that.
bool PlacementEngine::State::isOrderDead(const EndpointView &view, const EntryView &seen) const
{
    return reflects(view, seen.since + m_options.orderValidity + m_options.maxOrderTransit);
}

void PlacementEngine::State::reconcileOrdered(EndpointView &view, const LedgerEntry &entry,
                                              const EntryView &seen)
{
    Work *work = findWork(entry.replica);
    const bool ownOrder = work && work->order == entry.order;
    const EngineModel *loaded = view.findLoaded(entry.model);
    if (loaded) {
        // The model was absent when its memory was reserved, so the instance that reserved it
        // needs no further evidence; others may hold a status from before an earlier unload.
        const bool isEvidence = ownOrder || reflects(view, seen.since);
        if (loaded->state == EngineModelState::Loaded && isEvidence) {
            finishLoad(adoptWork(entry, view.rule.id), entry);
        }
        return;
    }
    if (ownOrder && work->reply && !*work->reply) {
        const ErrorKind kind = work->reply->error().kind;
        if (kind == ErrorKind::InsufficientMemory || kind == ErrorKind::StaleFencing
            || kind == ErrorKind::Unavailable) {
            resolveRefused(*work, entry);
            return;
        }
    }
    if (!isOrderDead(view, seen)) {
        return;
    }
    Work &owner = adoptWork(entry, view.rule.id);
    if (view.rule.fencing == FencingMode::Ignored) {
        release(owner, entry);
    } else {
        // An order may reach such an engine at any time; an unload with a higher number makes it
        // refuse the old one, and only then is the memory free.
        startUnload(view, entry);
    }
}

// The engine refused the order or it was never sent, so it cannot be under way.
void PlacementEngine::State::resolveRefused(Work &work, const LedgerEntry &entry)
{
    const bool again =
        !failedWith(work, ErrorKind::InsufficientMemory) && ++work.attempts < MaxOrderAttempts;
    logEvent(LogLevel::Warning, "order_refused",
             {{"endpoint", work.endpoint.str()},
              {"model", work.model.str()},
              {"cause", describeError(work.reply->error())}});
    if (again) {
        work.retryAt = m_clock.now() + jittered(OrderRetry);
        markOrdered(work);
    } else {
        m_demands[work.model].retryAt = m_clock.now() + std::chrono::seconds(1);
        release(work, entry);
    }
}

void PlacementEngine::State::finishLoad(Work &work, const LedgerEntry &entry)
{
    changeLedger(
        work,
        [replica = entry.replica, order = entry.order](const Ledger &ledger) -> Expected<Ledger> {
            const LedgerEntry *now = ledger.find(replica);
            return now && now->state == EntryState::Loaded ? ledger
                                                           : ledger.markLoaded(replica, order);
        },
        [this](Work &owner, const Expected<WriteOutcome> &outcome) {
            if (outcome) {
                noteLoadTime(owner);
                removeSlot(owner.replica);
            }
            forget(owner.replica);
        });
}

void PlacementEngine::State::noteLoadTime(const Work &work)
{
    if (!work.sent) {
        return;
    }
    const Duration took = m_clock.now() - work.sentAt;
    const auto [it, isNew] = m_loadTimes.try_emplace({work.model, work.place}, took);
    if (!isNew) {
        it->second = (it->second * 3 + took) / 4;
    }
    logEvent(LogLevel::Info, "model_loaded",
             {{"endpoint", work.endpoint.str()},
              {"model", work.model.str()},
              {"ms", std::to_string(toMilliseconds(took))}});
}

void PlacementEngine::State::reconcileLoaded(EndpointView &view, const LedgerEntry &entry,
                                             const EntryView &seen)
{
    if (!hasFreshStatus(view)) {
        return;
    }
    if (!view.findLoaded(entry.model)) {
        // The engine has restarted cold. Its load order was carried out, so none is under way.
        if (reflects(view, seen.since)) {
            logEvent(LogLevel::Warning, "replica_lost",
                     {{"endpoint", view.rule.id.str()}, {"model", entry.model.str()}});
            release(adoptWork(entry, view.rule.id), entry);
        }
        return;
    }
    if (isUnloadWanted(view, entry, seen)) {
        startUnload(view, entry);
    } else {
        forget(entry.replica);
    }
}

// Marks the entry as unloading without an order, so that no instance sends it new requests.
void PlacementEngine::State::startUnload(EndpointView &view, const LedgerEntry &entry)
{
    Work &work = adoptWork(entry, view.rule.id);
    if (work.busy) {
        return;
    }
    work.step = Work::Step::Await;
    work.order = OrderId();
    work.sent = false;
    work.reply.reset();
    changeLedger(
        work,
        [replica = entry.replica, order = entry.order,
         self = m_self](const Ledger &ledger) -> Expected<Ledger> {
            const LedgerEntry *now = ledger.find(replica);
            const bool done = now && now->state == EntryState::Unloading && now->order.empty();
            return done ? ledger : ledger.markUnloading(replica, order, self);
        },
        [this](Work &owner, const Expected<WriteOutcome> &outcome) {
            if (!outcome) {
                forget(owner.replica);
            }
        });
}

void PlacementEngine::State::reconcileUnloading(EndpointView &view, const LedgerEntry &entry,
                                                const EntryView &seen)
{
    if (!hasFreshStatus(view)) {
        return;
    }
    Work &work = adoptWork(entry, view.rule.id);
    if (entry.order.empty()) {
        if (isDrained(view, entry, seen)) {
            orderUnload(work, view);
        }
        return;
    }
    if (work.order != entry.order) {
        // Another instance's order; after the takeover time this one orders anew.
        if (isOrderDead(view, seen)) {
            repeatUnload(work, entry);
        } else {
            forget(entry.replica);
        }
        return;
    }
    if (isUnloadConfirmed(view, entry, work)) {
        release(work, entry);
    } else if (failedWith(work, ErrorKind::StaleFencing) || failedWith(work, ErrorKind::Unavailable)
               || isOrderDead(view, seen)) {
        repeatUnload(work, entry);
    }
}

bool PlacementEngine::State::isDrained(const EndpointView &view, const LedgerEntry &entry,
                                       const EntryView &seen) const
{
    const Duration waited = m_clock.now() - seen.since;
    if (!view.findLoaded(entry.model)) {
        return reflects(view, seen.since);
    }
    if (waited < m_options.unloadNoticePeriod || runningHere(view.rule.id, entry.model) > 0) {
        return false;
    }
    const bool engineIdle = view.status->running == 0 && view.status->waiting == 0
        && view.status->requestedAt >= seen.since;
    return engineIdle || waited >= m_options.unloadDrainTimeout;
}

bool PlacementEngine::State::isUnloadConfirmed(const EndpointView &view, const LedgerEntry &entry,
                                               const Work &work) const
{
    if (view.findLoaded(entry.model)) {
        return false;
    }
    if (view.rule.fencing == FencingMode::Checked) {
        // From this number on the engine refuses all earlier orders for the replica.
        return view.status->lastFencing >= work.fencing;
    }
    return work.reply && *work.reply && reflects(view, work.sentAt);
}

void PlacementEngine::State::orderUnload(Work &work, const EndpointView &view)
{
    const bool oneOrder = view.rule.fencing == FencingMode::Ignored;
    if (oneOrder && view.ledger.hasOtherOrder(work.replica)) {
        return;
    }
    work.step = Work::Step::Await;
    work.order = OrderId(m_self.str() + "-" + m_random.hex(12));
    work.sent = false;
    work.reply.reset();
    changeLedger(
        work,
        [replica = work.replica, order = work.order, oneOrder,
         self = m_self](const Ledger &ledger) -> Expected<Ledger> {
            if (oneOrder && ledger.hasOtherOrder(replica)) {
                return unexpectedError(ErrorKind::RateLimited, "another order may be under way",
                                       "wait until it is confirmed");
            }
            const LedgerEntry *entry = ledger.find(replica);
            const bool done = entry && entry->order == order;
            return done ? ledger : ledger.markUnloadOrdered(replica, order, self);
        },
        [this](Work &owner, const Expected<WriteOutcome> &outcome) {
            if (outcome) {
                send(owner, OrderAction::Unload, *outcome);
            } else if (outcome.error().kind == ErrorKind::RateLimited) {
                owner.order = OrderId();
                owner.retryAt = m_clock.now() + jittered(OrderRetry);
            } else {
                forget(owner.replica);
            }
        });
}

void PlacementEngine::State::repeatUnload(Work &work, const LedgerEntry &entry)
{
    if (EndpointView *view = findView(work.endpoint)) {
        work.retryAt = m_clock.now() + jittered(OrderRetry);
        startUnload(*view, entry);
    }
}

void PlacementEngine::State::release(Work &work, const LedgerEntry &entry)
{
    changeLedger(
        work,
        [replica = entry.replica, state = entry.state,
         order = entry.order](const Ledger &ledger) -> Expected<Ledger> {
            return ledger.find(replica) ? ledger.release(replica, state, order) : ledger;
        },
        [this](Work &owner, const Expected<WriteOutcome> &outcome) {
            if (outcome) {
                clear(owner);
            } else {
                forget(owner.replica);
            }
        });
}

} // namespace marigoldspool
