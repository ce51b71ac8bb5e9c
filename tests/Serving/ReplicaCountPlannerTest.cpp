#include "marigoldspool/Serving/ReplicaCountPlanner.h"

#include <doctest/doctest.h>

using namespace marigoldspool;
using namespace std::chrono_literals;

namespace {

const PoolName Pool("engines");
const ZoneName Z1("z1");
const ZoneName Z2("z2");
constexpr int Slots = 16;
constexpr Duration Interval = 500ms;

// A platform that executes each order: endpoints serve after the boot time and leave at once.
class FleetModel
{
public:
    FleetModel()
        : planner(clock)
    { }

    // The requests of a zone are spread over its endpoints; \p hidden ones have not been heard of.
    void step()
    {
        for (auto &[zone, count] : ready) {
            for (auto it = booting.begin(); it != booting.end();) {
                if (it->first == zone && clock.now() >= it->second) {
                    ++count;
                    it = booting.erase(it);
                } else {
                    ++it;
                }
            }
        }
        PoolObservation observation;
        for (const auto &[zone, count] : ready) {
            observation.zones[zone] = {4, isCutOff[zone] ? 1 : 4, false};
            for (int i = 0; i < count; ++i) {
                ReplicaObservation endpoint;
                endpoint.zone = zone;
                endpoint.isHeardOf = !isCutOff[zone];
                endpoint.slots = Slots;
                endpoint.requests = requests[zone] / count;
                endpoint.models = models;
                if (i == 0) {
                    endpoint.models.insert(onlyCopies.begin(), onlyCopies.end());
                }
                observation.endpoints.push_back(endpoint);
            }
        }
        observation.waitingForSlot = waiting;
        for (const ModelName &model : requested) {
            observation.lastRequests[model] = clock.now();
        }
        for (const ReplicaOrder &order : planner.update(Pool, bounds, observation)) {
            orders.push_back(order);
            if (!isApiDown) {
                execute(order);
            }
        }
        clock.advance(Interval);
    }

    void run(Duration time)
    {
        for (Duration passed = 0s; passed < time; passed += Interval) {
            step();
        }
    }

    void execute(const ReplicaOrder &order)
    {
        planner.onAccepted(Pool, order.zone, order.desired);
        int &count = ready[order.zone];
        for (int i = count; i < order.desired; ++i) {
            booting.emplace_back(order.zone, clock.now() + bounds.bootTime);
        }
        count = std::min(count, order.desired);
    }

    ManualClock clock;
    ReplicaCountPlanner planner;
    ReplicaBounds bounds{2, 12, 8s};
    std::map<ZoneName, int> ready{{Z1, 4}, {Z2, 4}};
    std::vector<std::pair<ZoneName, SteadyTime>> booting;
    std::map<ZoneName, int> requests{{Z1, 32}, {Z2, 32}};
    std::map<ZoneName, bool> isCutOff;
    std::set<ModelName> models;
    std::set<ModelName> onlyCopies;
    std::set<ModelName> requested;
    std::uint64_t waiting = 0;
    bool isApiDown = false;
    std::vector<ReplicaOrder> orders;
};

} // namespace

TEST_CASE("a replayed rise and fall of load is followed by the number of endpoints")
{
    FleetModel fleet;
    fleet.run(60s);
    CHECK(fleet.orders.empty());

    // 60 of 64 slots: at least 6.25 endpoints are needed for 60%, and one more at a time is
    // allowed.
    fleet.requests[Z1] = 60;
    fleet.run(3s);
    REQUIRE(fleet.orders.size() == 1);
    CHECK(fleet.orders[0].zone == Z1);
    CHECK(fleet.orders[0].desired == 5);
    CHECK(fleet.orders[0].cause == "load");
    fleet.run(6s);
    CHECK_MESSAGE(fleet.orders.size() == 1, "the ordered endpoint has not started yet");
    fleet.run(30s);
    CHECK(fleet.ready[Z1] == 6);
    CHECK(fleet.ready[Z2] == 4);

    fleet.orders.clear();
    fleet.requests = {{Z1, 4}, {Z2, 4}};
    fleet.run(29s);
    CHECK(fleet.orders.empty());
    fleet.run(300s);
    CHECK(fleet.ready[Z1] == 2);
    CHECK(fleet.ready[Z2] == 2);
    for (const ReplicaOrder &order : fleet.orders) {
        CHECK(order.ready - order.desired == 1);
        CHECK(order.cause == "idle");
    }
}

