#include "marigoldspool/Serving/WorkspaceQuota.h"

#include <algorithm>
#include <cmath>

namespace marigoldspool {

namespace {

using std::chrono::milliseconds;

// Reports arrive about three times a second; an instance that has missed two counts as unreachable.
constexpr Duration HeardWithin = milliseconds(1000);
// Totals stay valid for longer, because another hub takes over only once the owner's are overdue.
constexpr Duration TotalsHeardWithin = milliseconds(1600);
constexpr Duration LookInterval = milliseconds(100);
// Fraction of the burst that the bucket holds. The rest covers what instances admit before they
// receive each other's reports, and simultaneous partitions of several groups.
constexpr double BurstPart = 0.5;
// Fraction of the burst beyond one second of the rate that is refilled within a window. Refilling
// this fraction of the whole burst exceeded the limit by 2.5 % when a third of 66 instances were
// partitioned and a workspace sent six times its rate.
constexpr double RefillPart = 0.4;
// Fraction of the slack that the bucket holds, to admit uneven demand within the rate. The rest is
// reserved for usage that instances have not exchanged yet.
constexpr double SlackPart = 0.3;
// Above this multiple of its rate, a workspace is limited to each instance's allowance.
constexpr double SteadyDemand = 1.2;
// Above this fraction of the bucket's capacity an instance may use twice its share.
constexpr double AmpleLevel = 0.5;
// Minimum share of an instance with little demand, as a fraction of an even share.
constexpr double LeastPart = 0.3;
// Maximum debt of a bucket, in seconds of the rate.
constexpr double MostDebtSeconds = 8;
constexpr double DemandHalfLifeSeconds = 1;
// Totals that arrive closer together give no meaningful rate.
constexpr double ShortestStep = 0.1;
constexpr Duration ShortestRetry = milliseconds(300);
constexpr Duration LongestRetry = milliseconds(4000);

} // namespace

WorkspaceQuota::WorkspaceQuota(const Clock &clock, QuotaBound bound)
    : m_clock(clock)
    , m_bound(bound)
{ }

void WorkspaceQuota::setConfiguration(ServingConfigurationPtr configuration)
{
    const SteadyTime now = m_clock.now();
    fillAll(now);
    std::map<WorkspaceName, Part> parts;
    for (const ServedWorkspace &workspace : configuration->workspaces) {
        if (workspace.rate <= 0) {
            continue;
        }
        const auto it = m_parts.find(workspace.name);
        Part part = it == m_parts.end() ? Part() : it->second;
        if (it == m_parts.end()) {
            part.filledAt = now;
        }
        part.rate = workspace.rate;
        part.burst = workspace.burst;
        // Drop the allowance, so that a lower limit takes effect at once.
        part.allowance = 0;
        part.lookedAt = SteadyTime();
        parts.emplace(workspace.name, part);
    }
    m_parts = std::move(parts);
}

void WorkspaceQuota::setInstanceCount(std::size_t count)
{
    fillAll(m_clock.now());
    m_instances = std::max<std::size_t>(count, 1);
}

bool WorkspaceQuota::hearsTotals(SteadyTime now) const
{
    return m_totalsMembers > 0 && now - m_totalsAt < TotalsHeardWithin;
}

// Fraction of the fleet's instances whose usage is known; the rest is excluded from rate and burst.
double WorkspaceQuota::heardPart(SteadyTime now) const
{
    std::size_t heard = 1;
    if (hearsTotals(now)) {
        heard = m_totalsMembers;
    } else {
        for (const auto &[id, peer] : m_peers) {
            heard += now - peer.heardAt < HeardWithin ? 1 : 0;
        }
    }
    return static_cast<double>(std::min(heard, m_instances)) / static_cast<double>(m_instances);
}

// Without the demand of the others, an instance that has just started would claim the whole bucket.
bool WorkspaceQuota::knowsOthers(const Part &part, SteadyTime now) const
{
    return part.othersKnown || !hearsTotals(now);
}

double WorkspaceQuota::depth(const Part &part, double heard) const
{
    return (BurstPart * part.burst + SlackPart * m_bound.slack) * heard;
}

// The limit allows a burst in each window, so a part of the burst is refilled within one. Filling
// at the rate alone refused a third of the cost allowed per window for a workspace with a lowered
// rate and a burst of four seconds of the rate.
double WorkspaceQuota::refill(const Part &part) const
{
    if (m_bound.window <= Duration::zero()) {
        return part.rate;
    }
    const double beyond = std::max(0.0, part.burst - part.rate);
    return part.rate + RefillPart * beyond / toSeconds(m_bound.window);
}

void WorkspaceQuota::fill(Part &part, double heard, SteadyTime now)
{
    const double span = toSeconds(now - part.filledAt);
    part.level += refill(part) * heard * span;
    expectOthersUse(part, span, now);
    part.level = std::clamp(part.level, -MostDebtSeconds * part.rate, depth(part, heard));
    part.filledAt = now;
}

// Deducts the expected usage of the others between two totals. Otherwise every instance would see
// the refill as unused and admit its share of it again at each update.
void WorkspaceQuota::expectOthersUse(Part &part, double seconds, SteadyTime now)
{
    if (!hearsTotals(now)) {
        return;
    }
    // Deductions beyond the maximum debt are lost by clamping, so the next totals must not add them
    // back.
    const double room = std::max(0.0, part.level + MostDebtSeconds * part.rate);
    const double use = std::min(part.othersUse.rate * seconds, room);
    part.level -= use;
    part.expected += use;
}

void WorkspaceQuota::fillAll(SteadyTime now)
{
    const double heard = heardPart(now);
    for (auto &[name, part] : m_parts) {
        fill(part, heard, now);
    }
}

void WorkspaceQuota::follow(DemandRate &demand, double counter, SteadyTime now)
{
    const double span = toSeconds(now - demand.at);
    const double rate = span > 0 ? std::max(0.0, counter - demand.counter) / span : 0;
    const double kept = std::exp2(-span / DemandHalfLifeSeconds);
    demand.rate = kept * demand.rate + (1 - kept) * rate;
    demand.counter = counter;
    demand.at = now;
}

void WorkspaceQuota::look(Part &part, double heard, SteadyTime now)
{
    fill(part, heard, now);
    follow(part.ownDemand, part.own.asked, now);
    follow(part.othersDemand, part.othersAsked, now);
    const double even = 1 / std::max(1.0, heard * static_cast<double>(m_instances));
    const double all = part.ownDemand.rate + part.othersDemand.rate;
    double share = all > 0 && knowsOthers(part, now) ? part.ownDemand.rate / all : even;
    share = std::max(share, LeastPart * even);
    if (part.level > AmpleLevel * depth(part, heard)) {
        share *= 2;
    }
    const double debt = std::min(part.allowance, 0.0);
    part.allowance = part.level > 0 ? part.level * std::min(share, 1.0) + debt : 0;
    part.lookedAt = now;
}

std::optional<Duration> WorkspaceQuota::tryTake(const WorkspaceName &workspace, double cost)
{
    const auto it = m_parts.find(workspace);
    if (it == m_parts.end()) {
        return std::nullopt;
    }
    Part &part = it->second;
    const SteadyTime now = m_clock.now();
    const double heard = heardPart(now);
    part.own.asked += cost;
    if (now - part.lookedAt >= LookInterval) {
        look(part, heard, now);
    }
    // While the bucket is well filled, any instance may use it: for a small workspace an even share
    // is less than one request, and each request may arrive at a different instance. This does not
    // apply to demand beyond the rate, which all instances would admit before their reports arrive.
    const double demand = part.ownDemand.rate + part.othersDemand.rate;
    if (knowsOthers(part, now) && part.level > AmpleLevel * depth(part, heard)
        && demand <= SteadyDemand * part.rate) {
        part.level -= cost;
        part.own.used += cost;
        return std::nullopt;
    }
    // A request may exceed the remaining allowance; otherwise large ones would never be admitted.
    if (part.allowance > 0) {
        part.allowance -= cost;
        part.level -= cost;
        part.own.used += cost;
        return std::nullopt;
    }
    // The delay grows with the excess demand, to spread the retries of more callers.
    const auto wait = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(part.rate > 0 ? demand / part.rate / 2 : 0));
    return std::clamp<Duration>(wait, ShortestRetry, LongestRetry);
}

