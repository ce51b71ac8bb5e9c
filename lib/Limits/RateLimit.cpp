#include "marigoldspool/Limits/RateLimit.h"

#include <algorithm>

namespace marigoldspool {

namespace {

// Sums of shares such as 1/3 have rounding errors of a few units in the last place.
constexpr double RoundingTolerance = 1e-9;

bool endsFirst(const std::optional<SteadyTime> &a, const std::optional<SteadyTime> &b)
{
    return a && (!b || *a <= *b);
}

} // namespace

RateLimit::RateLimit(double rate, double burst, double accrualFactor, double share, double level,
                     SteadyTime now)
    : m_rate(rate)
    , m_burst(burst)
    , m_accrualFactor(accrualFactor)
    , m_share(share)
    , m_bucket(rate * accrualFactor * share, burst * share, level, now)
{ }

void RateLimit::expireLoans(SteadyTime now)
{
    for (;;) {
        const std::optional<SteadyTime> lentEnd = m_lent.nextEnd();
        const std::optional<SteadyTime> borrowedEnd = m_borrowed.nextEnd();
        const std::optional<SteadyTime> end =
            endsFirst(borrowedEnd, lentEnd) ? borrowedEnd : lentEnd;
        if (!end || *end > now) {
            return;
        }
        m_lent.removeExpired(*end);
        m_borrowed.removeExpired(*end);
        updateBucket(*end);
    }
}

void RateLimit::updateBucket(SteadyTime now)
{
    m_bucket.reconfigure(std::max(0.0, fractionAfter(now)) * m_rate * m_accrualFactor,
                         std::max(0.0, capacityAfter(now)), now);
}

double RateLimit::fractionAfter(SteadyTime at) const
{
    return m_share + m_borrowed.fractionAfter(at) - m_lent.fractionAfter(at);
}

double RateLimit::capacityAfter(SteadyTime at) const
{
    return fractionAfter(at) * m_burst + m_borrowed.tokensAfter(at, m_burst)
        - m_lent.tokensAfter(at, m_burst);
}

std::vector<SteadyTime> RateLimit::decreaseTimes(const InstanceId *peer, SteadyTime now,
                                                 SteadyTime until) const
{
    std::vector<SteadyTime> times{now};
    const auto addEnd = [&](const Loan &loan) {
        if (loan.end > now && loan.end < until) {
            times.push_back(loan.end);
        }
    };
    std::for_each(m_borrowed.loans().begin(), m_borrowed.loans().end(), addEnd);
    for (const Loan &loan : m_lent.loans()) {
        // A renewal includes the fraction of the previous loan only until that loan ends.
        if (peer != nullptr && loan.peer == *peer) {
            addEnd(loan);
        }
    }
    return times;
}

void RateLimit::setRule(double rate, double burst, SteadyTime now)
{
    expireLoans(now);
    m_rate = rate;
    m_burst = burst;
    updateBucket(now);
}

void RateLimit::setShare(double share, SteadyTime now)
{
    expireLoans(now);
    m_share = share;
    updateBucket(now);
}

bool RateLimit::tryTake(double tokens, SteadyTime now)
{
    expireLoans(now);
    return m_bucket.tryTake(tokens, now);
}

void RateLimit::refund(double tokens, SteadyTime now)
{
    expireLoans(now);
    m_bucket.add(tokens, now);
}

double RateLimit::level(SteadyTime now)
{
    expireLoans(now);
    return m_bucket.level(now);
}

double RateLimit::fraction(SteadyTime now)
{
    expireLoans(now);
    return std::max(0.0, fractionAfter(now));
}

double RateLimit::capacity(SteadyTime now)
{
    expireLoans(now);
    return m_bucket.capacity();
}

bool RateLimit::losesTokensAtEnd(const Loan &loan, SteadyTime now)
{
    expireLoans(now);
    return m_bucket.level(now) > capacityAfter(loan.end) + RoundingTolerance * m_burst;
}

Duration RateLimit::timeUntil(double tokens, SteadyTime now)
{
    expireLoans(now);
    return m_bucket.timeUntil(tokens, now);
}

bool RateLimit::coversCommitments(SteadyTime now)
{
    expireLoans(now);
    const std::vector<SteadyTime> times = decreaseTimes(nullptr, now, SteadyTime::max());
    return std::all_of(times.begin(), times.end(), [&](SteadyTime at) {
        return fractionAfter(at) >= -RoundingTolerance
            && capacityAfter(at) >= -RoundingTolerance * (1 + m_burst);
    });
}

RateLimit::Offer RateLimit::offer(const InstanceId &peer, const Offer &wanted,
                                  double fractionToKeep, double tokensToKeep,
                                  SteadyTime reservedUntil, SteadyTime now)
{
    expireLoans(now);
    const std::vector<SteadyTime> times = decreaseTimes(&peer, now, reservedUntil);
    Offer offer;
    offer.term = wanted.term;
    offer.fraction = wanted.fraction;
    for (const SteadyTime at : times) {
        const double reserved = m_lent.fractionWith(peer, at);
        const double free = fractionAfter(at) + reserved - fractionToKeep;
        const double covered = m_burst > 0 ? capacityAfter(at) / m_burst + reserved : 0;
        offer.fraction = std::max(0.0, std::min({offer.fraction, free, covered}));
    }
    const bool isFirst = m_lent.fractionWith(peer, now) <= 0;
    const double level = m_bucket.level(now);
    const double headroom = capacityAfter(now) - level;
    if (!isFirst) {
        // A larger renewal would reduce the capacity below the level without transferring the
        // tokens above it.
        const double reserved = m_lent.fractionWith(peer, now);
        offer.fraction = std::min(offer.fraction, reserved + std::max(0.0, headroom) / m_burst);
    }
    const double included = isFirst ? offer.fraction * m_burst : 0;
    // Tokens above the remaining capacity are lent as well, even if not requested.
    const double excess = std::clamp(included - headroom, 0.0, included);
    offer.tokens = std::min(wanted.tokens, std::max(0.0, level - tokensToKeep));
    offer.tokens = std::min(std::max(offer.tokens, excess), level);
    for (const SteadyTime at : times) {
        const double covered =
            std::max(offer.fraction, m_lent.fractionWith(peer, at)) - m_lent.fractionWith(peer, at);
        const double free = capacityAfter(at) - covered * m_burst + included;
        offer.tokens = std::clamp(free, 0.0, offer.tokens);
    }
    return offer;
}

bool RateLimit::lend(const InstanceId &peer, std::uint64_t id, const Offer &offer,
                     SteadyTime reservedUntil, SteadyTime now)
{
    expireLoans(now);
    if (!m_bucket.tryTake(offer.tokens, now)) {
        return false;
    }
    // The first loan's tokens count towards the capacity of its fraction. Those of a renewal add
    // capacity, because the borrower may have filled that of the fraction already.
    const bool isFirst = m_lent.fractionWith(peer, now) <= 0;
    m_lent.add({peer, id, offer.fraction, offer.tokens, isFirst, m_burst, reservedUntil});
    updateBucket(now);
    return true;
}

void RateLimit::borrow(const InstanceId &peer, std::uint64_t id, double fraction, double tokens,
                       SteadyTime end, SteadyTime now)
{
    expireLoans(now);
    if (end <= now) {
        return;
    }
    const bool isFirst = m_borrowed.fractionWith(peer, now) <= 0;
    m_borrowed.add({peer, id, fraction, tokens, isFirst, m_burst, end});
    updateBucket(now);
    m_bucket.add(tokens, now);
}

double RateLimit::returnLoan(const InstanceId &peer, std::uint64_t id, double tokensToKeep,
                             SteadyTime now)
{
    expireLoans(now);
    const Loan *found = m_borrowed.find(peer, id);
    if (found == nullptr) {
        return -1;
    }
    const Loan loan = *found;
    const double before = capacityAfter(now);
    const double level = m_bucket.level(now);
    m_borrowed.remove(peer, id);
    if (!coversCommitments(now)) {
        m_borrowed.add(loan);
        return -1;
    }
    const double freed = std::max(0.0, before - capacityAfter(now));
    const double above = level - std::min(tokensToKeep, std::max(0.0, capacityAfter(now)));
    const double tokens = std::clamp(above, 0.0, freed);
    m_bucket.tryTake(std::min(tokens, level), now);
    updateBucket(now);
    return tokens;
}

bool RateLimit::onReturned(const InstanceId &peer, std::uint64_t id, double tokens, SteadyTime now)
{
    expireLoans(now);
    const double before = capacityAfter(now);
    if (!m_lent.remove(peer, id)) {
        return false;
    }
    // Only as many tokens are accepted as the return frees capacity for: if a later loan to the
    // same borrower holds the capacity, the borrower may refill it while the tokens are in transit.
    const double freed = std::max(0.0, capacityAfter(now) - before);
    updateBucket(now);
    m_bucket.add(std::min(tokens, freed), now);
    return true;
}

} // namespace marigoldspool
