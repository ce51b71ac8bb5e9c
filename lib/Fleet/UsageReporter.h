#ifndef MARIGOLDSPOOL_LIB_FLEET_USAGEREPORTER_H
#define MARIGOLDSPOOL_LIB_FLEET_USAGEREPORTER_H

#include "Fleet/DutyCalls.h"
#include "Fleet/FleetLink.h"
#include "Fleet/FleetRuntime.h"
#include "marigoldspool/Serving/UsageReports.h"

namespace marigoldspool {

/// Sends the usage counts of this instance to the lease holder. While this instance holds the
/// lease, reports the usage of all instances to the control API.
class UsageReporter
{
public:
    /// \p runtime must have a usage tally. All references must outlive the reporter.
    UsageReporter(FleetRuntime &runtime, FleetState &state, FleetLink &link, OwnerLease &lease,
                  DutyCalls &calls);

    void onTick();
    void onMembers();
    void onStarts(const InstanceId &from, std::uint64_t incarnation, const RequestStarts &starts);

private:
    void sendStarts();
    void readLedger();
    void writeLedger();
    void sendReport();
    void logOutcomes();

    FleetRuntime &m_runtime;
    FleetState &m_state;
    FleetLink &m_link;
    OwnerLease &m_lease;
    DutyCalls &m_calls;
    UsageReports m_reports;
    /// Added to the time of the report at a window's end, so that the holder does not receive those
    /// of all instances at once.
    Duration m_endPhase;
    InstanceId m_sentTo;
    SteadyTime m_nextSend;
    std::int64_t m_sentEndOf = 0;
};

} // namespace marigoldspool

#endif
