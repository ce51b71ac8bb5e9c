#ifndef MARIGOLDSPOOL_LIMITS_LOANDESK_H
#define MARIGOLDSPOOL_LIMITS_LOANDESK_H

#include "marigoldspool/Limits/LimitTypes.h"
#include "marigoldspool/Support/RandomSource.h"

#include <map>
#include <optional>
#include <vector>

namespace marigoldspool {

/// An exponentially weighted mean of the tokens asked for per second.
class DemandMeter
{
public:
    void add(double tokens, SteadyTime now);
    double perSecond(SteadyTime now) const;
    /// Requests counted, the older ones with less weight.
    double samples(SteadyTime now) const;

private:
    double m_rate = 0;
    double m_samples = 0;
    SteadyTime m_at;
};

/// The loan requests of one limit that are under way, and whom to ask next.
class LoanDesk
{
public:
    struct Pending {
        InstanceId peer;
        std::uint64_t id = 0;
        double tokens = 0;
        double fraction = 0;
        SteadyTime sentAt;
        /// Given up waiting for the answer, but it is still taken when it comes.
        bool late = false;
    };

    explicit LoanDesk(const LimitOptions &options);

    struct Candidate {
        InstanceId peer;
        /// What it is likely to give, learned from its earlier answers.
        double tokens = 0;
    };

    /// What a peer is taken to have that has not answered yet, and what it accrues.
    struct Guess {
        double tokens = 0;
        double perSecond = 0;
    };

    /// Peers that may be asked now, the likeliest to have spare tokens first.
    std::vector<Candidate> candidates(const std::vector<InstanceId> &peers, const Guess &guess,
                                      SteadyTime now, RandomSource &random) const;
    /// No request to \p peer is under way, and it has not refused one just now.
    bool mayAsk(const InstanceId &peer, SteadyTime now) const;
    void sent(Pending pending);
    /// Takes the request that an answer belongs to; each can be taken once.
    std::optional<Pending> take(const InstanceId &peer, std::uint64_t id);
    /// Learns from an answer to \p pending.
    void learn(const Pending &pending, double tokens, double fraction, SteadyTime now);
    /// The peer has nothing to give for now.
    void postpone(const InstanceId &peer, SteadyTime now);
    void onTick(SteadyTime now);

    /// Requests that are likely to be answered still.
    std::size_t underWay() const;
    /// Tokens asked for so recently that the answer is not overdue.
    double tokensUnderWay(SteadyTime now) const;
    double fractionUnderWay() const;
    /// A fraction was asked for and the answer, if it comes, could still be used.
    bool mayReceiveFraction(const InstanceId &peer) const;
    /// When the next peer can be asked again after a refusal.
    std::optional<SteadyTime> nextRetry(const std::vector<InstanceId> &peers, SteadyTime now) const;
    bool idle() const { return m_pending.empty(); }

private:
    struct Hint {
        double tokens = -1;
        SteadyTime at;
        SteadyTime notBefore;
        Duration pause = Duration::zero();
    };

    const LimitOptions *m_options;
    std::vector<Pending> m_pending;
    std::map<InstanceId, Hint> m_hints;
};

} // namespace marigoldspool

#endif
