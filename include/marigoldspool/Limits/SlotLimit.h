#ifndef MARIGOLDSPOOL_LIMITS_SLOTLIMIT_H
#define MARIGOLDSPOOL_LIMITS_SLOTLIMIT_H

#include "marigoldspool/Limits/LoanSet.h"
#include "marigoldspool/Limits/Roster.h"

#include <vector>

namespace marigoldspool {

/// How many of the \p total slots of \p endpoint the member \p self owns: an equal number for each
/// member, plus one of the remainder if its rank by rendezvous hashing is low enough.
int ownedSlots(const EndpointId &endpoint, int total, const RosterRecord &record,
               const InstanceId &self);

/// One instance's part of the slots of one endpoint. Loans are of whole slots; LoanSet stores their
/// number as tokens.
class SlotLimit
{
public:
    /// Sets the number of slots owned in the present epoch; ignores an increase unless \p mayGrow,
    /// which requires RosterState::isEpochInForce().
    void setOwned(int owned, bool mayGrow);

    /// Takes a slot until returnSlot(), which is expected before \p deadline.
    bool tryTake(SteadyTime deadline, SteadyTime now);
    void returnSlot();
    /// Whether the slots held cover those used and lent, now and until all loans have ended.
    bool coversCommitments(SteadyTime now);

    /// The number of slots that are free from \p now until \p until.
    int freeUntil(SteadyTime until, SteadyTime now);
    /// \p slots must not be above freeUntil(\p reservedUntil).
    void lend(const InstanceId &peer, std::uint64_t id, int slots, SteadyTime reservedUntil);
    void borrow(const InstanceId &peer, std::uint64_t id, int slots, SteadyTime end,
                SteadyTime now);
    /// Ends a borrowed loan early if none of its slots is needed. Returns whether it has ended.
    bool returnLoan(const InstanceId &peer, std::uint64_t id, SteadyTime now);
    bool onReturned(const InstanceId &peer, std::uint64_t id);

    int owned() const { return m_owned; }
    int used() const { return static_cast<int>(m_deadlines.size()); }
    int lentCount(SteadyTime now) const;
    int borrowedCount(SteadyTime now) const;
    const LoanSet &lent() const { return m_lent; }
    const LoanSet &borrowed() const { return m_borrowed; }

private:
    int heldAfter(SteadyTime at) const;
    int usedAfter(SteadyTime at, SteadyTime now) const;
    void expireLoans(SteadyTime now);

    int m_owned = 0;
    /// Deadlines of the requests that hold slots, earliest first. When a slot is returned it is not
    /// known which request has ended; the earliest deadline is removed, so that the use of the
    /// remaining slots is never underestimated.
    std::vector<SteadyTime> m_deadlines;
    LoanSet m_lent;
    LoanSet m_borrowed;
};

} // namespace marigoldspool

#endif
