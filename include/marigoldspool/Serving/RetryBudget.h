#ifndef MARIGOLDSPOOL_SERVING_RETRYBUDGET_H
#define MARIGOLDSPOOL_SERVING_RETRYBUDGET_H

#include "marigoldspool/Serving/ServingTypes.h"

#include <array>
#include <map>

namespace marigoldspool {

/// The limit on retries in a sliding window, over all instances.
struct RetryBound {
    /// Retries allowed per request.
    double ratio = 0.2;
    /// Additional retries allowed in a window.
    double slack = 50;
    Duration window = std::chrono::seconds(10);
};

/// This instance's share of the retry limit of each pool, counted over a sliding window.
class RetryBudget
{
public:
    RetryBudget(RetryBound bound, const Clock &clock);

    void setInstanceCount(std::size_t count) { m_instanceCount = count == 0 ? 1 : count; }
    void onRequest(const PoolName &pool);
    /// Counts one retry, or returns false if it would exceed the limit.
    bool tryRetry(const PoolName &pool);

private:
    static constexpr std::size_t SliceCount = 10;
    struct Slice {
        std::int64_t index = -1;
        int requests = 0;
        int retries = 0;
    };
    using Window = std::array<Slice, SliceCount>;

    std::int64_t currentIndex() const;
    Slice &currentSlice(Window &window);

    RetryBound m_bound;
    const Clock &m_clock;
    std::size_t m_instanceCount = 1;
    std::map<PoolName, Window> m_windows;
};

} // namespace marigoldspool

#endif
