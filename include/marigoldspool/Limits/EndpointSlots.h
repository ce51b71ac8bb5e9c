#ifndef MARIGOLDSPOOL_LIMITS_ENDPOINTSLOTS_H
#define MARIGOLDSPOOL_LIMITS_ENDPOINTSLOTS_H

#include "marigoldspool/Limits/LoanRequestTracker.h"
#include "marigoldspool/Limits/SlotLimit.h"
#include "marigoldspool/Limits/WorkspaceLimit.h"

#include <string>

namespace marigoldspool {

/// Manages one instance's slots of one endpoint: takes them for requests, lends them to peers and
/// borrows slots from peers.
class EndpointSlots
{
public:
    EndpointSlots(EndpointId endpoint, const LimitOptions &options);

    void setZone(const ZoneName &zone) { m_zone = zone; }
    void setTotal(int total) { m_total = total; }
    /// Updates the number of owned slots from the roster.
    void update(const RosterState &state, const InstanceId &self, bool inZone, bool mayGrow);

    bool tryTake(Duration deadline, SteadyTime now);
    void returnSlot();
    void onLoanRequest(const InstanceId &from, const LoanRequest &request,
                       const LimitContext &context);
    void onLoanGrant(const InstanceId &from, const LoanGrant &grant, const LimitContext &context);
    /// Requests loans for unmet requests and returns unused loans.
    void sendDueMessages(const std::vector<InstanceId> &zonePeers, const LimitContext &context);

    std::optional<Duration> wakeupAfter() const;
    SlotStatus status(SteadyTime now) const;
    SlotLimit &limit() { return m_limit; }
    const ZoneName &zone() const { return m_zone; }

private:
    void returnLoans(const InstanceId *peer, const LimitContext &context);

    EndpointId m_endpoint;
    std::string m_name;
    ZoneName m_zone;
    int m_total = 0;
    SlotLimit m_limit;
    LoanRequestTracker m_loanRequests;
    /// Requests that found no slot and may still be waiting.
    int m_unmetRequests = 0;
    SteadyTime m_unmetUntil;
    SteadyTime m_lastTaken;
    /// m_owned caches the result of ownedSlots() for m_ownedEpoch and m_ownedTotal.
    std::uint64_t m_ownedEpoch = 0;
    int m_ownedTotal = 0;
    int m_owned = 0;
};

} // namespace marigoldspool

#endif
