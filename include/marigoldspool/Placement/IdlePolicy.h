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
    /// Seconds of idle accelerator time that one second of cold start is worth.
    double coldStartWeight = 80;
};

/// Derives each model's idle timeout from the times between its own requests.
class IdlePolicy
{
public:
    explicit IdlePolicy(IdlePolicyOptions options = {});

    void onRequest(const ModelName &model, SteadyTime at);
    /// The timeout with the least expected cost of idling and of further cold starts.
    Duration timeoutFor(const ModelName &model, Duration coldStart) const;
    /// Whether the history makes another request within \p period more likely than not.
    bool isRequestExpectedWithin(const ModelName &model, Duration period) const;

private:
    // Bucket i holds gaps up to 2^(i/2) seconds; the last one holds all longer gaps.
    static constexpr std::size_t BucketCount = 25;

    struct History {
        SteadyTime last;
        std::array<double, BucketCount> gaps = {};
        double total = 0;
    };

    static std::size_t bucketOf(Duration gap);
    static Duration bucketEnd(std::size_t bucket);

    IdlePolicyOptions m_options;
    std::unordered_map<ModelName, History> m_histories;
};

} // namespace marigoldspool

#endif
