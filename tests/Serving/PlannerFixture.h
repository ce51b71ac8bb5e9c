#ifndef MARIGOLDSPOOL_TESTS_SERVING_PLANNERFIXTURE_H
#define MARIGOLDSPOOL_TESTS_SERVING_PLANNERFIXTURE_H

#include "marigoldspool/Serving/PlacementPlanner.h"

#include <algorithm>
#include <string>
#include <vector>

namespace marigoldspool {

inline const PoolName Pool("engines");

// Three models fit into an engine next to the reserved adapter memory, as in production.
class PlannerFixture
{
public:
    PlannerFixture()
        : planner(clock, 4)
        , demand(clock)
    {
        auto configuration = std::make_shared<ServingConfiguration>();
        EndpointPool pool;
        pool.name = Pool;
        EngineProfile profile;
        profile.slots = 48;
        profile.weightMemoryMb = 230'000;
        profile.adapterSlots = 8;
        for (int i = 0; i < 12; ++i) {
            HostedModel model;
            model.name = ModelName("m" + std::to_string(i));
            model.weightsMb = 72'700;
            model.adapterMb = 66;
            model.adapterCount = 10;
            model.storeLoadTime = std::chrono::seconds(6);
            model.memoryLoadTime = std::chrono::milliseconds(600);
            model.diskLoadTime = std::chrono::milliseconds(1300);
            profile.models.emplace(model.name, model);
        }
        pool.engine = profile;
        configuration->pools[Pool] = pool;
        planner.setConfiguration(configuration);
    }

    EngineState &addEngine(const std::string &id, const std::vector<int> &models,
                           const std::string &zone = "z1")
    {
        EngineState &engine = planner.engines()[EndpointId(id)];
        engine.id = EndpointId(id);
        engine.pool = Pool;
        engine.zone = ZoneName(zone);
        engine.hasReported = true;
        for (const int model : models) {
            engine.models[ModelName("m" + std::to_string(model))] = {};
            engine.onDisk.insert(ModelName("m" + std::to_string(model)));
        }
        return engine;
    }

    ReportedDemand makeDemand(int model, double rate, std::uint64_t waiting,
                              const std::string &adapter = {}) const
    {
        ReportedDemand item;
        item.pool = Pool.str();
        item.model = ModelName("m" + std::to_string(model));
        item.adapter = adapter;
        item.requestsPerSecond = rate;
        item.waiting = waiting;
        item.oldestWaitMs = 10;
        return item;
    }

    // Leaves out prefetch orders, which have their own test.
    std::vector<PlacementOrder> planWaiting(const std::vector<ReportedDemand> &items)
    {
        demand.onReport(InstanceId("i"), {0, items});
        std::vector<PlacementOrder> orders = planner.plan(demand);
        orders.erase(std::remove_if(orders.begin(), orders.end(),
                                    [](const PlacementOrder &order) {
                                        return order.cause == "ahead";
                                    }),
                     orders.end());
        return orders;
    }

    ManualClock clock;
    PlacementPlanner planner;
    DemandAggregator demand;
};

} // namespace marigoldspool

#endif
