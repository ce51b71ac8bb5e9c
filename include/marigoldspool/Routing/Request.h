#ifndef MARIGOLDSPOOL_ROUTING_REQUEST_H
#define MARIGOLDSPOOL_ROUTING_REQUEST_H

#include "marigoldspool/Support/Clock.h"
#include "marigoldspool/Support/Identifiers.h"

#include <cstdint>
#include <string>

namespace marigoldspool {

/// What has to serve a request: a model on an engine, or a pool of services.
struct Target {
    /// Empty for services.
    ModelName model;
    /// Empty for models.
    std::string pool;

    bool isModel() const { return !model.empty(); }
    /// Distinct for all models and pools; the key for queues and for the home instance.
    std::string key() const { return isModel() ? "model:" + model.str() : "pool:" + pool; }
};

/// What decisions need to know of a request; head and body stay with the connection.
struct Request {
    RequestId id;
    WorkspaceName workspace;
    /// Weight of the workspace in fair queues.
    double share = 1;
    /// Empty on open routes.
    KeyDigest key;
    RouteName route;
    Target target;
    /// Tokens.
    double cost = 1;
    SteadyTime deadline;
    bool idempotent = false;
    bool stream = false;
    /// How often it has been sent to an endpoint.
    int attempts = 0;
    /// An earlier try at an endpoint may have run it.
    bool mayHaveRun = false;
    /// The zone that all instances prefer for the target could not serve it in time.
    bool overflow = false;
};

} // namespace marigoldspool

#endif
