#include "marigoldspool/Placement/Ledger.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace marigoldspool;

namespace {

LedgerEntry makeEntry(int number, std::uint64_t bytes)
{
    LedgerEntry entry;
    entry.replica = ReplicaId("r" + std::to_string(number));
    entry.model = ModelName("m" + std::to_string(number));
    entry.version = "1";
    entry.bytes = bytes;
    entry.updatedBy = InstanceId("i");
    return entry;
}

} // namespace

// Guards against overcommitted memory, also when the sum of the sizes would overflow.
TEST_CASE("no sequence of reservations exceeds the capacity")
{
    CHECK(rc::check([](const std::vector<std::uint64_t> &sizes, std::uint64_t capacity) {
        Ledger ledger(EndpointId("e"));
        std::uint64_t sum = 0;
        for (std::size_t n = 0; n < sizes.size(); ++n) {
            const auto next = ledger.reserve(makeEntry(static_cast<int>(n), sizes[n]), capacity);
            RC_ASSERT(next.has_value() == (sizes[n] <= capacity - sum));
            if (next) {
                ledger = *next;
                sum += sizes[n];
            }
        }
        RC_ASSERT(ledger.reservedBytes() == sum);
    }));
}

TEST_CASE("a ledger is unchanged after a JSON round trip, and malformed JSON is an error")
{
    Ledger ledger = *Ledger(EndpointId("e")).reserve(makeEntry(1, 5), 10);
    ledger = ledger.markOrdered(ReplicaId("r1"), OrderId("o"), InstanceId("j"))
                 ->withWriteId(WriteId("w"));
    const auto read = Ledger::parse(ledger.serialise());
    REQUIRE(read);
    CHECK(read->serialise() == ledger.serialise());
    CHECK(read->find(ReplicaId("r1"))->state == EntryState::Ordered);
    CHECK(read->find(ReplicaId("r1"))->lastWriteId == WriteId("w"));
    CHECK(read->lastOrder() == OrderId("o"));
    const char *const unreadable[] = {
        "", "{}", "[]", R"({"endpoint":1})",
        R"({"endpoint":"e","entries":[{"replica":"r"}],"last_order":"","write_id":""})"};
    for (const char *text : unreadable) {
        CHECK(Ledger::parse(text).error().kind == ErrorKind::Malformed);
        CHECK(Placement::parse(text).error().kind == ErrorKind::Malformed);
        CHECK(ActiveLoads::parse(text).error().kind == ErrorKind::Malformed);
    }
}

// Guards against an instance that resumes after a pause and completes or releases an entry that
// another instance has taken over.
TEST_CASE("a state change with an outdated order is refused")
{
    const InstanceId self("i");
    const ReplicaId replica("r1");
    const Ledger reserved = *Ledger(EndpointId("e")).reserve(makeEntry(1, 5), 10);
    const Ledger ordered = *reserved.markOrdered(replica, OrderId("o1"), self);
    CHECK_FALSE(ordered.markOrdered(replica, OrderId("o2"), self));
    CHECK_FALSE(ordered.markLoaded(replica, OrderId("o2")));
    CHECK_FALSE(ordered.release(replica, EntryState::Reserved, OrderId()));
    CHECK_FALSE(ordered.release(replica, EntryState::Ordered, OrderId("o2")));
    const Ledger again = *ordered.replaceOrder(replica, OrderId("o1"), OrderId("o2"), self);
    CHECK_FALSE(again.markLoaded(replica, OrderId("o1")));
    const Ledger loaded = *again.markLoaded(replica, OrderId("o2"));
    const Ledger unloading = *loaded.markUnloading(replica, OrderId("o2"), self);
    CHECK_FALSE(unloading.hasOtherOrder(ReplicaId("other")));
    const Ledger last = *unloading.markUnloadOrdered(replica, OrderId("o3"), self);
    CHECK(last.hasOtherOrder(ReplicaId("other")));
    CHECK_FALSE(last.markUnloadOrdered(replica, OrderId("o4"), self));
    CHECK(last.release(replica, EntryState::Unloading, OrderId("o3"))->entries().empty());
}

TEST_CASE("placed replicas and active loads stay within their limits")
{
    Placement placement{ModelName("m"), {}, {}, {}};
    placement = *placement.add({ReplicaId("r1"), EndpointId("e")}, 1);
    CHECK(placement.add({ReplicaId("r2"), EndpointId("e")}, 1).error().kind == ErrorKind::Conflict);
    CHECK(placement.remove(ReplicaId("r1")).replicas.empty());

    ActiveLoads loads;
    loads = *loads.add({ReplicaId("r1"), ModelName("m"), EndpointId("e"), 1000}, 2, 1);
    // A start counts towards the rate for one second; the slot is taken until the load is removed.
    CHECK_FALSE(loads.add({ReplicaId("r2"), ModelName("m"), EndpointId("e"), 1999}, 2, 1));
    loads = *loads.add({ReplicaId("r2"), ModelName("m"), EndpointId("e"), 2000}, 2, 1);
    CHECK_FALSE(loads.add({ReplicaId("r3"), ModelName("m"), EndpointId("e"), 9000}, 2, 1));
    CHECK(loads.remove(ReplicaId("r1"))
              .add({ReplicaId("r3"), ModelName("m"), EndpointId("e"), 9000}, 2, 1));
}
