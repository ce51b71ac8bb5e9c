#include "Placement/RandomisedRun.h"

#include <doctest/doctest.h>

using namespace marigoldspool;
using namespace marigoldspool::fake;

// Guards against more replicas than decided (P1), overcommitted memory (P2), more than four model
// loads at once, and steps that nobody finishes, while instances die or pause at any step and the
// store, the orders and the engines fail in combination. bench/placement-soak runs more seeds.
TEST_CASE("the randomised run keeps its invariants")
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

// Guards against a run that passes because nothing happens in it: its checks must see an engine
// that holds a model without a decision.
TEST_CASE("the checks of the randomised run notice an undecided replica")
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
    CHECK(fleet.violations()[0].find("P1: 1 replicas of m0, decided 0") != std::string::npos);
}
