#include "marigoldspool/Limits/LoanDesk.h"

#include <algorithm>
#include <cmath>

namespace marigoldspool {

namespace {

// Long enough to see a rate in requests that come a few times a second, and short enough to follow
// a load that moves within seconds.
constexpr double MeterSeconds = 2.0;
// A refusing peer is asked again after the first pause, then after pauses that double.
constexpr Duration FirstPause = std::chrono::milliseconds(50);
constexpr Duration LongestPause = std::chrono::seconds(1);

// Other peers are asked for the same tokens when an answer takes longer than several round trips
// between zones: the peer may be borrowing itself, and a request waits for 50 ms only.
constexpr Duration HedgeDelay = std::chrono::milliseconds(5);

} // namespace

void DemandMeter::add(double tokens, SteadyTime now)
{
    m_rate = perSecond(now) + tokens / MeterSeconds;
    m_samples = samples(now) + 1;
    m_at = now;
}

double DemandMeter::samples(SteadyTime now) const
{
    return m_samples * std::exp(-toSeconds(now - m_at) / MeterSeconds);
}

double DemandMeter::perSecond(SteadyTime now) const
{
    return m_rate * std::exp(-toSeconds(now - m_at) / MeterSeconds);
}

LoanDesk::LoanDesk(const LimitOptions &options)
    : m_options(&options)
{ }

bool LoanDesk::mayAsk(const InstanceId &peer, SteadyTime now) const
{
    const auto busy = [&](const Pending &p) {
        return !p.late && p.peer == peer;
    };
    const auto hint = m_hints.find(peer);
    return std::none_of(m_pending.begin(), m_pending.end(), busy)
        && (hint == m_hints.end() || hint->second.notBefore <= now);
}

std::vector<LoanDesk::Candidate> LoanDesk::candidates(const std::vector<InstanceId> &peers,
                                                      const Guess &guess, SteadyTime now,
                                                      RandomSource &random) const
{
    std::vector<std::pair<std::uint64_t, Candidate>> ranked;
    for (const InstanceId &peer : peers) {
        if (!mayAsk(peer, now)) {
            continue;
        }
        const auto it = m_hints.find(peer);
        double tokens = guess.tokens;
        if (it != m_hints.end() && it->second.tokens >= 0) {
            // An exhausted peer fills up again; a generous one has given some of it away.
            tokens = std::min(std::max(guess.tokens, it->second.tokens),
                              it->second.tokens + guess.perSecond * toSeconds(now - it->second.at));
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

void LoanDesk::sent(Pending pending)
{
    m_pending.push_back(std::move(pending));
}

std::optional<LoanDesk::Pending> LoanDesk::take(const InstanceId &peer, std::uint64_t id)
{
    const auto it = std::find_if(m_pending.begin(), m_pending.end(), [&](const Pending &p) {
        return p.id == id && p.peer == peer;
    });
    if (it == m_pending.end()) {
        return std::nullopt;
    }
    Pending pending = std::move(*it);
    m_pending.erase(it);
    return pending;
}

void LoanDesk::learn(const Pending &pending, double tokens, double fraction, SteadyTime now)
{
    const bool askedTokens = pending.tokens > 0;
    const bool full = askedTokens ? tokens >= pending.tokens : fraction > 0;
    Hint &hint = m_hints[pending.peer];
    hint.at = now;
    if (full) {
        hint.pause = Duration::zero();
        hint.notBefore = now;
        if (askedTokens) {
            hint.tokens = std::max(hint.tokens, tokens);
        }
        return;
    }
    if (askedTokens) {
        // It gave what it had; by the time it is asked again it has about as much.
        hint.tokens = tokens;
    }
    if (tokens > 0.25 * pending.tokens || fraction > 0) {
        hint.pause = Duration::zero();
    }
    postpone(pending.peer, now);
}

void LoanDesk::postpone(const InstanceId &peer, SteadyTime now)
{
    Hint &hint = m_hints[peer];
    hint.pause = std::clamp(2 * hint.pause, FirstPause, LongestPause);
    hint.notBefore = now + hint.pause;
}

void LoanDesk::onTick(SteadyTime now)
{
    for (Pending &pending : m_pending) {
        if (!pending.late && now - pending.sentAt >= m_options->answerTimeout) {
            pending.late = true;
            postpone(pending.peer, now);
        }
    }
    m_pending.erase(std::remove_if(m_pending.begin(), m_pending.end(),
                                   [&](const Pending &p) {
                                       return now - p.sentAt >= m_options->loanTerm;
                                   }),
                    m_pending.end());
    for (auto it = m_hints.begin(); it != m_hints.end();) {
        // What is known of a peer is worthless after a few terms.
        it = now - it->second.notBefore > 12 * m_options->loanTerm ? m_hints.erase(it)
                                                                   : std::next(it);
    }
}

std::size_t LoanDesk::underWay() const
{
    return static_cast<std::size_t>(
        std::count_if(m_pending.begin(), m_pending.end(), [](const Pending &p) {
            return !p.late;
        }));
}

double LoanDesk::tokensUnderWay(SteadyTime now) const
{
    double sum = 0;
    for (const Pending &pending : m_pending) {
        sum += pending.late || now - pending.sentAt >= HedgeDelay ? 0 : pending.tokens;
    }
    return sum;
}

double LoanDesk::fractionUnderWay() const
{
    double sum = 0;
    for (const Pending &pending : m_pending) {
        sum += pending.late ? 0 : pending.fraction;
    }
    return sum;
}

bool LoanDesk::mayReceiveFraction(const InstanceId &peer) const
{
    return std::any_of(m_pending.begin(), m_pending.end(), [&](const Pending &pending) {
        return pending.peer == peer && pending.fraction > 0;
    });
}

std::optional<SteadyTime> LoanDesk::nextRetry(const std::vector<InstanceId> &peers,
                                              SteadyTime now) const
{
    std::optional<SteadyTime> next;
    for (const InstanceId &peer : peers) {
        const auto it = m_hints.find(peer);
        const SteadyTime at = it != m_hints.end() ? std::max(now, it->second.notBefore) : now;
        if (!next || at < *next) {
            next = at;
        }
    }
    return next;
}

} // namespace marigoldspool
