#include "marigoldspool/Serving/RetryBudget.h"

namespace marigoldspool {

namespace {

// Part of the limit stays unused, because the window moves by whole slices and the platform counts
// requests that never arrive differently.
constexpr double UsedPart = 0.8;

} // namespace

RetryBudget::RetryBudget(RetryBound bound, const Clock &clock)
    : m_bound(bound)
    , m_clock(clock)
{ }

std::int64_t RetryBudget::currentIndex() const
{
    const Duration slice = m_bound.window / static_cast<Duration::rep>(Slices);
    return m_clock.now().time_since_epoch() / slice;
}

RetryBudget::Slice &RetryBudget::slice(Window &window)
{
    const std::int64_t index = currentIndex();
    Slice &current = window.at(static_cast<std::size_t>(index) % Slices);
    if (current.index != index) {
        current = {index, 0, 0};
    }
    return current;
}

void RetryBudget::onRequest(const PoolName &pool)
{
    ++slice(m_windows[pool]).requests;
}

bool RetryBudget::tryRetry(const PoolName &pool)
{
    Window &window = m_windows[pool];
    Slice &current = slice(window);
    const std::int64_t oldest = currentIndex() - static_cast<std::int64_t>(Slices) + 1;
    int requests = 0;
    int repeats = 0;
    for (const Slice &it : window) {
        if (it.index >= oldest) {
            requests += it.requests;
            repeats += it.repeats;
        }
    }
    const double allowed =
        UsedPart * (m_bound.ratio * requests + m_bound.slack / static_cast<double>(m_instances));
    if (repeats + 1 > allowed) {
        return false;
    }
    ++current.repeats;
    return true;
}

} // namespace marigoldspool
