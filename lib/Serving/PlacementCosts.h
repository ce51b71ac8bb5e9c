#ifndef MARIGOLDSPOOL_LIB_SERVING_PLACEMENTCOSTS_H
#define MARIGOLDSPOOL_LIB_SERVING_PLACEMENTCOSTS_H

#include "marigoldspool/Support/Clock.h"

namespace marigoldspool {

// Costs are in seconds of delay for one request.
// An unload waits for the runs of its model and for the next answer of the engine.
constexpr double UnloadCost = 0.3;
// A model with this rate loses the delay for all requests that come while it is away.
constexpr double BusyRate = 0.5;

} // namespace marigoldspool

#endif