void WorkspaceQuota::takeOut(const WorkspaceName &workspace, double used, double asked,
                             SteadyTime now)
{
    const auto it = m_parts.find(workspace);
    if (it != m_parts.end()) {
        fill(it->second, heardPart(now), now);
        takeOut(it->second, used, asked);
    }
}

void WorkspaceQuota::takeOut(Part &part, double used, double asked)
{
    part.level -= used;
    part.othersUsed += used;
    part.othersAsked += asked;
}

UsageReport WorkspaceQuota::report() const
{
    UsageReport report;
    for (const auto &[workspace, part] : m_parts) {
        report.workspaces.push_back({workspace, part.own.used, part.own.asked});
    }
    return report;
}

void WorkspaceQuota::onReport(const InstanceId &from, std::uint64_t incarnation,
                              const UsageReport &report)
{
    const SteadyTime now = m_clock.now();
    const bool isNew = m_peers.count(from) == 0;
    Peer &peer = m_peers[from];
    if (peer.incarnation != incarnation) {
        peer.incarnation = incarnation;
        peer.counters.clear();
    }
    // If it has reported to another hub meanwhile, its usage was counted through that hub's totals.
    const bool wasCounted = peer.heardAt + HeardWithin < now && peer.heardAt < m_totalsAt;
    // While it was unreachable its even share was excluded, so only usage beyond that is deducted.
    const double silentSeconds =
        isNew ? 0 : std::max(0.0, toSeconds(now - peer.heardAt - HeardWithin));
    fillAll(now);
    peer.heardAt = now;
    for (const WorkspaceUsage &item : report.workspaces) {
        const auto part = m_parts.find(item.workspace);
        Counter &counter = peer.counters[item.workspace];
        double used = item.used - counter.used;
        if (part != m_parts.end()) {
            used -= silentSeconds * refill(part->second) / static_cast<double>(m_instances);
        }
        // Usage before its first report to this instance is not counted here.
        if (!isNew && !wasCounted) {
            const double asked = item.asked - counter.asked;
            takeOut(item.workspace, std::max(used, 0.0), asked, now);
            m_observed[item.workspace].used += std::max(used, 0.0);
            m_observed[item.workspace].asked += asked;
        }
        counter = {item.used, item.asked};
    }
}

