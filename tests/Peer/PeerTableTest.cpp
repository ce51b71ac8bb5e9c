#include "marigoldspool/Peer/PeerTable.h"

#include <algorithm>
#include <set>

#include <doctest/doctest.h>

using namespace marigoldspool;
using namespace std::chrono_literals;

namespace {

struct TableFixture {
    ManualClock clock;
    PeerTable table{InstanceId("b-2"), ZoneName("b"), clock};

    void receiveHeartbeat(const std::string &id, const std::string &zone,
                          std::uint64_t incarnation = 1, bool stopping = false)
    {
        Heartbeat heartbeat;
        heartbeat.zone = ZoneName(zone);
        heartbeat.address = "127.0.0.1:1";
        heartbeat.stopping = stopping;
        table.recordHeartbeat(InstanceId(id), incarnation, heartbeat);
    }
};

std::vector<InstanceId> makeIds(int count)
{
    std::vector<InstanceId> ids;
    ids.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        ids.emplace_back("n-" + std::to_string(i));
    }
    return ids;
}

} // namespace

TEST_CASE_FIXTURE(TableFixture,
                  "a peer without heartbeats is not alive after 3 s and is removed after 5 min")
{
    receiveHeartbeat("b-1", "b", 5);
    clock.advance(2999ms);
    CHECK(table.isAlive(InstanceId("b-1")));
    clock.advance(1ms);
    CHECK_FALSE(table.isAlive(InstanceId("b-1")));
    CHECK(table.alivePeers().empty());
    receiveHeartbeat("b-1", "b", 4);
    CHECK_MESSAGE(table.alivePeers().empty(),
                  "a heartbeat of an older incarnation marked the peer alive");
    clock.advance(5min);
    table.onTick();
    receiveHeartbeat("b-1", "b", 4);
    CHECK(table.alivePeers().size() == 1);
}

TEST_CASE_FIXTURE(TableFixture, "a peer marked down is not alive until its next heartbeat")
{
    receiveHeartbeat("b-1", "b");
    table.markDown(InstanceId("b-1"));
    CHECK_FALSE(table.isAlive(InstanceId("b-1")));
    receiveHeartbeat("b-1", "b");
    CHECK(table.isAlive(InstanceId("b-1")));
}

TEST_CASE_FIXTURE(TableFixture, "a delayed heartbeat of an earlier incarnation is ignored")
{
    receiveHeartbeat("b-1", "b", 2);
    receiveHeartbeat("b-1", "c", 1);
    REQUIRE(table.alivePeers().size() == 1);
    CHECK(table.alivePeers().at(0).zone == ZoneName("b"));
    CHECK(table.alivePeers().at(0).incarnation == 2);
}

TEST_CASE_FIXTURE(TableFixture,
                  "candidates are live, not stopping, ordered by id and include this instance")
{
    receiveHeartbeat("b-3", "b");
    receiveHeartbeat("b-1", "b");
    receiveHeartbeat("b-4", "b", 1, true);
    receiveHeartbeat("a-1", "a");
    receiveHeartbeat("b-2", "b", 9);
    const std::vector<InstanceId> own{InstanceId("b-1"), InstanceId("b-2"), InstanceId("b-3")};
    CHECK(table.candidatesInZone(ZoneName("b")) == own);
    CHECK(table.candidatesInZone(ZoneName("a")) == std::vector<InstanceId>{InstanceId("a-1")});
    CHECK(table.alivePeers().size() == 4);
}

// Guards against keys that change owner although their owner is still a candidate.
TEST_CASE("removing a candidate reassigns only its own keys")
{
    const std::vector<InstanceId> all = makeIds(10);
    std::vector<InstanceId> fewer = all;
    fewer.erase(fewer.begin() + 4);
    std::map<InstanceId, int> owned;
    for (int i = 0; i < 2000; ++i) {
        const std::string key = "model-" + std::to_string(i);
        const InstanceId before = rendezvousOwner(key, all);
        ++owned[before];
        if (before != all[4]) {
            CHECK(rendezvousOwner(key, fewer) == before);
        }
    }
    for (const InstanceId &id : all) {
        CHECK(owned[id] > 120);
        CHECK(owned[id] < 300);
    }
}

TEST_CASE("the rendezvous order does not depend on the order of the candidates")
{
    std::vector<InstanceId> ids = makeIds(7);
    const auto order = rendezvousOrder("k", ids);
    std::reverse(ids.begin(), ids.end());
    CHECK(rendezvousOrder("k", ids) == order);
    CHECK(order.front() == rendezvousOwner("k", ids));
    CHECK(std::set<InstanceId>(order.begin(), order.end()).size() == 7);
}
