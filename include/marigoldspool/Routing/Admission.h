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

/// What admission needs to know of a request as it came in.
struct IncomingRequest {
    RequestId id;
    /// Path without the query.
    std::string path;
    gsl::span<const HeaderField> headers;
    /// The model that the body names; empty when it names none.
    ModelName model;
    /// Tokens that a model request may use; ignored for services.
    double modelCost = 1;
    bool stream = false;
};

/// Checks route, key and model, and fixes cost and deadline.
///
/// \p configurationAge: since this instance's configuration was last confirmed as current.
tl::expected<Request, Refusal> admitRequest(const Configuration &configuration,
                                            const IncomingRequest &incoming, SteadyTime now,
                                            Duration configurationAge);

/// The digest of the key in an `Authorization: Bearer` header; nullopt without such a header.
std::optional<KeyDigest> findKeyDigest(gsl::span<const HeaderField> headers);

/// After this long without confirmation a configuration may lack a withdrawal.
constexpr Duration MaxUnconfirmedAge = std::chrono::seconds(10);

} // namespace marigoldspool

#endif
