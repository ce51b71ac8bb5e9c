#ifndef MARIGOLDSPOOL_PLACEMENT_IDLEPOLICY_H
#define MARIGOLDSPOOL_PLACEMENT_IDLEPOLICY_H

#include "marigoldspool/Support/Clock.h"
#include "marigoldspool/Support/Identifiers.h"

#include <array>
#include <cstddef>
#include <unordered_map>

namespace marigoldspool {

struct IdlePolicyOptions {
    Duration minTimeout = std::chrono::seconds(30);
    Duration maxTimeout = std::chrono::minutes(30);
    /// Cost of one second of cold start, in seconds of idle accelerator time.
    double coldStartWeight = 80;
};

/// Derives each model's idle timeout from a histogram of the gaps between its requests.
class IdlePolicy
{
public:
    explicit IdlePolicy(IdlePolicyOptions options = {});

    void onRequest(const ModelName &model, SteadyTime at);
    /// Returns the timeout that minimises the expected cost of idle time and cold starts.
    Duration timeoutFor(const ModelName &model, Duration coldStart) const;
    /// Whether the history makes another request within \p period more likely than not. False
    /// while there is too little history.
    bool isRequestExpectedWithin(const ModelName &model, Duration period) const;

private:
    // Bucket i counts gaps up to 2^(i/2) seconds; the last one also counts all longer gaps.
    static constexpr std::size_t BucketCount = 25;

    struct History {
        SteadyTime lastRequestAt;
        std::array<double, BucketCount> gapWeights = {};
        double totalWeight = 0;
    };

    static std::size_t bucketIndex(Duration gap);
    static Duration bucketUpperBound(std::size_t bucket);

    IdlePolicyOptions m_options;
    std::unordered_map<ModelName, History> m_histories;
};

} // namespace marigoldspool

#endif
