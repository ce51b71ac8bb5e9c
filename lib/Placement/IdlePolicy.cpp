#include "marigoldspool/Placement/IdlePolicy.h"

#include <algorithm>
#include <cmath>

namespace marigoldspool {

namespace {

// A gap counts half after 70 later gaps, so that a model that becomes active or idle is noticed.
constexpr double Decay = 0.99;
// Weight of the assumed gaps, spread evenly over all buckets, against the observed ones.
constexpr double PriorWeight = 1;
// Gaps needed before a history justifies a load that helps none of the waiting requests.
constexpr double LeastEvidence = 2;

} // namespace

IdlePolicy::IdlePolicy(IdlePolicyOptions options)
    : m_options(options)
{ }

std::size_t IdlePolicy::bucketOf(Duration gap)
{
    const double seconds = std::max(1.0, toSeconds(gap));
    const auto bucket = static_cast<std::size_t>(std::ceil(2 * std::log2(seconds)));
    return std::min(bucket, BucketCount - 1);
}

Duration IdlePolicy::bucketEnd(std::size_t bucket)
{
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(std::exp2(static_cast<double>(bucket) / 2)));
}

void IdlePolicy::onRequest(const ModelName &model, SteadyTime at)
{
    const auto [it, isNew] = m_histories.try_emplace(model);
    History &history = it->second;
    if (!isNew) {
        for (double &count : history.gaps) {
            count *= Decay;
        }
        history.gaps[bucketOf(at - history.last)] += 1;
        history.total = history.total * Decay + 1;
    }
    history.last = at;
}

Duration IdlePolicy::timeoutFor(const ModelName &model, Duration coldStart) const
{
    const double coldCost = m_options.coldStartWeight * toSeconds(coldStart);
    const auto it = m_histories.find(model);
    Duration best = m_options.minTimeout;
    double bestCost = 0;
    bool first = true;
    for (std::size_t end = 0; end < BucketCount; ++end) {
        const Duration timeout =
            std::clamp(bucketEnd(end), m_options.minTimeout, m_options.maxTimeout);
        double cost = 0;
        for (std::size_t bucket = 0; bucket < BucketCount; ++bucket) {
            const double observed = it == m_histories.end() ? 0 : it->second.gaps[bucket];
            const double weight = observed + PriorWeight / BucketCount;
            const Duration gap = bucketEnd(bucket);
            cost += weight * (gap <= timeout ? toSeconds(gap) : toSeconds(timeout) + coldCost);
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
    if (it == m_histories.end() || it->second.total < LeastEvidence) {
        return false;
    }
    double within = 0;
    for (std::size_t bucket = 0; bucket < BucketCount; ++bucket) {
        if (bucketEnd(bucket) <= period) {
            within += it->second.gaps[bucket];
        }
    }
    return within > it->second.total / 2;
}

} // namespace marigoldspool
