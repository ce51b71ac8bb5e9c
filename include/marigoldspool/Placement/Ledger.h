#ifndef MARIGOLDSPOOL_PLACEMENT_LEDGER_H
#define MARIGOLDSPOOL_PLACEMENT_LEDGER_H

#include "marigoldspool/Support/Error.h"
#include "marigoldspool/Support/Identifiers.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace marigoldspool {

enum class EntryState {
    Reserved, ///< Memory is set aside; no order can have been sent.
    Ordered, ///< The load order may be under way.
    Loaded,
    Unloading, ///< Without an order: waiting for requests to end. With one: it may be under way.
};

struct LedgerEntry {
    ReplicaId replica;
    ModelName model;
    std::string version;
    std::uint64_t bytes = 0;
    EntryState state = EntryState::Reserved;
    /// The order of the current step; empty when there is none.
    OrderId order;
    /// The instance that took the current step.
    InstanceId updatedBy;
    /// The write that took the current step.
    WriteId lastWriteId;
};

/// The memory of one endpoint and what it is set aside for; an immutable value. Each changing
/// function returns the changed ledger or an error.
class Ledger
{
public:
    Ledger() = default;
    explicit Ledger(EndpointId endpoint);

    /// Fails with Malformed.
    static Expected<Ledger> parse(std::string_view text);
    std::string serialise() const;

    const EndpointId &endpoint() const { return m_endpoint; }
    const std::vector<LedgerEntry> &entries() const { return m_entries; }
    const OrderId &lastOrder() const { return m_lastOrder; }
    const WriteId &writeId() const { return m_writeId; }
    std::uint64_t reservedBytes() const;
    const LedgerEntry *find(const ReplicaId &replica) const;
    const LedgerEntry *findModel(const ModelName &model) const;
    /// Whether the order of an entry other than \p replica may be under way.
    bool hasOtherOrder(const ReplicaId &replica) const;

    /// Fails with InsufficientMemory beyond \p capacity, and with Conflict when the replica or
    /// its model already has an entry.
    Expected<Ledger> reserve(LedgerEntry entry, std::uint64_t capacity) const;
    /// Reserved to Ordered. Fails with NotFound, or with Conflict in any other state.
    Expected<Ledger> markOrdered(const ReplicaId &replica, const OrderId &order,
                                 const InstanceId &by) const;
    /// Gives an Ordered entry another order; only for the instance that knows that \p unsent was
    /// never sent or was refused.
    Expected<Ledger> replaceOrder(const ReplicaId &replica, const OrderId &unsent,
                                  const OrderId &order, const InstanceId &by) const;
    /// Ordered to Loaded, if \p order is still the entry's order.
    Expected<Ledger> markLoaded(const ReplicaId &replica, const OrderId &order) const;
    /// Ordered, Loaded or Unloading to Unloading without an order, if \p order is still the
    /// entry's order.
    Expected<Ledger> markUnloading(const ReplicaId &replica, const OrderId &order,
                                   const InstanceId &by) const;
    /// Gives an Unloading entry without an order its unload order.
    Expected<Ledger> markUnloadOrdered(const ReplicaId &replica, const OrderId &order,
                                       const InstanceId &by) const;
    /// Removes an entry whose state and order are still these.
    Expected<Ledger> release(const ReplicaId &replica, EntryState state,
                             const OrderId &order) const;
    /// Also names the write in the entries that changed since the ledger was read.
    Ledger withWriteId(const WriteId &writeId) const;

private:
    Expected<Ledger> changed(const ReplicaId &replica, EntryState to, const OrderId &order,
                             const InstanceId *by) const;

    EndpointId m_endpoint;
    std::vector<LedgerEntry> m_entries;
    OrderId m_lastOrder;
    WriteId m_writeId;
};

struct PlacedReplica {
    ReplicaId replica;
    EndpointId endpoint;
};

/// The decided replicas of one model.
struct Placement {
    ModelName model;
    std::vector<PlacedReplica> replicas;
    /// The home instance that last used the model and so knows how long it has been idle.
    InstanceId usedBy;
    WriteId writeId;

    static Expected<Placement> parse(std::string_view text);
    std::string serialise() const;
    const PlacedReplica *find(const ReplicaId &replica) const;
    /// Fails with Conflict when \p most replicas are already decided.
    Expected<Placement> add(PlacedReplica replica, std::size_t most) const;
    /// Unchanged when the replica is not there.
    Placement remove(const ReplicaId &replica) const;
};

struct ActiveLoad {
    ReplicaId replica;
    ModelName model;
    EndpointId endpoint;
    /// Milliseconds of wall time, as the instance that started the load reads it.
    std::int64_t startedAtMs = 0;
};

/// Model loads under way over the whole fleet.
struct ActiveLoads {
    std::vector<ActiveLoad> loads;
    /// When the latest loads started, for the limit of loads a second.
    std::vector<std::int64_t> recentStartsMs;
    WriteId writeId;

    static Expected<ActiveLoads> parse(std::string_view text);
    std::string serialise() const;
    const ActiveLoad *find(const ReplicaId &replica) const;
    /// Fails with RateLimited beyond \p most loads at once or \p perSecond starts in the second
    /// before the load's start.
    Expected<ActiveLoads> add(ActiveLoad load, std::size_t most, std::size_t perSecond) const;
    ActiveLoads remove(const ReplicaId &replica) const;
};

std::string_view entryStateName(EntryState state);

} // namespace marigoldspool

#endif
