#ifndef MARIGOLDSPOOL_LIMITS_LOANREQUESTTRACKER_H
#define MARIGOLDSPOOL_LIMITS_LOANREQUESTTRACKER_H

#include "marigoldspool/Limits/LimitTypes.h"
#include "marigoldspool/Support/RandomSource.h"

#include <map>
#include <optional>
#include <vector>

namespace marigoldspool {

/// Measures a demand in tokens per second as an exponentially weighted average.
class DemandMeter
{
public:
    void add(double tokens, SteadyTime now);
    double perSecond(SteadyTime now) const;
    /// The exponentially weighted number of requests.
    double samples(SteadyTime now) const;

private:
    double m_rate = 0;
    double m_samples = 0;
    SteadyTime m_at;
};

/// Tracks the pending loan requests of one limit and selects the peers to ask next.
class LoanRequestTracker
{
public:
    struct PendingLoanRequest {
        InstanceId peer;
        std::uint64_t id = 0;
        double tokens = 0;
        double fraction = 0;
        SteadyTime sentAt;
        /// The answer is overdue, but it is still accepted when it arrives.
        bool timedOut = false;
    };

    explicit LoanRequestTracker(const LimitOptions &options);

    struct Candidate {
        InstanceId peer;
        /// Tokens that it is expected to lend, estimated from its earlier answers.
        double tokens = 0;
    };

    /// Assumed spare tokens of a peer that has not answered yet, and the assumed accrual rate.
    struct PeerEstimate {
        double tokens = 0;
        double perSecond = 0;
    };

    /// Peers that can be asked now, those with the most expected tokens first.
    std::vector<Candidate> candidates(const std::vector<InstanceId> &peers,
                                      const PeerEstimate &estimate, SteadyTime now,
                                      RandomSource &random) const;
    /// Whether no request to \p peer is pending and its backoff after a refusal is over.
    bool canAsk(const InstanceId &peer, SteadyTime now) const;
    void recordSent(PendingLoanRequest pending);
    /// Removes and returns the request that an answer belongs to, so that a duplicate of the answer
    /// finds none.
    std::optional<PendingLoanRequest> takePending(const InstanceId &peer, std::uint64_t id);
    /// Updates the history of the peer with its answer to \p pending.
    void recordAnswer(const PendingLoanRequest &pending, double tokens, double fraction,
                      SteadyTime now);
    /// Starts or doubles the backoff of a peer that cannot lend now.
    void backOff(const InstanceId &peer, SteadyTime now);
    void onTick(SteadyTime now);

    /// The number of requests that have not timed out.
    std::size_t pendingCount() const;
    /// The sum of the tokens requested so recently that no other peer needs to be asked for them.
    double pendingTokens(SteadyTime now) const;
    double pendingFraction() const;
    /// Whether \p peer may still answer a request for a fraction, including one that timed out.
    bool hasPendingFraction(const InstanceId &peer) const;
    /// The earliest time at which one of \p peers can be asked after a refusal.
    std::optional<SteadyTime> nextRetry(const std::vector<InstanceId> &peers, SteadyTime now) const;
    bool isIdle() const { return m_pending.empty(); }

private:
    struct PeerHistory {
        /// Estimate of the tokens that it could lend at answeredAt; negative if unknown.
        double tokens = -1;
        /// The time of its last answer.
        SteadyTime answeredAt;
        /// The time at which its backoff ends.
        SteadyTime notBefore;
        Duration backoff = Duration::zero();
    };

    const LimitOptions *m_options;
    std::vector<PendingLoanRequest> m_pending;
    std::map<InstanceId, PeerHistory> m_history;
};

} // namespace marigoldspool

#endif
