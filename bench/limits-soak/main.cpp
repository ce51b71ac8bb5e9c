#include "Limits/Soak.h"

#include "marigoldspool/Support/Invariant.h"
#include "marigoldspool/Support/Settings.h"
#include "support/QuietLog.h"

#include <cstdio>
#include <cstdlib>

using namespace marigoldspool;

namespace {

int runSeeds(std::int64_t first, std::int64_t seeds, Duration length)
{
    SoakResult total;
    int failed = 0;
    for (std::int64_t seed = first; seed < first + seeds; ++seed) {
        const SoakResult result = SoakRun(static_cast<std::uint64_t>(seed)).run(length);
        for (const std::string &violation : result.violations) {
            std::printf("%s\n", violation.c_str());
        }
        failed += result.violations.empty() ? 0 : 1;
        total.admitted += result.admitted;
        total.refused += result.refused;
        total.slotsTaken += result.slotsTaken;
        total.faults += result.faults;
        total.loanMessages += result.loanMessages;
    }
    std::printf("seeds %lld to %lld: %d with violations; %llu admitted, %llu refused, "
                "%llu slots taken, %llu faults, %llu loan messages\n",
                static_cast<long long>(first), static_cast<long long>(first + seeds - 1), failed,
                static_cast<unsigned long long>(total.admitted),
                static_cast<unsigned long long>(total.refused),
                static_cast<unsigned long long>(total.slotsTaken),
                static_cast<unsigned long long>(total.faults),
                static_cast<unsigned long long>(total.loanMessages));
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

} // namespace

int main(int argc, char **argv)
{
    const fake::QuietLog quiet;
    const std::vector<SettingSpec> specs{
        {"seeds", "20", "number of runs", false, false},
        {"first-seed", "1", "seed of the first run", false, false},
        {"length", "60s", "simulated time of a run", false, false},
    };
    const Expected<Settings> settings =
        Settings::parse("limits-soak", specs,
                        gsl::span<const char *const>(argv + 1, static_cast<std::size_t>(argc - 1)));
    if (!settings) {
        std::fprintf(stderr, "%s\n", describeError(settings.error()).c_str());
        return 2;
    }
    if (settings->helpRequested()) {
        std::printf("%s", settings->helpText().c_str());
        return EXIT_SUCCESS;
    }
    const auto seeds = settings->integer("seeds", 1, 1'000'000);
    const auto first = settings->integer("first-seed", 0, 1'000'000'000);
    const auto length =
        settings->duration("length", std::chrono::seconds(1), std::chrono::hours(1));
    if (!seeds || !first || !length) {
        std::fprintf(stderr, "%s\n", settings->helpText().c_str());
        return 2;
    }
    return runSeeds(*first, *seeds, *length);
}
