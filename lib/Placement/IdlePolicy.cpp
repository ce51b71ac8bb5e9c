#include "marigoldspool/Placement/IdlePolicy.h"

#include <algorithm>
#include <cmath>

namespace marigoldspool {

namespace {

// Halves the weight of a gap after about 70 later ones, so that the timeout follows a change in the
// use of the model.
constexpr double GapDecay = 0.99;
// Total weight of the uniform prior over all buckets; a new gap has a weight of 1.
constexpr double PriorWeight = 1;
// Weight of a history that justifies a load which is too late for all waiting requests.
constexpr double MinHistoryWeight = 2;

} // namespace

IdlePolicy::IdlePolicy(IdlePolicyOptions options)
    : m_options(options)
{ }

std::size_t IdlePolicy::bucketIndex(Duration gap)
{
    const double seconds = std::max(1.0, toSeconds(gap));
    const auto bucket = static_cast<std::size_t>(std::ceil(2 * std::log2(seconds)));
    return std::min(bucket, BucketCount - 1);
}

Duration IdlePolicy::bucketUpperBound(std::size_t bucket)
{
    return fromSeconds(std::exp2(static_cast<double>(bucket) / 2));
}

void IdlePolicy::onRequest(const ModelName &model, SteadyTime at)
{
    const auto [it, isNew] = m_histories.try_emplace(model);
    History &history = it->second;
    if (!isNew) {
        for (double &weight : history.gapWeights) {
            weight *= GapDecay;
        }
        history.gapWeights[bucketIndex(at - history.lastRequestAt)] += 1;
        history.totalWeight = history.totalWeight * GapDecay + 1;
    }
    history.lastRequestAt = at;
}

Duration IdlePolicy::timeoutFor(const ModelName &model, Duration coldStart) const
{
    const double coldStartCost = m_options.coldStartWeight * toSeconds(coldStart);
    const auto it = m_histories.find(model);
    Duration best = m_options.minTimeout;
    double bestCost = 0;
    bool first = true;
    for (std::size_t end = 0; end < BucketCount; ++end) {
        const Duration timeout =
            std::clamp(bucketUpperBound(end), m_options.minTimeout, m_options.maxTimeout);
        double cost = 0;
        for (std::size_t bucket = 0; bucket < BucketCount; ++bucket) {
            const double observed = it == m_histories.end() ? 0 : it->second.gapWeights[bucket];
            const double weight = observed + PriorWeight / BucketCount;
            const Duration gap = bucketUpperBound(bucket);
            cost += weight * (gap <= timeout ? toSeconds(gap) : toSeconds(timeout) + coldStartCost);
        }
        if (first || cost < bestCost) {
            first = false;
            bestCost = cost;
            best = timeout;
        }
    }
    return best;
}

bool IdlePolicy::isRequestExpectedWithin(const ModelName &model, Duration period) const
{
    const auto it = m_histories.find(model);
    if (it == m_histories.end() || it->second.totalWeight < MinHistoryWeight) {
        return false;
    }
    double within = 0;
    for (std::size_t bucket = 0; bucket < BucketCount; ++bucket) {
        if (bucketUpperBound(bucket) <= period) {
            within += it->second.gapWeights[bucket];
        }
    }
    return within > it->second.totalWeight / 2;
}

} // namespace marigoldspool
