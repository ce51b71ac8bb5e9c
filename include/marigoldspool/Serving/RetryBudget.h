#ifndef MARIGOLDSPOOL_SERVING_RETRYBUDGET_H
#define MARIGOLDSPOOL_SERVING_RETRYBUDGET_H

#include "marigoldspool/Serving/ServingTypes.h"

#include <array>
#include <cstddef>
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
///
/// The shares of all instances add up to the limit also while instances are restarted: the process
/// before this one may have used the share within the last window, and so may an instance that has
/// just left.
class RetryBudget
{
public:
    RetryBudget(RetryBound bound, const Clock &clock);

    /// Number of instances that share the limit; a lower number counts one window later.
    void setInstanceCount(std::size_t count);
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
    double slackShare();

    RetryBound m_bound;
    const Clock &m_clock;
    SteadyTime m_startedAt;
    std::size_t m_instanceCount = 1;
    /// The number that counts from m_lowerCountAt.
    std::size_t m_lowerCount = 1;
    SteadyTime m_lowerCountAt;
    std::map<PoolName, Window> m_windows;
};

} // namespace marigoldspool

#endif
