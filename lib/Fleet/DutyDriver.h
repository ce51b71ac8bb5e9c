#ifndef MARIGOLDSPOOL_LIB_FLEET_DUTYDRIVER_H
#define MARIGOLDSPOOL_LIB_FLEET_DUTYDRIVER_H

#include "Fleet/DutyCalls.h"
#include "Fleet/FleetRuntime.h"
#include "marigoldspool/Limits/TokenBucket.h"

#include <map>

namespace marigoldspool {

/// Sends the calls of all duties while this instance holds the lease.
class DutyDriver final : public DutyCalls
{
public:
    /// \p lease must outlive the driver.
    DutyDriver(FleetRuntime &runtime, OwnerLease &lease);

    bool canCall(const OrderSubject &subject) const override;
    std::uint64_t token() const override { return m_lease.term(); }
    void call(const OrderSubject &subject, EndpointCall call, Callback<int> done) override;

private:
    class Handler;

    struct SubjectState {
        bool isOpen = false;
        /// No call before this time, since earlier ones have failed.
        SteadyTime pausedUntil;
        Duration pause = Duration::zero();
    };

    bool hasRate() const;
    void onAnswer(const OrderSubject &subject, std::uint64_t token, const Expected<int> &status);

    FleetRuntime &m_runtime;
    OwnerLease &m_lease;
    std::map<OrderSubject, SubjectState> m_subjects;
    TokenBucket m_rate;
    std::uint64_t m_callCounter = 0;
};

} // namespace marigoldspool

#endif
