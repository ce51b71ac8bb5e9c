#include "Placement/RandomisedRun.h"

#include <doctest/doctest.h>

using namespace marigoldspool;
using namespace marigoldspool::fake;

// Guards against more replicas than placed, overcommitted memory, more than four concurrent model
// loads, and loads or unloads that no instance finishes, while instances crash or pause at any step
// and the store, the orders and the engines fail in combination. bench/placement-soak runs more
// seeds.
TEST_CASE("the invariants hold in a randomised run with faults")
{
    const QuietLog quiet;
    int first = 1;
    SUBCASE("seeds 1 to 12") { }
    SUBCASE("seeds 101 to 112")
    {
        first = 101;
    }
    SUBCASE("seeds 201 to 212")
    {
        first = 201;
    }
    for (int seed = first; seed < first + 12; ++seed) {
        const RunResult result = randomisedRun(static_cast<std::uint64_t>(seed));
        for (const std::string &violation : result.violations) {
            FAIL_CHECK(violation);
        }
        CHECK(result.loadOrders > 0);
    }
}

// Guards against checks that never fail: they must report a model on an engine that is not in the
// placement.
TEST_CASE("the checks of the randomised run report a replica that is not placed")
{
    const QuietLog quiet;
    FakeFleetOptions options;
    options.models = makeModels(1);
    options.faults.demandChange = 0;
    FakeFleet fleet(options);
    fleet.run(seconds(3));
    fleet.demand(0, ModelName("m0"));
    fleet.run(seconds(15));
    REQUIRE(fleet.violations().empty());
    REQUIRE(fleet.loadedReplicas(ModelName("m0")) == 1);
    fleet.writeObject("placements/m0", Placement{ModelName("m0"), {}, {}, {}}.serialise());
    REQUIRE(fleet.violations().size() == 1);
    CHECK(fleet.violations()[0].find("replicas: 1 of m0, placed 0") != std::string::npos);
}
