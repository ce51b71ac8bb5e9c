#ifndef MARIGOLDSPOOL_SERVING_WORKSPACEQUOTA_H
#define MARIGOLDSPOOL_SERVING_WORKSPACEQUOTA_H

#include "marigoldspool/Peer/Messages.h"
#include "marigoldspool/Serving/ServingTypes.h"

#include <deque>
#include <map>
#include <optional>

namespace marigoldspool {

/// How the operators judge what a workspace was admitted: in each span of \c window no more than
/// rate * window + burst, and \c slack more for what instances cannot know of each other.
struct QuotaBound {
    double slack = 0;
    /// Zero: not known.
    Duration window = Duration::zero();
};

/// The rates of all workspaces, shared by the instances by telling each other what they admit.
///
/// Each instance follows one token bucket for the whole fleet: it fills at the workspace's rate,
/// and what this instance and the others admit is taken out. The part of an instance that has not
/// been heard from is left out of rate and burst, and an instance that hears nobody keeps to its
/// own even part, so the sum stays within the bound whichever instances are cut off. What others
/// admit is known with a delay; so an instance uses only its part of what is in the bucket, by
/// demand, until the next look. A new instance starts with an empty bucket.
class WorkspaceQuota
{
public:
    explicit WorkspaceQuota(const Clock &clock, QuotaBound bound = {});

    void setConfiguration(ServingConfigurationPtr configuration);
    /// Instances that share the rates, this one included.
    void setInstances(std::size_t count);

    /// Takes \p cost, or returns how long the caller had better wait.
    std::optional<Duration> take(const WorkspaceName &workspace, double cost);

    /// What this instance has admitted and been asked for since its start.
    UsageReport report() const;
    void onReport(const InstanceId &from, std::uint64_t incarnation, const UsageReport &report);
    /// The sum of this instance's counters and of those reported to it, for fleets in which not
    /// everyone hears everyone.
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
    /// Demand each second, smoothed from counters.
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
        /// What the others use each second, and what was taken out for them since the last sums.
        DemandRate othersUse;
        double othersUsed = 0;
        double expected = 0;
        /// The others' demand is known from the sums of the present hub.
        bool othersKnown = false;
        /// What this instance may use until the next look.
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
    /// Others have admitted and been asked for this much more.
    void takeOut(const WorkspaceName &workspace, double used, double asked, SteadyTime now);
    void takeOut(Part &part, double used, double asked);

    const Clock &m_clock;
    QuotaBound m_bound;
    std::size_t m_instances = 1;
    std::map<WorkspaceName, Part> m_parts;
    std::map<InstanceId, Peer> m_peers;
    /// What others used, as far as their reports were counted.
    Counters m_observed;
    InstanceId m_totalsFrom;
    std::uint64_t m_totalsIncarnation = 0;
    SteadyTime m_totalsAt;
    std::size_t m_totalsMembers = 0;
    Counters m_totals;
    /// This instance's own counters when the totals came.
    Counters m_ownAtTotals;
};

} // namespace marigoldspool

#endif
