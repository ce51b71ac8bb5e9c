#ifndef MARIGOLDSPOOL_LIMITS_WORKSPACELIMIT_H
#define MARIGOLDSPOOL_LIMITS_WORKSPACELIMIT_H

#include "marigoldspool/Limits/LimitTypes.h"
#include "marigoldspool/Limits/LoanRequestTracker.h"
#include "marigoldspool/Limits/RateLimit.h"

#include <functional>
#include <string>
#include <vector>

namespace marigoldspool {

/// The state of the instance that its limits depend on.
struct LimitContext {
    const LimitOptions &options;
    SteadyTime now;
    RandomSource &random;
    /// Live peers that can be asked for loans, in the own zone and in other zones.
    const std::vector<InstanceId> &zonePeers;
    const std::vector<InstanceId> &otherPeers;
    /// The zone's fraction of each limit, and the number of members that share it equally.
    double zoneFraction = 0;
    std::size_t members = 1;
    /// Whether the instance is shutting down; it then keeps nothing for its own demand.
    bool releasing = false;
    /// Whether the peer's budget of loan requests allows another one; charges the budget if so.
    const std::function<bool(const InstanceId &)> &canAsk;
    std::vector<AddressedMessage> &send;
};

/// Enforces a workspace's limit at one instance: decides on requests, lends to peers and borrows
/// from them.
class WorkspaceLimit
{
public:
    WorkspaceLimit(std::string name, RateLimit rate, const LimitOptions &options);

    LimitDecision admit(double cost, AdmitAttempt attempt, const LimitContext &context);
    void onLoanRequest(const InstanceId &from, const LoanRequest &request,
                       const LimitContext &context);
    /// Handles an answer to a request of this instance, or a loan that is returned early.
    void onLoanGrant(const InstanceId &from, const LoanGrant &grant, const LimitContext &context);
    /// Sends the requests, renewals, early returns and deferred answers that are due.
    void sendDueMessages(const LimitContext &context);
    /// Returns all borrowed fractions that are not relent.
    void returnLoans(const LimitContext &context);

    /// The time until sendDueMessages() must be called again; nothing while the limit is idle.
    std::optional<Duration> wakeupAfter(SteadyTime now) const;
    /// Whether the whole state can be recreated from the rule and the share.
    bool isDisposable(SteadyTime now);
    LimitStatus status(SteadyTime now);
    RateLimit &rate() { return m_rate; }
    const std::string &name() const { return m_name; }

private:
    /// A caller's request that waits for a loan.
    struct WaitingAdmission {
        double cost = 0;
        SteadyTime until;
    };

    /// A loan request from another zone that waits until this instance has borrowed in its own
    /// zone.
    struct DeferredLoanRequest {
        InstanceId from;
        LoanRequest request;
        SteadyTime until;
    };

    /// Amounts to request from peers.
    struct LoanTarget {
        double tokens = 0;
        double fraction = 0;
        /// Only peers of the own zone are asked.
        bool zoneOnly = false;
    };

    double demandFraction(SteadyTime now) const;
    double waitingTokens(SteadyTime now) const;
    double fractionToKeep(const LimitContext &context) const;
    double tokensToKeep(const LimitContext &context) const;
    LimitDecision refuseOrWait(double cost, SteadyTime waitUntil, const LimitContext &context);
    RateLimit::Offer offerFor(const InstanceId &from, const RateLimit::Offer &wanted,
                              const LimitContext &context);
    RateLimit::Offer makeOffer(const InstanceId &from, const LoanRequest &request,
                               const LimitContext &context);
    void sendGrant(const InstanceId &from, const LoanRequest &request,
                   const RateLimit::Offer &offer, const LimitContext &context);
    void removeExpiredRequests(SteadyTime now);
    void answerDeferred(const LimitContext &context);
    void requestTokens(const LimitContext &context);
    void requestFraction(const LimitContext &context);
    void requestLoans(const LoanTarget &target, const LimitContext &context);
    void sendRequest(const InstanceId &peer, double tokens, double fraction,
                     const LimitContext &context);
    void renewOrReturnLoans(const LimitContext &context);
    void renewOrReturnLoansFrom(const InstanceId &peer, SteadyTime end,
                                const LimitContext &context);
    bool returnLoansTo(const InstanceId &peer, const LimitContext &context);
    /// Returns loans whose end would make tokens exceed the capacity and be lost.
    void returnExpiringTokens(const LimitContext &context);
    RateLimit::Offer tokenOffer(const InstanceId &from, double tokens, const LimitContext &context);

    std::string m_name;
    RateLimit m_rate;
    DemandMeter m_demand;
    LoanRequestTracker m_loanRequests;
    std::vector<WaitingAdmission> m_waiting;
    std::vector<DeferredLoanRequest> m_deferred;
    SteadyTime m_lastUsed;
    SteadyTime m_nextFractionCheck;
};

} // namespace marigoldspool

#endif
