// Plays a recorded pattern of arrivals against a model of the engines, once for the product's own
// decisions, for a scheduler that knows the future, and for plain baselines.
#include "ForesightScheduler.h"
#include "PlainSchedulers.h"
#include "PresentScheduler.h"

#include "marigoldspool/Support/Settings.h"
#include "support/QuietLog.h"

#include <cstdio>
#include <cstdlib>
#include <memory>

using namespace marigoldspool;
using namespace marigoldspool::bench;

namespace {

double worthOf(const Outcome &outcome)
{
    return outcome.owed > 0 ? outcome.earned / outcome.owed : 0;
}

void print(std::string_view name, const Outcome &outcome)
{
    std::printf("%-24.*s %6.3f %7d %6d %6d %9d %6d %6d\n", static_cast<int>(name.size()),
                name.data(), worthOf(outcome), outcome.onTime, outcome.late, outcome.lost,
                outcome.refusals, outcome.storeLoads, outcome.otherLoads);
}

void printClasses(const Pattern &pattern, const Outcome &outcome)
{
    for (std::size_t i = 0; i < pattern.classes.size(); ++i) {
        const ClassOutcome &it = outcome.classes[i];
        std::printf("  %-22s %6s %7d %6d %6d\n", pattern.classes[i].name.c_str(), "", it.onTime,
                    it.late, it.lost);
    }
}

} // namespace

int main(int argc, char **argv)
{
    const std::vector<SettingSpec> specs{
        {"pattern", "", "file of the recorded pattern", true, false},
        {"load", "1", "arrivals come this many times as fast as recorded", false, false},
        {"classes", "false", "print a line for each class of requests", false, true},
        {"check", "false", "fail unless the present decisions earn more than each baseline", false,
         true},
    };
    const auto settings =
        Settings::parse("serving-model", specs,
                        gsl::span<const char *const>(argv + 1, static_cast<std::size_t>(argc - 1)));
    if (!settings || settings->helpRequested()) {
        std::fprintf(stderr, "%s\n",
                     settings ? settings->helpText().c_str()
                              : describeError(settings.error()).c_str());
        return settings ? EXIT_SUCCESS : 2;
    }
    const auto load = settings->integer("load", 1, 100);
    Expected<Pattern> pattern = readPattern(settings->text("pattern"));
    if (!pattern || !load) {
        const Error &error = pattern ? load.error() : pattern.error();
        std::fprintf(stderr, "%s\n", describeError(error).c_str());
        return 2;
    }
    for (Arrival &arrival : pattern->arrivals) {
        arrival.at /= *load;
    }
    const fake::QuietLog quiet;
    std::vector<std::unique_ptr<Scheduler>> schedulers;
    schedulers.push_back(std::make_unique<ForesightScheduler>());
    schedulers.push_back(std::make_unique<PresentScheduler>());
    schedulers.push_back(std::make_unique<LeastLoadedScheduler>());
    schedulers.push_back(std::make_unique<LeastRecentlyUsedScheduler>());
    schedulers.push_back(std::make_unique<FirstComeScheduler>());
    std::printf("%-24s %6s %7s %6s %6s %9s %6s %6s\n", "scheduler", "worth", "in aim", "late",
                "lost", "refusals", "store", "other");
    double present = 0;
    double bestBaseline = 0;
    for (const auto &scheduler : schedulers) {
        Simulation simulation(*pattern, *scheduler);
        const Outcome outcome = simulation.run();
        print(scheduler->name(), outcome);
        if (settings->text("classes") == "true") {
            printClasses(*pattern, outcome);
        }
        if (scheduler->name() == "present") {
            present = worthOf(outcome);
        } else if (scheduler->name() != "with foresight") {
            bestBaseline = std::max(bestBaseline, worthOf(outcome));
        }
    }
    if (settings->text("check") == "true" && present <= bestBaseline) {
        std::fprintf(stderr, "a baseline earns %.3f, the present decisions %.3f\n", bestBaseline,
                     present);
        return EXIT_FAILURE;
    }
    return EXIT_SUCCESS;
}
