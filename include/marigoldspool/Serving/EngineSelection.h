#ifndef MARIGOLDSPOOL_SERVING_ENGINESELECTION_H
#define MARIGOLDSPOOL_SERVING_ENGINESELECTION_H

#include "marigoldspool/Support/Clock.h"

#include <cstddef>
#include <optional>

#include <gsl/span>

namespace marigoldspool {

/// An engine that can take a request, with what is known of its load.
struct EngineCandidate {
    /// Requests of all instances at the engine.
    int requests = 0;
    int slots = 1;
    /// What counts against the engine besides its load; 1 is the load of an engine with all slots
    /// in use.
    double penalty = 0;
    /// Mean time from sending a request to the end of its answer.
    Duration meanRun = Duration::zero();
};

struct EngineSelection {
    /// Index of the engine to send to; unset if the request should wait.
    std::optional<std::size_t> index;
    /// Without an index: after which time an engine is expected to take the request, and which one.
    Duration freeIn = Duration::zero();
    std::size_t firstFree = 0;
    /// Slots of all engines.
    int slots = 0;
    /// Requests that the engines take now, including those that wait there for a short time.
    int room = 0;
};

/// Selects an engine by the load that all instances together have put on it.
///
/// Answers the load of many instances that each send a few requests a second to engines with few
/// slots: by its own requests, each instance would choose an engine that others have filled. The
/// known load is some hundred milliseconds old and the same at all instances, so the choice is
/// drawn among the engines with free slots, weighted by these, with \p draw in [0, 1). When few
/// slots are free in all, engines with short queues are drawn as well.
EngineSelection selectEngine(gsl::span<const EngineCandidate> candidates, double draw);

} // namespace marigoldspool

#endif
