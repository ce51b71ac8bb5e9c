#include "Placement/RandomisedRun.h"

#include <doctest/doctest.h>

using namespace marigoldspool;
using namespace marigoldspool::fake;

namespace {

const ModelName M0("m0");
const ModelName M1("m1");
const ModelName M2("m2");

FakeFleetOptions faultFreeOptions(int models)
{
    FakeFleetOptions options;
    options.models = makeModels(models);
    options.randomDemand = false;
    options.faults.demandChange = 0;
    return options;
}

FakeFleetOptions oneInstanceOptions(int models)
{
    FakeFleetOptions options = faultFreeOptions(models);
    options.zones = 1;
    options.instancesPerZone = 1;
    return options;
}

std::vector<std::string> loadOrderedModels(const FakeFleet &fleet)
{
    std::vector<std::string> names;
    for (const EngineOrder &order : fleet.accepted()) {
        if (order.action == OrderAction::Load) {
            names.push_back(order.model.str());
        }
    }
    return names;
}

std::size_t readyCount(FakeFleet &fleet, std::size_t instance, const ModelName &model)
{
    return fleet.instance(instance).placement->readyEndpoints(model).size();
}

template <class Action>
std::size_t countReported(FakeFleet &fleet, std::size_t instance)
{
    const auto &reported = fleet.instance(instance).reported;
    return static_cast<std::size_t>(
        std::count_if(reported.begin(), reported.end(), [](const PlacementAction &action) {
            return std::holds_alternative<Action>(action);
        }));
}

bool wasRefused(FakeFleet &fleet, RefusalReason reason)
{
    const auto &reported = fleet.instance(0).reported;
    return std::any_of(reported.begin(), reported.end(), [&](const PlacementAction &action) {
        const auto *refused = std::get_if<LoadRefused>(&action);
        return refused && refused->reason == reason;
    });
}

} // namespace

TEST_CASE("a demanded model is loaded once and every instance can route to it")
{
    const QuietLog quiet;
    FakeFleet fleet(faultFreeOptions(1));
    fleet.run(seconds(3));
    fleet.demand(0, M0);
    fleet.run(seconds(12));
    CHECK(fleet.violations().empty());
    CHECK(fleet.loadOrders() == 1);
    CHECK(readyCount(fleet, 0, M0) == 1);
    CHECK(readyCount(fleet, 1, M0) == 1);
    CHECK(countReported<ReplicaReady>(fleet, 1) == 1);
    CHECK(fleet.unfinishedEntries().empty());
    // An instance of another zone reads the placement and the ledger once it has demand.
    fleet.demand(2, M0);
    fleet.run(seconds(5));
    CHECK(readyCount(fleet, 2, M0) == 1);
    CHECK(fleet.loadOrders() == 1);
}

// Guards against one load per instance when a burst of first requests reaches several instances.
TEST_CASE("a burst of first requests at several instances starts one load")
{
    const QuietLog quiet;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        FakeFleetOptions options = faultFreeOptions(1);
        options.seed = seed;
        options.models[0].maxReplicas = 3;
        options.faults.storeAnswerLost = seed % 2 == 0 ? 0.3 : 0;
        FakeFleet fleet(options);
        fleet.run(seconds(3));
        for (std::size_t n = 0; n < 4; ++n) {
            fleet.demand(n, M0);
        }
        fleet.run(seconds(30));
        CHECK(fleet.violations().empty());
        CHECK(fleet.loadOrders() == 1);
        CHECK(readyCount(fleet, 3, M0) == 1);
    }
}

TEST_CASE("after an engine restarts without its models, demand loads the replica again")
{
    const QuietLog quiet;
    FakeFleet fleet(oneInstanceOptions(1));
    fleet.run(seconds(3));
    fleet.demand(0, M0);
    fleet.run(seconds(25));
    REQUIRE(fleet.loadedReplicas(M0) == 1);
    fleet.restartCold(fleet.engine(0));
    fleet.restartCold(fleet.engine(1));
    fleet.run(seconds(4));
    CHECK(countReported<ReplicaNotReady>(fleet, 0) == 1);
    fleet.run(seconds(25));
    CHECK(fleet.loadOrders() == 2);
    CHECK(fleet.loadedReplicas(M0) == 1);
    CHECK(fleet.violations().empty());
}

