#include "marigoldspool/Serving/WorkspaceQuota.h"

#include <algorithm>
#include <cmath>

namespace marigoldspool {

namespace {

using std::chrono::milliseconds;

// Reports come about three times a second; an instance that has missed two is left out.
constexpr Duration HeardWithin = milliseconds(1000);
constexpr Duration LookInterval = milliseconds(100);
// Of each burst, the part that is used: the rest covers what instances admit before they hear of
// each other, and groups that are cut off at the same time.
constexpr double BurstPart = 0.6;
// Above this part of the burst an instance may use twice its part by demand.
constexpr double AmpleLevel = 0.5;
// The least part of an even share that an instance with little demand may use.
constexpr double LeastPart = 0.3;
// A bucket is never further in debt than what this long fills.
constexpr double MostDebtSeconds = 0.5;
constexpr double DemandHalfLifeSeconds = 1;
constexpr Duration ShortestRetry = milliseconds(300);
constexpr Duration LongestRetry = milliseconds(4000);

double secondsOf(Duration value)
{
    return std::chrono::duration<double>(value).count();
}

} // namespace

WorkspaceQuota::WorkspaceQuota(const Clock &clock)
    : m_clock(clock)
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
    return m_totalsMembers > 0 && now - m_totalsAt < HeardWithin;
}

// The part of the fleet that this instance does not hear from.
double WorkspaceQuota::silentPart(SteadyTime now) const
{
    std::size_t heard = 1;
    if (hearsTotals(now)) {
        heard = m_totalsMembers;
    } else {
        for (const auto &[id, peer] : m_peers) {
            heard += now - peer.heardAt < HeardWithin ? 1 : 0;
        }
    }
    const std::size_t silent = m_instances > heard ? m_instances - heard : 0;
    return static_cast<double>(silent) / static_cast<double>(m_instances);
}

void WorkspaceQuota::fill(Part &part, SteadyTime now)
{
    const double heardPart = 1 - silentPart(now);
    const double most = BurstPart * part.burst * heardPart;
    part.level =
        std::min(most, part.level + part.rate * heardPart * secondsOf(now - part.filledAt));
    part.level = std::max(part.level, -MostDebtSeconds * part.rate);
    part.filledAt = now;
}

void WorkspaceQuota::fillAll(SteadyTime now)
{
    for (auto &[name, part] : m_parts) {
        fill(part, now);
    }
}

void WorkspaceQuota::follow(DemandRate &demand, double counter, SteadyTime now)
{
    const double span = secondsOf(now - demand.at);
    const double rate = span > 0 ? std::max(0.0, counter - demand.counter) / span : 0;
    const double kept = std::exp2(-span / DemandHalfLifeSeconds);
    demand.rate = kept * demand.rate + (1 - kept) * rate;
    demand.counter = counter;
    demand.at = now;
}

void WorkspaceQuota::look(Part &part, SteadyTime now)
{
    fill(part, now);
    follow(part.ownDemand, part.own.asked, now);
    follow(part.othersDemand, part.othersAsked, now);
    const double heardPart = 1 - silentPart(now);
    const double even = 1 / std::max(1.0, heardPart * static_cast<double>(m_instances));
    const double all = part.ownDemand.rate + part.othersDemand.rate;
    double share = all > 0 ? part.ownDemand.rate / all : even;
    share = std::max(share, LeastPart * even);
    if (part.level > AmpleLevel * BurstPart * part.burst * heardPart) {
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
    part.own.asked += cost;
    if (now - part.lookedAt >= LookInterval) {
        look(part, now);
    }
    // A request may pass what is left by its own size, or large ones would never be admitted.
    if (part.allowance > 0) {
        part.allowance -= cost;
        part.level -= cost;
        part.own.used += cost;
        return std::nullopt;
    }
    // The more is asked beyond the rate, the longer the callers have to spread.
    const double asked = part.ownDemand.rate + part.othersDemand.rate;
    const auto wait = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(part.rate > 0 ? asked / part.rate / 2 : 0));
    return std::clamp<Duration>(wait, ShortestRetry, LongestRetry);
}

void WorkspaceQuota::takeOut(const WorkspaceName &workspace, double used, double asked,
                             SteadyTime now)
{
    const auto it = m_parts.find(workspace);
    if (it != m_parts.end()) {
        fill(it->second, now);
        it->second.level -= used;
        it->second.othersAsked += asked;
    }
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
        for (const auto &[workspace, counter] : peer.counters) {
            peer.earlier[workspace].used += counter.used;
            peer.earlier[workspace].asked += counter.asked;
        }
        peer.counters.clear();
    }
    // While it was silent its even part was left out of the bucket, so only more than that counts.
    const double silentSeconds =
        isNew ? 0 : std::max(0.0, secondsOf(now - peer.heardAt - HeardWithin));
    fillAll(now);
    peer.heardAt = now;
    for (const WorkspaceUsage &item : report.workspaces) {
        const auto part = m_parts.find(item.workspace);
        Counter &counter = peer.counters[item.workspace];
        double used = item.used - counter.used;
        if (part != m_parts.end()) {
            used -= silentSeconds * part->second.rate / static_cast<double>(m_instances);
        }
        // What it admitted before this instance knew it is not this instance's to count.
        if (!isNew) {
            takeOut(item.workspace, std::max(used, 0.0), item.asked - counter.asked, now);
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
        WorkspaceUsage sum{workspace, part.own.used, part.own.asked};
        for (const auto &[id, peer] : m_peers) {
            // Runs before this one stay in the sum, which must not fall when an instance restarts.
            for (const Counters *counters : {&peer.counters, &peer.earlier}) {
                const auto counter = counters->find(workspace);
                if (counter != counters->end()) {
                    sum.used += counter->second.used;
                    sum.asked += counter->second.asked;
                }
            }
        }
        totals.workspaces.push_back(sum);
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
        if (isSame) {
            // The sum contains this instance's own use a little later than its counter, so one step
            // may be negative; the next one makes up for it.
            takeOut(item.workspace, item.used - before.used - (own.used - ownBefore.used),
                    item.asked - before.asked - (own.asked - ownBefore.asked), now);
        }
        before = {item.used, item.asked};
        ownBefore = own;
    }
}

} // namespace marigoldspool
