#ifndef MARIGOLDSPOOL_SERVING_ENDPOINTLOADS_H
#define MARIGOLDSPOOL_SERVING_ENDPOINTLOADS_H

#include "marigoldspool/Peer/Messages.h"
#include "marigoldspool/Serving/EndpointStatements.h"

#include <map>
#include <optional>
#include <set>

namespace marigoldspool {

/// Sums the requests that all instances have at endpoints. Kept by the lease holder.
class EndpointLoadSums
{
public:
    /// How long the report of an instance counts.
    static constexpr Duration ReportLifetime = std::chrono::milliseconds(1500);

    explicit EndpointLoadSums(const Clock &clock);

    void onReport(const InstanceId &from, const EndpointLoads &report);
    /// Drops the reports of instances that have stopped reporting.
    void onTick();
    void clear();
    std::size_t reporterCount() const { return m_reports.size(); }
    /// Requests at the process \p startedAtMs of an endpoint, by model.
    std::map<ModelName, int> requestsAt(const EndpointId &endpoint, std::int64_t startedAtMs) const;
    /// The endpoints whose sums have changed since the last call, or all with requests if \p full.
    /// An endpoint that has lost its last request is listed with zero requests.
    std::vector<EndpointTotal> takeTotals(bool full);

private:
    struct Report {
        SteadyTime at;
        EndpointLoads loads;
    };
    using Totals = std::map<EndpointId, EndpointTotal>;

    Totals totals() const;

    const Clock &m_clock;
    std::map<InstanceId, Report> m_reports;
    Totals m_sent;
};

/// What an instance knows of the load of endpoints from the lease holder's sums.
class EndpointLoadView
{
public:
    /// How long the sums are used after the holder's last message.
    static constexpr Duration Lifetime = std::chrono::milliseconds(1500);

    explicit EndpointLoadView(const Clock &clock);

    void onTotals(const FleetLoads &totals);
    /// The requests of this instance that the sums may contain.
    void onOwnReport(const EndpointLoads &report);
    /// Whether the sums are complete and recent.
    bool isFresh() const;
    /// Time since the holder's last message; Duration::max() before the first one.
    Duration age() const;
    /// Requests of all instances at \p endpoint, of which this one has \p ownRequests now. Without
    /// fresh sums, or for another process than theirs, only the own ones are known.
    int requestsAt(const EndpointIncarnation &endpoint, int ownRequests) const;

private:
    const Clock &m_clock;
    std::map<EndpointId, EndpointTotal> m_totals;
    std::map<EndpointId, std::int64_t> m_ownReported;
    std::uint64_t m_term = 0;
    std::uint64_t m_sequence = 0;
    std::optional<SteadyTime> m_receivedAt;
    /// False after a lost message, until the next full one.
    bool m_isComplete = false;
};

} // namespace marigoldspool

#endif
