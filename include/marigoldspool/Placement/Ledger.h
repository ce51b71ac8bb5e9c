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
    Reserved, ///< Memory is reserved; no order can have been sent.
    Ordered, ///< The load order may be in flight.
    Loaded,
    Unloading, ///< Without an order: waits for running requests. With one: it may be in flight.
};

struct LedgerEntry {
    ReplicaId replica;
    ModelName model;
    std::string version;
    std::uint64_t bytes = 0;
    EntryState state = EntryState::Reserved;
    /// Order that belongs to the current state; empty when there is none.
    OrderId order;
    /// Instance that set the current state.
    InstanceId updatedBy;
    /// Store write that set the current state.
    WriteId lastWriteId;
};

/// Memory reservations of one endpoint. An immutable value: each operation returns a new ledger or
/// an error.
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
    /// Whether an order of an entry other than \p replica may be in flight.
    bool hasOtherOrder(const ReplicaId &replica) const;

    /// Fails with InsufficientMemory beyond \p capacity, and with Conflict when the replica or
    /// its model already has an entry.
    Expected<Ledger> reserve(LedgerEntry entry, std::uint64_t capacity) const;
    /// Reserved to Ordered. Fails with NotFound, or with Conflict in any other state.
    Expected<Ledger> markOrdered(const ReplicaId &replica, const OrderId &order,
                                 const InstanceId &updatedBy) const;
    /// Replaces the order of an Ordered entry. The caller must know that \p unsent was never sent
    /// or was refused.
    Expected<Ledger> replaceOrder(const ReplicaId &replica, const OrderId &unsent,
                                  const OrderId &order, const InstanceId &updatedBy) const;
    /// Ordered to Loaded, if \p order is still the entry's order.
    Expected<Ledger> markLoaded(const ReplicaId &replica, const OrderId &order) const;
    /// Ordered, Loaded or Unloading to Unloading without an order, if \p order is still the
    /// entry's order.
    Expected<Ledger> markUnloading(const ReplicaId &replica, const OrderId &order,
                                   const InstanceId &updatedBy) const;
    /// Sets the unload order of an Unloading entry without an order.
    Expected<Ledger> markUnloadOrdered(const ReplicaId &replica, const OrderId &order,
                                       const InstanceId &updatedBy) const;
    /// Removes the entry if it still has this state and order.
    Expected<Ledger> release(const ReplicaId &replica, EntryState state,
                             const OrderId &order) const;
    /// Sets the ID of the write, also in the entries that changed since the ledger was read.
    Ledger withWriteId(const WriteId &writeId) const;

private:
    Expected<Ledger> withEntryState(const ReplicaId &replica, EntryState state,
                                    const OrderId &order, const InstanceId *updatedBy) const;

    EndpointId m_endpoint;
    std::vector<LedgerEntry> m_entries;
    OrderId m_lastOrder;
    WriteId m_writeId;
};

struct PlacedReplica {
    ReplicaId replica;
    EndpointId endpoint;
};

/// Replicas of one model that are loaded or to be loaded, with their endpoints.
struct Placement {
    ModelName model;
    std::vector<PlacedReplica> replicas;
    /// Home instance that last used the model and so knows how long it has been idle.
    InstanceId usedBy;
    WriteId writeId;

    static Expected<Placement> parse(std::string_view text);
    std::string serialise() const;
    const PlacedReplica *find(const ReplicaId &replica) const;
    /// Fails with Conflict when \p maxReplicas replicas are already placed.
    Expected<Placement> add(PlacedReplica replica, std::size_t maxReplicas) const;
    /// Returns an unchanged copy if the replica is not in the placement.
    Placement remove(const ReplicaId &replica) const;
};

struct ActiveLoad {
    ReplicaId replica;
    ModelName model;
    EndpointId endpoint;
    /// Wall-clock time in milliseconds, by the clock of the instance that started the load.
    std::int64_t startedAtMs = 0;
};

/// Model loads in progress over all instances.
struct ActiveLoads {
    std::vector<ActiveLoad> loads;
    /// Start times of the latest loads, for the limit of loads per second.
    std::vector<std::int64_t> recentStartsMs;
    WriteId writeId;

    static Expected<ActiveLoads> parse(std::string_view text);
    std::string serialise() const;
    const ActiveLoad *find(const ReplicaId &replica) const;
    /// Fails with RateLimited beyond \p maxLoads loads at once or \p maxStartsPerSecond starts in
    /// the second before the load's start.
    Expected<ActiveLoads> add(ActiveLoad load, std::size_t maxLoads,
                              std::size_t maxStartsPerSecond) const;
    ActiveLoads remove(const ReplicaId &replica) const;
};

std::string_view entryStateName(EntryState state);

} // namespace marigoldspool

#endif
