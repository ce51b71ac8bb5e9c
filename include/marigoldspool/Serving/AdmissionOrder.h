#ifndef MARIGOLDSPOOL_SERVING_ADMISSIONORDER_H
#define MARIGOLDSPOOL_SERVING_ADMISSIONORDER_H

#include "marigoldspool/Support/Clock.h"

#include <cstddef>
#include <optional>
#include <vector>

#include <gsl/span>

namespace marigoldspool {

/// A request that waits for a slot of the engines with its model.
struct QueuedRequest {
    /// Of the workspace or the route; 0 is the most urgent.
    int priority = 0;
    SteadyTime arrival;
    /// When the request passes its latency objective.
    SteadyTime dueAt;
    /// When its caller gives up.
    SteadyTime patienceEndsAt;
    /// Expected time for which it occupies a slot, in seconds.
    double slotSeconds = 1;
    /// Expected time from sending it to the first byte of its answer.
    Duration firstByteAfter = Duration::zero();
};

/// Requests of one priority for one model.
struct PriorityDemand {
    int priority = 0;
    /// Requests that wait for a slot at other instances.
    int waitingElsewhere = 0;
    /// Arrivals a second at all instances.
    double requestsPerSecond = 0;
};

/// The slots that requests for one model compete for.
struct SlotSupply {
    /// Until the next slot is expected to be free.
    Duration freeIn = Duration::zero();
    /// Slots of all engines that take the requests.
    double slots = 1;
    /// Mean time for which a request occupies a slot, in seconds.
    double meanSlotSeconds = 1;
    /// Unset while the demand at all instances is not known.
    std::optional<std::vector<PriorityDemand>> demand;
};

/// What becomes of one waiting request.
struct AdmissionEntry {
    /// Index of the request.
    std::size_t index = 0;
    /// Whether it is expected to meet its latency objective.
    bool isOnTime = false;
    /// False if it should be refused at once.
    bool isServable = true;
    /// When it is expected to get a slot; for a request that is not servable, when the backlog that
    /// is ahead of it is worked off.
    Duration startsIn = Duration::zero();
};

/// The priority of \p request with aging: one step more urgent for each latency objective that it
/// has waited.
int agedPriority(const QueuedRequest &request, SteadyTime now);

/// Whether \p request has waited for so long that a refusal would come late; it keeps its turn.
bool hasBeenAccepted(const QueuedRequest &request, SteadyTime now);

/// The bound of aging, and the most urgent of all priorities.
constexpr int MostUrgentPriority = -16;

/// Value of serving a request of \p priority on time, relative to one of priority 0.
double requestWeight(int priority);

/// Value of a request that is served late, relative to the same request served on time.
constexpr double LateServiceWeight = 0.4;

/// Decides in which order \p requests are served and which of them are refused.
///
/// Answers the load beyond capacity of requests that differ in priority, objective, patience and
/// work. A weighted Moore-Hodgson rule leaves out the requests with the least value for each second
/// of work until the others meet their objectives; those left out are then treated in the same way
/// with the end of their callers' patience. Requests that have waited for an eighth of their
/// objective have been accepted and are not refused for lack of capacity any more.
///
/// Without a known demand, requests are served by priority and arrival, and none is refused: the
/// requests of one instance do not show whether later ones that are more urgent need the slots.
///
/// Returns one entry for each request, in the order of service.
std::vector<AdmissionEntry> orderAdmission(gsl::span<const QueuedRequest> requests,
                                           const SlotSupply &supply, SteadyTime now);

/// Whether more urgent requests of other instances take the \p room free slots before one of
/// \p priority.
bool isOutranked(int priority, int room, gsl::span<const PriorityDemand> demand);

/// The Retry-After of a refused request: \p backlog, spread by up to a half with \p draw in [0, 1)
/// and 0.5 s at least. If the caller's time left outlasts the backlog, at most a third of that
/// time, since callers don't follow a longer one.
Duration spreadRetryAfter(Duration backlog, Duration callerTimeLeft, double draw);

} // namespace marigoldspool

#endif
