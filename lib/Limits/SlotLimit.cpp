#include "marigoldspool/Limits/SlotLimit.h"

#include "marigoldspool/Support/Digest.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace marigoldspool {

namespace {

std::uint64_t rendezvousHash(const EndpointId &endpoint, const InstanceId &member)
{
    return stableHash(endpoint.str() + '\n' + member.str());
}

int slotsIn(const LoanSet &loans, SteadyTime at)
{
    static constexpr double NoBurst = std::numeric_limits<double>::max();
    return static_cast<int>(std::lround(loans.tokensAfter(at, NoBurst)));
}

} // namespace

int ownedSlots(const EndpointId &endpoint, int total, const RosterRecord &record,
               const InstanceId &self)
{
    if (total <= 0 || record.find(self) == nullptr) {
        return 0;
    }
    const int n = static_cast<int>(record.members.size());
    const std::uint64_t own = rendezvousHash(endpoint, self);
    int rank = 0;
    for (const RosterMember &member : record.members) {
        const std::uint64_t hash = rendezvousHash(endpoint, member.id);
        rank += hash > own || (hash == own && member.id < self) ? 1 : 0;
    }
    return total / n + (rank < total % n ? 1 : 0);
}

void SlotLimit::setOwned(int owned, bool mayGrow)
{
    m_owned = mayGrow ? owned : std::min(m_owned, owned);
}

void SlotLimit::expireLoans(SteadyTime now)
{
    m_lent.removeExpired(now);
    m_borrowed.removeExpired(now);
}

int SlotLimit::lentCount(SteadyTime now) const
{
    return slotsIn(m_lent, now);
}

int SlotLimit::borrowedCount(SteadyTime now) const
{
    return slotsIn(m_borrowed, now);
}

int SlotLimit::heldAfter(SteadyTime at) const
{
    return m_owned + slotsIn(m_borrowed, at) - slotsIn(m_lent, at);
}

int SlotLimit::usedAfter(SteadyTime at, SteadyTime now) const
{
    // A slot that has not been returned by its deadline still counts as used now.
    if (at <= now) {
        return used();
    }
    const auto it = std::upper_bound(m_deadlines.begin(), m_deadlines.end(), at);
    return static_cast<int>(m_deadlines.end() - it);
}

int SlotLimit::freeUntil(SteadyTime until, SteadyTime now)
{
    expireLoans(now);
    int minFree = heldAfter(now) - usedAfter(now, now);
    for (const Loan &loan : m_borrowed.loans()) {
        if (loan.end < until) {
            minFree = std::min(minFree, heldAfter(loan.end) - usedAfter(loan.end, now));
        }
    }
    return minFree;
}

bool SlotLimit::coversCommitments(SteadyTime now)
{
    return freeUntil(SteadyTime::max(), now) >= 0;
}

bool SlotLimit::tryTake(SteadyTime deadline, SteadyTime now)
{
    if (freeUntil(deadline, now) < 1) {
        return false;
    }
    m_deadlines.insert(std::upper_bound(m_deadlines.begin(), m_deadlines.end(), deadline),
                       deadline);
    return true;
}

void SlotLimit::returnSlot()
{
    if (!m_deadlines.empty()) {
        m_deadlines.erase(m_deadlines.begin());
    }
}

void SlotLimit::lend(const InstanceId &peer, std::uint64_t id, int slots, SteadyTime reservedUntil)
{
    m_lent.add({peer, id, 0, static_cast<double>(slots), false, 0, reservedUntil});
}

void SlotLimit::borrow(const InstanceId &peer, std::uint64_t id, int slots, SteadyTime end,
                       SteadyTime now)
{
    expireLoans(now);
    if (end > now) {
        m_borrowed.add({peer, id, 0, static_cast<double>(slots), false, 0, end});
    }
}

bool SlotLimit::returnLoan(const InstanceId &peer, std::uint64_t id, SteadyTime now)
{
    expireLoans(now);
    const Loan *found = m_borrowed.find(peer, id);
    if (found == nullptr) {
        return false;
    }
    const Loan loan = *found;
    m_borrowed.remove(peer, id);
    if (!coversCommitments(now)) {
        m_borrowed.add(loan);
        return false;
    }
    return true;
}

bool SlotLimit::onReturned(const InstanceId &peer, std::uint64_t id)
{
    return m_lent.remove(peer, id);
}

} // namespace marigoldspool
