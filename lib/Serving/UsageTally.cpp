#include "marigoldspool/Serving/UsageTally.h"

#include <set>

namespace marigoldspool {

namespace {

// Endpoints refuse within milliseconds. A request without an answer for this long counts as
// running, so that windows become final although some requests run for longer.
constexpr Duration MaxRefusalTime = std::chrono::seconds(2);

} // namespace

UsageTally::UsageTally(const Clock &clock, Duration windowLength)
    : m_windows(clock, windowLength)
{ }

bool UsageTally::isReported(std::int64_t window) const
{
    const std::int64_t current = m_windows.current();
    return window <= current && window >= current - ReportedWindows;
}

void UsageTally::add(const WorkspaceName &workspace, std::int64_t window)
{
    if (isReported(window)) {
        ++m_counts[window][workspace];
    }
}

void UsageTally::onFirstEvent(const WorkspaceName &workspace)
{
    add(workspace, m_windows.current());
}

std::uint64_t UsageTally::onSent(const WorkspaceName &workspace)
{
    m_pending[++m_lastPending] = {workspace, m_windows.current(), m_windows.steadyNow()};
    return m_lastPending;
}

void UsageTally::onRun(std::uint64_t pending)
{
    const auto it = m_pending.find(pending);
    if (it != m_pending.end()) {
        add(it->second.workspace, it->second.window);
        m_pending.erase(it);
    }
}

void UsageTally::onNotRun(std::uint64_t pending)
{
    m_pending.erase(pending);
}

RequestStarts UsageTally::report()
{
    const std::int64_t current = m_windows.current();
    for (auto it = m_counts.begin(); it != m_counts.end();) {
        it = isReported(it->first) ? std::next(it) : m_counts.erase(it);
    }
    std::map<std::int64_t, Counts> counts = m_counts;
    std::set<std::int64_t> undecided;
    const SteadyTime now = m_windows.steadyNow();
    for (const auto &[number, request] : m_pending) {
        if (now - request.sentAt >= MaxRefusalTime) {
            ++counts[request.window][request.workspace];
        } else {
            undecided.insert(request.window);
        }
    }
    RequestStarts report;
    for (std::int64_t window = current - ReportedWindows; window <= current; ++window) {
        WindowStarts starts;
        starts.window = window;
        starts.final =
            m_windows.now() >= m_windows.endOf(window) + FinalAfter && undecided.count(window) == 0;
        for (const auto &[workspace, count] : counts[window]) {
            starts.counts.push_back({workspace, count});
        }
        report.windows.push_back(std::move(starts));
    }
    return report;
}

} // namespace marigoldspool
