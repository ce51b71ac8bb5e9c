#ifndef MARIGOLDSPOOL_LIMITS_SLOTLIMIT_H
#define MARIGOLDSPOOL_LIMITS_SLOTLIMIT_H

#include "marigoldspool/Limits/LoanBook.h"
#include "marigoldspool/Limits/Roster.h"

#include <vector>

namespace marigoldspool {

/// The slots of \p total that the roster's member \p self owns of \p endpoint: as many as every
/// other member, and one of the remainder if its rendezvous rank is low enough.
int ownedSlots(const EndpointId &endpoint, int total, const RosterRecord &record,
               const InstanceId &self);

/// One instance's part of the slots of one endpoint. Loans are of whole slots; LoanBook keeps
/// their number as tokens.
class SlotLimit
{
public:
    /// The slots this instance owns in the present epoch; \p mayGrow as RosterState::complete().
    void setOwned(int owned, bool mayGrow);

    /// Takes a slot until giveBack(), which comes before \p deadline.
    bool tryTake(SteadyTime deadline, SteadyTime now);
    void giveBack();
    /// Whether what is used and lent fits in what is held, now and until all loans are over.
    bool fits(SteadyTime now);

    /// How many slots are free from now on until \p until.
    int freeUntil(SteadyTime until, SteadyTime now);
    /// \p slots must not be above freeUntil(\p reservedUntil).
    void lend(const InstanceId &peer, std::uint64_t id, int slots, SteadyTime reservedUntil);
    void borrow(const InstanceId &peer, std::uint64_t id, int slots, SteadyTime end,
                SteadyTime now);
    /// Ends a borrowed loan early, if no slot of it is needed.
    bool returnLoan(const InstanceId &peer, std::uint64_t id, SteadyTime now);
    bool onReturned(const InstanceId &peer, std::uint64_t id);

    int owned() const { return m_owned; }
    int used() const { return static_cast<int>(m_deadlines.size()); }
    int lentCount(SteadyTime now) const;
    int borrowedCount(SteadyTime now) const;
    const LoanBook &lent() const { return m_lent; }
    const LoanBook &borrowed() const { return m_borrowed; }

private:
    int heldAfter(SteadyTime at) const;
    int usedAfter(SteadyTime at, SteadyTime now) const;
    void settle(SteadyTime now);

    int m_owned = 0;
    /// Deadlines of the requests that hold slots, earliest first. Which request has ended is not
    /// known when a slot comes back; the one with the earliest deadline is removed, so that what
    /// remains is never shorter than the truth.
    std::vector<SteadyTime> m_deadlines;
    LoanBook m_lent;
    LoanBook m_borrowed;
};

} // namespace marigoldspool

#endif
