#ifndef MARIGOLDSPOOL_SERVING_ORDERSUBJECT_H
#define MARIGOLDSPOOL_SERVING_ORDERSUBJECT_H

#include "marigoldspool/Serving/ServingTypes.h"

namespace marigoldspool {

/// What an order of the lease holder concerns: an endpoint, or one matter of a duty. Orders on
/// different subjects do not affect each other.
using OrderSubject = Identifier<struct OrderSubjectTag>;

inline OrderSubject endpointSubject(const EndpointId &endpoint)
{
    return OrderSubject(endpoint.str());
}

/// The usage reports of all windows.
inline OrderSubject usageSubject()
{
    return OrderSubject("duty:usage");
}

/// The number of endpoints of a pool in one availability zone.
inline OrderSubject replicaCountSubject(const PoolName &pool, const ZoneName &zone)
{
    return OrderSubject("duty:replicas/" + pool.str() + '/' + zone.str());
}

} // namespace marigoldspool

#endif
