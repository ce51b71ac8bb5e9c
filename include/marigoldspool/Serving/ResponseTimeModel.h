#ifndef MARIGOLDSPOOL_SERVING_RESPONSETIMEMODEL_H
#define MARIGOLDSPOOL_SERVING_RESPONSETIMEMODEL_H

#include "marigoldspool/Serving/ServingTypes.h"

#include <map>

namespace marigoldspool {

/// What one request costs an engine, in seconds.
struct RequestCost {
    /// From the start of a request to the end of its response.
    double runSeconds = 2.2;
    /// Time in which the engine processes the request's prompt and no other one.
    double promptSeconds = 0;
};

/// Estimates how long the endpoints of each pool take, from the responses that this instance sees.
class ResponseTimeModel
{
public:
    /// \p after: from sending the request to the first byte of its response.
    void onFirstByte(const PoolName &pool, int promptTokens, Duration after);
    /// \p run: from sending the request to the end of a complete response.
    /// \p outputTokens: of the response, as the request states them; zero if it doesn't.
    void onResponse(const PoolName &pool, int promptTokens, Duration run, int outputTokens = 0);
    /// Time to the first byte at an endpoint without other load.
    Duration expectedFirstByte(const PoolName &pool, int promptTokens) const;
    /// Mean time to the end of a complete response; zero before the first one.
    Duration expectedRun(const PoolName &pool) const;
    /// Expected time to the end of a response with these tokens, in seconds; the mean without
    /// \p outputTokens, and 1 s before the first response.
    double expectedSlotSeconds(const PoolName &pool, int promptTokens, int outputTokens) const;
    /// Time in which an engine processes prompts of \p promptTokens in all.
    double promptSeconds(const PoolName &pool, int promptTokens) const;
    /// Mean cost of the requests for each pool that has answered some.
    std::map<PoolName, RequestCost> requestCosts() const;

private:
    struct PoolEstimate {
        bool hasFirstByte = false;
        bool hasResponse = false;
        /// Time to the first byte: a constant part and a part for each 1000 prompt tokens.
        double baseSeconds = 0;
        double secondsPerKiloToken = 0;
        double meanKiloTokens = 0;
        double meanRunSeconds = 0;
        /// Of the responses whose number of tokens is known.
        bool hasOutput = false;
        double meanOutputTokens = 0;
        double meanOutputSeconds = 0;
    };

    std::map<PoolName, PoolEstimate> m_pools;
};

} // namespace marigoldspool

#endif
