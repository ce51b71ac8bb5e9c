#include "Placement/PlacementState.h"
#include "marigoldspool/Support/EventLog.h"

#include <algorithm>
#include <utility>

namespace marigoldspool {

namespace {

constexpr Duration SlotRetry = std::chrono::milliseconds(200);
constexpr Duration UsedPlacementRead = std::chrono::seconds(5);
// Below the shortest idle timeout, so that of two home instances the one whose requests have ended
// is not the last to have entered itself when its timeout passes.
constexpr Duration UseInterval = std::chrono::seconds(20);
constexpr Duration OrderRetry = std::chrono::milliseconds(100);

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

void PlacementEngine::State::updateFor(Work &work, const std::string &key,
                                       StoreSession::Change change, WorkDone done)
{
    work.busy = true;
    m_store.update(key, std::move(change),
                   [this, replica = work.replica, done = std::move(done)](const auto &outcome) {
                       if (Work *owner = findWork(replica)) {
                           owner->busy = false;
                           done(*owner, outcome);
                       }
                   });
}

void PlacementEngine::State::changeLedger(Work &work, LedgerChange change, WorkDone done)
{
    updateFor(
        work, ledgerKey(work.endpoint),
        [endpoint = work.endpoint, change = std::move(change)](
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
    Work work;
    work.replica = ReplicaId(model.name.str() + "-" + m_random.hex(12));
    work.model = model.name;
    work.endpoint = view.rule.id;
    work.version = model.version;
    work.bytes = model.memoryBytes + model.kvBytes;
    work.place = checkpointPlace(view, model.name);
    work.step = Work::Step::Reserve;
    work.startedAt = m_clock.now();
    const ReplicaId replica = work.replica;
    reserve(m_works.emplace(replica, std::move(work)).first->second);
}

// Goes on with a load whose ledger entry is reserved and whose previous step is done.
void PlacementEngine::State::continueLoad(Work &work)
{
    if (work.busy || m_clock.now() < work.retryAt) {
        return;
    }
    if (work.abandoned) {
        abandon(work);
    } else if (work.step == Work::Step::Place) {
        place(work);
    } else if (work.step == Work::Step::TakeSlot) {
        takeSlot(work);
    } else if (work.step == Work::Step::Order) {
        markOrdered(work);
    }
}

void PlacementEngine::State::reserve(Work &work)
{
    LedgerEntry entry{work.replica,         work.model, work.version, work.bytes,
                      EntryState::Reserved, {},         m_self,       {}};
    const EndpointView *view = findView(work.endpoint);
    const std::uint64_t bytes = capacity(*view);
    changeLedger(
        work,
        [entry = std::move(entry), bytes](const Ledger &ledger) -> Expected<Ledger> {
            return ledger.find(entry.replica) ? ledger : ledger.reserve(entry, bytes);
        },
        [this](Work &owner, const Expected<WriteOutcome> &outcome) {
            if (!outcome) {
                m_demands[owner.model].retryAt = m_clock.now() + jittered(OrderRetry);
                forget(owner.replica);
                return;
            }
            owner.step = Work::Step::Place;
            continueLoad(owner);
        });
}

void PlacementEngine::State::place(Work &work)
{
    updateFor(
        work, placementKey(work.model),
        [this, model = work.model, replica = PlacedReplica{work.replica, work.endpoint}](
            const KnownObject &object,
            const WriteId &writeId) -> Expected<std::optional<std::string>> {
            const auto placement = parsePlacement(object, model);
            if (!placement) {
                return tl::unexpected<Error>(placement.error());
            }
            if (placement->find(replica.replica)) {
                return std::optional<std::string>();
            }
            // What is wanted is decided on the placement that the write replaces, so of several
            // instances that answer the same burst only one adds a replica.
            const ModelRule *rule = findModel(model);
            const int most = rule ? desiredReplicas(*rule) : 0;
            auto next = placement->add(replica, static_cast<std::size_t>(std::max(0, most)));
            if (!next) {
                return tl::unexpected<Error>(next.error());
            }
            next->usedBy = m_self;
            next->writeId = writeId;
            return std::optional<std::string>(next->serialise());
        },
        [this](Work &owner, const Expected<WriteOutcome> &outcome) {
            if (!outcome) {
                abandon(owner);
                return;
            }
            const ModelRule *rule = findModel(owner.model);
            const bool isAdapter = rule && rule->kind == ModelKind::Adapter;
            owner.step = isAdapter ? Work::Step::Order : Work::Step::TakeSlot;
            continueLoad(owner);
        });
}

// Enters this instance in the placement as the one that knows how long the model has been idle.
void PlacementEngine::State::noteUse(const ModelName &model)
{
    PlacementView &view = m_placements[model];
    readPlacement(model, UsedPlacementRead);
    if (view.checkedAt == SteadyTime() || view.value.replicas.empty() || view.value.usedBy == m_self
        || m_clock.now() - view.touchedAt < UseInterval) {
        return;
    }
    view.touchedAt = m_clock.now();
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

void PlacementEngine::State::takeSlot(Work &work)
{
    const auto best =
        std::min_element(m_works.begin(), m_works.end(), [this](const auto &a, const auto &b) {
            const bool waitsA = a.second.waitsForSlot();
            const bool waitsB = b.second.waitsForSlot();
            return waitsA != waitsB ? waitsA
                                    : std::make_pair(loadRank(a.second.model), a.first)
                    < std::make_pair(loadRank(b.second.model), b.first);
        });
    if (best->first != work.replica || m_clock.now() < m_nextSlotTry) {
        return;
    }
    const std::int64_t started =
        std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.wallNow().time_since_epoch())
            .count();
    ActiveLoad load{work.replica, work.model, work.endpoint, started};
    updateFor(
        work, activeLoadsKey(),
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
        [this](Work &owner, const Expected<WriteOutcome> &outcome) {
            if (!outcome) {
                m_nextSlotTry = m_clock.now() + jittered(SlotRetry);
                m_store.refresh(activeLoadsKey());
                removeStaleSlots();
                return;
            }
            owner.step = Work::Step::Order;
            continueLoad(owner);
        });
}

// A place whose load has no unfinished ledger entry was left behind by an instance that died. The
// place is taken while the entry exists, so a ledger without it is conclusive once it is known to
// be current.
void PlacementEngine::State::removeStaleSlots()
{
    for (const ActiveLoad &load : m_activeLoads.loads) {
        if (!findWork(load.replica)) {
            confirmGone(load.replica, load.endpoint, true, [this, replica = load.replica] {
                removeSlot(replica);
            });
        }
    }
}

// Calls \p then if the ledger has no entry of the replica, or a loaded one with \p orLoaded. Reads
// may be stale, so the ledger is written back unchanged: the write succeeds only if it is current.
void PlacementEngine::State::confirmGone(const ReplicaId &replica, const EndpointId &endpoint,
                                         bool orLoaded, std::function<void()> then)
{
    m_store.update(
        ledgerKey(endpoint),
        [replica, endpoint, orLoaded](const KnownObject &object, const WriteId &writeId)
            -> Expected<std::optional<std::string>> {
            const auto ledger = parseLedger(object, endpoint);
            const LedgerEntry *entry = ledger ? ledger->find(replica) : nullptr;
            const bool gone =
                ledger && (!entry || (orLoaded && entry->state == EntryState::Loaded));
            return gone ? std::optional<std::string>(ledger->withWriteId(writeId).serialise())
                        : std::optional<std::string>();
        },
        [then = std::move(then)](const Expected<WriteOutcome> &outcome) {
            if (outcome && outcome->written) {
                then();
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

StoreSession::Change PlacementEngine::State::placementWithout(const ReplicaId &replica,
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

bool PlacementEngine::State::mayTakeAdapterPlace() const
{
    const std::size_t most = std::max<std::size_t>(1, m_options.maxAdapterLoads / m_instances);
    const auto inFlight = std::count_if(m_works.begin(), m_works.end(), [this](const auto &item) {
        const ModelRule *rule = findModel(item.second.model);
        return rule && rule->kind == ModelKind::Adapter && !item.second.order.empty()
            && item.second.step != Work::Step::Clear;
    });
    return static_cast<std::size_t>(inFlight) < most;
}

void PlacementEngine::State::markOrdered(Work &work)
{
    const ModelRule *rule = findModel(work.model);
    const EndpointView *view = findView(work.endpoint);
    if (!rule || !view || !isUsable(*view, *rule)) {
        abandon(work);
        return;
    }
    if (work.order.empty() && rule->kind == ModelKind::Adapter && !mayTakeAdapterPlace()) {
        return;
    }
    const bool oneOrder = view->rule.fencing == FencingMode::Ignored;
    if (oneOrder && view->ledger.hasOtherOrder(work.replica)) {
        return;
    }
    const OrderId previous = work.order;
    work.order = OrderId(m_self.str() + "-" + m_random.hex(12));
    work.sent = false;
    work.reply.reset();
    changeLedger(
        work,
        [this, replica = work.replica, previous, order = work.order,
         oneOrder](const Ledger &ledger) -> Expected<Ledger> {
            if (oneOrder && ledger.hasOtherOrder(replica)) {
                return unexpectedError(ErrorKind::RateLimited, "another order may be under way",
                                       "wait until it is confirmed");
            }
            const LedgerEntry *entry = ledger.find(replica);
            if (entry && entry->state == EntryState::Ordered) {
                // Either refused or not sent, or an attempt of this write whose answer was lost
                // and whose version is therefore unknown; none of these can be under way.
                const bool ownAttempt = startsWith(entry->order.str(), order.str());
                return ownAttempt ? ledger.replaceOrder(replica, entry->order,
                                                        OrderId(entry->order.str() + "r"), m_self)
                                  : ledger.replaceOrder(replica, previous, order, m_self);
            }
            return ledger.markOrdered(replica, order, m_self);
        },
        [this](Work &owner, const Expected<WriteOutcome> &outcome) {
            if (outcome) {
                owner.step = Work::Step::Await;
                send(owner, OrderAction::Load, *outcome);
            } else if (outcome.error().kind == ErrorKind::RateLimited) {
                owner.order = OrderId();
                owner.retryAt = m_clock.now() + jittered(OrderRetry);
            } else {
                abandon(owner);
            }
        });
}

void PlacementEngine::State::send(Work &work, OrderAction action, const WriteOutcome &written)
{
    const EndpointView *view = findView(work.endpoint);
    const LedgerEntry *entry = view ? view->ledger.find(work.replica) : nullptr;
    if (!entry || !written.written) {
        work.reply = unexpectedError(ErrorKind::Unavailable,
                                     "the order was not sent, because its number is unknown",
                                     "mark it again");
        return;
    }
    work.order = entry->order;
    work.fencing = written.version;
    const EngineOrder order{
        work.order,   work.endpoint, action,       work.model,
        work.version, work.bytes,    work.fencing, written.issuedAt + m_options.orderValidity};
    if (!canSendOrder(order, m_clock.now())) {
        work.reply = unexpectedError(ErrorKind::Unavailable, "the order's validity has passed",
                                     "mark it again");
        return;
    }
    work.sent = true;
    work.sentAt = m_clock.now();
    logEvent(LogLevel::Info, "order_sent",
             {{"endpoint", work.endpoint.str()},
              {"model", work.model.str()},
              {"action", action == OrderAction::Load ? "load" : "unload"},
              {"order", work.order.str()},
              {"fencing", std::to_string(work.fencing)}});
    m_actions.emplace_back(SendOrder{order});
}

// Undoes a load that has sent no order: frees the memory first, so that it can send none later.
void PlacementEngine::State::abandon(Work &work)
{
    work.abandoned = true;
    m_demands[work.model].retryAt = m_clock.now() + jittered(OrderRetry);
    changeLedger(
        work,
        [replica = work.replica](const Ledger &ledger) -> Expected<Ledger> {
            const LedgerEntry *entry = ledger.find(replica);
            return entry ? ledger.release(replica, EntryState::Reserved, OrderId()) : ledger;
        },
        [this](Work &owner, const Expected<WriteOutcome> &outcome) {
            if (outcome) {
                clear(owner);
            } else {
                // Another instance has taken the replica over.
                forget(owner.replica);
            }
        });
}

// Removes what the other objects hold of a replica whose ledger entry is gone.
void PlacementEngine::State::clear(Work &work)
{
    work.step = Work::Step::Clear;
    removeSlot(work.replica);
    updateFor(work, placementKey(work.model), placementWithout(work.replica, work.model),
              [this](Work &owner, const Expected<WriteOutcome> &) {
                  forget(owner.replica);
              });
}

// Removes replicas from the model's placement whose ledger entry is gone. A replica is decided
// while its entry exists, and replica names are never used again.
void PlacementEngine::State::removeOrphans(const ModelName &model)
{
    const Placement *placement = findPlacement(model);
    if (!placement) {
        return;
    }
    for (const PlacedReplica &replica : placement->replicas) {
        const EndpointView *view = findView(replica.endpoint);
        if (!view) {
            // Operators have removed the endpoint. Instances that do not know that yet get time.
            if (m_clock.now() - m_placements[model].since >= m_options.takeoverTimeout) {
                m_store.update(placementKey(model), placementWithout(replica.replica, model),
                               nullptr);
            }
            continue;
        }
        const bool seemsGone = view->ledgerKnown && !view->ledger.find(replica.replica);
        if (seemsGone && !findWork(replica.replica)) {
            confirmGone(
                replica.replica, replica.endpoint, false, [this, model, id = replica.replica] {
                    m_store.update(placementKey(model), placementWithout(id, model), nullptr);
                });
        }
    }
}

void PlacementEngine::State::forget(const ReplicaId &replica)
{
    m_works.erase(replica);
}

} // namespace marigoldspool
