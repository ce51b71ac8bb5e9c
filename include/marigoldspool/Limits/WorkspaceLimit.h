#ifndef MARIGOLDSPOOL_LIMITS_WORKSPACELIMIT_H
#define MARIGOLDSPOOL_LIMITS_WORKSPACELIMIT_H

#include "marigoldspool/Limits/LimitTypes.h"
#include "marigoldspool/Limits/LoanDesk.h"
#include "marigoldspool/Limits/RateLimit.h"

#include <functional>
#include <string>
#include <vector>

namespace marigoldspool {

/// What a limit needs to know of its instance.
struct LimitContext {
    const LimitOptions &options;
    SteadyTime now;
    RandomSource &random;
    /// Live peers that may be asked for loans, in the own zone and elsewhere.
    const std::vector<InstanceId> &zonePeers;
    const std::vector<InstanceId> &otherPeers;
    /// The zone's part of the whole, and how many members divide it.
    double zoneFraction = 0;
    std::size_t members = 1;
    /// No share is held back for own demand.
    bool releasing = false;
    /// False when the peer has been sent as many requests as it may get now.
    const std::function<bool(const InstanceId &)> &mayAsk;
    std::vector<AddressedMessage> &send;
};

/// A workspace's limit at one instance: decides on requests, lends to peers and borrows from them.
class WorkspaceLimit
{
public:
    WorkspaceLimit(std::string name, RateLimit rate, const LimitOptions &options);

    LimitDecision admit(double cost, AdmitAttempt attempt, const LimitContext &context);
    void onLoanRequest(const InstanceId &from, const LoanRequest &request,
                       const LimitContext &context);
    /// An answer to a request of this instance, or a loan that comes back early.
    void onLoanGrant(const InstanceId &from, const LoanGrant &grant, const LimitContext &context);
    /// Sends what is due: requests, renewals, early returns and deferred answers.
    void plan(const LimitContext &context);
    /// Returns all borrowed loans that are not lent on.
    void returnLoans(const LimitContext &context);

    /// How soon plan() has to be called again; nothing when the limit is at rest.
    std::optional<Duration> wakeupAfter(SteadyTime now) const;
    /// Holds no information that is not also in the rule and the share.
    bool disposable(SteadyTime now);
    LimitStatus status(SteadyTime now);
    RateLimit &rate() { return m_rate; }
    const std::string &name() const { return m_name; }

private:
    /// A request of this instance that waits for a loan.
    struct Waiting {
        double cost = 0;
        SteadyTime until;
    };

    /// A request from another zone that waits until this instance has borrowed in its own.
    struct Deferred {
        InstanceId from;
        LoanRequest request;
        SteadyTime until;
    };

    struct Target {
        double tokens = 0;
        double fraction = 0;
        /// Only peers of the own zone are asked.
        bool zoneOnly = false;
    };

    double demandFraction(SteadyTime now) const;
    double waitingTokens(SteadyTime now) const;
    double keepFraction(const LimitContext &context) const;
    double keepTokens(const LimitContext &context) const;
    LimitDecision refuseOrWait(double cost, SteadyTime latest, const LimitContext &context);
    RateLimit::Offer offerFor(const InstanceId &from, const RateLimit::Offer &wanted,
                              const LimitContext &context);
    RateLimit::Offer makeOffer(const InstanceId &from, const LoanRequest &request,
                               const LimitContext &context);
    void answer(const InstanceId &from, const LoanRequest &request, const RateLimit::Offer &offer,
                const LimitContext &context);
    void expire(SteadyTime now);
    void serveDeferred(const LimitContext &context);
    void askForTokens(const LimitContext &context);
    void askForFraction(const LimitContext &context);
    void ask(const Target &target, const LimitContext &context);
    void sendRequest(const InstanceId &peer, double tokens, double fraction,
                     const LimitContext &context);
    void reviewBorrowed(const LimitContext &context);
    void reviewPeer(const InstanceId &peer, SteadyTime end, const LimitContext &context);
    bool returnTo(const InstanceId &peer, const LimitContext &context);
    /// Returns loans whose tokens would be lost with them.
    void rescueTokens(const LimitContext &context);
    RateLimit::Offer tokenOffer(const InstanceId &from, double tokens, const LimitContext &context);

    std::string m_name;
    RateLimit m_rate;
    DemandMeter m_demand;
    LoanDesk m_desk;
    std::vector<Waiting> m_waiting;
    std::vector<Deferred> m_deferred;
    SteadyTime m_lastUsed;
    SteadyTime m_nextFractionCheck;
};

} // namespace marigoldspool

#endif
