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
    struct Counter {
        double used = 0;
        double asked = 0;
    };
    using Counters = std::map<WorkspaceName, Counter>;
    struct Peer {
        std::uint64_t incarnation = 0;
        SteadyTime heardAt;
        Counters counters;
    };
    /// A rate per second, exponentially smoothed from counter values.
    struct DemandRate {
        double rate = 0;
        double counter = 0;
        SteadyTime at;
    };
    struct Part {
        double rate = 0;
        double burst = 0;
        double level = 0;
        SteadyTime filledAt;
        Counter own;
        DemandRate ownDemand;
        DemandRate othersDemand;
        double othersAsked = 0;
        /// Usage rate of the other instances, their usage deducted so far, and the expected usage
        /// deducted since the last totals.
        DemandRate othersUse;
        double othersUsed = 0;
        double expected = 0;
        /// The demand of the other instances is known from totals of a hub.
        bool othersKnown = false;
        /// What this instance may still admit until the next update.
        double allowance = 0;
        SteadyTime lookedAt;
    };

    double heardPart(SteadyTime now) const;
    bool hearsTotals(SteadyTime now) const;
    bool knowsOthers(const Part &part, SteadyTime now) const;
    double refill(const Part &part) const;
    double depth(const Part &part, double heard) const;
    void fill(Part &part, double heard, SteadyTime now);
    void expectOthersUse(Part &part, double seconds, SteadyTime now);
    void fillAll(SteadyTime now);
    void look(Part &part, double heard, SteadyTime now);
    static void follow(DemandRate &demand, double counter, SteadyTime now);
    /// Deducts additional usage of other instances and counts their demand.
    void takeOut(const WorkspaceName &workspace, double used, double asked, SteadyTime now);
    void takeOut(Part &part, double used, double asked);

    const Clock &m_clock;
    QuotaBound m_bound;
    std::size_t m_instances = 1;
    std::map<WorkspaceName, Part> m_parts;
    std::map<InstanceId, Peer> m_peers;
    /// Sum of the usage and demand counted from the reports of other instances.
    Counters m_observed;
    InstanceId m_totalsFrom;
    std::uint64_t m_totalsIncarnation = 0;
    SteadyTime m_totalsAt;
    std::size_t m_totalsMembers = 0;
    Counters m_totals;
    /// This instance's own counters when the last totals arrived.
    Counters m_ownAtTotals;
};

} // namespace marigoldspool

#endif
