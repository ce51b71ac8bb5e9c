#include "marigoldspool/Limits/Roster.h"
#include "marigoldspool/Limits/SlotLimit.h"

#include <doctest/doctest.h>

using namespace marigoldspool;
using namespace std::chrono_literals;

namespace {

const SteadyTime start(1000s);
const InstanceId one("one");
const InstanceId two("two");

RosterRecord record(std::uint64_t epoch, std::vector<RosterMember> members)
{
    return {epoch, std::move(members)};
}

} // namespace

TEST_CASE("a member grows only when every other member has acknowledged exactly its epoch")
{
    RosterState state(one, 1, start);
    state.onRosterSeen(record(2, {{one, 1}, {two, 5}}));
    state.acknowledge();
    CHECK_FALSE(state.growthPossible(start));
    state.onAck(two, 5, 1);
    CHECK_FALSE(state.growthPossible(start));
    state.onAck(two, 5, 3);
    CHECK_FALSE(state.growthPossible(start));
    state.onAck(two, 4, 2);
    CHECK_FALSE(state.growthPossible(start));
    RosterState other(one, 1, start);
    other.onRosterSeen(record(2, {{one, 1}, {two, 5}}));
    other.acknowledge();
    other.onAck(two, 5, 2);
    CHECK(other.growthPossible(start));
    other.grow();
    CHECK(other.share() == doctest::Approx(0.5));
}

TEST_CASE("a member does not grow before it has acknowledged the epoch itself")
{
    RosterState state(one, 1, start);
    state.onRosterSeen(record(1, {{one, 1}}));
    CHECK_FALSE(state.growthPossible(start));
    state.acknowledge();
    CHECK(state.growthPossible(start));
}

TEST_CASE("a new member does not grow while loans of its predecessor may be in use")
{
    RosterState state(one, 1, start + 5s);
    state.onRosterSeen(record(1, {{one, 1}}));
    state.acknowledge();
    CHECK_FALSE(state.growthPossible(start + 4s));
    CHECK(state.growthPossible(start + 5s));
}

TEST_CASE("a stale read does not bring back an older epoch")
{
    RosterState state(one, 1, start);
    state.onRosterSeen(record(1, {{one, 1}}));
    state.acknowledge();
    state.grow();
    CHECK(state.onRosterSeen(record(2, {{one, 1}, {two, 1}})));
    CHECK(state.share() == doctest::Approx(0.5));
    CHECK_FALSE(state.onRosterSeen(record(1, {{one, 1}})));
    CHECK_FALSE(state.growthPossible(start));
    CHECK(state.record().members.size() == 2);
}

TEST_CASE("an instance whose id is in the roster with another incarnation has no share")
{
    RosterState state(one, 1, start);
    state.onRosterSeen(record(1, {{one, 1}}));
    state.acknowledge();
    state.grow();
    state.onRosterSeen(record(2, {{one, 2}}));
    CHECK(state.share() == 0);
    CHECK_FALSE(state.growthPossible(start));
}

TEST_CASE("a malformed roster is not taken for an empty one")
{
    CHECK_FALSE(parseRoster("").has_value());
    CHECK_FALSE(parseRoster("{\"epoch\":1}").has_value());
    CHECK_FALSE(parseRoster("{\"epoch\":1,\"members\":[{\"id\":\"b\",\"incarnation\":1},"
                            "{\"id\":\"a\",\"incarnation\":1}]}")
                    .has_value());
    const RosterRecord written = record(3, {{one, 7}, {two, 18446744073709551615ULL}});
    const auto read = parseRoster(serializeRoster(written));
    REQUIRE(read.has_value());
    CHECK(read->epoch == 3);
    CHECK(read->members.at(1).incarnation == 18446744073709551615ULL);
}

TEST_CASE("the members' slots add up to the limit for every number of slots")
{
    RosterRecord members = record(1, {});
    for (int n = 1; n <= 9; ++n) {
        members = members.with({InstanceId("m" + std::to_string(n)), 1});
        for (int total = 0; total <= 20; ++total) {
            int sum = 0;
            for (const RosterMember &member : members.members) {
                sum += ownedSlots(EndpointId("e"), total, members, member.id);
            }
            CHECK(sum == total);
        }
    }
}

TEST_CASE("a borrowed slot serves no request that may outlast the loan")
{
    SlotLimit slots;
    slots.borrow(two, 1, 1, start + 10s, start);
    CHECK_FALSE(slots.tryTake(start + 11s, start));
    CHECK(slots.tryTake(start + 10s, start));
    CHECK_FALSE(slots.tryTake(start + 1s, start));
    CHECK_FALSE(slots.returnLoan(two, 1, start));
    slots.giveBack();
    CHECK(slots.returnLoan(two, 1, start));
}
