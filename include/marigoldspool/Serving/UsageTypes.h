#ifndef MARIGOLDSPOOL_SERVING_USAGETYPES_H
#define MARIGOLDSPOOL_SERVING_USAGETYPES_H

#include "marigoldspool/Support/Identifiers.h"

#include <cstdint>
#include <map>

namespace marigoldspool {

/// Number of requests of each workspace that began to run in one window. Window k begins k times
/// the windows' length after the start of 1970.
struct UsageWindowReport {
    std::int64_t window = 0;
    std::map<WorkspaceName, std::uint64_t> counts;
};

} // namespace marigoldspool

#endif
