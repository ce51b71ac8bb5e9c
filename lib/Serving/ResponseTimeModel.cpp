#include "marigoldspool/Serving/ResponseTimeModel.h"

#include <algorithm>

namespace marigoldspool {

namespace {

// Weight of the newest sample in the means.
constexpr double MeanWeight = 0.05;
// Steps of the fit of the time to the first byte. A sample above the line was probably delayed by
// other requests, so it counts less than one below it. Much smaller steps above would fit the
// prompts of which an engine has kept a part.
constexpr double StepBelow = 0.1;
constexpr double StepAbove = 0.025;
// Start of the slope, which a few samples correct; that of engines that are fast for their size.
constexpr double InitialSecondsPerKiloToken = 0.02;

double kiloTokens(int tokens)
{
    return std::max(tokens, 0) / 1000.0;
}

void updateMean(double &mean, double sample, bool isFirst)
{
    mean = isFirst ? sample : mean + MeanWeight * (sample - mean);
}

} // namespace

void ResponseTimeModel::onFirstByte(const PoolName &pool, int promptTokens, Duration after)
{
    PoolEstimate &estimate = m_pools[pool];
    const double seconds = toSeconds(after);
    const double tokens = kiloTokens(promptTokens);
    if (!estimate.hasFirstByte) {
        estimate.hasFirstByte = true;
        estimate.secondsPerKiloToken = InitialSecondsPerKiloToken;
        estimate.baseSeconds = std::max(0.0, seconds - InitialSecondsPerKiloToken * tokens);
        return;
    }
    const double error = seconds - estimate.baseSeconds - estimate.secondsPerKiloToken * tokens;
    const double step = (error < 0 ? StepBelow : StepAbove) * error;
    // A normalized gradient step: both parts move in proportion to what they contribute.
    const double norm = 1 + tokens * tokens;
    estimate.baseSeconds = std::max(0.0, estimate.baseSeconds + step / norm);
    estimate.secondsPerKiloToken =
        std::max(0.0, estimate.secondsPerKiloToken + step * tokens / norm);
}

void ResponseTimeModel::onResponse(const PoolName &pool, int promptTokens, Duration run,
                                   int outputTokens)
{
    PoolEstimate &estimate = m_pools[pool];
    updateMean(estimate.meanRunSeconds, toSeconds(run), !estimate.hasResponse);
    updateMean(estimate.meanKiloTokens, kiloTokens(promptTokens), !estimate.hasResponse);
    estimate.hasResponse = true;
    if (outputTokens > 0) {
        const double promptSeconds = toSeconds(expectedFirstByte(pool, promptTokens));
        updateMean(estimate.meanOutputTokens, outputTokens, !estimate.hasOutput);
        updateMean(estimate.meanOutputSeconds, std::max(0.0, toSeconds(run) - promptSeconds),
                   !estimate.hasOutput);
        estimate.hasOutput = true;
    }
}

Duration ResponseTimeModel::expectedFirstByte(const PoolName &pool, int promptTokens) const
{
    const auto it = m_pools.find(pool);
    if (it == m_pools.end()) {
        return Duration::zero();
    }
    const PoolEstimate &estimate = it->second;
    return fromSeconds(estimate.baseSeconds
                       + estimate.secondsPerKiloToken * kiloTokens(promptTokens));
}

Duration ResponseTimeModel::expectedRun(const PoolName &pool) const
{
    const auto it = m_pools.find(pool);
    return it == m_pools.end() ? Duration::zero() : fromSeconds(it->second.meanRunSeconds);
}

double ResponseTimeModel::expectedSlotSeconds(const PoolName &pool, int promptTokens,
                                              int outputTokens) const
{
    const auto it = m_pools.find(pool);
    if (it == m_pools.end() || !it->second.hasResponse) {
        return 1;
    }
    const PoolEstimate &estimate = it->second;
    if (!estimate.hasOutput || outputTokens <= 0) {
        return estimate.meanRunSeconds;
    }
    const double ratio = outputTokens / std::max(1.0, estimate.meanOutputTokens);
    return toSeconds(expectedFirstByte(pool, promptTokens)) + estimate.meanOutputSeconds * ratio;
}

double ResponseTimeModel::promptSeconds(const PoolName &pool, int promptTokens) const
{
    const auto it = m_pools.find(pool);
    return it == m_pools.end() ? 0 : it->second.secondsPerKiloToken * kiloTokens(promptTokens);
}

std::map<PoolName, RequestCost> ResponseTimeModel::requestCosts() const
{
    std::map<PoolName, RequestCost> costs;
    for (const auto &[pool, estimate] : m_pools) {
        if (estimate.hasResponse) {
            costs[pool] = {estimate.meanRunSeconds,
                           estimate.secondsPerKiloToken * estimate.meanKiloTokens};
        }
    }
    return costs;
}

} // namespace marigoldspool
