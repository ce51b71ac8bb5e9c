#ifndef MARIGOLDSPOOL_LIMITS_RATELIMIT_H
#define MARIGOLDSPOOL_LIMITS_RATELIMIT_H

#include "marigoldspool/Limits/LoanSet.h"
#include "marigoldspool/Limits/TokenBucket.h"

namespace marigoldspool {

/// One instance's part of one rate limit: its share, its tokens and its loans.
///
/// The instance holds the fraction share + borrowed - lent of the limit's rate and burst. All
/// functions that take the time first expire the loans that have ended, each at its own end, so
/// that an instance that was paused has the same tokens as one that kept running.
class RateLimit
{
public:
    /// What a borrower asks for or a lender grants.
    struct Offer {
        double fraction = 0;
        double tokens = 0;
        Duration term = Duration::zero();

        bool empty() const { return fraction <= 0 && tokens <= 0; }
    };

    /// \p rate and \p burst are those of the whole limit; \p accrualFactor scales the rate so that
    /// a fast clock does not create tokens; \p share is the owned fraction of the limit.
    RateLimit(double rate, double burst, double accrualFactor, double share, double level,
              SteadyTime now);

    void setRule(double rate, double burst, SteadyTime now);
    void setShare(double share, SteadyTime now);
    bool tryTake(double tokens, SteadyTime now);
    /// Returns tokens taken earlier to the bucket; those above the capacity are lost.
    void refund(double tokens, SteadyTime now);

    double level(SteadyTime now);
    /// The fraction of the limit held now, including loans.
    double fraction(SteadyTime now);
    double capacity(SteadyTime now);
    Duration timeUntil(double tokens, SteadyTime now);
    /// Whether tokens held now would exceed the capacity when the borrowed \p loan ends.
    bool losesTokensAtEnd(const Loan &loan, SteadyTime now);
    /// Whether the fraction and capacity held cover those lent, now and until all loans have ended.
    bool coversCommitments(SteadyTime now);

    /// The largest part of \p wanted that can be lent to \p peer while \p fractionToKeep and
    /// \p tokensToKeep remain, and that is covered until \p reservedUntil.
    Offer offer(const InstanceId &peer, const Offer &wanted, double fractionToKeep,
                double tokensToKeep, SteadyTime reservedUntil, SteadyTime now);
    /// Removes the tokens permanently and the fraction until \p reservedUntil. \p offer must come
    /// from offer() at the same time. Returns false and changes nothing if tokens are missing.
    bool lend(const InstanceId &peer, std::uint64_t id, const Offer &offer,
              SteadyTime reservedUntil, SteadyTime now);
    /// Adds a borrowed loan that ends at \p end; ignores one that has already ended.
    void borrow(const InstanceId &peer, std::uint64_t id, double fraction, double tokens,
                SteadyTime end, SteadyTime now);
    /// Ends a borrowed loan early, and removes and returns the tokens to send back with it: those
    /// above \p tokensToKeep and those that would be lost. Returns a negative number and changes
    /// nothing if the loan is unknown or needed to cover what is lent.
    double returnLoan(const InstanceId &peer, std::uint64_t id, double tokensToKeep,
                      SteadyTime now);
    /// Handles the return of a lent loan; false if the loan is unknown or has ended.
    bool onReturned(const InstanceId &peer, std::uint64_t id, double tokens, SteadyTime now);

    const LoanSet &borrowed() const { return m_borrowed; }
    const LoanSet &lent() const { return m_lent; }
    double rate() const { return m_rate; }
    double burst() const { return m_burst; }
    double share() const { return m_share; }

private:
    void expireLoans(SteadyTime now);
    void updateBucket(SteadyTime now);
    double fractionAfter(SteadyTime at) const;
    double capacityAfter(SteadyTime at) const;
    /// The times in [now, until) at which what is held can decrease.
    std::vector<SteadyTime> decreaseTimes(const InstanceId *peer, SteadyTime now,
                                          SteadyTime until) const;

    double m_rate;
    double m_burst;
    double m_accrualFactor;
    double m_share;
    TokenBucket m_bucket;
    LoanSet m_lent;
    LoanSet m_borrowed;
};

} // namespace marigoldspool

#endif
