#include "marigoldspool/Serving/DemandAggregator.h"

#include "marigoldspool/Serving/AdmissionOrder.h"

#include <algorithm>
#include <cmath>

namespace marigoldspool {

namespace {

// The demand for a busy model shifts within a few seconds, so older arrivals must lose weight in
// that time.
constexpr double HalfLifeSeconds = 3;
constexpr double NegligibleCount = 0.02;
constexpr Duration ReportLifetime = std::chrono::seconds(3);

constexpr Duration TrendInterval = std::chrono::milliseconds(250);
// A smoothed rate lags behind demand that rises steadily, and its own smoothed value behind it, by
// the same time each. This many times the difference is added, for the lag and some seconds ahead.
constexpr double TrendFactor = 1.5;
// Below this rate, single requests look like a trend.
constexpr double MinTrendRequestsPerSecond = 1;
// Until this long after the first report, new rates come from new reporters.
constexpr Duration MinTrendAge = std::chrono::seconds(3);

double decayed(double value, SteadyTime since, SteadyTime now)
{
    return value * decayFactor(now - since, HalfLifeSeconds);
}

// Older versions state no value; their requests then count by the priority of the most urgent.
void readWaitingValue(const ReportedDemand &item, SteadyTime now, FleetDemand &demand)
{
    const double count = static_cast<double>(item.waiting);
    const bool isStated = item.weight > 0;
    demand.weight = isStated ? std::min(item.weight, count * requestWeight(MostUrgentPriority))
                             : count * requestWeight(demand.priority);
    demand.firstDueAt =
        now + std::chrono::milliseconds(isStated ? item.firstDueInMs : item.dueInMs);
    demand.leaveAt =
        item.leaveInMs > 0 ? now + std::chrono::milliseconds(item.leaveInMs) : SteadyTime::max();
}

} // namespace

DemandTracker::DemandTracker(const Clock &clock)
    : m_clock(clock)
{ }

void DemandTracker::onArrival(const DemandKey &key)
{
    const SteadyTime now = m_clock.now();
    DecayedCount &count = m_counts[key];
    count.value = decayed(count.value, count.at, now) + 1;
    count.at = now;
}

std::map<DemandKey, ReportedDemand> DemandTracker::recent()
{
    // At a constant arrival rate the decayed count converges to this many seconds of arrivals.
    const double meanLifetimeSeconds = HalfLifeSeconds / std::log(2.0);
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
        item.requestsPerSecond = value / meanLifetimeSeconds;
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
        if (request.isForSlot) {
            ++item.waitingForSlot;
            continue;
        }
        const bool isFirst = item.waiting == 0;
        ++item.waiting;
        item.oldestWaitMs = std::max(item.oldestWaitMs, toMilliseconds(request.waited));
        if (request.dueIn > Duration::zero()) {
            item.dueInMs = std::max(item.dueInMs, toMilliseconds(request.dueIn));
        }
        const std::int64_t dueInMs = toMilliseconds(std::max(request.dueIn, Duration::zero()));
        item.firstDueInMs = isFirst ? dueInMs : std::min(item.firstDueInMs, dueInMs);
        item.leaveInMs = std::max(item.leaveInMs, toMilliseconds(request.leavesIn));
        item.weight += request.weight;
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

DemandAggregator::DemandAggregator(const Clock &clock)
    : m_clock(clock)
{ }

void DemandAggregator::onReport(const InstanceId &from, const DemandReport &report)
{
    const SteadyTime now = m_clock.now();
    if (!m_startedAt) {
        m_startedAt = now;
    }
    ReportingInstance &reporter = m_reporters[from];
    reporter.at = now;
    reporter.items.clear();
    for (const ReportedDemand &item : report.models) {
        FleetDemand demand;
        demand.requestsPerSecond = item.requestsPerSecond;
        demand.waiting = item.waiting;
        demand.waitingForSlot = item.waitingForSlot;
        demand.oldestWaitingSince = now - std::chrono::milliseconds(item.oldestWaitMs);
        demand.latestDueAt = now + std::chrono::milliseconds(item.dueInMs);
        demand.priority = static_cast<int>(item.priority);
        demand.lastArrival = now - std::chrono::milliseconds(item.idleMs);
        readWaitingValue(item, now, demand);
        reporter.items[{PoolName(item.pool), item.model, item.adapter}] = demand;
    }
    m_isTotalOutdated = true;
}

void DemandAggregator::clear()
{
    m_reporters.clear();
    m_laggingRates.clear();
    m_startedAt.reset();
    m_isTotalOutdated = true;
}

void DemandAggregator::updateLaggingRates()
{
    const SteadyTime now = m_clock.now();
    if (!m_startedAt || now - m_laggingRatesAt < TrendInterval) {
        return;
    }
    const bool isStarting = now - *m_startedAt < MinTrendAge;
    const double keptFraction = decayFactor(now - m_laggingRatesAt, HalfLifeSeconds);
    std::map<DemandKey, double> rates;
    for (const auto &[key, demand] : totalDemand()) {
        const auto before = m_laggingRates.find(key);
        const double lagging = before == m_laggingRates.end() ? 0 : before->second;
        rates[key] = isStarting
            ? demand.requestsPerSecond
            : demand.requestsPerSecond + keptFraction * (lagging - demand.requestsPerSecond);
    }
    m_laggingRates = std::move(rates);
    m_laggingRatesAt = now;
    m_isTotalOutdated = true;
}

void DemandAggregator::onTick()
{
    const SteadyTime now = m_clock.now();
    for (auto it = m_reporters.begin(); it != m_reporters.end();) {
        if (now - it->second.at > ReportLifetime) {
            it = m_reporters.erase(it);
            m_isTotalOutdated = true;
        } else {
            ++it;
        }
    }
    updateLaggingRates();
}

const std::map<DemandKey, FleetDemand> &DemandAggregator::totalDemand() const
{
    if (!m_isTotalOutdated) {
        return m_total;
    }
    m_isTotalOutdated = false;
    m_total.clear();
    for (const auto &[instance, reporter] : m_reporters) {
        for (const auto &[key, item] : reporter.items) {
            FleetDemand &demand = m_total[key];
            demand.requestsPerSecond += item.requestsPerSecond;
            demand.lastArrival = std::max(demand.lastArrival, item.lastArrival);
            demand.waitingForSlot += item.waitingForSlot;
            if (item.waiting == 0) {
                continue;
            }
            const bool isFirst = demand.waiting == 0;
            demand.oldestWaitingSince = isFirst
                ? item.oldestWaitingSince
                : std::min(demand.oldestWaitingSince, item.oldestWaitingSince);
            demand.weight += item.weight;
            demand.firstDueAt =
                isFirst ? item.firstDueAt : std::min(demand.firstDueAt, item.firstDueAt);
            demand.leaveAt = isFirst ? item.leaveAt : std::max(demand.leaveAt, item.leaveAt);
            demand.latestDueAt = std::max(demand.latestDueAt, item.latestDueAt);
            demand.priority = isFirst ? item.priority : std::min(demand.priority, item.priority);
            demand.waiting += item.waiting;
        }
    }
    for (auto &[key, demand] : m_total) {
        const auto lagging = m_laggingRates.find(key);
        const double rise =
            lagging == m_laggingRates.end() || demand.requestsPerSecond < MinTrendRequestsPerSecond
            ? 0
            : std::max(0.0, demand.requestsPerSecond - lagging->second);
        demand.expectedRequestsPerSecond = demand.requestsPerSecond + TrendFactor * rise;
    }
    return m_total;
}

FleetDemand DemandAggregator::demandFor(const DemandKey &key) const
{
    const auto &total = totalDemand();
    const auto it = total.find(key);
    return it == total.end() ? FleetDemand() : it->second;
}

} // namespace marigoldspool
