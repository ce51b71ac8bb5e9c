#include "marigoldspool/Serving/WorkspaceQuota.h"

#include <algorithm>

namespace marigoldspool {

namespace {

using std::chrono::milliseconds;

// Reports arrive about three times a second; an instance that has missed two counts as unreachable.
constexpr Duration ReportLifetime = milliseconds(1000);
// Totals stay valid for longer, because another hub takes over only once the owner's are overdue.
constexpr Duration TotalsLifetime = milliseconds(1600);
constexpr Duration AllowanceInterval = milliseconds(100);
// Fraction of the burst that the bucket holds. The rest covers what instances admit before they
// receive each other's reports, and simultaneous partitions of several groups.
constexpr double BucketBurstFraction = 0.5;
// Fraction of the burst beyond one second of the rate that is refilled within a window. Refilling
// this fraction of the whole burst exceeded the limit by 2.5 % when a third of 66 instances were
// partitioned and a workspace sent six times its rate.
constexpr double RefillBurstFraction = 0.4;
// Part of the slack by which more of that burst is refilled. A large slack covers the usage that
// instances have not exchanged yet, for which that part of the burst was left out.
constexpr double RefillSlackFraction = 0.5;
// Fraction of the slack that the bucket holds, to admit uneven demand within the rate. The rest is
// reserved for usage that instances have not exchanged yet.
constexpr double BucketSlackFraction = 0.3;
// Above this multiple of its rate, a workspace is limited to each instance's allowance.
constexpr double SharedUseDemandRatio = 1.2;
// Above this fraction of the bucket's capacity an instance may use twice its share.
constexpr double AmpleLevelFraction = 0.5;
// Minimum share of an instance with little demand, as a fraction of an even share.
constexpr double MinShareFraction = 0.3;
// Maximum debt of a bucket, in seconds of the rate.
constexpr double MaxDebtSeconds = 8;
constexpr double RateHalfLifeSeconds = 1;
// Totals that arrive closer together give no meaningful rate.
constexpr double MinTotalsIntervalSeconds = 0.1;
constexpr Duration MinRetryDelay = milliseconds(300);
constexpr Duration MaxRetryDelay = milliseconds(4000);

} // namespace

WorkspaceQuota::WorkspaceQuota(const Clock &clock, QuotaBound bound)
    : m_clock(clock)
    , m_bound(bound)
{ }

void WorkspaceQuota::setConfiguration(ServingConfigurationPtr configuration)
{
    const SteadyTime now = m_clock.now();
    refillAll(now);
    std::map<WorkspaceName, Bucket> buckets;
    for (const ServedWorkspace &workspace : configuration->workspaces) {
        if (workspace.rate <= 0) {
            continue;
        }
        const auto it = m_buckets.find(workspace.name);
        Bucket bucket = it == m_buckets.end() ? Bucket() : it->second;
        if (it == m_buckets.end()) {
            bucket.refilledAt = now;
        }
        bucket.rate = workspace.rate;
        bucket.burst = workspace.burst;
        // Drop the allowance, so that a lower limit takes effect at once.
        bucket.allowance = 0;
        bucket.allowanceUpdatedAt = SteadyTime();
        buckets.emplace(workspace.name, bucket);
    }
    m_buckets = std::move(buckets);
}

void WorkspaceQuota::setInstanceCount(std::size_t count)
{
    refillAll(m_clock.now());
    m_instanceCount = std::max<std::size_t>(count, 1);
}

bool WorkspaceQuota::hasCurrentTotals(SteadyTime now) const
{
    return m_totalsMemberCount > 0 && now - m_totalsAt < TotalsLifetime;
}

// Fraction of the fleet's instances whose usage is known; the rest is excluded from rate and burst.
double WorkspaceQuota::reachableFraction(SteadyTime now) const
{
    std::size_t reachableCount = 1;
    if (hasCurrentTotals(now)) {
        reachableCount = m_totalsMemberCount;
    } else {
        for (const auto &[id, peer] : m_peers) {
            reachableCount += now - peer.lastReportAt < ReportLifetime ? 1 : 0;
        }
    }
    return static_cast<double>(std::min(reachableCount, m_instanceCount))
        / static_cast<double>(m_instanceCount);
}

// Without the demand of the others, an instance that has just started would claim the whole bucket.
bool WorkspaceQuota::isOthersDemandKnown(const Bucket &bucket, SteadyTime now) const
{
    return bucket.hasOthersDemand || !hasCurrentTotals(now);
}

double WorkspaceQuota::capacity(const Bucket &bucket, double reachableShare) const
{
    return (BucketBurstFraction * bucket.burst + BucketSlackFraction * m_bound.slack)
        * reachableShare;
}

// The limit allows a burst in each window, so a part of the burst is refilled within one. Filling
// at the rate alone refused a third of the cost allowed per window for a workspace with a lowered
// rate and a burst of four seconds of the rate.
double WorkspaceQuota::refillRate(const Bucket &bucket) const
{
    if (m_bound.window <= Duration::zero()) {
        return bucket.rate;
    }
    const double extraBurst = std::max(0.0, bucket.burst - bucket.rate);
    const double refilledBurst = std::min(
        extraBurst, RefillBurstFraction * extraBurst + RefillSlackFraction * m_bound.slack);
    return bucket.rate + refilledBurst / toSeconds(m_bound.window);
}

void WorkspaceQuota::refill(Bucket &bucket, double reachableShare, SteadyTime now)
{
    const double elapsedSeconds = toSeconds(now - bucket.refilledAt);
    bucket.level += refillRate(bucket) * reachableShare * elapsedSeconds;
    deductExpectedUsage(bucket, elapsedSeconds, now);
    bucket.level =
        std::clamp(bucket.level, -MaxDebtSeconds * bucket.rate, capacity(bucket, reachableShare));
    bucket.refilledAt = now;
}

// Deducts the expected usage of the others between two totals. Otherwise every instance would see
// the refill as unused and admit its share of it again at each update.
void WorkspaceQuota::deductExpectedUsage(Bucket &bucket, double seconds, SteadyTime now)
{
    if (!hasCurrentTotals(now)) {
        return;
    }
    // Deductions beyond the maximum debt are lost by clamping, so the next totals must not add them
    // back.
    const double remainingDebt = std::max(0.0, bucket.level + MaxDebtSeconds * bucket.rate);
    const double usage = std::min(bucket.othersUsageRate.rate * seconds, remainingDebt);
    bucket.level -= usage;
    bucket.expectedUsage += usage;
}

void WorkspaceQuota::refillAll(SteadyTime now)
{
    const double reachableShare = reachableFraction(now);
    for (auto &[name, bucket] : m_buckets) {
        refill(bucket, reachableShare, now);
    }
}

void WorkspaceQuota::updateRate(SmoothedRate &smoothed, double counter, SteadyTime now)
{
    const double elapsedSeconds = toSeconds(now - smoothed.at);
    const double currentRate =
        elapsedSeconds > 0 ? std::max(0.0, counter - smoothed.counter) / elapsedSeconds : 0;
    const double keptFraction = decayFactor(now - smoothed.at, RateHalfLifeSeconds);
    smoothed.rate = keptFraction * smoothed.rate + (1 - keptFraction) * currentRate;
    smoothed.counter = counter;
    smoothed.at = now;
}

void WorkspaceQuota::updateAllowance(Bucket &bucket, double reachableShare, SteadyTime now)
{
    refill(bucket, reachableShare, now);
    updateRate(bucket.ownDemandRate, bucket.ownUsage.requested, now);
    updateRate(bucket.othersDemandRate, bucket.othersRequested, now);
    const double evenShare =
        1 / std::max(1.0, reachableShare * static_cast<double>(m_instanceCount));
    const double totalDemand = bucket.ownDemandRate.rate + bucket.othersDemandRate.rate;
    double share = totalDemand > 0 && isOthersDemandKnown(bucket, now)
        ? bucket.ownDemandRate.rate / totalDemand
        : evenShare;
    share = std::max(share, MinShareFraction * evenShare);
    if (bucket.level > AmpleLevelFraction * capacity(bucket, reachableShare)) {
        share *= 2;
    }
    const double debt = std::min(bucket.allowance, 0.0);
    bucket.allowance = bucket.level > 0 ? bucket.level * std::min(share, 1.0) + debt : 0;
    bucket.allowanceUpdatedAt = now;
}

std::optional<Duration> WorkspaceQuota::tryTake(const WorkspaceName &workspace, double cost)
{
    const auto it = m_buckets.find(workspace);
    if (it == m_buckets.end()) {
        return std::nullopt;
    }
    Bucket &bucket = it->second;
    const SteadyTime now = m_clock.now();
    const double reachableShare = reachableFraction(now);
    bucket.ownUsage.requested += cost;
    if (now - bucket.allowanceUpdatedAt >= AllowanceInterval) {
        updateAllowance(bucket, reachableShare, now);
    }
    // While the bucket is well filled, any instance may use it: for a small workspace an even share
    // is less than one request, and each request may arrive at a different instance. This does not
    // apply to demand beyond the rate, which all instances would admit before their reports arrive.
    const double demand = bucket.ownDemandRate.rate + bucket.othersDemandRate.rate;
    if (isOthersDemandKnown(bucket, now)
        && bucket.level > AmpleLevelFraction * capacity(bucket, reachableShare)
        && demand <= SharedUseDemandRatio * bucket.rate) {
        bucket.level -= cost;
        bucket.ownUsage.used += cost;
        return std::nullopt;
    }
    // A request may exceed the remaining allowance; otherwise large ones would never be admitted.
    if (bucket.allowance > 0) {
        bucket.allowance -= cost;
        bucket.level -= cost;
        bucket.ownUsage.used += cost;
        return std::nullopt;
    }
    // The delay grows with the excess demand, to spread the retries of more callers.
    const Duration retryDelay = fromSeconds(bucket.rate > 0 ? demand / bucket.rate / 2 : 0);
    return std::clamp(retryDelay, MinRetryDelay, MaxRetryDelay);
}

void WorkspaceQuota::deductUsage(const WorkspaceName &workspace, double used, double requested,
                                 SteadyTime now)
{
    const auto it = m_buckets.find(workspace);
    if (it != m_buckets.end()) {
        refill(it->second, reachableFraction(now), now);
        deductUsage(it->second, used, requested);
    }
}

void WorkspaceQuota::deductUsage(Bucket &bucket, double used, double requested)
{
    bucket.level -= used;
    bucket.othersUsed += used;
    bucket.othersRequested += requested;
}

UsageReport WorkspaceQuota::report() const
{
    UsageReport report;
    for (const auto &[workspace, bucket] : m_buckets) {
        report.workspaces.push_back({workspace, bucket.ownUsage.used, bucket.ownUsage.requested});
    }
    return report;
}

void WorkspaceQuota::onReport(const InstanceId &from, std::uint64_t incarnation,
                              const UsageReport &report)
{
    const SteadyTime now = m_clock.now();
    const bool isNew = m_peers.count(from) == 0;
    ReportingPeer &peer = m_peers[from];
    if (peer.incarnation != incarnation) {
        peer.incarnation = incarnation;
        peer.counters.clear();
    }
    // If it has reported to another hub meanwhile, its usage was counted through that hub's totals.
    const bool wasCountedByHub =
        peer.lastReportAt + ReportLifetime < now && peer.lastReportAt < m_totalsAt;
    // While it was unreachable its even share was excluded, so only usage beyond that is deducted.
    const double unreachableSeconds =
        isNew ? 0 : std::max(0.0, toSeconds(now - peer.lastReportAt - ReportLifetime));
    refillAll(now);
    peer.lastReportAt = now;
    for (const WorkspaceUsage &item : report.workspaces) {
        const auto it = m_buckets.find(item.workspace);
        UsageCounter &counter = peer.counters[item.workspace];
        double used = item.used - counter.used;
        if (it != m_buckets.end()) {
            used -=
                unreachableSeconds * refillRate(it->second) / static_cast<double>(m_instanceCount);
        }
        // Usage before its first report to this instance is not counted here.
        if (!isNew && !wasCountedByHub) {
            const double requested = item.requested - counter.requested;
            deductUsage(item.workspace, std::max(used, 0.0), requested, now);
            m_othersReported[item.workspace].used += std::max(used, 0.0);
            m_othersReported[item.workspace].requested += requested;
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
        totals.members += now - peer.lastReportAt < ReportLifetime ? 1 : 0;
    }
    for (const auto &[workspace, bucket] : m_buckets) {
        const auto others = m_othersReported.find(workspace);
        const UsageCounter observed =
            others == m_othersReported.end() ? UsageCounter() : others->second;
        totals.workspaces.push_back({workspace, bucket.ownUsage.used + observed.used,
                                     bucket.ownUsage.requested + observed.requested});
    }
    return totals;
}

void WorkspaceQuota::onTotals(const InstanceId &from, std::uint64_t incarnation,
                              const UsageTotals &totals)
{
    const SteadyTime now = m_clock.now();
    const bool isSameSender = from == m_totalsFrom && incarnation == m_totalsIncarnation;
    refillAll(now);
    m_totalsFrom = from;
    m_totalsIncarnation = incarnation;
    m_totalsAt = now;
    m_totalsMemberCount = static_cast<std::size_t>(totals.members);
    for (const WorkspaceUsage &item : totals.workspaces) {
        const auto it = m_buckets.find(item.workspace);
        if (it == m_buckets.end()) {
            continue;
        }
        const UsageCounter ownUsage = it->second.ownUsage;
        UsageCounter &previous = m_totals[item.workspace];
        UsageCounter &previousOwn = m_ownAtTotals[item.workspace];
        Bucket &bucket = it->second;
        if (isSameSender) {
            bucket.level += bucket.expectedUsage;
            // The totals include this instance's own usage with a delay, so a difference may be
            // negative; the next one compensates for it.
            const double used = item.used - previous.used - (ownUsage.used - previousOwn.used);
            const double requested =
                item.requested - previous.requested - (ownUsage.requested - previousOwn.requested);
            deductUsage(bucket, used, requested);
            if (bucket.hasOthersDemand) {
                updateRate(bucket.othersUsageRate, bucket.othersUsed, now);
            } else {
                // The first difference sets the rates; later ones are smoothed.
                const double elapsedSeconds =
                    std::max(toSeconds(now - bucket.othersUsageRate.at), MinTotalsIntervalSeconds);
                bucket.othersUsageRate = {used / elapsedSeconds, bucket.othersUsed, now};
                bucket.othersDemandRate = {requested / elapsedSeconds, bucket.othersRequested, now};
                bucket.hasOthersDemand = true;
            }
        } else if (!bucket.hasOthersDemand) {
            bucket.othersUsageRate = {0, bucket.othersUsed, now};
        }
        // After a change of the hub, the expected usage since the last totals stays deducted.
        bucket.expectedUsage = 0;
        previous = {item.used, item.requested};
        previousOwn = ownUsage;
    }
}

} // namespace marigoldspool
