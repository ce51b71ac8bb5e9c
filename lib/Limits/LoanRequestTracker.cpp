#include "marigoldspool/Limits/LoanRequestTracker.h"

#include <algorithm>
#include <cmath>

namespace marigoldspool {

namespace {

// Time constant of the demand meter: long enough for requests that arrive a few times a second,
// short enough to follow a load that changes within seconds.
constexpr double DemandTimeConstantSeconds = 2.0;
// A peer that refuses is asked again after the minimum backoff, which doubles with each refusal.
constexpr Duration MinBackoff = std::chrono::milliseconds(50);
constexpr Duration MaxBackoff = std::chrono::seconds(1);

// If an answer takes longer than several round trips between zones, other peers are asked for the
// same tokens: the peer may be borrowing itself, and a request waits for only 50 ms.
constexpr Duration HedgeDelay = std::chrono::milliseconds(5);

} // namespace

void DemandMeter::add(double tokens, SteadyTime now)
{
    m_rate = perSecond(now) + tokens / DemandTimeConstantSeconds;
    m_samples = samples(now) + 1;
    m_at = now;
}

double DemandMeter::samples(SteadyTime now) const
{
    return m_samples * std::exp(-toSeconds(now - m_at) / DemandTimeConstantSeconds);
}

double DemandMeter::perSecond(SteadyTime now) const
{
    return m_rate * std::exp(-toSeconds(now - m_at) / DemandTimeConstantSeconds);
}

LoanRequestTracker::LoanRequestTracker(const LimitOptions &options)
    : m_options(&options)
{ }

bool LoanRequestTracker::canAsk(const InstanceId &peer, SteadyTime now) const
{
    const auto isPending = [&](const PendingLoanRequest &p) {
        return !p.timedOut && p.peer == peer;
    };
    const auto history = m_history.find(peer);
    return std::none_of(m_pending.begin(), m_pending.end(), isPending)
        && (history == m_history.end() || history->second.notBefore <= now);
}

std::vector<LoanRequestTracker::Candidate>
LoanRequestTracker::candidates(const std::vector<InstanceId> &peers, const PeerEstimate &estimate,
                               SteadyTime now, RandomSource &random) const
{
    std::vector<std::pair<std::uint64_t, Candidate>> ranked;
    for (const InstanceId &peer : peers) {
        if (!canAsk(peer, now)) {
            continue;
        }
        const auto it = m_history.find(peer);
        double tokens = estimate.tokens;
        if (it != m_history.end() && it->second.tokens >= 0) {
            // A peer that lent all it could has accrued tokens since; one that lent much has fewer
            // left.
            tokens = std::min(std::max(estimate.tokens, it->second.tokens),
                              it->second.tokens
                                  + estimate.perSecond * toSeconds(now - it->second.answeredAt));
        }
        ranked.push_back({random.next(), {peer, tokens}});
    }
    std::sort(ranked.begin(), ranked.end(), [](const auto &a, const auto &b) {
        return a.second.tokens != b.second.tokens ? a.second.tokens > b.second.tokens
                                                  : a.first < b.first;
    });
    std::vector<Candidate> candidates;
    candidates.reserve(ranked.size());
    for (auto &entry : ranked) {
        candidates.push_back(std::move(entry.second));
    }
    return candidates;
}

void LoanRequestTracker::recordSent(PendingLoanRequest pending)
{
    m_pending.push_back(std::move(pending));
}

std::optional<LoanRequestTracker::PendingLoanRequest>
LoanRequestTracker::takePending(const InstanceId &peer, std::uint64_t id)
{
    const auto it =
        std::find_if(m_pending.begin(), m_pending.end(), [&](const PendingLoanRequest &p) {
            return p.id == id && p.peer == peer;
        });
    if (it == m_pending.end()) {
        return std::nullopt;
    }
    PendingLoanRequest pending = std::move(*it);
    m_pending.erase(it);
    return pending;
}

void LoanRequestTracker::recordAnswer(const PendingLoanRequest &pending, double tokens,
                                      double fraction, SteadyTime now)
{
    const bool wantsTokens = pending.tokens > 0;
    const bool isFulfilled = wantsTokens ? tokens >= pending.tokens : fraction > 0;
    PeerHistory &history = m_history[pending.peer];
    history.answeredAt = now;
    if (isFulfilled) {
        history.backoff = Duration::zero();
        history.notBefore = now;
        if (wantsTokens) {
            history.tokens = std::max(history.tokens, tokens);
        }
        return;
    }
    if (wantsTokens) {
        // The peer lent all it could spare and will have about as much when it is asked again.
        history.tokens = tokens;
    }
    if (tokens > 0.25 * pending.tokens || fraction > 0) {
        history.backoff = Duration::zero();
    }
    backOff(pending.peer, now);
}

void LoanRequestTracker::backOff(const InstanceId &peer, SteadyTime now)
{
    PeerHistory &history = m_history[peer];
    history.backoff = std::clamp(2 * history.backoff, MinBackoff, MaxBackoff);
    history.notBefore = now + history.backoff;
}

void LoanRequestTracker::onTick(SteadyTime now)
{
    for (PendingLoanRequest &pending : m_pending) {
        if (!pending.timedOut && now - pending.sentAt >= m_options->answerTimeout) {
            pending.timedOut = true;
            backOff(pending.peer, now);
        }
    }
    m_pending.erase(std::remove_if(m_pending.begin(), m_pending.end(),
                                   [&](const PendingLoanRequest &p) {
                                       return now - p.sentAt >= m_options->loanTerm;
                                   }),
                    m_pending.end());
    for (auto it = m_history.begin(); it != m_history.end();) {
        // The history of a peer is stale after a few loan terms.
        it = now - it->second.notBefore > 12 * m_options->loanTerm ? m_history.erase(it)
                                                                   : std::next(it);
    }
}

std::size_t LoanRequestTracker::pendingCount() const
{
    return static_cast<std::size_t>(
        std::count_if(m_pending.begin(), m_pending.end(), [](const PendingLoanRequest &p) {
            return !p.timedOut;
        }));
}

double LoanRequestTracker::pendingTokens(SteadyTime now) const
{
    double sum = 0;
    for (const PendingLoanRequest &pending : m_pending) {
        sum += pending.timedOut || now - pending.sentAt >= HedgeDelay ? 0 : pending.tokens;
    }
    return sum;
}

double LoanRequestTracker::pendingFraction() const
{
    double sum = 0;
    for (const PendingLoanRequest &pending : m_pending) {
        sum += pending.timedOut ? 0 : pending.fraction;
    }
    return sum;
}

bool LoanRequestTracker::hasPendingFraction(const InstanceId &peer) const
{
    return std::any_of(m_pending.begin(), m_pending.end(), [&](const PendingLoanRequest &pending) {
        return pending.peer == peer && pending.fraction > 0;
    });
}

std::optional<SteadyTime> LoanRequestTracker::nextRetry(const std::vector<InstanceId> &peers,
                                                        SteadyTime now) const
{
    std::optional<SteadyTime> next;
    for (const InstanceId &peer : peers) {
        const auto it = m_history.find(peer);
        const SteadyTime at = it != m_history.end() ? std::max(now, it->second.notBefore) : now;
        if (!next || at < *next) {
            next = at;
        }
    }
    return next;
}

} // namespace marigoldspool
