#ifndef MARIGOLDSPOOL_ROUTING_REQUEST_H
#define MARIGOLDSPOOL_ROUTING_REQUEST_H

#include "marigoldspool/Support/Clock.h"
#include "marigoldspool/Support/Identifiers.h"
#include "marigoldspool/Support/Refusal.h"

#include <cstdint>
#include <string>

namespace marigoldspool {

/// Destination of a request: a model on an engine, or a pool of services.
struct Target {
    /// Empty for services.
    ModelName model;
    /// Empty for models.
    std::string pool;

    bool isModel() const { return !model.empty(); }
    /// Unique among models and pools; identifies the queue and determines the home instance.
    std::string key() const { return isModel() ? "model:" + model.str() : "pool:" + pool; }
};

/// The attributes of a request that routing uses; head and body stay with the connection.
struct Request {
    RequestId id;
    WorkspaceName workspace;
    /// Weight of the workspace in the fair queue.
    double share = 1;
    /// Empty on routes that require no key.
    KeyDigest key;
    RouteName route;
    Target target;
    /// Cost in tokens.
    double cost = 1;
    SteadyTime deadline;
    bool idempotent = false;
    bool stream = false;
    /// Number of times it has been sent to an endpoint or to its home instance.
    int attempts = 0;
    /// Whether an earlier attempt may have run it.
    bool mayHaveRun = false;
    /// Whether the target's preferred zone could not serve it in time.
    bool overflow = false;
};

/// What a refusal of the request says about earlier attempts.
inline RanState ranStateOf(const Request &request)
{
    return request.mayHaveRun ? RanState::Unknown : RanState::No;
}

} // namespace marigoldspool

#endif
