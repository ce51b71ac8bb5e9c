#ifndef MARIGOLDSPOOL_LIB_FLEET_DUTYCALLS_H
#define MARIGOLDSPOOL_LIB_FLEET_DUTYCALLS_H

#include "marigoldspool/Gateway/EndpointClient.h"
#include "marigoldspool/Platform/ObjectStore.h"
#include "marigoldspool/Serving/OrderSubject.h"

#include <cstdint>

namespace marigoldspool {

/// Calls to the platform's control API, which only the lease holder makes.
class DutyCalls
{
public:
    virtual ~DutyCalls() = default;
    /// Whether this instance may send a call on \p subject now: it holds the lease, the calls of
    /// earlier holders have arrived, no call on the subject is open, and the rate allows it.
    virtual bool canCall(const OrderSubject &subject) const = 0;
    /// The fencing token of the calls; it rises when the holder changes.
    virtual std::uint64_t token() const = 0;
    /// Sends \p call and passes the status of the answer to \p done, which is never called from
    /// within call(). Fails with Unavailable (not sent) or OutcomeUnknown (it may take effect, also
    /// later). Must not be used while canCall() is false.
    virtual void call(const OrderSubject &subject, EndpointCall call, Callback<int> done) = 0;
};

} // namespace marigoldspool

#endif
