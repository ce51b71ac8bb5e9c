#include "Fleet/LoadExchange.h"

#include "marigoldspool/Support/EventLog.h"

#include <algorithm>

namespace marigoldspool {

namespace {

using std::chrono::milliseconds;

constexpr Duration ReportInterval = milliseconds(200);
// Repeats keep an unchanged report from lapsing at the holder.
constexpr Duration RepeatInterval = milliseconds(700);
constexpr Duration PublishInterval = milliseconds(250);
constexpr Duration FullInterval = milliseconds(2000);

bool isSame(const EndpointLoads &a, const EndpointLoads &b)
{
    const auto isSameModel = [](const ModelLoad &x, const ModelLoad &y) {
        return x.model == y.model && x.requests == y.requests && x.unstarted == y.unstarted;
    };
    // Rates follow with the next report.
    const auto isSameDemand = [](const PriorityLoad &x, const PriorityLoad &y) {
        return x.pool == y.pool && x.model == y.model && x.priority == y.priority
            && x.waiting == y.waiting;
    };
    if (!std::equal(a.demand.begin(), a.demand.end(), b.demand.begin(), b.demand.end(),
                    isSameDemand)) {
        return false;
    }
    return std::equal(a.endpoints.begin(), a.endpoints.end(), b.endpoints.begin(),
                      b.endpoints.end(), [&](const EndpointLoad &x, const EndpointLoad &y) {
                          return x.endpoint == y.endpoint && x.startedAtMs == y.startedAtMs
                              && std::equal(x.models.begin(), x.models.end(), y.models.begin(),
                                            y.models.end(), isSameModel);
                      });
}

} // namespace

LoadExchange::LoadExchange(FleetRuntime &runtime, FleetLink &link, PlacementDriver &placement)
    : m_runtime(runtime)
    , m_link(link)
    , m_placement(placement)
    , m_sums(runtime.clock)
    , m_demandSums(runtime.clock)
{ }

bool LoadExchange::hasContendedPool() const
{
    if (m_runtime.routes == nullptr) {
        return false;
    }
    const auto &pools = m_runtime.routes->configuration()->pools;
    return std::any_of(pools.begin(), pools.end(), [this](const auto &it) {
        return m_runtime.directory.isContended(it.second);
    });
}

void LoadExchange::onTick()
{
    if (!hasContendedPool()) {
        return;
    }
    report();
    if (m_placement.isOwner()) {
        m_sums.onTick();
        m_demandSums.onTick();
        publish();
    } else if (m_sums.reporterCount() > 0) {
        m_sums.clear();
        m_demandSums.clear();
    }
    const bool isFresh = m_runtime.directory.loads().isFresh();
    if (isFresh != m_wasFresh) {
        m_wasFresh = isFresh;
        logEvent(LogLevel::Info, isFresh ? "engine_loads_known" : "engine_loads_unknown",
                 {{"holder", m_link.owner().str()}, {"term", std::to_string(m_placement.term())}});
    }
}

void LoadExchange::report()
{
    const SteadyTime now = m_runtime.clock.now();
    if (now < m_reportedAt + ReportInterval) {
        return;
    }
    const InstanceId holder = m_placement.isOwner() ? m_runtime.options.instance : m_link.owner();
    EndpointLoads loads = m_runtime.directory.ownLoads();
    loads.demand = m_runtime.priorityDemand.report();
    const bool isDue = now >= m_reportedAt + RepeatInterval || holder != m_reportedTo;
    if (!isDue && isSame(loads, m_reported)) {
        return;
    }
    if (m_placement.isOwner()) {
        m_sums.onReport(m_runtime.options.instance, loads);
        m_demandSums.onReport(m_runtime.options.instance, loads.demand);
    } else if (!m_link.isOwnerReachable() || !m_link.send(holder, loads)) {
        return;
    }
    m_reportedAt = now;
    m_reportedTo = holder;
    m_runtime.directory.loads().onOwnReport(loads);
    m_runtime.priorityDemand.onOwnReport(loads.demand);
    m_reported = std::move(loads);
}

bool LoadExchange::hasReports() const
{
    return m_sums.reporterCount() * 2 > m_link.connectedPeers().size();
}

void LoadExchange::publish()
{
    const SteadyTime now = m_runtime.clock.now();
    if (now < m_publishedAt + PublishInterval || !hasReports()) {
        return;
    }
    const bool isNewTerm = m_placement.term() != m_term;
    FleetLoads totals;
    totals.term = m_term = m_placement.term();
    totals.full = isNewTerm || now >= m_fullAt + FullInterval;
    totals.sequence = ++m_sequence;
    totals.endpoints = m_sums.takeTotals(totals.full);
    totals.hasDemand = true;
    totals.demand = m_demandSums.totals(totals.full);
    m_publishedAt = now;
    m_fullAt = totals.full ? now : m_fullAt;
    for (const InstanceId &peer : m_link.connectedPeers()) {
        m_link.send(peer, totals);
    }
    onTotals(m_runtime.options.instance, totals);
    m_placement.setEngineLoads(m_sums);
}

void LoadExchange::onLoads(const InstanceId &from, const EndpointLoads &loads)
{
    if (m_placement.isOwner()) {
        m_sums.onReport(from, loads);
        m_demandSums.onReport(from, loads.demand);
    }
}

void LoadExchange::onTotals(const InstanceId &from, const FleetLoads &totals)
{
    if (from != m_runtime.options.instance && from != m_link.owner()) {
        return;
    }
    EndpointLoadView &view = m_runtime.directory.loads();
    if (view.age() != Duration::max()) {
        m_runtime.metrics->observe("marigoldspool_load_view_age_seconds", toSeconds(view.age()));
    }
    view.onTotals(totals);
    m_runtime.priorityDemand.onTotals(totals);
}

} // namespace marigoldspool
