#include "Serving/PlannerFixture.h"

#include <doctest/doctest.h>

using namespace marigoldspool;
using namespace std::chrono_literals;

// Guards against a busy model that no engine serves coming late from the weight store because loads
// for a few callers share it. In other pools the store is used as before.
TEST_CASE_FIXTURE(PlannerFixture, "a load that many wait for is not slowed down by other loads")
{
    for (const bool isContended : {false, true}) {
        planner.setContendedPools(isContended ? std::set<PoolName>{Pool} : std::set<PoolName>());
        planner.engines().clear();
        EngineState &busy = addEngine("busy", {});
        busy.loading = ModelName("m7");
        busy.source = LoadSource::Store;
        busy.loadEndsAt = clock.now() + 6s;
        busy.hasPendingOrder = true;
        addEngine("free", {});
        const auto orders = planWaiting({makeDemand(7, 20, 30), makeDemand(8, 0.2, 1)});
        CHECK(orders.size() == (isContended ? 0 : 1));
    }
}

// Guards against copies that are missing because the mean run time of a pool is too short for the
// requests of one model, which then queue at its engines.
TEST_CASE_FIXTURE(PlannerFixture, "a model gets copies by the requests at its engines")
{
    planner.setRequestCost(Pool, {0.1, 0.001});
    EngineState &full = addEngine("full", {0});
    EngineState &other = addEngine("other", {0});
    EngineState &free = addEngine("free", {});
    for (int model = 0; model < 12; ++model) {
        // Nothing is left to prefetch.
        free.onDisk.insert(ModelName("m" + std::to_string(model)));
    }
    const std::vector<ReportedDemand> items{makeDemand(0, 5, 0)};
    CHECK(planWaiting(items).empty());
    full.requests[ModelName("m0")] = 90;
    full.requestsKnownUntil = clock.now() + 1s;
    other.requestsKnownUntil = full.requestsKnownUntil;
    clock.advance(2s);
    // What the instances had two seconds ago says nothing of now.
    CHECK(planWaiting(items).empty());
    full.requestsKnownUntil = clock.now() + 1s;
    const auto orders = planWaiting(items);
    REQUIRE(orders.size() == 1);
    CHECK(orders[0].endpoint == EndpointId("free"));
}

// Guards against unloads that wait for running requests, during which the engine refuses orders.
TEST_CASE_FIXTURE(PlannerFixture, "a model without requests at the engine is unloaded first")
{
    planner.setRequestCost(Pool, {4, 0.001});
    EngineState &engine = addEngine("e", {0, 1, 2});
    addEngine("other", {0, 1, 2}).hasPendingOrder = true;
    engine.onDisk.insert(ModelName("m7"));
    engine.requests = {{ModelName("m0"), 3}, {ModelName("m1"), 1}};
    engine.requestsKnownUntil = clock.now() + 1s;
    const auto orders = planWaiting({makeDemand(7, 0.1, 1), makeDemand(0, 0.2, 0),
                                     makeDemand(1, 0.2, 0), makeDemand(2, 0.3, 0)});
    REQUIRE(orders.size() == 1);
    CHECK(orders[0].model == ModelName("m2"));
}

// Guards against a busy model without any copy coming behind models with few requests whose names
// sort before its own.
TEST_CASE_FIXTURE(PlannerFixture, "a model without a copy comes before copies of others")
{
    planner.setContendedPools({Pool});
    addEngine("e1", {0, 1, 2});
    addEngine("e2", {});
    const auto orders = planWaiting({makeDemand(0, 0.6, 0), makeDemand(1, 0.6, 0),
                                     makeDemand(2, 0.6, 0), makeDemand(9, 20, 0)});
    REQUIRE(orders.size() == 1);
    CHECK(orders[0].model == ModelName("m9"));
}

// Guards against requests that wait for loads which the weight store begins later than forecast.
TEST_CASE_FIXTURE(PlannerFixture, "forecasts count only the loads that the weight store begins")
{
    for (const bool isContended : {false, true}) {
        planner.setContendedPools(isContended ? std::set<PoolName>{Pool} : std::set<PoolName>());
        planner.engines().clear();
        EngineState &engine = addEngine("e", {});
        engine.loading = ModelName("m7");
        engine.source = LoadSource::Store;
        engine.loadEndsAt = clock.now() + 6s;
        engine.hasPendingOrder = true;
        // It takes no further load, so none is planned on it.
        engine.hasReported = false;
        planWaiting({makeDemand(7, 1, 1), makeDemand(8, 1, 1), makeDemand(9, 1, 1)});
        std::int64_t last = 0;
        for (const LoadForecast &it : planner.forecast(demand)) {
            last = std::max(last, it.readyInMs);
        }
        CHECK(last == (isContended ? 12'000 : 6'000));
    }
}
