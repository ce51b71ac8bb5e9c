#include "marigoldspool/Serving/DemandBook.h"

#include <algorithm>
#include <cmath>

namespace marigoldspool {

namespace {

constexpr Duration SmoothInterval = std::chrono::milliseconds(500);
// Demand for a busy model moves within a few seconds, so older arrivals count little after that.
constexpr double RateHalfLifeSeconds = 3;
constexpr Duration ReporterSilence = std::chrono::seconds(3);
constexpr double NegligibleRate = 0.001;

} // namespace

DemandBook::DemandBook(const Clock &clock)
    : m_clock(clock)
    , m_smoothedAt(clock.now())
{ }

void DemandBook::onReport(const InstanceId &from, const DemandReport &report)
{
    const SteadyTime now = m_clock.now();
    Reporter &reporter = m_reporters[from];
    reporter.at = now;
    reporter.waiting.clear();
    for (const ReportedDemand &item : report.models) {
        const DemandKey key{PoolName(item.pool), item.model, item.adapter};
        if (item.arrivals > 0) {
            m_arrivals[key] += static_cast<double>(item.arrivals);
            m_total[key].lastArrival = now;
        }
        if (item.waiting > 0) {
            const SteadyTime oldest = now - std::chrono::milliseconds(item.oldestMs);
            reporter.waiting[key] = {item.waiting, oldest, static_cast<int>(item.priority)};
            m_total[key].lastArrival = now;
        }
    }
    sum();
}

void DemandBook::forget(const InstanceId &from)
{
    m_reporters.erase(from);
    sum();
}

void DemandBook::sum()
{
    for (auto &[key, demand] : m_total) {
        demand.waiting = 0;
    }
    for (const auto &[instance, reporter] : m_reporters) {
        for (const auto &[key, waiting] : reporter.waiting) {
            Demand &demand = m_total[key];
            const bool isFirst = demand.waiting == 0;
            demand.oldest = isFirst ? waiting.oldest : std::min(demand.oldest, waiting.oldest);
            demand.priority =
                isFirst ? waiting.priority : std::min(demand.priority, waiting.priority);
            demand.waiting += waiting.count;
        }
    }
}

void DemandBook::onTick()
{
    const SteadyTime now = m_clock.now();
    const Duration span = now - m_smoothedAt;
    if (span < SmoothInterval) {
        return;
    }
    m_smoothedAt = now;
    const double seconds = std::chrono::duration<double>(span).count();
    const double kept = std::exp2(-seconds / RateHalfLifeSeconds);
    for (auto it = m_total.begin(); it != m_total.end();) {
        Demand &demand = it->second;
        const auto arrivals = m_arrivals.find(it->first);
        const double rate = arrivals == m_arrivals.end() ? 0 : arrivals->second / seconds;
        demand.rate = kept * demand.rate + (1 - kept) * rate;
        const bool isOver = demand.waiting == 0 && demand.rate < NegligibleRate;
        it = isOver ? m_total.erase(it) : std::next(it);
    }
    m_arrivals.clear();
    const std::size_t before = m_reporters.size();
    for (auto it = m_reporters.begin(); it != m_reporters.end();) {
        it = now - it->second.at > ReporterSilence ? m_reporters.erase(it) : std::next(it);
    }
    if (m_reporters.size() != before) {
        sum();
    }
}

Demand DemandBook::of(const DemandKey &key) const
{
    const auto it = m_total.find(key);
    return it == m_total.end() ? Demand() : it->second;
}

} // namespace marigoldspool
