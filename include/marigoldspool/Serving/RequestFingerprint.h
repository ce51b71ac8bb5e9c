#ifndef MARIGOLDSPOOL_SERVING_REQUESTFINGERPRINT_H
#define MARIGOLDSPOOL_SERVING_REQUESTFINGERPRINT_H

#include "marigoldspool/Serving/ServingTypes.h"

#include <string_view>

namespace marigoldspool {

/// What a request has in common with its repeats, which have ids of their own: method, host, path,
/// caller, body, model and prompt. A digest, which contains none of them.
std::string requestFingerprint(const ServingRequest &request);

/// Whether a suspect is the fingerprint of a request, and not a part of a prompt.
bool isRequestFingerprint(std::string_view suspect);

/// What the crash of an endpoint may be blamed on while \p request is in work there: the
/// fingerprint and the parts of the prompt. The last part belongs to the request alone; it is its
/// id if it has no prompt.
std::vector<PromptPart> crashSuspects(const ServingRequest &request);

} // namespace marigoldspool

#endif
