#ifndef MARIGOLDSPOOL_LIMITS_RATELIMIT_H
#define MARIGOLDSPOOL_LIMITS_RATELIMIT_H

#include "marigoldspool/Limits/LoanBook.h"
#include "marigoldspool/Limits/TokenBucket.h"

namespace marigoldspool {

/// One instance's part of one rate limit: its share, its tokens and its loans.
///
/// The part is share + borrowed - lent of the limit's rate and burst. All functions that take the
/// time first end the loans that are over by then, each at its own end, so that a paused instance
/// finds its tokens as if it had been running.
class RateLimit
{
public:
    /// What a lender gives.
    struct Offer {
        double fraction = 0;
        double tokens = 0;
        Duration term = Duration::zero();

        bool empty() const { return fraction <= 0 && tokens <= 0; }
    };

    /// \p rate and \p burst are those of the whole limit; \p accrual scales the rate so that a
    /// clock that runs fast does not create tokens; \p share is a part of the whole.
    RateLimit(double rate, double burst, double accrual, double share, double level,
              SteadyTime now);

    void setRule(double rate, double burst, SteadyTime now);
    void setShare(double share, SteadyTime now);
    bool tryTake(double tokens, SteadyTime now);
    /// Gives back tokens taken earlier; those above the capacity are lost.
    void giveBack(double tokens, SteadyTime now);

    double level(SteadyTime now);
    /// The part of the limit held now.
    double fraction(SteadyTime now);
    double capacity(SteadyTime now);
    Duration timeUntil(double tokens, SteadyTime now);
    /// Whether tokens held now would be lost when \p loan, a borrowed one, ends.
    bool losesAtEnd(const Loan &loan, SteadyTime now);
    /// Whether what is lent fits in what is held, now and until all loans are over.
    bool fits(SteadyTime now);

    /// The most of \p wanted that can be lent to \p peer beside \p keepFraction and
    /// \p keepTokens, and that what is held covers until \p reservedUntil.
    Offer offer(const InstanceId &peer, const Offer &wanted, double keepFraction, double keepTokens,
                SteadyTime reservedUntil, SteadyTime now);
    /// Subtracts the tokens for good and the fraction until \p reservedUntil. \p offer must come
    /// from offer() at the same time. False, with nothing changed, if the tokens are not there.
    bool lend(const InstanceId &peer, std::uint64_t id, const Offer &offer,
              SteadyTime reservedUntil, SteadyTime now);
    /// Adds a grant that ends at \p end; a grant that is over is dropped.
    void borrow(const InstanceId &peer, std::uint64_t id, double fraction, double tokens,
                SteadyTime end, SteadyTime now);
    /// Ends a borrowed loan early and takes out the tokens that go back with it: those above
    /// \p keepTokens and those that would be lost. Returns a negative number and changes nothing
    /// when the loan is needed for what is lent.
    double returnLoan(const InstanceId &peer, std::uint64_t id, double keepTokens, SteadyTime now);
    /// A borrower has returned a loan; false when it is not known any more.
    bool onReturned(const InstanceId &peer, std::uint64_t id, double tokens, SteadyTime now);

    const LoanBook &borrowed() const { return m_borrowed; }
    const LoanBook &lent() const { return m_lent; }
    double rate() const { return m_rate; }
    double burst() const { return m_burst; }
    double share() const { return m_share; }

private:
    void settle(SteadyTime now);
    void reshape(SteadyTime now);
    double fractionAfter(SteadyTime at) const;
    double capacityAfter(SteadyTime at) const;
    /// The times in [now, until) at which the part held can become smaller.
    std::vector<SteadyTime> lowPoints(const InstanceId *peer, SteadyTime now,
                                      SteadyTime until) const;

    double m_rate;
    double m_burst;
    double m_accrual;
    double m_share;
    TokenBucket m_bucket;
    LoanBook m_lent;
    LoanBook m_borrowed;
};

} // namespace marigoldspool

#endif
