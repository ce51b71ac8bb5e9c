#include "marigoldspool/Limits/EndpointSlots.h"

#include <algorithm>
#include <cmath>

namespace marigoldspool {

namespace {

// Slots that were taken within this time are likely to be needed again.
constexpr Duration RecentUseWindow = std::chrono::seconds(1);
// More slots than any endpoint has; messages with a larger number are ignored.
constexpr double MaxSlots = 1'000'000;

} // namespace

EndpointSlots::EndpointSlots(EndpointId endpoint, const LimitOptions &options)
    : m_endpoint(std::move(endpoint))
    , m_name("slots/" + m_endpoint.str())
    , m_loanRequests(options)
{ }

void EndpointSlots::update(const RosterState &state, const InstanceId &self, bool inZone,
                           bool mayGrow)
{
    if (m_ownedEpoch != state.record().epoch || m_ownedTotal != m_total) {
        m_ownedEpoch = state.record().epoch;
        m_ownedTotal = m_total;
        m_owned = ownedSlots(m_endpoint, m_total, state.record(), self);
    }
    m_limit.setOwned(inZone ? m_owned : 0, mayGrow);
}

bool EndpointSlots::tryTake(Duration deadline, SteadyTime now)
{
    if (m_limit.tryTake(now + deadline, now)) {
        m_lastTaken = now;
        return true;
    }
    m_unmetRequests = std::min(m_total, now < m_unmetUntil ? m_unmetRequests + 1 : 1);
    m_unmetUntil = now + RecentUseWindow / 10;
    return false;
}

void EndpointSlots::returnSlot()
{
    m_limit.returnSlot();
}

void EndpointSlots::onLoanRequest(const InstanceId &from, const LoanRequest &request,
                                  const LimitContext &context)
{
    const SteadyTime now = context.now;
    if (m_limit.lent().find(from, request.loanId) != nullptr || !std::isfinite(request.tokens)
        || request.tokens < 0 || request.tokens > MaxSlots) {
        return;
    }
    returnLoans(&from, context);
    const double clockError = context.options.clockError;
    const SteadyTime until = now
        + std::chrono::duration_cast<Duration>(context.options.slotTerm * (1 + clockError)
                                               / (1 - clockError))
        + Duration(1);
    const int free = m_limit.freeUntil(until, now);
    const bool isRecentlyUsed = now - m_lastTaken < RecentUseWindow;
    const int slotsToKeep = now < m_unmetUntil ? m_unmetRequests : (isRecentlyUsed ? free / 2 : 0);
    const int slots = std::min(static_cast<int>(request.tokens), free - slotsToKeep);
    LoanGrant grant{m_name, request.loanId, 0, 0, 0};
    if (slots > 0 && !context.releasing) {
        m_limit.lend(from, request.loanId, slots, until);
        grant.tokens = slots;
        grant.termMs =
            std::chrono::duration_cast<std::chrono::milliseconds>(context.options.slotTerm).count();
    }
    context.send.push_back({from, grant});
}

void EndpointSlots::onLoanGrant(const InstanceId &from, const LoanGrant &grant,
                                const LimitContext &context)
{
    if (!std::isfinite(grant.tokens) || grant.tokens < 0 || grant.tokens > MaxSlots) {
        return;
    }
    const std::optional<LoanRequestTracker::PendingLoanRequest> pending =
        m_loanRequests.takePending(from, grant.loanId);
    if (!pending) {
        if (grant.termMs == 0) {
            m_limit.onReturned(from, grant.loanId);
        }
        return;
    }
    m_loanRequests.recordAnswer(*pending, grant.tokens, 0, context.now);
    if (grant.tokens >= 1) {
        const Duration term =
            std::min<Duration>(std::chrono::milliseconds(grant.termMs), context.options.slotTerm);
        m_limit.borrow(from, grant.loanId, static_cast<int>(grant.tokens), pending->sentAt + term,
                       context.now);
    }
}

void EndpointSlots::returnLoans(const InstanceId *peer, const LimitContext &context)
{
    const std::vector<Loan> loans = m_limit.borrowed().loans();
    for (const Loan &loan : loans) {
        if ((peer == nullptr || loan.peer == *peer)
            && m_limit.returnLoan(loan.peer, loan.id, context.now)) {
            context.send.push_back({loan.peer, LoanGrant{m_name, loan.id, loan.tokens, 0, 0}});
        }
    }
}

void EndpointSlots::sendDueMessages(const std::vector<InstanceId> &zonePeers,
                                    const LimitContext &context)
{
    const SteadyTime now = context.now;
    m_loanRequests.onTick(now);
    if (now >= m_unmetUntil) {
        m_unmetRequests = 0;
        if (now - m_lastTaken >= RecentUseWindow || context.releasing) {
            returnLoans(nullptr, context);
        }
        return;
    }
    double wanted = m_unmetRequests - m_loanRequests.pendingTokens(now);
    for (const auto &[peer, expected] :
         m_loanRequests.candidates(zonePeers, {1, 0}, now, context.random)) {
        if (wanted < 1 || m_loanRequests.pendingCount() >= context.options.maxPendingRequests) {
            return;
        }
        if (!context.canAsk(peer)) {
            continue;
        }
        const std::uint64_t id = context.random.next();
        const double requested = std::min(wanted, std::max(1.0, expected));
        m_loanRequests.recordSent({peer, id, std::floor(requested), 0, now, false});
        context.send.push_back({peer, LoanRequest{m_name, id, std::floor(requested), 0}});
        wanted -= std::floor(requested);
    }
}

std::optional<Duration> EndpointSlots::wakeupAfter() const
{
    if (m_unmetRequests > 0) {
        return std::chrono::milliseconds(10);
    }
    if (!m_loanRequests.isIdle() || !m_limit.borrowed().empty() || !m_limit.lent().empty()) {
        return std::chrono::milliseconds(200);
    }
    return std::nullopt;
}

SlotStatus EndpointSlots::status(SteadyTime now) const
{
    return {m_endpoint, m_limit.owned(), m_limit.used(), m_limit.lentCount(now),
            m_limit.borrowedCount(now)};
}

} // namespace marigoldspool
