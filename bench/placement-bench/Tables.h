#ifndef MARIGOLDSPOOL_BENCH_PLACEMENTBENCH_TABLES_H
#define MARIGOLDSPOOL_BENCH_PLACEMENTBENCH_TABLES_H

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace marigoldspool::bench {

/// Load orders for bursts of first requests that reach all instances at once.
void printBursts(std::uint64_t seed, int bursts);
/// Cold starts of the two users of section 1.2 of the design page.
void printColdStarts(std::uint64_t seed, int minutes);
/// Idle time against cold starts over a synthetic day.
void printIdleCurve(std::uint64_t seed);

/// The value that \p part of the values do not exceed; zero without values.
inline double percentile(std::vector<double> values, double part)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    const auto index = static_cast<std::size_t>(part * static_cast<double>(values.size()));
    return values[std::min(index, values.size() - 1)];
}

} // namespace marigoldspool::bench

#endif
