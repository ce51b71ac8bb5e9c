#include "Tables.h"

#include "Placement/RandomisedRun.h"
#include "marigoldspool/Support/Settings.h"

#include <cstdio>

using namespace marigoldspool;

int main(int argc, char **argv)
{
    const auto settings =
        Settings::parse("placement-bench",
                        {{"table", "all", "bursts, cold-starts, idle or all"},
                         {"seed", "1", "seed of the runs"},
                         {"bursts", "200", "bursts of each kind"},
                         {"minutes", "30", "simulated minutes of cold starts"}},
                        gsl::span<const char *const>(argv, static_cast<std::size_t>(argc)));
    if (!settings || settings->helpRequested()) {
        const std::string text =
            settings ? settings->helpText() : describeError(settings.error()) + "\n";
        std::fputs(text.c_str(), settings ? stdout : stderr);
        return settings ? 0 : 2;
    }
    const auto seed = settings->integer("seed", 0, INT64_MAX / 2);
    const auto bursts = settings->integer("bursts", 1, 100'000);
    const auto minutes = settings->integer("minutes", 1, 100'000);
    if (!seed || !bursts || !minutes) {
        const Error &error = (!seed ? seed : !bursts ? bursts : minutes).error();
        std::fprintf(stderr, "%s\n", describeError(error).c_str());
        return 2;
    }
    const fake::QuietLog quiet;
    const std::string &table = settings->text("table");
    const bool all = table == "all";
    if (all || table == "bursts") {
        bench::printBursts(static_cast<std::uint64_t>(*seed), static_cast<int>(*bursts));
    }
    if (all || table == "cold-starts") {
        bench::printColdStarts(static_cast<std::uint64_t>(*seed), static_cast<int>(*minutes));
    }
    if (all || table == "idle") {
        bench::printIdleCurve(static_cast<std::uint64_t>(*seed));
    }
    return 0;
}
