#include "marigoldspool/Serving/WorkspaceQuota.h"

#include <algorithm>
#include <cmath>

namespace marigoldspool {

namespace {

using std::chrono::milliseconds;

// Reports come about three times a second; an instance that has missed two is left out.
constexpr Duration HeardWithin = milliseconds(1000);
// Sums count for longer, since another hub takes over only when those of the first are overdue.
constexpr Duration TotalsHeardWithin = milliseconds(1600);
constexpr Duration LookInterval = milliseconds(100);
// Of each burst, the part that is used: the rest covers what instances admit before they hear of
// each other, and groups that are cut off at the same time.
constexpr double BurstPart = 0.5;
// Of the burst beyond one second's worth of the rate, the part that comes back within a window.
// With this part of the whole burst, a third of 66 instances cut off and a workspace at six times
// its rate passed the bound by 2.5 in 100.
constexpr double RefillPart = 0.4;
// Of the slack that the operators allow beyond rate and burst. It is there for instances that
// cannot know of each other at once, and is used to admit what lies within the rate.
constexpr double SlackPart = 0.3;
// A workspace that asks for more than this multiple of its rate is kept to the parts by demand.
constexpr double SteadyDemand = 1.2;
// Above this part of the burst an instance may use twice its part by demand.
constexpr double AmpleLevel = 0.5;
// The least part of an even share that an instance with little demand may use.
constexpr double LeastPart = 0.3;
// A bucket is never further in debt than what this long fills.
constexpr double MostDebtSeconds = 8;
constexpr double DemandHalfLifeSeconds = 1;
// Sums that come closer together than this tell no rate.
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
        // A lower limit counts at once.
        part.allowance = 0;
        part.lookedAt = SteadyTime();
        parts.emplace(workspace.name, part);
    }
    m_parts = std::move(parts);
}

void WorkspaceQuota::setInstances(std::size_t count)
{
    fillAll(m_clock.now());
    m_instances = std::max<std::size_t>(count, 1);
}

bool WorkspaceQuota::hearsTotals(SteadyTime now) const
{
    return m_totalsMembers > 0 && now - m_totalsAt < TotalsHeardWithin;
}

// The part of the fleet that this instance hears from; the rest is left out of rate and burst.
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

// Right after its start an instance would take all demand for its own.
bool WorkspaceQuota::knowsOthers(const Part &part, SteadyTime now) const
{
    return part.othersKnown || !hearsTotals(now);
}

// What the bucket holds at most.
double WorkspaceQuota::depth(const Part &part, double heard) const
{
    return (BurstPart * part.burst + SlackPart * m_bound.slack) * heard;
}

// The bound allows a burst in each window, so a part of it comes back within one. A bucket that
// fills at the rate alone refused a third of what a workspace with a lowered rate and a burst of
// four seconds' worth was owed in each window.
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

// Between two sums the others go on using the bucket. Without this every instance would see what
// flows in as unused and admit its part of it again at each look.
void WorkspaceQuota::expectOthersUse(Part &part, double seconds, SteadyTime now)
{
    if (!hearsTotals(now)) {
        return;
    }
    // What falls below the deepest debt is forgotten, so it must not come back with the next sums.
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

std::optional<Duration> WorkspaceQuota::take(const WorkspaceName &workspace, double cost)
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
    // While much is left, any instance may use it: an even part of a small workspace's bucket is
    // less than one request, and its demand comes in at another instance each time. A workspace
    // that asks beyond its rate would be admitted everywhere at once before the instances hear of
    // each other.
    const double demand = part.ownDemand.rate + part.othersDemand.rate;
    if (knowsOthers(part, now) && part.level > AmpleLevel * depth(part, heard)
        && demand <= SteadyDemand * part.rate) {
        part.level -= cost;
        part.own.used += cost;
        return std::nullopt;
    }
    // A request may pass what is left by its own size, or large ones would never be admitted.
    if (part.allowance > 0) {
        part.allowance -= cost;
        part.level -= cost;
        part.own.used += cost;
        return std::nullopt;
    }
    // The more is asked beyond the rate, the longer the callers have to spread.
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
    // While it reported to another hub, whose sums came here, its use was counted through those.
    const bool wasCounted = peer.heardAt + HeardWithin < now && peer.heardAt < m_totalsAt;
    // While it was silent its even part was left out of the bucket, so only more than that counts.
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
        // What it admitted before this instance knew it is not this instance's to count.
        if (!isNew && !wasCounted) {
            const double asked = item.requested - counter.asked;
            takeOut(item.workspace, std::max(used, 0.0), asked, now);
            m_observed[item.workspace].used += std::max(used, 0.0);
            m_observed[item.workspace].asked += asked;
        }
        counter = {item.used, item.requested};
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
            // The sum contains this instance's own use a little later than its counter, so one step
            // may be negative; the next one makes up for it.
            const double used = item.used - before.used - (own.used - ownBefore.used);
            const double asked = item.requested - before.asked - (own.asked - ownBefore.asked);
            takeOut(target, used, asked);
            if (target.othersKnown) {
                follow(target.othersUse, target.othersUsed, now);
            } else {
                // The first step tells the rates at once; later ones are smoothed.
                const double span = std::max(toSeconds(now - target.othersUse.at), ShortestStep);
                target.othersUse = {used / span, target.othersUsed, now};
                target.othersDemand = {asked / span, target.othersAsked, now};
                target.othersKnown = true;
            }
        } else if (!target.othersKnown) {
            target.othersUse = {0, target.othersUsed, now};
        }
        // What the others used between the sums of two hubs stays taken out as it was expected.
        target.expected = 0;
        before = {item.used, item.requested};
        ownBefore = own;
    }
}

} // namespace marigoldspool
