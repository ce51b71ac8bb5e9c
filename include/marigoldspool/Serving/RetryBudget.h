#ifndef MARIGOLDSPOOL_SERVING_RETRYBUDGET_H
#define MARIGOLDSPOOL_SERVING_RETRYBUDGET_H

#include "marigoldspool/Serving/ServingTypes.h"

#include <array>
#include <map>

namespace marigoldspool {

/// The bound on sending requests a second time, over all instances.
struct RetryBound {
    /// Repeats for each request.
    double ratio = 0.2;
    /// Repeats beyond that, in one window.
    double slack = 50;
    Duration window = std::chrono::seconds(10);
};

/// One instance's part of the retry bound of each pool, counted over a sliding window.
class RetryBudget
{
public:
    RetryBudget(RetryBound bound, const Clock &clock);

    void setInstances(std::size_t count) { m_instances = count == 0 ? 1 : count; }
    void onRequest(const PoolName &pool);
    /// Takes one repeat, or returns false when the bound would be passed.
    bool tryRepeat(const PoolName &pool);

private:
    static constexpr std::size_t Slices = 10;
    struct Slice {
        std::int64_t index = -1;
        int requests = 0;
        int repeats = 0;
    };
    using Window = std::array<Slice, Slices>;

    std::int64_t currentIndex() const;
    Slice &slice(Window &window);

    RetryBound m_bound;
    const Clock &m_clock;
    std::size_t m_instances = 1;
    std::map<PoolName, Window> m_windows;
};

} // namespace marigoldspool

#endif
