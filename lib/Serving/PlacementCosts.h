#ifndef MARIGOLDSPOOL_LIB_SERVING_PLACEMENTCOSTS_H
#define MARIGOLDSPOOL_LIB_SERVING_PLACEMENTCOSTS_H

#include "marigoldspool/Support/Clock.h"

namespace marigoldspool {

// Costs are in seconds of delay for one request.
// An unload waits until the model's requests have finished and the engine reports again.
constexpr double UnloadCostSeconds = 0.3;
// Requests per second from which a model counts as busy: many requests arrive during a reload and
// are all delayed.
constexpr double BusyRequestsPerSecond = 0.5;
// Target fraction of an engine's capacity that the requests for one model use.
constexpr double TargetUtilization = 0.35;

} // namespace marigoldspool

#endif
