#ifndef MARIGOLDSPOOL_GATEWAY_OPENAI_H
#define MARIGOLDSPOOL_GATEWAY_OPENAI_H

#include "marigoldspool/Support/Error.h"
#include "marigoldspool/Support/Identifiers.h"
#include "marigoldspool/Support/Refusal.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <gsl/span>

namespace marigoldspool {

/// What the gateway needs to know of a chat or completion request.
struct ModelRequest {
    ModelName model;
    bool stream = false;
    /// From max_completion_tokens, else from max_tokens; empty when neither is given.
    std::optional<std::int64_t> maxTokens;
    /// Bytes of all texts of the prompt, its messages and its tools; a token id counts 4 bytes.
    std::size_t promptBytes = 0;
};

/// Fails with Malformed when \p body is not a JSON object or names a field twice, and with
/// InvalidArgument when a field is missing or has a wrong type or value.
Expected<ModelRequest> parseModelRequest(std::string_view body);

/// `{"error":{"code","message","remedy","ran","retry_after_ms","request_id"}}`
std::string errorBody(const Refusal &refusal, const RequestId &requestId);

/// The last event of a stream that cannot be completed; the connection closes after it.
std::string errorEvent(const Refusal &refusal, const RequestId &requestId);

/// Value of the Retry-After field: whole seconds, rounded up; empty when waiting cannot help.
std::optional<std::string> retryAfterValue(const Refusal &refusal);

/// The answer to `GET /v1/models`.
std::string modelListBody(gsl::span<const ModelName> models);

} // namespace marigoldspool

#endif
