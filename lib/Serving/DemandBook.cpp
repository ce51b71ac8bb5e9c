#include "marigoldspool/Serving/DemandBook.h"

#include <algorithm>
#include <cmath>

namespace marigoldspool {

namespace {

// FleetDemand for a busy model moves within a few seconds, so older arrivals count little after
// that.
constexpr double HalfLifeSeconds = 3;
constexpr double NegligibleCount = 0.02;
constexpr Duration ReporterSilence = std::chrono::seconds(3);

double decayed(double value, SteadyTime since, SteadyTime now)
{
    return value * std::exp2(-std::chrono::duration<double>(now - since).count() / HalfLifeSeconds);
}

} // namespace

DemandTracker::DemandTracker(const Clock &clock)
    : m_clock(clock)
{ }

void DemandTracker::onArrival(const DemandKey &key)
{
    const SteadyTime now = m_clock.now();
    Count &count = m_counts[key];
    count.value = decayed(count.value, count.at, now) + 1;
    count.at = now;
}

std::map<DemandKey, ReportedDemand> DemandTracker::recent()
{
    // Arrivals at a constant rate settle at this many seconds' worth.
    const double settled = HalfLifeSeconds / std::log(2.0);
    const SteadyTime now = m_clock.now();
    std::map<DemandKey, ReportedDemand> result;
    for (auto it = m_counts.begin(); it != m_counts.end();) {
        const double value = decayed(it->second.value, it->second.at, now);
        if (value < NegligibleCount) {
            it = m_counts.erase(it);
            continue;
        }
        ReportedDemand item;
        item.pool = it->first.pool.str();
        item.model = it->first.model;
        item.adapter = it->first.adapter;
        item.requestsPerSecond = value / settled;
        item.idleMs = toMilliseconds(now - it->second.at);
        result.emplace(it->first, std::move(item));
        ++it;
    }
    return result;
}

DemandReport DemandTracker::report(gsl::span<const WaitingRequest> waiting)
{
    std::map<DemandKey, ReportedDemand> items = recent();
    for (const WaitingRequest &request : waiting) {
        ReportedDemand &item = items[request.key];
        item.pool = request.key.pool.str();
        item.model = request.key.model;
        item.adapter = request.key.adapter;
        const bool isFirst = item.waiting == 0;
        ++item.waiting;
        item.oldestWaitMs = std::max(item.oldestWaitMs, toMilliseconds(request.waited));
        item.priority =
            isFirst ? request.priority : std::min<std::int64_t>(item.priority, request.priority);
    }
    DemandReport report;
    report.models.reserve(items.size());
    for (auto &[key, item] : items) {
        report.models.push_back(std::move(item));
    }
    return report;
}

DemandBook::DemandBook(const Clock &clock)
    : m_clock(clock)
{ }

void DemandBook::onReport(const InstanceId &from, const DemandReport &report)
{
    const SteadyTime now = m_clock.now();
    Reporter &reporter = m_reporters[from];
    reporter.at = now;
    reporter.items.clear();
    for (const ReportedDemand &item : report.models) {
        FleetDemand demand;
        demand.rate = item.requestsPerSecond;
        demand.waiting = item.waiting;
        demand.oldest = now - std::chrono::milliseconds(item.oldestWaitMs);
        demand.priority = static_cast<int>(item.priority);
        demand.lastArrival = now - std::chrono::milliseconds(item.idleMs);
        reporter.items[{PoolName(item.pool), item.model, item.adapter}] = demand;
    }
    m_outdated = true;
}

void DemandBook::clear()
{
    m_reporters.clear();
    m_outdated = true;
}

void DemandBook::onTick()
{
    const SteadyTime now = m_clock.now();
    for (auto it = m_reporters.begin(); it != m_reporters.end();) {
        if (now - it->second.at > ReporterSilence) {
            it = m_reporters.erase(it);
            m_outdated = true;
        } else {
            ++it;
        }
    }
}

const std::map<DemandKey, FleetDemand> &DemandBook::all() const
{
    if (!m_outdated) {
        return m_total;
    }
    m_outdated = false;
    m_total.clear();
    for (const auto &[instance, reporter] : m_reporters) {
        for (const auto &[key, item] : reporter.items) {
            FleetDemand &demand = m_total[key];
            demand.rate += item.rate;
            demand.lastArrival = std::max(demand.lastArrival, item.lastArrival);
            if (item.waiting == 0) {
                continue;
            }
            const bool isFirst = demand.waiting == 0;
            demand.oldest = isFirst ? item.oldest : std::min(demand.oldest, item.oldest);
            demand.priority = isFirst ? item.priority : std::min(demand.priority, item.priority);
            demand.waiting += item.waiting;
        }
    }
    return m_total;
}

FleetDemand DemandBook::of(const DemandKey &key) const
{
    const auto &total = all();
    const auto it = total.find(key);
    return it == total.end() ? FleetDemand() : it->second;
}

} // namespace marigoldspool
