#ifndef MARIGOLDSPOOL_SERVING_WORKSPACEQUOTA_H
#define MARIGOLDSPOOL_SERVING_WORKSPACEQUOTA_H

#include "marigoldspool/Peer/Messages.h"
#include "marigoldspool/Serving/ServingTypes.h"

#include <deque>
#include <map>
#include <optional>

namespace marigoldspool {

/// Bound on what a workspace may use, over all instances.
struct QuotaBound {
    /// Any span of this length counts.
    Duration window = std::chrono::seconds(8);
};

/// The rates of all workspaces, shared by the instances by telling each other what they admit.
///
/// In a window a workspace may use rate x window + burst. An instance admits while what it and the
/// others used leaves room; an instance that has not been heard from is counted with its even
/// share, and itself keeps to that share while it hears from nobody, so the sum stays within the
/// bound whichever of them are cut off. What others use is known with a delay; near the bound the
/// room is therefore divided by demand, and each instance uses its part of it until the next news.
class WorkspaceQuota
{
public:
    WorkspaceQuota(const Clock &clock, QuotaBound bound);

    void setConfiguration(ServingConfigurationPtr configuration);
    /// Instances that share the rates, this one included.
    void setInstances(std::size_t count) { m_instances = count == 0 ? 1 : count; }

    /// Takes \p cost, or returns how long the caller had better wait.
    std::optional<Duration> take(const WorkspaceName &workspace, double cost);

    /// What this instance has admitted and been asked for since its start.
    UsageReport report() const;
    void onReport(const InstanceId &from, std::uint64_t incarnation, const UsageReport &report);
    /// What all instances that report here used in the window, for fleets in which not everyone
    /// hears everyone.
    UsageTotals totals();
    void onTotals(const UsageTotals &totals);

private:
    /// Amounts by time, of which those inside the window count.
    class Window
    {
    public:
        void add(double amount, SteadyTime now);
        double sum(SteadyTime now, Duration window);

    private:
        std::deque<std::pair<SteadyTime, double>> m_slices;
        double m_sum = 0;
    };

    struct Usage {
        double usedCounter = 0;
        double askedCounter = 0;
        Window used;
        Window asked;
    };
    struct Peer {
        std::uint64_t incarnation = 0;
        SteadyTime heardAt;
        std::map<WorkspaceName, Usage> usage;
    };
    struct Total {
        double used = 0;
        double asked = 0;
    };
    struct Limit {
        double rate = 0;
        double burst = 0;
    };
    /// What others used, and what this instance may use until the next look.
    struct Room {
        SteadyTime at;
        bool divided = false;
        double left = 0;
    };

    double bound(const Limit &limit) const;
    double startCharge(const Limit &limit, SteadyTime now) const;
    void look(const WorkspaceName &workspace, const Limit &limit, Room &room, SteadyTime now);
    bool isHeard(const Peer &peer, SteadyTime now) const;

    const Clock &m_clock;
    QuotaBound m_bound;
    std::size_t m_instances = 1;
    SteadyTime m_startedAt;
    std::map<WorkspaceName, Limit> m_limits;
    std::map<WorkspaceName, Usage> m_own;
    std::map<WorkspaceName, Room> m_rooms;
    std::map<InstanceId, Peer> m_peers;
    SteadyTime m_totalsAt;
    std::size_t m_totalsMembers = 0;
    std::map<WorkspaceName, Total> m_totals;
};

} // namespace marigoldspool

#endif
