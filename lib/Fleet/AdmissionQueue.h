#ifndef MARIGOLDSPOOL_LIB_FLEET_ADMISSIONQUEUE_H
#define MARIGOLDSPOOL_LIB_FLEET_ADMISSIONQUEUE_H

#include "Fleet/FleetRuntime.h"
#include "marigoldspool/Serving/AdmissionOrder.h"

#include <list>
#include <map>
#include <memory>
#include <utility>

namespace marigoldspool {

class Exchange;

/// Arranges the waiting requests of contended pools. Requests of other pools, and all requests
/// while the loads of the engines are not known, keep their places.
class AdmissionQueue
{
public:
    using Requests = std::list<std::shared_ptr<Exchange>>;

    explicit AdmissionQueue(FleetRuntime &runtime);

    /// Arranges \p waiting in the order of service and notes what to tell the other instances.
    void arrange(Requests &waiting);
    /// Whether \p exchange, for which an endpoint has been chosen, waits for more urgent requests:
    /// of other instances, or of this one among \p waiting if it has not waited yet.
    bool mustWait(const Exchange &exchange, const EndpointChoice &choice,
                  const Requests &waiting) const;
    /// What becomes of \p exchange, for which \p choice has no free slot. \p loadedIn: until
    /// another engine has the model, if one is loading it.
    AdmissionEntry entryFor(const Exchange &exchange, const EndpointChoice &choice,
                            std::optional<Duration> loadedIn, const Requests &waiting);
    /// Records the refusal of \p exchange for lack of capacity.
    void onRefused(const Exchange &exchange, const AdmissionEntry &entry,
                   Duration retryAfter) const;

private:
    using Key = std::pair<PoolName, ModelName>;

    /// What the engines with a model offered at the last attempt, and how the requests that waited
    /// for it were arranged then.
    struct Group {
        SlotSupply supply;
        std::map<const Exchange *, AdmissionEntry> entries;
    };

    SlotSupply supplyFor(const Key &key) const;
    void noteWaiting(const Requests &waiting);

    FleetRuntime &m_runtime;
    std::map<Key, Group> m_groups;
};

} // namespace marigoldspool

#endif
