#include "marigoldspool/Serving/PriorityDemands.h"

#include "marigoldspool/Serving/EndpointLoads.h"

#include <algorithm>
#include <set>

namespace marigoldspool {

namespace {

// Short enough to follow a burst, long enough that a few requests a second are no burst. Unlike a
// decaying count, a window keeps reports short: models asked for earlier are not in them.
constexpr Duration ArrivalWindow = std::chrono::seconds(4);
// Arrivals a second from which a model is told although nothing waits for it: with fewer, little of
// its slots is taken by what arrives during a wait.
constexpr double MinToldRequestsPerSecond = 2;
// Bounds on what one instance may claim, so that its report cannot make all others refuse.
constexpr std::size_t MaxReportedEntries = 1024;
constexpr std::int64_t MaxReportedWaiting = 10'000;
constexpr double MaxReportedRate = 10'000;
constexpr std::int64_t MaxPriorityValue = 32;

PriorityKey keyOf(const PriorityLoad &load)
{
    return {PoolName(load.pool), load.model,
            static_cast<int>(std::clamp(load.priority, -MaxPriorityValue, MaxPriorityValue))};
}

PriorityLoad loadFor(const PriorityKey &key)
{
    PriorityLoad load;
    load.pool = key.pool.str();
    load.model = key.model;
    load.priority = key.priority;
    return load;
}

} // namespace

PriorityDemandSums::PriorityDemandSums(const Clock &clock)
    : m_clock(clock)
{ }

void PriorityDemandSums::onReport(const InstanceId &from, gsl::span<const PriorityLoad> report)
{
    Report &entry = m_reports[from];
    entry.at = m_clock.now();
    entry.loads.clear();
    for (const PriorityLoad &it : report.first(std::min(report.size(), MaxReportedEntries))) {
        PriorityLoad bounded = it;
        bounded.waiting = std::clamp<std::int64_t>(it.waiting, 0, MaxReportedWaiting);
        bounded.requestsPerSecond = std::clamp(it.requestsPerSecond, 0.0, MaxReportedRate);
        entry.loads[keyOf(it)] = bounded;
    }
}

void PriorityDemandSums::onTick()
{
    const SteadyTime now = m_clock.now();
    for (auto it = m_reports.begin(); it != m_reports.end();) {
        const bool isOld = now - it->second.at > EndpointLoadSums::ReportLifetime;
        it = isOld ? m_reports.erase(it) : std::next(it);
    }
}

std::vector<PriorityLoad> PriorityDemandSums::totals(bool full) const
{
    std::map<PriorityKey, PriorityLoad> sums;
    std::map<std::pair<PoolName, ModelName>, PriorityLoad> models;
    for (const auto &[instance, report] : m_reports) {
        for (const auto &[key, load] : report.loads) {
            PriorityLoad &sum = sums.try_emplace(key, loadFor(key)).first->second;
            PriorityLoad &model = models[{key.pool, key.model}];
            for (PriorityLoad *it : {&sum, &model}) {
                it->waiting += load.waiting;
                it->requestsPerSecond += load.requestsPerSecond;
            }
        }
    }
    std::vector<PriorityLoad> result;
    for (auto &[key, sum] : sums) {
        const PriorityLoad &model = models[{key.pool, key.model}];
        if (model.waiting > 0 || (full && model.requestsPerSecond >= MinToldRequestsPerSecond)) {
            result.push_back(std::move(sum));
        }
    }
    return result;
}

PriorityDemandView::PriorityDemandView(const Clock &clock)
    : m_clock(clock)
{ }

void PriorityDemandView::onArrival(const PriorityKey &key)
{
    m_arrivals[key].push_back(m_clock.now());
}

std::vector<PriorityLoad> PriorityDemandView::report()
{
    const SteadyTime begin = m_clock.now() - ArrivalWindow;
    std::map<PriorityKey, PriorityLoad> loads;
    for (auto it = m_arrivals.begin(); it != m_arrivals.end();) {
        std::deque<SteadyTime> &arrivals = it->second;
        while (!arrivals.empty() && arrivals.front() <= begin) {
            arrivals.pop_front();
        }
        if (arrivals.empty()) {
            it = m_arrivals.erase(it);
            continue;
        }
        PriorityLoad &load = loads.try_emplace(it->first, loadFor(it->first)).first->second;
        load.requestsPerSecond = static_cast<double>(arrivals.size()) / toSeconds(ArrivalWindow);
        ++it;
    }
    for (const auto &[key, waiting] : m_waiting) {
        loads.try_emplace(key, loadFor(key)).first->second.waiting = waiting;
    }
    std::vector<PriorityLoad> result;
    result.reserve(loads.size());
    for (auto &[key, load] : loads) {
        result.push_back(std::move(load));
    }
    return result;
}

void PriorityDemandView::onOwnReport(gsl::span<const PriorityLoad> report)
{
    m_ownReported.clear();
    for (const PriorityLoad &it : report) {
        m_ownReported[keyOf(it)] = it.waiting;
    }
}

// Partial messages list all models with waiting requests, so nothing waits for the others.
void PriorityDemandView::onTotals(const FleetLoads &totals)
{
    m_isKnown = totals.hasDemand;
    if (totals.full) {
        m_totals.clear();
    }
    std::set<std::pair<PoolName, ModelName>> told;
    for (const PriorityLoad &it : totals.demand) {
        told.emplace(PoolName(it.pool), it.model);
    }
    for (auto it = m_totals.begin(); it != m_totals.end();) {
        it->second.waiting = 0;
        const bool isReplaced = told.count({it->first.pool, it->first.model}) > 0;
        it = isReplaced ? m_totals.erase(it) : std::next(it);
    }
    for (const PriorityLoad &it : totals.demand) {
        FleetEntry &entry = m_totals[keyOf(it)];
        entry.waiting = it.waiting;
        entry.requestsPerSecond = it.requestsPerSecond;
    }
}

std::optional<std::vector<PriorityDemand>>
PriorityDemandView::demandFor(const PoolName &pool, const ModelName &model) const
{
    if (!m_isKnown) {
        return std::nullopt;
    }
    std::vector<PriorityDemand> result;
    const PriorityKey first{pool, model, -static_cast<int>(MaxPriorityValue)};
    for (auto it = m_totals.lower_bound(first);
         it != m_totals.end() && it->first.pool == pool && it->first.model == model; ++it) {
        const auto own = m_ownReported.find(it->first);
        const std::int64_t ownWaiting = own == m_ownReported.end() ? 0 : own->second;
        const std::int64_t elsewhere =
            std::clamp<std::int64_t>(it->second.waiting - ownWaiting, 0, 1'000'000);
        result.push_back({it->first.priority, static_cast<int>(elsewhere),
                          std::max(0.0, it->second.requestsPerSecond)});
    }
    return result;
}

} // namespace marigoldspool