UsageTotals WorkspaceQuota::totals() const
{
    const SteadyTime now = m_clock.now();
    UsageTotals totals;
    totals.members = 1;
    for (const auto &[id, peer] : m_peers) {
        totals.members += now - peer.heardAt < HeardWithin ? 1 : 0;
    }
    for (const auto &[workspace, part] : m_parts) {
        const auto others = m_observed.find(workspace);
        const Counter observed = others == m_observed.end() ? Counter() : others->second;
        totals.workspaces.push_back(
            {workspace, part.own.used + observed.used, part.own.asked + observed.asked});
    }
    return totals;
}

void WorkspaceQuota::onTotals(const InstanceId &from, std::uint64_t incarnation,
                              const UsageTotals &totals)
{
    const SteadyTime now = m_clock.now();
    const bool isSame = from == m_totalsFrom && incarnation == m_totalsIncarnation;
    fillAll(now);
    m_totalsFrom = from;
    m_totalsIncarnation = incarnation;
    m_totalsAt = now;
    m_totalsMembers = static_cast<std::size_t>(totals.members);
    for (const WorkspaceUsage &item : totals.workspaces) {
        const auto part = m_parts.find(item.workspace);
        if (part == m_parts.end()) {
            continue;
        }
        const Counter own = part->second.own;
        Counter &before = m_totals[item.workspace];
        Counter &ownBefore = m_ownAtTotals[item.workspace];
        Part &target = part->second;
        if (isSame) {
            target.level += target.expected;
            // The totals include this instance's own usage with a delay, so a difference may be
            // negative; the next one compensates for it.
            const double used = item.used - before.used - (own.used - ownBefore.used);
            const double asked = item.asked - before.asked - (own.asked - ownBefore.asked);
            takeOut(target, used, asked);
            if (target.othersKnown) {
                follow(target.othersUse, target.othersUsed, now);
            } else {
                // The first difference sets the rates; later ones are smoothed.
                const double span = std::max(toSeconds(now - target.othersUse.at), ShortestStep);
                target.othersUse = {used / span, target.othersUsed, now};
                target.othersDemand = {asked / span, target.othersAsked, now};
                target.othersKnown = true;
            }
        } else if (!target.othersKnown) {
            target.othersUse = {0, target.othersUsed, now};
        }
        // After a change of the hub, the expected usage since the last totals stays deducted.
        target.expected = 0;
        before = {item.used, item.asked};
        ownBefore = own;
    }
}

} // namespace marigoldspool
