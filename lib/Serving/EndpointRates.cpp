// The part of EndpointDirectory that divides the rates of endpoints among the instances.
#include "marigoldspool/Serving/EndpointDirectory.h"

#include <algorithm>

namespace marigoldspool {

namespace {

using std::chrono::milliseconds;

// The platform tolerates 1.5 times the configured rate of a cold endpoint. Each instance stays
// below its share of the configured rate, because the requests of all instances add up.
constexpr double ColdRateFraction = 0.9;
// Below this share, the first request of every instance would together exceed the limit in the
// first second, so instances begin with different parts of a request.
constexpr double MinUnstaggeredColdRate = 1.25;
// Endpoints of a zone that returns from evacuation may be cold before their entries say so. Two
// reporting intervals.
constexpr Duration ReportLag = milliseconds(2500);

} // namespace

void EndpointDirectory::updateRateShare(TrackedEndpoint &state)
{
    const std::optional<double> limit = m_statements.rateLimit(state.listed.id);
    if (!limit) {
        state.rateShare.reset();
    } else if (!state.rateShare || state.sharedRateLimit != *limit) {
        state.sharedRateLimit = *limit;
        divideRate(state);
    }
}

void EndpointDirectory::divideRate(TrackedEndpoint &state)
{
    const RateShare share =
        m_rateDivider.share(state.listed.id, state.listed.zone, state.sharedRateLimit);
    const SteadyTime now = m_clock.now();
    if (state.rateShare) {
        state.rateShare->reconfigure(share.perSecond, share.burst, now);
    } else {
        state.rateShare.emplace(share.perSecond, share.burst, m_startPhase, now);
    }
}

bool EndpointDirectory::isLeftToOthers(const TrackedEndpoint &state)
{
    return state.rateShare && state.rateShare->capacity() < 1;
}

bool EndpointDirectory::hasRateFor(const EndpointId &id) const
{
    const TrackedEndpoint *state = find(id);
    return state != nullptr && (!state->rateShare || state->rateShare->level(m_clock.now()) >= 1);
}

// The configuration or the entry may arrive after the zone's return.
void EndpointDirectory::markReturned(TrackedEndpoint &state)
{
    const auto returned = m_returnedAt.find(state.listed.zone);
    const EndpointPool *pool = poolOf(state);
    if (returned == m_returnedAt.end() || pool == nullptr || pool->coldRequestsPerSecond <= 0) {
        return;
    }
    const Duration left =
        returned->second + std::max(pool->coldDuration, ReportLag) - m_clock.now();
    if (left > Duration::zero()) {
        markCold(state, left);
    }
}

void EndpointDirectory::markCold(TrackedEndpoint &state, Duration left)
{
    const SteadyTime now = m_clock.now();
    if (now >= state.coldUntil) {
        state.coldRateLimit.reset();
    }
    state.coldUntil = std::max(state.coldUntil, now + left);
    updateColdLimit(state, now);
}

void EndpointDirectory::updateColdLimits()
{
    const SteadyTime now = m_clock.now();
    for (auto &[id, state] : m_endpoints) {
        if (now < state.coldUntil) {
            updateColdLimit(state, now);
        }
    }
}

// The share depends on the entry, the configuration and the list of instances, which arrive in any
// order after a start. An instance that took itself for the only one, or knew no limit yet, sent a
// cold endpoint the requests of the whole fleet.
void EndpointDirectory::updateColdLimit(TrackedEndpoint &state, SteadyTime now)
{
    const EndpointPool *pool = poolOf(state);
    if (pool == nullptr || pool->coldRequestsPerSecond <= 0 || !m_areMembersKnown) {
        state.coldRateLimit.reset();
        return;
    }
    const double rate = pool->coldRequestsPerSecond * ColdRateFraction
        / static_cast<double>(m_rateDivider.memberCount());
    const double burst = std::max(1.0, rate / 4);
    if (state.coldRateLimit) {
        state.coldRateLimit->reconfigure(rate, burst, now);
        return;
    }
    const double level = rate < MinUnstaggeredColdRate ? m_startPhase : 1.0;
    state.coldRateLimit.emplace(rate, burst, level, now);
}

} // namespace marigoldspool
