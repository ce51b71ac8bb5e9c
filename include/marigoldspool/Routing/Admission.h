#ifndef MARIGOLDSPOOL_ROUTING_ADMISSION_H
#define MARIGOLDSPOOL_ROUTING_ADMISSION_H

#include "marigoldspool/Config/Configuration.h"
#include "marigoldspool/Routing/Request.h"
#include "marigoldspool/Support/HeaderField.h"
#include "marigoldspool/Support/Refusal.h"

#include <optional>
#include <string>
#include <string_view>

#include <gsl/span>
#include <tl/expected.hpp>

namespace marigoldspool {

/// The parts of a received request that admission reads.
struct IncomingRequest {
    RequestId id;
    /// Path without the query.
    std::string path;
    gsl::span<const HeaderField> headers;
    /// The model named in the body; empty if there is none.
    ModelName model;
    /// Upper bound of the tokens that a model request uses; ignored for services.
    double modelCost = 1;
    bool stream = false;
};

/// Checks the route, key and model of a request and determines its target, cost and deadline.
///
/// \p configurationAge is the time since this instance's configuration was last confirmed to be
/// current.
tl::expected<Request, Refusal> admitRequest(const Configuration &configuration,
                                            const IncomingRequest &incoming, SteadyTime now,
                                            Duration configurationAge);

/// Returns the digest of the key in the `Authorization: Bearer` header, or nullopt if there is
/// none.
std::optional<KeyDigest> findKeyDigest(gsl::span<const HeaderField> headers);

/// Beyond this age an unconfirmed configuration may still list a key that has been withdrawn.
constexpr Duration MaxUnconfirmedAge = std::chrono::seconds(10);

} // namespace marigoldspool

#endif
