#ifndef MARIGOLDSPOOL_SERVING_WORKSPACEQUOTA_H
#define MARIGOLDSPOOL_SERVING_WORKSPACEQUOTA_H

#include "marigoldspool/Peer/Messages.h"
#include "marigoldspool/Serving/ServingTypes.h"

#include <deque>
#include <map>
#include <optional>

namespace marigoldspool {

/// The limit that operators verify for each workspace: within any \c window the admitted cost is at
/// most rate * window + burst, plus \c slack for usage that instances have not exchanged yet.
struct QuotaBound {
    double slack = 0;
    /// Zero if unknown.
    Duration window = Duration::zero();
};

/// Enforces the rate limits of all workspaces across the fleet; instances exchange usage reports.
///
/// Each instance keeps a copy of one fleet-wide token bucket per workspace. The bucket fills at the
/// workspace's rate, and the usage of all instances is deducted. The even shares of unreachable
/// instances are excluded from rate and burst, and an isolated instance uses only its own even
/// share, so the limit holds under any network partition. Because usage reports arrive with a
/// delay, an instance admits only an allowance between two updates: its demand-weighted share of
/// the bucket's level. A new instance starts with an empty bucket.
class WorkspaceQuota
{
public:
    explicit WorkspaceQuota(const Clock &clock, QuotaBound bound = {});

    void setConfiguration(ServingConfigurationPtr configuration);
    /// Number of instances that share the rates, including this one.
    void setInstanceCount(std::size_t count);

    /// Takes \p cost and returns nullopt, or returns the delay after which to retry.
    std::optional<Duration> tryTake(const WorkspaceName &workspace, double cost);

    /// Cost admitted and requested at this instance since it started.
    UsageReport report() const;
    void onReport(const InstanceId &from, std::uint64_t incarnation, const UsageReport &report);
    /// Sum of this instance's counters and those reported to it. Used in fleets in which instances
    /// are not all connected to each other.
    UsageTotals totals() const;
    void onTotals(const InstanceId &from, std::uint64_t incarnation, const UsageTotals &totals);

private:
    struct UsageCounter {
        double used = 0;
        double requested = 0;
    };
    using UsageCounters = std::map<WorkspaceName, UsageCounter>;
    struct ReportingPeer {
        std::uint64_t incarnation = 0;
        SteadyTime lastReportAt;
        UsageCounters counters;
    };
    /// A rate per second, exponentially smoothed from counter values.
    struct SmoothedRate {
        double rate = 0;
        double counter = 0;
        SteadyTime at;
    };
    /// This instance's copy of the token bucket of one workspace.
    struct Bucket {
        double rate = 0;
        double burst = 0;
        double level = 0;
        SteadyTime refilledAt;
        UsageCounter ownUsage;
        SmoothedRate ownDemandRate;
        SmoothedRate othersDemandRate;
        double othersRequested = 0;
        /// Usage rate of the other instances, their usage deducted so far, and the expected usage
        /// deducted since the last totals.
        SmoothedRate othersUsageRate;
        double othersUsed = 0;
        double expectedUsage = 0;
        /// The demand of the other instances is known from totals of a hub.
        bool hasOthersDemand = false;
        /// What this instance may still admit until the next update.
        double allowance = 0;
        SteadyTime allowanceUpdatedAt;
    };

    double reachableFraction(SteadyTime now) const;
    bool hasCurrentTotals(SteadyTime now) const;
    bool isOthersDemandKnown(const Bucket &bucket, SteadyTime now) const;
    double refillRate(const Bucket &bucket) const;
    double capacity(const Bucket &bucket, double reachableShare) const;
    void refill(Bucket &bucket, double reachableShare, SteadyTime now);
    void deductExpectedUsage(Bucket &bucket, double seconds, SteadyTime now);
    void refillAll(SteadyTime now);
    void updateAllowance(Bucket &bucket, double reachableShare, SteadyTime now);
    static void updateRate(SmoothedRate &smoothed, double counter, SteadyTime now);
    /// Deducts additional usage of other instances and counts their demand.
    void deductUsage(const WorkspaceName &workspace, double used, double requested, SteadyTime now);
    void deductUsage(Bucket &bucket, double used, double requested);

    const Clock &m_clock;
    QuotaBound m_bound;
    std::size_t m_instanceCount = 1;
    std::map<WorkspaceName, Bucket> m_buckets;
    std::map<InstanceId, ReportingPeer> m_peers;
    /// Sum of the usage and demand counted from the reports of other instances.
    UsageCounters m_othersReported;
    InstanceId m_totalsFrom;
    std::uint64_t m_totalsIncarnation = 0;
    SteadyTime m_totalsAt;
    std::size_t m_totalsMemberCount = 0;
    UsageCounters m_totals;
    /// This instance's own counters when the last totals arrived.
    UsageCounters m_ownAtTotals;
};

} // namespace marigoldspool

#endif