TEST_CASE("a leaving endpoint gets no requests and its replica is replaced elsewhere")
{
    const QuietLog quiet;
    FakeFleetOptions options = oneInstanceOptions(1);
    SUBCASE("max-replicas allows the replacement beside it")
    {
        options.models[0].maxReplicas = 2;
    }
    SUBCASE("max-replicas is used up")
    {
        options.models[0].maxReplicas = 1;
    }
    FakeFleet fleet(options);
    fleet.run(seconds(3));
    fleet.demand(0, M0);
    fleet.run(seconds(20));
    REQUIRE(readyCount(fleet, 0, M0) == 1);
    const EndpointId old = fleet.instance(0).placement->readyEndpoints(M0)[0];
    fleet.changeRules([&](RuleSet &rules) {
        for (EndpointRule &rule : rules.endpoints) {
            rule.state = rule.id == old ? EndpointState::Leaving : EndpointState::Serving;
        }
    });
    CHECK(readyCount(fleet, 0, M0) == 0);
    fleet.run(seconds(60));
    REQUIRE(readyCount(fleet, 0, M0) == 1);
    CHECK(fleet.instance(0).placement->readyEndpoints(M0)[0] != old);
    CHECK(fleet.loadedReplicas(M0) == 1);
    CHECK(fleet.violations().empty());
}

TEST_CASE("a drained zone is emptied and loads are refused while no other zone can run the model")
{
    const QuietLog quiet;
    FakeFleet fleet(oneInstanceOptions(1));
    fleet.run(seconds(3));
    fleet.demand(0, M0);
    fleet.run(seconds(20));
    REQUIRE(fleet.loadedReplicas(M0) == 1);
    fleet.changeRules([](RuleSet &rules) {
        rules.zones[0].state = ZoneState::Drained;
    });
    CHECK(readyCount(fleet, 0, M0) == 0);
    fleet.run(seconds(30));
    CHECK(fleet.loadedReplicas(M0) == 0);
    CHECK(wasRefused(fleet, RefusalReason::ZoneDrained));
    fleet.changeRules([](RuleSet &rules) {
        rules.zones[0].state = ZoneState::Serving;
    });
    fleet.run(seconds(30));
    CHECK(readyCount(fleet, 0, M0) == 1);
}

TEST_CASE("min-replicas are loaded without requests and not unloaded when idle")
{
    const QuietLog quiet;
    FakeFleetOptions options = faultFreeOptions(1);
    options.models[0].minReplicas = 2;
    options.models[0].maxReplicas = 2;
    options.placement.maxIdleTimeout = seconds(60);
    FakeFleet fleet(options);
    fleet.run(seconds(300));
    CHECK(fleet.loadedReplicas(M0) == 2);
    CHECK(fleet.loadOrders() == 2);
    CHECK(fleet.violations().empty());
}

TEST_CASE("an idle model is unloaded by its home instance, or by another if that has crashed")
{
    const QuietLog quiet;
    FakeFleetOptions options = faultFreeOptions(1);
    options.zones = 1;
    options.placement.maxIdleTimeout = seconds(120);
    FakeFleet fleet(options);
    fleet.run(seconds(3));
    fleet.demand(0, M0);
    fleet.run(seconds(20));
    fleet.instance(0).demanded.clear();
    SUBCASE("home instance alive") { }
    SUBCASE("home instance crashed")
    {
        ++fleet.instance(0).generation;
    }
    fleet.run(seconds(20));
    CHECK(fleet.loadedReplicas(M0) == 1);
    fleet.run(seconds(180));
    CHECK(fleet.loadedReplicas(M0) == 0);
    CHECK(fleet.placedReplicas(M0) == 0);
}

