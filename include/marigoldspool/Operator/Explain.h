#ifndef MARIGOLDSPOOL_OPERATOR_EXPLAIN_H
#define MARIGOLDSPOOL_OPERATOR_EXPLAIN_H

#include "marigoldspool/Support/Error.h"
#include "marigoldspool/Support/Identifiers.h"
#include "marigoldspool/Support/Refusal.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace marigoldspool {

/// The request to explain, from `GET /explain?workspace=W&path=P&model=M`.
struct ExplainRequest {
    /// Empty for open routes.
    WorkspaceName workspace;
    std::string path;
    /// Empty for services.
    ModelName model;
};

/// Path and query, with reserved characters percent-encoded.
std::string formatExplainTarget(const ExplainRequest &request);
/// Fails with InvalidArgument when the path is missing, or on an unknown or repeated parameter.
Expected<ExplainRequest> parseExplainTarget(std::string_view target);

/// How the instance would handle the request now.
enum class ExplainOutcome {
    Served,
    Queued, ///< It would wait for a load or a free slot.
    Refused,
};

struct ExplainAnswer {
    /// One check, in the order of evaluation. The checks end at the first that fails.
    struct Step {
        /// `route`, `workspace`, `model`, `limit`, `zone`, `home` or `endpoint`.
        std::string check;
        bool passed = false;
        std::string detail;
    };
    struct Endpoint {
        EndpointId id;
        ZoneName zone;
        bool eligible = false;
        /// Why it is eligible or not.
        std::string reason;
    };

    InstanceId instance;
    std::uint64_t configVersion = 0;
    ExplainOutcome outcome = ExplainOutcome::Refused;
    /// Set when the outcome is Refused.
    std::optional<RefusalReason> reason;
    std::string message;
    std::string remedy;
    /// Empty when no route matches.
    RouteName route;
    /// Tokens, without those of the prompt.
    double cost = 0;
    InstanceId home;
    std::vector<Step> steps;
    std::vector<Endpoint> endpoints;
};

std::string serializeExplanation(const ExplainAnswer &answer);
/// Ignores unknown fields. Fails with Malformed on missing or mistyped ones.
Expected<ExplainAnswer> parseExplanation(std::string_view json);
std::string_view outcomeName(ExplainOutcome outcome);

} // namespace marigoldspool

#endif
