#ifndef MARIGOLDSPOOL_LIMITS_LOANSET_H
#define MARIGOLDSPOOL_LIMITS_LOANSET_H

#include "marigoldspool/Support/Clock.h"
#include "marigoldspool/Support/Identifiers.h"

#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

namespace marigoldspool {

/// A loan as its lender or its borrower records it until \c end.
struct Loan {
    InstanceId peer;
    std::uint64_t id = 0;
    /// Fraction of the limit's rate and burst.
    double fraction = 0;
    /// Tokens; they also transfer burst capacity in addition to that of the fraction.
    double tokens = 0;
    /// The tokens count towards the capacity of the fraction; only the excess adds capacity.
    bool tokensIncluded = false;
    /// The limit's burst when the loan was made; a lower burst scales the tokens' capacity down.
    double burst = 0;
    SteadyTime end;
};

/// The loans of one limit in one direction, either lent or borrowed.
///
/// The fractions of several loans between the same two instances do not add up: the largest one
/// counts. A loan can therefore be renewed by an overlapping one without the lender reserving the
/// fraction twice. Tokens add up, because each grant takes its own tokens from the lender.
class LoanSet
{
public:
    void add(Loan loan);
    const Loan *find(const InstanceId &peer, std::uint64_t id) const;
    bool remove(const InstanceId &peer, std::uint64_t id);
    void removeExpired(SteadyTime now);

    /// The sum of the fractions of loans that end after \p at.
    double fractionAfter(SteadyTime at) const;
    double fractionWith(const InstanceId &peer, SteadyTime at) const;
    /// The capacity in tokens that loans ending after \p at transfer in addition to that of their
    /// fractions, for a limit with the given \p burst.
    double tokensAfter(SteadyTime at, double burst) const;
    /// The earliest end of a loan.
    std::optional<SteadyTime> nextEnd() const;
    /// The latest end of a loan that carries a fraction, for each peer.
    std::vector<std::pair<InstanceId, SteadyTime>> fractionEnds() const;
    const std::vector<Loan> &loans() const { return m_loans; }
    bool empty() const { return m_loans.empty(); }

private:
    /// Ordered by peer.
    std::vector<Loan> m_loans;
};

} // namespace marigoldspool

#endif
