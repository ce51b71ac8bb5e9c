#ifndef MARIGOLDSPOOL_SERVING_WORKSPACEQUOTA_H
#define MARIGOLDSPOOL_SERVING_WORKSPACEQUOTA_H

#include "marigoldspool/Limits/TokenBucket.h"
#include "marigoldspool/Serving/ServingTypes.h"

#include <map>
#include <optional>

namespace marigoldspool {

enum class QuotaVerdict {
    Granted,
    /// More tokens have been asked for; the request may wait for them briefly.
    Pending,
    Refused,
};

struct QuotaDecision {
    QuotaVerdict verdict = QuotaVerdict::Granted;
    /// For Refused: when the tokens will be there.
    Duration retryAfter = Duration::zero();
};

/// One instance's part of the rates of all workspaces.
///
/// A fixed part of each rate is divided evenly over the instances, so that every instance can serve
/// while it is cut off; the rest is one common bucket, held by the placement owner, from which
/// instances take ahead of their need. What all instances admit together stays within the rate
/// whichever of them are cut off, because only the holder of the owner's lease grants.
class WorkspaceQuota
{
public:
    explicit WorkspaceQuota(const Clock &clock);

    void setConfiguration(ServingConfigurationPtr configuration);
    void setInstances(std::size_t count);

    QuotaDecision take(const WorkspaceName &workspace, double cost, bool commonReachable);

    /// Tokens to ask of the common bucket now; empty when there are enough.
    std::map<WorkspaceName, double> wanted();
    void onGrant(const WorkspaceName &workspace, double tokens, double left);

    /// \name For the holder of the common buckets
    /// \{
    void becomeHolder();
    void stopHolding();
    /// Takes up to \p tokens from the common bucket.
    double grant(const WorkspaceName &workspace, double tokens);
    double commonLevel(const WorkspaceName &workspace) const;
    /// \}

private:
    struct Part {
        double rate = 0;
        double burst = 0;
        std::optional<TokenBucket> own;
        /// Taken from the common bucket and not used yet.
        double granted = 0;
        /// What the common bucket held when it last answered.
        double commonLeft = 0;
        /// Tokens used each second, smoothed.
        double useRate = 0;
        double usedSince = 0;
        double largest = 0;
        SteadyTime measuredAt;
        SteadyTime askedAt;
        std::optional<TokenBucket> common;
    };

    void reshape(Part &part);
    void measure(Part &part);

    const Clock &m_clock;
    std::size_t m_instances = 1;
    bool m_holder = false;
    std::map<WorkspaceName, Part> m_parts;
};

} // namespace marigoldspool

#endif
