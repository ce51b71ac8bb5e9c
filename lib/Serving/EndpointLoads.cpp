#include "marigoldspool/Serving/EndpointLoads.h"

#include <algorithm>

namespace marigoldspool {

namespace {

// Bounds what one instance may claim to have at one endpoint, so that sums stay within their type.
constexpr std::int64_t MaxReportedRequests = 100'000;

std::int64_t bounded(std::int64_t count)
{
    return std::clamp<std::int64_t>(count, 0, MaxReportedRequests);
}

bool hasSameCounts(const EndpointTotal &a, const EndpointTotal &b)
{
    return a.startedAtMs == b.startedAtMs && a.requests == b.requests && a.unstarted == b.unstarted;
}

} // namespace

EndpointLoadSums::EndpointLoadSums(const Clock &clock)
    : m_clock(clock)
{ }

void EndpointLoadSums::onReport(const InstanceId &from, const EndpointLoads &report)
{
    m_reports[from] = {m_clock.now(), report};
}

void EndpointLoadSums::onTick()
{
    const SteadyTime now = m_clock.now();
    for (auto it = m_reports.begin(); it != m_reports.end();) {
        it = now - it->second.at > ReportLifetime ? m_reports.erase(it) : std::next(it);
    }
}

void EndpointLoadSums::clear()
{
    m_reports.clear();
    m_sent.clear();
}

std::map<ModelName, int> EndpointLoadSums::requestsAt(const EndpointId &endpoint,
                                                      std::int64_t startedAtMs) const
{
    std::map<ModelName, int> result;
    for (const auto &[instance, report] : m_reports) {
        for (const EndpointLoad &load : report.loads.endpoints) {
            if (load.endpoint != endpoint || load.startedAtMs != startedAtMs) {
                continue;
            }
            for (const ModelLoad &it : load.models) {
                result[it.model] += static_cast<int>(bounded(it.requests));
            }
        }
    }
    return result;
}

// Requests at an earlier process of an endpoint have ended with it, although their instances may
// not know it yet.
EndpointLoadSums::Totals EndpointLoadSums::totals() const
{
    Totals totals;
    for (const auto &[instance, report] : m_reports) {
        for (const EndpointLoad &load : report.loads.endpoints) {
            EndpointTotal &total = totals[load.endpoint];
            if (load.startedAtMs < total.startedAtMs) {
                continue;
            }
            if (load.startedAtMs > total.startedAtMs) {
                total = EndpointTotal{load.endpoint, load.startedAtMs, 0, 0};
            }
            total.endpoint = load.endpoint;
            for (const ModelLoad &it : load.models) {
                total.requests += bounded(it.requests);
                total.unstarted += bounded(it.unstarted);
            }
        }
    }
    return totals;
}

std::vector<EndpointTotal> EndpointLoadSums::takeTotals(bool full)
{
    std::vector<EndpointTotal> result;
    Totals current = totals();
    for (const auto &[endpoint, total] : current) {
        const auto sent = m_sent.find(endpoint);
        if (full || sent == m_sent.end() || !hasSameCounts(sent->second, total)) {
            result.push_back(total);
        }
    }
    for (const auto &[endpoint, total] : m_sent) {
        if (!full && current.count(endpoint) == 0) {
            result.push_back({endpoint, total.startedAtMs, 0, 0});
        }
    }
    m_sent = std::move(current);
    return result;
}

EndpointLoadView::EndpointLoadView(const Clock &clock)
    : m_clock(clock)
{ }

void EndpointLoadView::onTotals(const FleetLoads &totals)
{
    if (totals.term < m_term) {
        return;
    }
    const bool isNext = totals.term == m_term && totals.sequence == m_sequence + 1;
    m_term = totals.term;
    m_sequence = totals.sequence;
    if (totals.full) {
        m_totals.clear();
        m_isComplete = true;
    } else if (!isNext) {
        m_isComplete = false;
    }
    for (const EndpointTotal &it : totals.endpoints) {
        m_totals[it.endpoint] = it;
    }
    m_receivedAt = m_clock.now();
}

void EndpointLoadView::onOwnReport(const EndpointLoads &report)
{
    m_ownReported.clear();
    for (const EndpointLoad &load : report.endpoints) {
        for (const ModelLoad &it : load.models) {
            m_ownReported[load.endpoint] += it.requests;
        }
    }
}

Duration EndpointLoadView::age() const
{
    return m_receivedAt ? m_clock.now() - *m_receivedAt : Duration::max();
}

bool EndpointLoadView::isFresh() const
{
    return m_isComplete && age() <= Lifetime;
}

// The sums may lack the own requests that were reported last, or still contain ended ones. Either
// way the difference is what this instance has changed within one report interval.
int EndpointLoadView::requestsAt(const EndpointIncarnation &endpoint, int ownRequests) const
{
    const auto total = m_totals.find(endpoint.endpoint);
    if (!isFresh() || total == m_totals.end()
        || total->second.startedAtMs != endpoint.startedAtMs) {
        return ownRequests;
    }
    const auto own = m_ownReported.find(endpoint.endpoint);
    const std::int64_t ownIncluded = own == m_ownReported.end() ? 0 : own->second;
    const std::int64_t others = std::max<std::int64_t>(total->second.requests - ownIncluded, 0);
    return static_cast<int>(std::min<std::int64_t>(others, MaxReportedRequests)) + ownRequests;
}

} // namespace marigoldspool
