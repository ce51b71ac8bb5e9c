#include "marigoldspool/Limits/WorkspaceLimit.h"

#include <algorithm>
#include <cmath>

namespace marigoldspool {

namespace {

// A fraction is borrowed and kept for slightly more than the measured demand, because it varies.
constexpr double DemandMargin = 1.15;
// With fewer requests than this in the window of the demand meter, the demand is too uncertain to
// lend a fraction for a whole term; single requests are served by loans of tokens.
constexpr double MinSamples = 4;
// A lender keeps the tokens for this many seconds of its own demand: several round trips between
// zones.
constexpr double KeptDemandSeconds = 0.25;
// A loan of tokens counts as large from this fraction of the lender's capacity.
constexpr double LargeLoanFraction = 0.4;
// When tokens are borrowed, the bucket is filled to this fraction of its capacity. This saves
// messages and takes tokens from peers whose buckets would overflow sooner.
constexpr double PrefetchFraction = 0.5;
constexpr Duration FractionCheckInterval = std::chrono::milliseconds(100);
// A borrowed fraction is kept at least this long, so that it is not passed back and forth.
constexpr Duration MinHoldTime = std::chrono::milliseconds(500);
// Tokens above the own capacity are lost at the end of a loan, so they are returned shortly before:
// twice the wake-up interval of a limit with loans plus the delay to another zone.
constexpr Duration EarlyReturnTime = std::chrono::milliseconds(30);
constexpr Duration ActiveWakeupInterval = std::chrono::milliseconds(10);
// A borrowed fraction is not relent for a shorter term, which would be of no use.
constexpr Duration MinRelendTerm = std::chrono::milliseconds(500);
// Maximum time for which a loan request from another zone waits for loans from the own zone; leaves
// most of the borrower's LimitOptions::loanWait for the round trip.
constexpr Duration MaxDeferral = std::chrono::milliseconds(20);

Duration scaled(Duration duration, double factor)
{
    return std::chrono::duration_cast<Duration>(duration * factor);
}

// The time for which a lender reserves a loan. The borrower's term starts earlier, but its clock
// may be slow and the lender's fast, each by the clock error.
Duration reservedFor(Duration term, const LimitOptions &options)
{
    return scaled(term, (1 + options.clockError) / (1 - options.clockError)) + Duration(1);
}

// The longest term whose reservation lasts no longer than \p remaining.
Duration maxTermWithin(Duration remaining, const LimitOptions &options)
{
    return scaled(remaining, (1 - options.clockError) / (1 + options.clockError))
        - std::chrono::microseconds(1);
}

bool isValidAmount(double value)
{
    return std::isfinite(value) && value >= 0;
}

} // namespace

WorkspaceLimit::WorkspaceLimit(std::string name, RateLimit rate, const LimitOptions &options)
    : m_name(std::move(name))
    , m_rate(std::move(rate))
    , m_loanRequests(options)
{ }

double WorkspaceLimit::demandFraction(SteadyTime now) const
{
    if (m_rate.rate() <= 0 || m_demand.samples(now) < MinSamples) {
        return 0;
    }
    return std::min(1.0, m_demand.perSecond(now) * DemandMargin / m_rate.rate());
}

double WorkspaceLimit::waitingTokens(SteadyTime now) const
{
    double sum = 0;
    for (const WaitingAdmission &waiting : m_waiting) {
        sum += waiting.until > now ? waiting.cost : 0;
    }
    return sum;
}

double WorkspaceLimit::fractionToKeep(const LimitContext &context) const
{
    return context.releasing ? 0 : demandFraction(context.now);
}

double WorkspaceLimit::tokensToKeep(const LimitContext &context) const
{
    if (context.releasing) {
        return 0;
    }
    return waitingTokens(context.now) + KeptDemandSeconds * m_demand.perSecond(context.now);
}

LimitDecision WorkspaceLimit::admit(double cost, AdmitAttempt attempt, const LimitContext &context)
{
    const SteadyTime now = context.now;
    SteadyTime waitUntil = now + context.options.loanWait;
    m_lastUsed = now;
    if (attempt == AdmitAttempt::First) {
        m_demand.add(cost, now);
    } else {
        const auto it =
            std::find_if(m_waiting.begin(), m_waiting.end(), [&](const WaitingAdmission &waiting) {
                return waiting.cost == cost;
            });
        waitUntil = it != m_waiting.end() ? it->until : now;
        if (it != m_waiting.end()) {
            m_waiting.erase(it);
        }
    }
    if (cost > m_rate.burst()) {
        return {LimitDecision::Outcome::Refused, RefusalReason::CostAboveBurst, Duration::zero()};
    }
    if (m_rate.tryTake(cost, now)) {
        return {LimitDecision::Outcome::Admitted, RefusalReason::RateExceeded, Duration::zero()};
    }
    if (context.otherPeers.empty() && cost > context.zoneFraction * m_rate.burst()) {
        return {LimitDecision::Outcome::Refused, RefusalReason::CostAboveZoneShare,
                Duration::zero()};
    }
    return refuseOrWait(cost, waitUntil, context);
}

LimitDecision WorkspaceLimit::refuseOrWait(double cost, SteadyTime waitUntil,
                                           const LimitContext &context)
{
    const SteadyTime now = context.now;
    const auto mayAnswer = [&](const std::vector<InstanceId> &peers) {
        const std::optional<SteadyTime> at = m_loanRequests.nextRetry(peers, now);
        return at && *at < waitUntil;
    };
    if (now < waitUntil
        && (m_loanRequests.pendingCount() > 0 || mayAnswer(context.zonePeers)
            || mayAnswer(context.otherPeers))) {
        m_waiting.push_back({cost, waitUntil});
        return {LimitDecision::Outcome::WaitForLoan, RefusalReason::RateExceeded, waitUntil - now};
    }
    Duration wait = m_rate.timeUntil(cost, now);
    if (wait == Duration::max()) {
        // The own share cannot hold this many tokens: returns the time in which the whole limit
        // accrues them.
        const double missing = cost - m_rate.level(now);
        const double seconds = m_rate.rate() > 0 ? std::min(missing / m_rate.rate(), 3600.0) : 3600;
        wait = fromSeconds(seconds);
    }
    return {LimitDecision::Outcome::Refused, RefusalReason::RateExceeded,
            std::max<Duration>(wait, context.options.loanWait)};
}

RateLimit::Offer WorkspaceLimit::offerFor(const InstanceId &from, const RateLimit::Offer &wanted,
                                          const LimitContext &context)
{
    return m_rate.offer(from, wanted, wanted.fraction > 0 ? fractionToKeep(context) : 0,
                        tokensToKeep(context),
                        context.now + reservedFor(wanted.term, context.options), context.now);
}

RateLimit::Offer WorkspaceLimit::makeOffer(const InstanceId &from, const LoanRequest &request,
                                           const LimitContext &context)
{
    const LimitOptions &options = context.options;
    if (request.fraction > 0) {
        RateLimit::Offer wanted{request.fraction, request.tokens, options.loanTerm};
        RateLimit::Offer offer = offerFor(from, wanted, context);
        const std::optional<SteadyTime> end = m_rate.borrowed().nextEnd();
        if (offer.fraction <= 0 && end) {
            // Borrowed capacity can be relent until the first borrowed loan ends.
            wanted.term = maxTermWithin(*end - context.now, options);
            if (wanted.term >= MinRelendTerm && wanted.term < options.loanTerm) {
                offer = offerFor(from, wanted, context);
            }
        }
        // A loan of a very small fraction is not worth its messages.
        if (offer.fraction > 0.02 * m_rate.share()) {
            return offer;
        }
    }
    return tokenOffer(from, request.tokens, context);
}

RateLimit::Offer WorkspaceLimit::tokenOffer(const InstanceId &from, double tokens,
                                            const LimitContext &context)
{
    const bool large = tokens >= LargeLoanFraction * m_rate.capacity(context.now);
    const Duration term = large ? context.options.largeTokenTerm : context.options.tokenTerm;
    // Borrowed tokens can be relent for a shorter term than they were borrowed for.
    RateLimit::Offer best;
    for (const double factor : {1.0, 0.6, 0.3}) {
        const RateLimit::Offer offer = offerFor(from, {0, tokens, scaled(term, factor)}, context);
        if (offer.tokens > 1.2 * best.tokens) {
            best = offer;
        }
        if (best.tokens >= tokens) {
            break;
        }
    }
    return best;
}

void WorkspaceLimit::sendGrant(const InstanceId &from, const LoanRequest &request,
                               const RateLimit::Offer &offer, const LimitContext &context)
{
    const std::int64_t termMs =
        std::chrono::duration_cast<std::chrono::milliseconds>(offer.term).count();
    LoanGrant grant{m_name, request.loanId, 0, 0, 0};
    const SteadyTime until = context.now + reservedFor(offer.term, context.options);
    if (!offer.empty() && termMs > 0
        && m_rate.lend(from, request.loanId, offer, until, context.now)) {
        grant.tokens = offer.tokens;
        grant.fraction = offer.fraction;
        grant.termMs = termMs;
    }
    context.send.push_back({from, grant});
}

void WorkspaceLimit::onLoanRequest(const InstanceId &from, const LoanRequest &request,
                                   const LimitContext &context)
{
    const auto isSame = [&](const DeferredLoanRequest &d) {
        return d.from == from && d.request.loanId == request.loanId;
    };
    if (!isValidAmount(request.tokens) || !isValidAmount(request.fraction)
        || m_rate.lent().find(from, request.loanId) != nullptr
        || std::any_of(m_deferred.begin(), m_deferred.end(), isSame)) {
        return;
    }
    if (m_rate.borrowed().fractionWith(from, context.now) > 0
        && m_rate.fraction(context.now) - m_rate.borrowed().fractionWith(from, context.now)
            >= fractionToKeep(context)) {
        returnLoansTo(from, context);
    }
    const RateLimit::Offer offer = makeOffer(from, request, context);
    const auto &others = context.otherPeers;
    const bool fromOtherZone = std::find(others.begin(), others.end(), from) != others.end();
    const bool isSufficient =
        offer.tokens >= 0.99 * request.tokens && offer.fraction >= 0.5 * request.fraction;
    if (!isSufficient && fromOtherZone && !context.zonePeers.empty() && !context.releasing) {
        m_deferred.push_back({from, request, context.now + MaxDeferral});
        return;
    }
    sendGrant(from, request, offer, context);
}

void WorkspaceLimit::onLoanGrant(const InstanceId &from, const LoanGrant &grant,
                                 const LimitContext &context)
{
    if (!isValidAmount(grant.tokens) || !isValidAmount(grant.fraction) || grant.fraction > 1) {
        return;
    }
    const std::optional<LoanRequestTracker::PendingLoanRequest> pending =
        m_loanRequests.takePending(from, grant.loanId);
    if (!pending) {
        if (grant.termMs == 0) {
            m_rate.onReturned(from, grant.loanId, grant.tokens, context.now);
        }
        return;
    }
    m_loanRequests.recordAnswer(*pending, grant.tokens, grant.fraction, context.now);
    if (grant.tokens > 0 || grant.fraction > 0) {
        const Duration term =
            std::min<Duration>(std::chrono::milliseconds(grant.termMs), context.options.loanTerm);
        m_rate.borrow(from, grant.loanId, grant.fraction, grant.tokens, pending->sentAt + term,
                      context.now);
    }
}

void WorkspaceLimit::removeExpiredRequests(SteadyTime now)
{
    m_loanRequests.onTick(now);
    m_waiting.erase(std::remove_if(m_waiting.begin(), m_waiting.end(),
                                   [&](const WaitingAdmission &waiting) {
                                       return waiting.until <= now;
                                   }),
                    m_waiting.end());
}

void WorkspaceLimit::answerDeferred(const LimitContext &context)
{
    std::vector<DeferredLoanRequest> rest;
    for (DeferredLoanRequest &deferred : m_deferred) {
        const RateLimit::Offer offer = makeOffer(deferred.from, deferred.request, context);
        const bool isSufficient = offer.tokens >= 0.99 * deferred.request.tokens
            && offer.fraction >= 0.5 * deferred.request.fraction;
        if (isSufficient || deferred.until <= context.now) {
            sendGrant(deferred.from, deferred.request, offer, context);
        } else {
            rest.push_back(std::move(deferred));
        }
    }
    m_deferred = std::move(rest);
}

void WorkspaceLimit::sendDueMessages(const LimitContext &context)
{
    removeExpiredRequests(context.now);
    answerDeferred(context);
    if (context.releasing) {
        returnLoans(context);
        return;
    }
    renewOrReturnLoans(context);
    requestTokens(context);
    requestFraction(context);
}

void WorkspaceLimit::requestTokens(const LimitContext &context)
{
    const SteadyTime now = context.now;
    const double waiting = std::min(waitingTokens(now), m_rate.burst());
    double deferred = 0;
    for (const DeferredLoanRequest &entry : m_deferred) {
        deferred += std::min(entry.request.tokens, context.zoneFraction * m_rate.burst());
    }
    const double missing =
        waiting + deferred - m_rate.level(now) - m_loanRequests.pendingTokens(now);
    if ((m_waiting.empty() && m_deferred.empty()) || missing <= 0) {
        return;
    }
    const double prefetch = PrefetchFraction * m_rate.capacity(now) - m_rate.level(now);
    requestLoans({missing + std::max(0.0, prefetch), 0, m_waiting.empty()}, context);
}

void WorkspaceLimit::requestFraction(const LimitContext &context)
{
    const SteadyTime now = context.now;
    if (now < m_nextFractionCheck) {
        return;
    }
    m_nextFractionCheck = now + FractionCheckInterval;
    double deferredFraction = 0;
    for (const DeferredLoanRequest &entry : m_deferred) {
        deferredFraction += entry.request.fraction;
    }
    const double held = m_rate.fraction(now);
    const double ownShortfall = demandFraction(now) - held - m_loanRequests.pendingFraction();
    // While there are enough tokens, a larger fraction would only take tokens from other instances.
    const bool isLow = m_rate.level(now) < 0.5 * m_rate.capacity(now);
    if (ownShortfall > std::max(0.01, 0.1 * held) && isLow) {
        requestLoans({0, ownShortfall, false}, context);
    } else if (deferredFraction > 0) {
        requestLoans(
            {0, std::min(deferredFraction, context.zoneFraction) - m_loanRequests.pendingFraction(),
             true},
            context);
    }
}

void WorkspaceLimit::requestLoans(const LoanTarget &target, const LimitContext &context)
{
    const double memberShare =
        context.zoneFraction / static_cast<double>(std::max<std::size_t>(1, context.members));
    std::vector<InstanceId> peers = context.zonePeers;
    if (!target.zoneOnly) {
        peers.insert(peers.end(), context.otherPeers.begin(), context.otherPeers.end());
    }
    double tokens = target.tokens;
    double fraction = target.fraction;
    const LoanRequestTracker::PeerEstimate estimate{0.5 * memberShare * m_rate.burst(),
                                                    memberShare * m_rate.rate()};
    auto candidates = m_loanRequests.candidates(peers, estimate, context.now, context.random);
    // A peer that has borrowed a fraction from this instance is likely to have the tokens lent with
    // it.
    std::stable_partition(candidates.begin(), candidates.end(), [&](const auto &candidate) {
        return m_rate.lent().fractionWith(candidate.peer, context.now) > 0;
    });
    for (const auto &[peer, expected] : candidates) {
        if ((tokens <= 0 && fraction <= 0)
            || m_loanRequests.pendingCount() >= context.options.maxPendingRequests) {
            return;
        }
        if ((fraction > 0 && m_loanRequests.hasPendingFraction(peer)) || !context.canAsk(peer)) {
            continue;
        }
        const double requestedTokens = std::min(tokens, std::max(expected, target.tokens / 4));
        const double requestedFraction = std::min(fraction, std::max(memberShare, fraction / 4));
        // Tokens to fill the capacity of a fraction are requested with it; the lender sends what
        // it can spare.
        sendRequest(peer, tokens > 0 ? requestedTokens : requestedFraction * m_rate.burst(),
                    requestedFraction, context);
        tokens -= std::min(requestedTokens, expected);
        fraction -= requestedFraction;
    }
}

void WorkspaceLimit::sendRequest(const InstanceId &peer, double tokens, double fraction,
                                 const LimitContext &context)
{
    const std::uint64_t id = context.random.next();
    m_loanRequests.recordSent({peer, id, tokens, fraction, context.now, false});
    context.send.push_back({peer, LoanRequest{m_name, id, tokens, fraction}});
}

void WorkspaceLimit::returnExpiringTokens(const LimitContext &context)
{
    const std::vector<Loan> loans = m_rate.borrowed().loans();
    for (const Loan &loan : loans) {
        if (loan.end - context.now > EarlyReturnTime
            || !m_rate.losesTokensAtEnd(loan, context.now)) {
            continue;
        }
        const double tokens = m_rate.returnLoan(loan.peer, loan.id, m_rate.burst(), context.now);
        if (tokens >= 0) {
            context.send.push_back({loan.peer, LoanGrant{m_name, loan.id, tokens, 0, 0}});
        }
    }
}

void WorkspaceLimit::renewOrReturnLoans(const LimitContext &context)
{
    returnExpiringTokens(context);
    for (const auto &[peer, end] : m_rate.borrowed().fractionEnds()) {
        renewOrReturnLoansFrom(peer, end, context);
    }
}

void WorkspaceLimit::renewOrReturnLoansFrom(const InstanceId &peer, SteadyTime end,
                                            const LimitContext &context)
{
    const SteadyTime now = context.now;
    const Duration remaining = end - now;
    const double held = m_rate.borrowed().fractionWith(peer, now);
    const double heldWithoutPeer = m_rate.fraction(now) - held;
    const double needed = std::clamp(demandFraction(now) - heldWithoutPeer, 0.0, held);
    const Duration age = context.options.loanTerm - remaining;
    const bool surplus = demandFraction(now) < 0.9 * heldWithoutPeer;
    if (surplus && age >= MinHoldTime) {
        returnLoansTo(peer, context);
        return;
    }
    if (remaining < context.options.loanTerm / 5 && needed > 0.1 * held
        && m_loanRequests.canAsk(peer, now) && !m_loanRequests.hasPendingFraction(peer)
        && context.canAsk(peer)) {
        sendRequest(peer, 0, needed, context);
    }
}

bool WorkspaceLimit::returnLoansTo(const InstanceId &peer, const LimitContext &context)
{
    std::vector<std::uint64_t> ids;
    for (const Loan &loan : m_rate.borrowed().loans()) {
        if (loan.peer == peer && loan.fraction > 0) {
            ids.push_back(loan.id);
        }
    }
    bool anyReturned = false;
    for (const std::uint64_t id : ids) {
        const double tokens = m_rate.returnLoan(peer, id, tokensToKeep(context), context.now);
        if (tokens >= 0) {
            context.send.push_back({peer, LoanGrant{m_name, id, tokens, 0, 0}});
            anyReturned = true;
        }
    }
    return anyReturned;
}

void WorkspaceLimit::returnLoans(const LimitContext &context)
{
    for (const auto &[peer, end] : m_rate.borrowed().fractionEnds()) {
        static_cast<void>(end);
        returnLoansTo(peer, context);
    }
}

std::optional<Duration> WorkspaceLimit::wakeupAfter(SteadyTime now) const
{
    if (!m_waiting.empty() || !m_deferred.empty()) {
        return ActiveWakeupInterval / 2;
    }
    if (!m_rate.borrowed().empty()) {
        return ActiveWakeupInterval;
    }
    if (!m_loanRequests.isIdle() || !m_rate.lent().empty()
        || demandFraction(now) > m_rate.share()) {
        return 5 * ActiveWakeupInterval;
    }
    return std::nullopt;
}

bool WorkspaceLimit::isDisposable(SteadyTime now)
{
    static constexpr Duration MinIdleTime = std::chrono::minutes(10);
    return now - m_lastUsed >= MinIdleTime && !wakeupAfter(now)
        && m_rate.level(now) >= m_rate.capacity(now);
}

LimitStatus WorkspaceLimit::status(SteadyTime now)
{
    return {m_name,
            m_rate.rate(),
            m_rate.burst(),
            m_rate.share(),
            m_rate.fraction(now),
            m_rate.level(now),
            m_demand.perSecond(now),
            m_rate.lent().loans().size(),
            m_rate.borrowed().loans().size()};
}

} // namespace marigoldspool