TEST_CASE("requests that wait for a slot make one zone grow, but not while others have free slots")
{
    FleetModel fleet;
    fleet.run(20s);
    fleet.waiting = 5;
    fleet.run(5s);
    CHECK_MESSAGE(fleet.orders.empty(), "half of the slots are free: another copy serves them");
    fleet.requests = {{Z1, 40}, {Z2, 44}};
    fleet.run(3s);
    REQUIRE(fleet.orders.size() == 1);
    CHECK(fleet.orders[0].zone == Z2);
    CHECK(fleet.orders[0].cause == "waiting");
}

TEST_CASE("the number never leaves its bounds and contradictory bounds order nothing")
{
    FleetModel fleet;
    fleet.bounds = {5, 6, 8s};
    fleet.run(11s);
    REQUIRE(fleet.orders.size() == 2);
    CHECK(fleet.orders[0].cause == "bounds");
    fleet.requests = {{Z1, 500}, {Z2, 500}};
    fleet.waiting = 1000;
    fleet.run(60s);
    CHECK(fleet.ready[Z1] == 6);
    for (const ReplicaOrder &order : fleet.orders) {
        CHECK(order.desired >= 5);
        CHECK(order.desired <= 6);
    }
    fleet.orders.clear();
    fleet.bounds = {7, 3, 8s};
    fleet.run(30s);
    CHECK(fleet.orders.empty());
}

TEST_CASE("an endpoint that is lost is replaced, and ordered again while it does not come")
{
    FleetModel fleet;
    fleet.run(20s);
    fleet.ready[Z1] = 3;
    fleet.step();
    REQUIRE(fleet.orders.size() == 1);
    CHECK(fleet.orders[0].desired == 4);
    CHECK(fleet.orders[0].cause == "replaces_lost");
    fleet.booting.clear();
    fleet.run(9s);
    CHECK(fleet.orders.size() == 1);
    fleet.run(10s);
    CHECK(fleet.orders.size() == 2);
    CHECK(fleet.ready[Z1] == 4);
}

TEST_CASE("the only copy of a requested model is not given up")
{
    FleetModel fleet;
    const ModelName model("m");
    fleet.onlyCopies = {model};
    fleet.ready = {{Z1, 4}};
    fleet.requests = {{Z1, 0}};
    fleet.requested = {model};
    fleet.run(150s);
    CHECK(fleet.orders.empty());
    SUBCASE("a second copy is loaded")
    {
        fleet.models = {model};
    }
    SUBCASE("the model is not requested any more")
    {
        fleet.requested.clear();
    }
    fleet.run(95s);
    CHECK(fleet.orders.size() >= 1);
}

TEST_CASE("a zone that is cut off keeps its number, and no zone shrinks")
{
    FleetModel fleet;
    fleet.run(60s);
    fleet.isCutOff[Z1] = true;
    fleet.requests = {{Z1, 0}, {Z2, 4}};
    fleet.run(120s);
    CHECK_MESSAGE(fleet.orders.empty(), "the demand of a zone that cannot be observed is missing");
    fleet.requests[Z2] = 60;
    fleet.run(3s);
    REQUIRE(fleet.orders.size() == 1);
    CHECK_MESSAGE(fleet.orders[0].zone == Z2, "callers have moved to the other zone");
}

TEST_CASE("a new holder takes what starts within the first seconds as ordered")
{
    FleetModel fleet;
    fleet.run(30s);
    fleet.booting = {{Z1, fleet.clock.now() + 6s}};
    fleet.planner.start();
    fleet.requests[Z1] = 60;
    fleet.run(9s);
    CHECK(fleet.orders.empty());
    CHECK(fleet.planner.wanted(Pool, Z1) == 5);
    fleet.requests[Z1] = 32;
    fleet.run(30s);
    CHECK(fleet.orders.empty());
}

TEST_CASE("while the API accepts nothing, the order does not rise without end")
{
    FleetModel fleet;
    fleet.run(20s);
    fleet.isApiDown = true;
    fleet.requests[Z1] = 60;
    fleet.run(60s);
    REQUIRE(fleet.orders.size() == 1);
    CHECK(fleet.orders[0].desired == 5);
    fleet.isApiDown = false;
    fleet.execute(fleet.orders[0]);
    fleet.run(9s);
    CHECK_MESSAGE(fleet.orders.size() == 1, "the boot time counts from the accepted order");
    fleet.run(3s);
    CHECK(fleet.orders.size() == 2);
}
