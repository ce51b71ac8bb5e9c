#include "Placement/RandomisedRun.h"
#include "marigoldspool/Support/Settings.h"

#include <cstdio>
#include <optional>

using namespace marigoldspool;

// Runs the randomised run of the Placement tests over many seeds and prints the failing ones.
int main(int argc, char **argv)
{
    const auto settings =
        Settings::parse("placement-soak",
                        {{"seeds", "100", "number of seeds to run"},
                         {"first-seed", "1", "the first seed; the others follow it"},
                         {"log", "", "print the log lines of the engines", false, true}},
                        gsl::span<const char *const>(argv, static_cast<std::size_t>(argc)));
    if (!settings || settings->helpRequested()) {
        const std::string text =
            settings ? settings->helpText() : describeError(settings.error()) + "\n";
        std::fputs(text.c_str(), settings ? stdout : stderr);
        return settings ? 0 : 2;
    }
    const auto seeds = settings->integer("seeds", 1, 10'000'000);
    const auto first = settings->integer("first-seed", 0, INT64_MAX / 2);
    if (!seeds || !first) {
        std::fprintf(stderr, "%s\n", describeError((seeds ? first : seeds).error()).c_str());
        return 2;
    }
    std::optional<fake::QuietLog> quiet;
    if (!settings->isSet("log")) {
        quiet.emplace();
    }
    std::int64_t failed = 0;
    std::uint64_t orders = 0;
    for (std::int64_t seed = *first; seed < *first + *seeds; ++seed) {
        const fake::RunResult result = fake::randomisedRun(static_cast<std::uint64_t>(seed));
        orders += result.loadOrders;
        failed += result.violations.empty() ? 0 : 1;
        for (const std::string &violation : result.violations) {
            std::printf("%s\n", violation.c_str());
        }
        if (settings->isSet("log")) {
            std::printf("%s", result.state.c_str());
        }
    }
    std::printf("seeds %lld from %lld: %lld failed, %llu load orders\n",
                static_cast<long long>(*seeds), static_cast<long long>(*first),
                static_cast<long long>(failed), static_cast<unsigned long long>(orders));
    return failed == 0 ? 0 : 1;
}