// Guards against slots in loads/active that stay taken by crashed instances.
TEST_CASE("active loads of crashed instances do not block new loads")
{
    const QuietLog quiet;
    FakeFleet fleet(oneInstanceOptions(1));
    ActiveLoads loads;
    for (int n = 0; n < 4; ++n) {
        loads.loads.push_back({ReplicaId("dead" + std::to_string(n)), M1, EndpointId("e0-0"), 0});
    }
    fleet.writeObject("loads/active", loads.serialise());
    fleet.run(seconds(3));
    fleet.demand(0, M0);
    fleet.run(seconds(15));
    CHECK(readyCount(fleet, 0, M0) == 1);
}

TEST_CASE("while the store is unavailable loads are refused and loaded replicas stay ready")
{
    const QuietLog quiet;
    FakeFleet fleet(oneInstanceOptions(2));
    fleet.run(seconds(3));
    fleet.demand(0, M0);
    fleet.run(seconds(15));
    fleet.setStoreDown(true);
    fleet.demand(0, M1);
    fleet.run(seconds(20));
    CHECK(readyCount(fleet, 0, M0) == 1);
    CHECK(wasRefused(fleet, RefusalReason::StoreUnavailable));
    CHECK(fleet.loadOrders() == 1);
    fleet.setStoreDown(false);
    fleet.run(seconds(20));
    CHECK(readyCount(fleet, 0, M1) == 1);
}

TEST_CASE("a load too late for all requests starts only if the history predicts more requests")
{
    const QuietLog quiet;
    FakeFleetOptions options = oneInstanceOptions(1);
    options.models[0].memoryBytes = 20'000'000'000; // 20 s at the assumed speed of the remote store
    options.engineMemory = 80'000'000'000;
    FakeFleet fleet(options);
    bool many = false;
    fleet.shapeDemand = [&](const FakeInstance &instance, Demand &demand) {
        demand.arrived = many ? 1 : 0;
        demand.earliestDeadline = instance.clock.now() + seconds(2);
    };
    fleet.run(seconds(3));
    fleet.demand(0, M0);
    fleet.run(seconds(10));
    CHECK(wasRefused(fleet, RefusalReason::DeadlineTooShort));
    CHECK(fleet.loadOrders() == 0);
    many = true;
    fleet.run(seconds(20));
    CHECK(fleet.loadOrders() == 1);
}

