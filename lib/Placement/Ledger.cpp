#include "marigoldspool/Placement/Ledger.h"

#include "marigoldspool/Support/Invariant.h"

#include <algorithm>
#include <array>
#include <numeric>
#include <utility>

#include <nlohmann/json.hpp>

namespace marigoldspool {

using nlohmann::json;

namespace {

constexpr std::array<std::string_view, 4> StateNames = {"reserved", "ordered", "loaded",
                                                        "unloading"};

tl::unexpected<Error> malformedError(std::string_view what, const std::string &cause)
{
    return unexpectedError(ErrorKind::Malformed, std::string(what) + " cannot be read: " + cause,
                           "check which program wrote the object, then remove it");
}

// Parses the text and calls read() on it; exceptions of the JSON library become an error.
template <class T, class Read>
Expected<T> parseWith(std::string_view what, std::string_view text, Read read)
{
    try {
        return read(json::parse(text));
    } catch (const json::exception &error) {
        return malformedError(what, error.what());
    }
}

EntryState parseState(const std::string &name)
{
    const auto it = std::find(StateNames.begin(), StateNames.end(), name);
    if (it == StateNames.end()) {
        throw json::other_error::create(501, "unknown state " + name, nullptr);
    }
    return static_cast<EntryState>(it - StateNames.begin());
}

LedgerEntry parseEntry(const json &value)
{
    LedgerEntry entry;
    entry.replica = ReplicaId(value.at("replica").get<std::string>());
    entry.model = ModelName(value.at("model").get<std::string>());
    entry.version = value.at("version").get<std::string>();
    entry.bytes = value.at("bytes").get<std::uint64_t>();
    entry.state = parseState(value.at("state").get<std::string>());
    entry.order = OrderId(value.at("order").get<std::string>());
    entry.updatedBy = InstanceId(value.at("by").get<std::string>());
    entry.lastWriteId = WriteId(value.at("write").get<std::string>());
    return entry;
}

json toJson(const LedgerEntry &entry)
{
    return {{"replica", entry.replica.str()},
            {"model", entry.model.str()},
            {"version", entry.version},
            {"bytes", entry.bytes},
            {"state", entryStateName(entry.state)},
            {"order", entry.order.str()},
            {"by", entry.updatedBy.str()},
            {"write", entry.lastWriteId.str()}};
}

tl::unexpected<Error> entryChangedError(const ReplicaId &replica)
{
    return unexpectedError(ErrorKind::Conflict,
                           "the ledger entry of replica " + replica.str() + " has changed",
                           "read the ledger and decide again");
}

} // namespace

std::string_view entryStateName(EntryState state)
{
    return StateNames[static_cast<std::size_t>(state)];
}

Ledger::Ledger(EndpointId endpoint)
    : m_endpoint(std::move(endpoint))
{ }

Expected<Ledger> Ledger::parse(std::string_view text)
{
    return parseWith<Ledger>("ledger", text, [](const json &value) {
        Ledger ledger(EndpointId(value.at("endpoint").get<std::string>()));
        for (const json &entry : value.at("entries")) {
            ledger.m_entries.push_back(parseEntry(entry));
        }
        ledger.m_lastOrder = OrderId(value.at("last_order").get<std::string>());
        ledger.m_writeId = WriteId(value.at("write_id").get<std::string>());
        return ledger;
    });
}

std::string Ledger::serialise() const
{
    json entries = json::array();
    for (const LedgerEntry &entry : m_entries) {
        entries.push_back(toJson(entry));
    }
    return json{{"endpoint", m_endpoint.str()},
                {"entries", std::move(entries)},
                {"last_order", m_lastOrder.str()},
                {"write_id", m_writeId.str()}}
        .dump();
}

std::uint64_t Ledger::reservedBytes() const
{
    return std::accumulate(m_entries.begin(), m_entries.end(), std::uint64_t(0),
                           [](std::uint64_t sum, const LedgerEntry &entry) {
                               return sum + entry.bytes;
                           });
}

const LedgerEntry *Ledger::find(const ReplicaId &replica) const
{
    const auto it = std::find_if(m_entries.begin(), m_entries.end(), [&](const LedgerEntry &entry) {
        return entry.replica == replica;
    });
    return it == m_entries.end() ? nullptr : &*it;
}

const LedgerEntry *Ledger::findModel(const ModelName &model) const
{
    const auto it = std::find_if(m_entries.begin(), m_entries.end(), [&](const LedgerEntry &entry) {
        return entry.model == model;
    });
    return it == m_entries.end() ? nullptr : &*it;
}

bool Ledger::hasOtherOrder(const ReplicaId &replica) const
{
    return std::any_of(m_entries.begin(), m_entries.end(), [&](const LedgerEntry &entry) {
        const bool ordered = entry.state == EntryState::Ordered
            || (entry.state == EntryState::Unloading && !entry.order.empty());
        return ordered && entry.replica != replica;
    });
}

Expected<Ledger> Ledger::reserve(LedgerEntry entry, std::uint64_t capacity) const
{
    if (find(entry.replica) || findModel(entry.model)) {
        return entryChangedError(entry.replica);
    }
    const std::uint64_t reserved = reservedBytes();
    if (reserved > capacity || entry.bytes > capacity - reserved) {
        return unexpectedError(ErrorKind::InsufficientMemory,
                               "endpoint " + m_endpoint.str() + " has "
                                   + std::to_string(capacity - std::min(reserved, capacity))
                                   + " bytes free and " + entry.model.str() + " needs "
                                   + std::to_string(entry.bytes),
                               "use another endpoint or unload a model");
    }
    Ledger next = *this;
    entry.state = EntryState::Reserved;
    entry.order = OrderId();
    entry.lastWriteId = WriteId();
    next.m_entries.push_back(std::move(entry));
    checkInvariant(next.reservedBytes() <= capacity, "ledger_within_capacity", m_endpoint.str());
    return next;
}

Expected<Ledger> Ledger::withEntryState(const ReplicaId &replica, EntryState state,
                                        const OrderId &order, const InstanceId *updatedBy) const
{
    Ledger next = *this;
    for (LedgerEntry &entry : next.m_entries) {
        if (entry.replica == replica) {
            entry.state = state;
            entry.order = order;
            entry.lastWriteId = WriteId();
            if (updatedBy) {
                entry.updatedBy = *updatedBy;
            }
            return next;
        }
    }
    return entryChangedError(replica);
}

Expected<Ledger> Ledger::markOrdered(const ReplicaId &replica, const OrderId &order,
                                     const InstanceId &updatedBy) const
{
    const LedgerEntry *entry = find(replica);
    if (!entry) {
        return unexpectedError(ErrorKind::NotFound,
                               "replica " + replica.str() + " has no ledger entry",
                               "start the load again");
    }
    if (entry->state != EntryState::Reserved) {
        return entryChangedError(replica);
    }
    Expected<Ledger> next = withEntryState(replica, EntryState::Ordered, order, &updatedBy);
    if (next) {
        next->m_lastOrder = order;
    }
    return next;
}

Expected<Ledger> Ledger::replaceOrder(const ReplicaId &replica, const OrderId &unsent,
                                      const OrderId &order, const InstanceId &updatedBy) const
{
    const LedgerEntry *entry = find(replica);
    if (!entry || entry->state != EntryState::Ordered || entry->order != unsent) {
        return entryChangedError(replica);
    }
    Expected<Ledger> next = withEntryState(replica, EntryState::Ordered, order, &updatedBy);
    if (next) {
        next->m_lastOrder = order;
    }
    return next;
}

Expected<Ledger> Ledger::markLoaded(const ReplicaId &replica, const OrderId &order) const
{
    const LedgerEntry *entry = find(replica);
    if (!entry || entry->state != EntryState::Ordered || entry->order != order) {
        return entryChangedError(replica);
    }
    return withEntryState(replica, EntryState::Loaded, order, nullptr);
}

Expected<Ledger> Ledger::markUnloading(const ReplicaId &replica, const OrderId &order,
                                       const InstanceId &updatedBy) const
{
    const LedgerEntry *entry = find(replica);
    if (!entry || entry->state == EntryState::Reserved || entry->order != order) {
        return entryChangedError(replica);
    }
    return withEntryState(replica, EntryState::Unloading, OrderId(), &updatedBy);
}

Expected<Ledger> Ledger::markUnloadOrdered(const ReplicaId &replica, const OrderId &order,
                                           const InstanceId &updatedBy) const
{
    const LedgerEntry *entry = find(replica);
    if (!entry || entry->state != EntryState::Unloading || !entry->order.empty()) {
        return entryChangedError(replica);
    }
    Expected<Ledger> next = withEntryState(replica, EntryState::Unloading, order, &updatedBy);
    if (next) {
        next->m_lastOrder = order;
    }
    return next;
}

Expected<Ledger> Ledger::release(const ReplicaId &replica, EntryState state,
                                 const OrderId &order) const
{
    const LedgerEntry *entry = find(replica);
    if (!entry || entry->state != state || entry->order != order) {
        return entryChangedError(replica);
    }
    Ledger next = *this;
    next.m_entries.erase(next.m_entries.begin() + (entry - m_entries.data()));
    return next;
}

Ledger Ledger::withWriteId(const WriteId &writeId) const
{
    Ledger next = *this;
    next.m_writeId = writeId;
    for (LedgerEntry &entry : next.m_entries) {
        if (entry.lastWriteId.empty()) {
            entry.lastWriteId = writeId;
        }
    }
    return next;
}

Expected<Placement> Placement::parse(std::string_view text)
{
    return parseWith<Placement>("placement", text, [](const json &value) {
        Placement placement;
        placement.model = ModelName(value.at("model").get<std::string>());
        for (const json &replica : value.at("replicas")) {
            placement.replicas.push_back({ReplicaId(replica.at("replica").get<std::string>()),
                                          EndpointId(replica.at("endpoint").get<std::string>())});
        }
        placement.usedBy = InstanceId(value.at("used_by").get<std::string>());
        placement.writeId = WriteId(value.at("write_id").get<std::string>());
        return placement;
    });
}

std::string Placement::serialise() const
{
    json list = json::array();
    for (const PlacedReplica &replica : replicas) {
        list.push_back({{"replica", replica.replica.str()}, {"endpoint", replica.endpoint.str()}});
    }
    return json{{"model", model.str()},
                {"replicas", std::move(list)},
                {"used_by", usedBy.str()},
                {"write_id", writeId.str()}}
        .dump();
}

const PlacedReplica *Placement::find(const ReplicaId &replica) const
{
    const auto it = std::find_if(replicas.begin(), replicas.end(), [&](const PlacedReplica &other) {
        return other.replica == replica;
    });
    return it == replicas.end() ? nullptr : &*it;
}

Expected<Placement> Placement::add(PlacedReplica replica, std::size_t maxReplicas) const
{
    if (replicas.size() >= maxReplicas) {
        return unexpectedError(ErrorKind::Conflict,
                               "model " + model.str() + " already has "
                                   + std::to_string(replicas.size()) + " replicas placed",
                               "wait for them to load or raise max-replicas");
    }
    Placement next = *this;
    next.replicas.push_back(std::move(replica));
    return next;
}

Placement Placement::remove(const ReplicaId &replica) const
{
    Placement next = *this;
    next.replicas.erase(std::remove_if(next.replicas.begin(), next.replicas.end(),
                                       [&](const PlacedReplica &other) {
                                           return other.replica == replica;
                                       }),
                        next.replicas.end());
    return next;
}

Expected<ActiveLoads> ActiveLoads::parse(std::string_view text)
{
    return parseWith<ActiveLoads>("list of active loads", text, [](const json &value) {
        ActiveLoads active;
        for (const json &load : value.at("loads")) {
            active.loads.push_back({ReplicaId(load.at("replica").get<std::string>()),
                                    ModelName(load.at("model").get<std::string>()),
                                    EndpointId(load.at("endpoint").get<std::string>()),
                                    load.at("started").get<std::int64_t>()});
        }
        active.recentStartsMs = value.at("recent").get<std::vector<std::int64_t>>();
        active.writeId = WriteId(value.at("write_id").get<std::string>());
        return active;
    });
}

std::string ActiveLoads::serialise() const
{
    json list = json::array();
    for (const ActiveLoad &load : loads) {
        list.push_back({{"replica", load.replica.str()},
                        {"model", load.model.str()},
                        {"endpoint", load.endpoint.str()},
                        {"started", load.startedAtMs}});
    }
    return json{{"loads", std::move(list)}, {"recent", recentStartsMs}, {"write_id", writeId.str()}}
        .dump();
}

const ActiveLoad *ActiveLoads::find(const ReplicaId &replica) const
{
    const auto it = std::find_if(loads.begin(), loads.end(), [&](const ActiveLoad &other) {
        return other.replica == replica;
    });
    return it == loads.end() ? nullptr : &*it;
}

Expected<ActiveLoads> ActiveLoads::add(ActiveLoad load, std::size_t maxLoads,
                                       std::size_t maxStartsPerSecond) const
{
    ActiveLoads next = *this;
    // A start time in the future was written by an instance whose clock is ahead; it must not block
    // loads until that time.
    next.recentStartsMs.erase(std::remove_if(next.recentStartsMs.begin(), next.recentStartsMs.end(),
                                             [&](std::int64_t at) {
                                                 return at <= load.startedAtMs - 1000
                                                     || at > load.startedAtMs + 1000;
                                             }),
                              next.recentStartsMs.end());
    if (loads.size() >= maxLoads || next.recentStartsMs.size() >= maxStartsPerSecond) {
        return unexpectedError(ErrorKind::RateLimited,
                               std::to_string(loads.size()) + " model loads are active and "
                                   + std::to_string(next.recentStartsMs.size())
                                   + " started within a second",
                               "wait for one to finish");
    }
    next.recentStartsMs.push_back(load.startedAtMs);
    next.loads.push_back(std::move(load));
    checkInvariant(next.loads.size() <= maxLoads, "active_loads_within_limit",
                   std::to_string(next.loads.size()));
    return next;
}

ActiveLoads ActiveLoads::remove(const ReplicaId &replica) const
{
    ActiveLoads next = *this;
    next.loads.erase(std::remove_if(next.loads.begin(), next.loads.end(),
                                    [&](const ActiveLoad &other) {
                                        return other.replica == replica;
                                    }),
                     next.loads.end());
    return next;
}

} // namespace marigoldspool
