#include "marigoldspool/Serving/RetryBudget.h"

#include <algorithm>

namespace marigoldspool {

namespace {

// Part of the limit stays unused, because the window moves by whole slices and the platform counts
// requests that never arrive differently.
constexpr double UsedFraction = 0.8;

} // namespace

RetryBudget::RetryBudget(RetryBound bound, const Clock &clock)
    : m_bound(bound)
    , m_clock(clock)
    , m_startedAt(clock.now())
{ }

void RetryBudget::setInstanceCount(std::size_t count)
{
    count = std::max<std::size_t>(count, 1);
    if (count >= m_instanceCount) {
        m_instanceCount = count;
        m_lowerCount = count;
    } else if (count != m_lowerCount) {
        // Each further step down begins the window anew.
        m_lowerCount = count;
        m_lowerCountAt = m_clock.now() + m_bound.window;
    }
}

// The ratio of this process's own requests is available at once; the slack grows over one window,
// as what the process before it has used leaves the window.
double RetryBudget::slackShare()
{
    const SteadyTime now = m_clock.now();
    if (m_lowerCount < m_instanceCount && now >= m_lowerCountAt) {
        m_instanceCount = m_lowerCount;
    }
    const double grownFraction =
        std::min(1.0, toSeconds(now - m_startedAt) / toSeconds(m_bound.window));
    return grownFraction * m_bound.slack / static_cast<double>(m_instanceCount);
}

std::int64_t RetryBudget::currentIndex() const
{
    const Duration sliceDuration = m_bound.window / static_cast<Duration::rep>(SliceCount);
    return m_clock.now().time_since_epoch() / sliceDuration;
}

RetryBudget::Slice &RetryBudget::currentSlice(Window &window)
{
    const std::int64_t index = currentIndex();
    Slice &current = window.at(static_cast<std::size_t>(index) % SliceCount);
    if (current.index != index) {
        current = {index, 0, 0};
    }
    return current;
}

void RetryBudget::onRequest(const PoolName &pool)
{
    ++currentSlice(m_windows[pool]).requests;
}

bool RetryBudget::tryRetry(const PoolName &pool)
{
    Window &window = m_windows[pool];
    Slice &current = currentSlice(window);
    const std::int64_t oldest = currentIndex() - static_cast<std::int64_t>(SliceCount) + 1;
    int requests = 0;
    int retries = 0;
    for (const Slice &it : window) {
        if (it.index >= oldest) {
            requests += it.requests;
            retries += it.retries;
        }
    }
    const double allowed = UsedFraction * (m_bound.ratio * requests + slackShare());
    if (retries + 1 > allowed) {
        return false;
    }
    ++current.retries;
    return true;
}

} // namespace marigoldspool
