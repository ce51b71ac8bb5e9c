#ifndef MARIGOLDSPOOL_TESTS_PLACEMENT_RANDOMISEDRUN_H
#define MARIGOLDSPOOL_TESTS_PLACEMENT_RANDOMISEDRUN_H

#include "Placement/FakeFleet.h"
#include "marigoldspool/Support/Invariant.h"
#include "support/QuietLog.h"

namespace marigoldspool::fake {

struct RunResult {
    std::vector<std::string> violations;
    std::uint64_t loadOrders = 0;
    /// Final state of the store and the engines.
    std::string state;
};

/// Each kind of fault is enabled in two of five seeds on average, so most seeds combine several.
inline FakeFleetOptions randomOptions(std::uint64_t seed)
{
    SeededRandomSource random(seed * 7919 + 1);
    const auto sometimes = [&](double probability) {
        return random.below(5) < 2 ? probability * (0.5 + random.uniform()) : 0.0;
    };
    FakeFleetOptions options;
    options.seed = seed;
    options.models = makeModels(4 + static_cast<int>(random.below(6)));
    options.zones = 1 + static_cast<int>(random.below(2));
    options.instancesPerZone = 2 + static_cast<int>(random.below(2));
    options.enginesPerZone = 2 + static_cast<int>(random.below(2));
    options.loadTime = milliseconds(500 + random.below(8000));
    options.faults.storeAnswerLost = sometimes(0.1);
    options.faults.storeWriteLate = sometimes(0.05);
    options.faults.storeStaleRead = sometimes(0.3);
    options.faults.storeUnavailable = sometimes(0.1);
    options.faults.orderLate = sometimes(0.5);
    options.faults.orderAnswerLost = sometimes(0.2);
    options.faults.statusLost = sometimes(0.2);
    options.faults.pauseAtStep = sometimes(0.06);
    options.faults.crashAtStep = sometimes(0.04);
    options.faults.coldRestart = sometimes(0.01);
    options.faults.storeOutage = sometimes(0.01);
    options.faults.demandChange = 0.03 + sometimes(0.2);
    return options;
}

/// Runs for five minutes with faults, then for more than two without. At the end no ledger entry
/// may have been unfinished without a change for a minute, and the one demanded model must be
/// ready.
inline RunResult randomisedRun(std::uint64_t seed)
{
    std::vector<std::string> reported;
    auto previous = setInvariantHandler([&](std::string_view name, std::string_view detail) {
        std::string text = "seed " + std::to_string(seed) + ": invariant ";
        text.append(name).append(": ").append(detail);
        reported.push_back(std::move(text));
    });
    FakeFleet fleet(randomOptions(seed));
    fleet.run(seconds(300));
    const ModelName last("m0");
    fleet.stopFaults(last);
    fleet.run(seconds(80));
    const std::set<std::string> before = fleet.unfinishedEntries();
    fleet.run(seconds(60));
    RunResult result{fleet.violations(), fleet.loadOrders(), fleet.describe()};
    if (result.violations.empty()) {
        const std::string at = "seed " + std::to_string(seed) + ", at the end: ";
        for (const std::string &step : fleet.unfinishedEntries()) {
            if (before.count(step) != 0) {
                result.violations.push_back(at);
                result.violations.back().append("no progress for a minute: ").append(step);
            }
        }
        if (fleet.instance(0).placement->readyEndpoints(last).empty()) {
            result.violations.push_back(at + last.str() + " is demanded and not ready");
        }
    }
    result.violations.insert(result.violations.end(), reported.begin(), reported.end());
    setInvariantHandler(std::move(previous));
    return result;
}

} // namespace marigoldspool::fake

#endif
