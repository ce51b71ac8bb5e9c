// Models that only leaving engines have.
#include "marigoldspool/Serving/PlacementPlanner.h"

#include <doctest/doctest.h>

using namespace marigoldspool;
using namespace std::chrono_literals;

namespace {

const PoolName Pool("engines");

ModelName modelName(int i)
{
    return ModelName("m" + std::to_string(i));
}

// Three models fit into an engine; the store serves two loads at a time.
class LeavingFixture
{
public:
    LeavingFixture()
        : planner(clock, 2)
        , demand(clock)
    {
        auto configuration = std::make_shared<ServingConfiguration>();
        EndpointPool &pool = configuration->pools[Pool];
        pool.name = Pool;
        pool.engine.emplace();
        pool.engine->weightMemoryMb = 300;
        for (int i = 0; i < 12; ++i) {
            HostedModel &model = pool.engine->models[modelName(i)];
            model.name = modelName(i);
            model.weightsMb = 100;
        }
        planner.setConfiguration(configuration);
    }

    EngineState &addEngine(const std::string &id, int firstModel, int models)
    {
        EngineState &engine = planner.engines()[EndpointId(id)];
        engine.id = EndpointId(id);
        engine.pool = Pool;
        engine.hasReported = true;
        for (int i = firstModel; i < firstModel + models; ++i) {
            engine.models[modelName(i)] = {};
        }
        return engine;
    }

    void leave(const std::string &id)
    {
        EngineState &engine = planner.engines()[EndpointId(id)];
        engine.isUsable = false;
        engine.isLeaving = true;
    }

    void endOrder(const EndpointId &id)
    {
        EngineState &engine = planner.engines()[id];
        engine.hasPendingOrder = false;
        engine.loading.reset();
        engine.plannedLoad.reset();
        engine.unloading.reset();
    }

    // Demand for models by number and request rate; nothing waits. Orders with other causes, such
    // as prefetches, are left out and not sent.
    std::vector<PlacementOrder> plan(const std::vector<std::pair<int, double>> &rates,
                                     Duration idle = 500ms)
    {
        DemandReport report;
        for (const auto &[model, rate] : rates) {
            ReportedDemand item;
            item.pool = Pool.str();
            item.model = modelName(model);
            item.requestsPerSecond = rate;
            item.idleMs = toMilliseconds(idle);
            report.models.push_back(item);
        }
        demand.onReport(InstanceId("i"), report);
        std::vector<PlacementOrder> orders;
        for (const PlacementOrder &order : planner.plan(demand)) {
            if (order.cause == "replaces_leaving") {
                orders.push_back(order);
            } else {
                endOrder(order.endpoint);
            }
        }
        return orders;
    }

    ManualClock clock;
    PlacementPlanner planner;
    DemandAggregator demand;
};

} // namespace

// Two engines leave at once, and one of them ends while the weight store is still busy. Rarely
// used models were loaded only when a request waited for them.
TEST_CASE_FIXTURE(LeavingFixture,
                  "the models that only leaving engines have are loaded elsewhere, the most "
                  "requested first")
{
    addEngine("a", 0, 3);
    addEngine("b", 3, 3);
    addEngine("c", 0, 1);
    addEngine("d", 0, 0);
    addEngine("e", 0, 0);
    const std::vector<std::pair<int, double>> rates{
        {0, 0.4}, {1, 0.1}, {2, 0.2}, {4, 0.3}, {5, 0.05}};
    CHECK(plan(rates).empty());
    leave("a");
    leave("b");
    const auto first = plan(rates);
    REQUIRE(first.size() == 2);
    CHECK(first[0].model == modelName(4));
    CHECK(first[1].model == modelName(2));
    CHECK(plan(rates).empty());
    planner.engines().erase(EndpointId("a"));
    for (const PlacementOrder &order : first) {
        planner.engines()[order.endpoint].models[order.model] = {};
        endOrder(order.endpoint);
    }
    const auto second = plan(rates);
    REQUIRE(second.size() == 2);
    CHECK(second[0].model == modelName(1));
    CHECK(second[1].model == modelName(5));
}

TEST_CASE_FIXTURE(LeavingFixture,
                  "a model that is no longer requested or costs less than what it would replace "
                  "is not loaded")
{
    addEngine("a", 0, 1);
    addEngine("b", 3, 3);
    leave("a");
    CHECK(plan({{0, 0.2}}, 10s).empty());
    CHECK(plan({{0, 0.2}, {3, 2}, {4, 2}, {5, 2}}).empty());
    const auto orders = plan({{0, 0.2}, {3, 2}, {5, 2}});
    REQUIRE(orders.size() == 1);
    CHECK_FALSE(orders[0].isLoad);
    CHECK(orders[0].model == modelName(4));
}
