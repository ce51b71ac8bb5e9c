#ifndef MARIGOLDSPOOL_LIMITS_LOANBOOK_H
#define MARIGOLDSPOOL_LIMITS_LOANBOOK_H

#include "marigoldspool/Support/Clock.h"
#include "marigoldspool/Support/Identifiers.h"

#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

namespace marigoldspool {

/// One grant as its lender or its borrower keeps it until \c end.
struct Loan {
    InstanceId peer;
    std::uint64_t id = 0;
    /// Part of the limit's rate and burst.
    double fraction = 0;
    /// Tokens, which also are burst capacity in addition to that of the fraction.
    double tokens = 0;
    /// The tokens fill the capacity of the fraction; only what is above it comes in addition.
    bool tokensIncluded = false;
    /// The limit's burst when the loan was made; a lower burst lowers the tokens' capacity.
    double burst = 0;
    SteadyTime end;
};

/// The loans of one limit in one direction.
///
/// The fractions of several loans between the same two instances do not add up: the largest one
/// counts. A loan can thus be renewed by a second one that overlaps it, without the lender having
/// to spare the fraction twice. Tokens do add up, since each grant takes its own from the lender.
class LoanBook
{
public:
    void add(Loan loan);
    const Loan *find(const InstanceId &peer, std::uint64_t id) const;
    bool remove(const InstanceId &peer, std::uint64_t id);
    void removeExpired(SteadyTime now);

    /// The fraction held by loans that go on after \p at.
    double fractionAfter(SteadyTime at) const;
    double fractionWith(const InstanceId &peer, SteadyTime at) const;
    /// Capacity in tokens, in addition to that of the fraction, under a burst of \p burst.
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
