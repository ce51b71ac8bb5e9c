#include "marigoldspool/Serving/WorkspaceQuota.h"

#include <algorithm>

namespace marigoldspool {

namespace {

// Of each rate, the part that the instances hold themselves. The rest follows the demand, which is
// uneven over the instances because callers are assigned to them by a hash.
constexpr double OwnPart = 0.4;
// How far ahead of the need tokens are taken from the common bucket, and how often at most.
constexpr double AheadSeconds = 0.4;
constexpr Duration AskInterval = std::chrono::milliseconds(100);
constexpr Duration MeasureInterval = std::chrono::milliseconds(500);
constexpr double UseWeight = 0.4;
// Requests that one grant must cover besides the expected use.
constexpr double LargestKept = 2;
constexpr Duration ShortestRetry = std::chrono::milliseconds(200);

} // namespace

WorkspaceQuota::WorkspaceQuota(const Clock &clock)
    : m_clock(clock)
{ }

void WorkspaceQuota::setConfiguration(ServingConfigurationPtr configuration)
{
    std::map<WorkspaceName, Part> parts;
    for (const ServedWorkspace &workspace : configuration->workspaces) {
        if (workspace.rate <= 0) {
            continue;
        }
        const auto it = m_parts.find(workspace.name);
        Part part = it == m_parts.end() ? Part() : std::move(it->second);
        part.rate = workspace.rate;
        part.burst = workspace.burst;
        reshape(part);
        parts.emplace(workspace.name, std::move(part));
    }
    m_parts = std::move(parts);
}

void WorkspaceQuota::setInstances(std::size_t count)
{
    m_instances = count == 0 ? 1 : count;
    for (auto &[name, part] : m_parts) {
        reshape(part);
    }
}

// A bucket that is new starts empty: an instance that restarts again and again must not get its
// burst each time.
void WorkspaceQuota::reshape(Part &part)
{
    const SteadyTime now = m_clock.now();
    const double share = OwnPart / static_cast<double>(m_instances);
    const double burst = std::max(part.burst, 1.0);
    if (part.own) {
        part.own->reshape(part.rate * share, burst * share, now);
    } else {
        part.own.emplace(part.rate * share, burst * share, 0, now);
        part.measuredAt = now;
    }
    part.granted = std::min(part.granted, burst * (1 - OwnPart));
    const double commonRate = part.rate * (1 - OwnPart);
    const double commonBurst = burst * (1 - OwnPart);
    if (part.common) {
        part.common->reshape(commonRate, commonBurst, now);
    } else if (m_holder) {
        part.common.emplace(commonRate, commonBurst, 0, now);
    }
}

void WorkspaceQuota::measure(Part &part)
{
    const SteadyTime now = m_clock.now();
    const Duration span = now - part.measuredAt;
    if (span < MeasureInterval) {
        return;
    }
    const double rate = part.usedSince / std::chrono::duration<double>(span).count();
    part.useRate += UseWeight * (rate - part.useRate);
    part.usedSince = 0;
    part.measuredAt = now;
}

QuotaDecision WorkspaceQuota::take(const WorkspaceName &workspace, double cost,
                                   bool commonReachable)
{
    const auto it = m_parts.find(workspace);
    if (it == m_parts.end()) {
        return {};
    }
    Part &part = it->second;
    const SteadyTime now = m_clock.now();
    measure(part);
    part.largest = std::max(part.largest, cost);
    if (part.granted >= cost) {
        part.granted -= cost;
        part.usedSince += cost;
        return {};
    }
    const double own = part.own->level(now);
    if (part.granted + own >= cost) {
        part.own->tryTake(cost - part.granted, now);
        part.granted = 0;
        part.usedSince += cost;
        return {};
    }
    if (commonReachable && part.commonLeft + part.granted + own >= cost) {
        // What is wanted next covers this request as well.
        part.useRate = std::max(part.useRate, cost / AheadSeconds);
        return {QuotaVerdict::Pending, AskInterval};
    }
    const double missing = cost - part.granted - own;
    const double waitSeconds = part.rate > 0 ? missing / part.rate : 0;
    const auto wait = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(waitSeconds));
    return {QuotaVerdict::Refused, std::max(wait, ShortestRetry)};
}

std::map<WorkspaceName, double> WorkspaceQuota::wanted()
{
    std::map<WorkspaceName, double> result;
    const SteadyTime now = m_clock.now();
    for (auto &[name, part] : m_parts) {
        measure(part);
        const double target = part.useRate * AheadSeconds + LargestKept * part.largest;
        const bool isDue = now - part.askedAt >= AskInterval;
        if (isDue && part.largest > 0 && part.granted < target / 2) {
            part.askedAt = now;
            result.emplace(name, target - part.granted);
        }
    }
    return result;
}

void WorkspaceQuota::onGrant(const WorkspaceName &workspace, double tokens, double left)
{
    const auto it = m_parts.find(workspace);
    if (it != m_parts.end()) {
        it->second.granted += tokens;
        it->second.commonLeft = left;
    }
}

void WorkspaceQuota::becomeHolder()
{
    m_holder = true;
    for (auto &[name, part] : m_parts) {
        part.common.reset();
        reshape(part);
    }
}

void WorkspaceQuota::stopHolding()
{
    m_holder = false;
    for (auto &[name, part] : m_parts) {
        part.common.reset();
    }
}

double WorkspaceQuota::grant(const WorkspaceName &workspace, double tokens)
{
    const auto it = m_parts.find(workspace);
    if (it == m_parts.end() || !it->second.common) {
        return 0;
    }
    TokenBucket &bucket = *it->second.common;
    const SteadyTime now = m_clock.now();
    const double given = std::max(0.0, std::min(tokens, bucket.level(now)));
    bucket.tryTake(given, now);
    return given;
}

double WorkspaceQuota::commonLevel(const WorkspaceName &workspace) const
{
    const auto it = m_parts.find(workspace);
    return it == m_parts.end() || !it->second.common ? 0
                                                     : it->second.common->level(m_clock.now());
}

} // namespace marigoldspool
