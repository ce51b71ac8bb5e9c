#include "Tables.h"

#include "Placement/FakeFleet.h"

#include <cstdio>

namespace marigoldspool::bench {

using namespace fake;

namespace {

struct BurstKind {
    const char *name;
    bool commonHome;
    double answerLost;
    double pause;
};

struct BurstSums {
    std::uint64_t orders = 0;
    std::uint64_t decided = 0;
    int unequal = 0;
    int notReady = 0;
    std::vector<double> seconds;
};

void runBurst(const BurstKind &kind, std::uint64_t seed, BurstSums &sums)
{
    FakeFleetOptions options;
    options.seed = seed;
    options.models = makeModels(1);
    options.models[0].maxReplicas = 3;
    options.zones = 2;
    options.instancesPerZone = 4;
    options.enginesPerZone = 4;
    options.loadTime = seconds(1);
    options.randomDemand = false;
    options.faults.demandChange = 0;
    options.faults.storeAnswerLost = kind.answerLost;
    options.faults.pauseAtStep = kind.pause;
    FakeFleet fleet(options);
    const ModelName &model = options.models[0].name;
    fleet.run(seconds(5));
    const Duration start = fleet.now();
    const std::size_t homes = kind.commonHome ? 1 : 8;
    for (std::size_t n = 0; n < homes; ++n) {
        fleet.demand(n, model);
    }
    bool ready = false;
    while (!ready && fleet.now() - start < seconds(20)) {
        fleet.run(milliseconds(10));
        ready = !fleet.instance(0).placement->readyEndpoints(model).empty();
    }
    sums.seconds.push_back(std::chrono::duration<double>(fleet.now() - start).count());
    fleet.run(seconds(20));
    sums.notReady += ready ? 0 : 1;
    sums.orders += fleet.loadOrders();
    sums.decided += fleet.placedReplicas(model);
    sums.unequal += fleet.loadOrders() == fleet.placedReplicas(model) ? 0 : 1;
}

} // namespace

void printBursts(std::uint64_t seed, int bursts)
{
    std::printf("Bursts of first requests at 8 instances in 2 zones, load time 0.5 to 1.5 s, "
                "seeds %llu to %llu\n\n",
                static_cast<unsigned long long>(seed),
                static_cast<unsigned long long>(seed + static_cast<std::uint64_t>(bursts) - 1));
    std::printf("| burst | bursts | decided replicas | load orders | bursts with orders other than "
                "decided | not ready in 20 s | ready p50 s | ready p99 s |\n"
                "| --- | --- | --- | --- | --- | --- | --- | --- |\n");
    const BurstKind kinds[] = {{"common home instance", true, 0, 0},
                               {"no common home", false, 0, 0},
                               {"no common home, 1 in 5 store answers lost", false, 0.2, 0},
                               {"no common home, a pause at 1 in 50 steps", false, 0, 0.02}};
    for (const BurstKind &kind : kinds) {
        BurstSums sums;
        for (int n = 0; n < bursts; ++n) {
            runBurst(kind, seed + static_cast<std::uint64_t>(n), sums);
        }
        std::printf("| %s | %d | %llu | %llu | %d | %d | %.2f | %.2f |\n", kind.name, bursts,
                    static_cast<unsigned long long>(sums.decided),
                    static_cast<unsigned long long>(sums.orders), sums.unequal, sums.notReady,
                    percentile(sums.seconds, 0.5), percentile(sums.seconds, 0.99));
    }
    std::printf("\n");
}

} // namespace marigoldspool::bench