TEST_CASE("loads start by deadline, then by waiting requests, then by served fraction")
{
    const QuietLog quiet;
    FakeFleetOptions options = oneInstanceOptions(5);
    options.placement.maxActiveLoads = 1;
    options.loadTime = seconds(10);
    FakeFleet fleet(options);
    fleet.shapeDemand = [](const FakeInstance &, Demand &demand) {
        // The clocks of the instances start at a random time below this one.
        demand.earliestDeadline = SteadyTime(seconds(200'000));
        demand.earliestDeadline -= demand.model == M2 ? seconds(10) : seconds(0);
        demand.waiting = demand.model == M0 ? 1 : 5;
        demand.minServedFraction = demand.model == M1 ? 0.9 : 0.2;
    };
    fleet.run(seconds(3));
    fleet.demand(0, ModelName("m4")); // occupies the only slot while the others arrive
    fleet.run(seconds(2));
    fleet.instance(0).demanded = {M0, M1, M2, ModelName("m3")};
    fleet.run(seconds(90));
    CHECK(loadOrderedModels(fleet) == std::vector<std::string>{"m4", "m2", "m3", "m1", "m0"});
}

TEST_CASE("the endpoint with the checkpoint in the fastest tier is chosen")
{
    const QuietLog quiet;
    for (std::size_t engine = 0; engine < 2; ++engine) {
        FakeFleet fleet(oneInstanceOptions(1));
        fleet.engine(engine).cached = {{M0, CheckpointTier::Memory}};
        fleet.engine(1 - engine).cached = {{M0, CheckpointTier::Disk}};
        fleet.run(seconds(5));
        fleet.demand(0, M0);
        fleet.run(seconds(15));
        CHECK(fleet.engine(engine).models.count(M0) == 1);
    }
}

TEST_CASE("an idle model is evicted for another model, one in use is not")
{
    const QuietLog quiet;
    FakeFleetOptions options = oneInstanceOptions(3);
    options.enginesPerZone = 1;
    options.engineMemory = 80;
    FakeFleet fleet(options);
    fleet.run(seconds(3));
    fleet.instance(0).demanded = {M0, M1}; // 25 and 35 of 80; M2 takes 45
    fleet.run(seconds(20));
    REQUIRE(fleet.loadOrders() == 2);
    fleet.demand(0, M2);
    fleet.run(seconds(10));
    CHECK(wasRefused(fleet, RefusalReason::NoCapacity));
    fleet.instance(0).demanded = {M0, M2};
    fleet.run(seconds(40));
    CHECK(fleet.engine(0).models.count(M0) == 1);
    CHECK(fleet.engine(0).models.count(M1) == 0);
    CHECK(readyCount(fleet, 0, M2) == 1);
    CHECK(fleet.violations().empty());
}

TEST_CASE("replicas are added while the predicted wait exceeds the deadline and removed when idle")
{
    const QuietLog quiet;
    FakeFleetOptions options = oneInstanceOptions(1);
    options.models[0].maxReplicas = 2;
    FakeFleet fleet(options);
    bool busy = true;
    fleet.shapeDemand = [&](const FakeInstance &, Demand &demand) {
        demand.waiting = 1;
        demand.predictedWait = busy ? seconds(60) : seconds(1);
    };
    fleet.run(seconds(3));
    fleet.demand(0, M0);
    fleet.run(seconds(30));
    CHECK(readyCount(fleet, 0, M0) == 2);
    busy = false;
    fleet.run(seconds(200));
    CHECK(readyCount(fleet, 0, M0) == 1);
    CHECK(fleet.violations().empty());
}

TEST_CASE("an adapter waits for its base and keeps it loaded")
{
    const QuietLog quiet;
    FakeFleetOptions options = oneInstanceOptions(2);
    options.models[1].kind = ModelKind::Adapter;
    options.models[1].base = M0;
    options.models[1].memoryBytes = 2;
    FakeFleet fleet(options);
    fleet.run(seconds(3));
    fleet.demand(0, M1);
    fleet.run(seconds(15));
    CHECK(loadOrderedModels(fleet) == std::vector<std::string>{"m0", "m1"});
    fleet.run(seconds(100));
    CHECK(readyCount(fleet, 0, M1) == 1);
    CHECK(readyCount(fleet, 0, M0) == 1);
}

// Guards against an adapter that is never loaded because its base runs only in another zone.
TEST_CASE("an adapter is loaded on an engine of another zone that has its base")
{
    const QuietLog quiet;
    FakeFleetOptions options = faultFreeOptions(2);
    options.models[0].maxReplicas = 1;
    options.models[1].kind = ModelKind::Adapter;
    options.models[1].base = M0;
    options.models[1].memoryBytes = 2;
    FakeFleet fleet(options);
    fleet.run(seconds(3));
    fleet.demand(0, M0);
    fleet.run(seconds(15));
    REQUIRE(readyCount(fleet, 0, M0) == 1);
    fleet.demand(2, M1);
    fleet.run(seconds(10));
    CHECK(readyCount(fleet, 2, M1) == 1);
    CHECK(countReported<LoadRefused>(fleet, 2) == 0);
    CHECK(fleet.loadOrders() == 2);
    CHECK(fleet.violations().empty());
}

TEST_CASE("an order can be sent only before its send deadline")
{
    EngineOrder order;
    order.sendDeadline = SteadyTime(seconds(10));
    CHECK(canSendOrder(order, SteadyTime(seconds(10)) - Duration(1)));
    CHECK_FALSE(canSendOrder(order, SteadyTime(seconds(10))));
    CHECK(remainingValidityMs(order, SteadyTime(milliseconds(9500))) == 500);
    CHECK(remainingValidityMs(order, SteadyTime(seconds(11))) == 0);
}
