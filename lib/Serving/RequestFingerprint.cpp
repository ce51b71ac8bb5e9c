#include "marigoldspool/Serving/RequestFingerprint.h"

#include "marigoldspool/Support/Digest.h"

#include <string_view>

namespace marigoldspool {

namespace {

// The ids of prompt parts are hexadecimal and have no such prefix.
constexpr std::string_view FingerprintPrefix = "request-";

} // namespace

std::string requestFingerprint(const ServingRequest &request)
{
    std::string text;
    // The sizes keep neighbouring fields apart.
    const auto add = [&text](std::string_view field) {
        text.append(std::to_string(field.size())).append(":").append(field);
    };
    for (const std::string *field : {&request.method, &request.host, &request.target, &request.key,
                                     &request.body, &request.model.str(), &request.adapter}) {
        add(*field);
    }
    // The prompt may stand in the header fields alone.
    for (const PromptPart &part : request.prompt) {
        add(part.id);
    }
    // 128 bits.
    constexpr std::size_t FingerprintDigits = 32;
    return std::string(FingerprintPrefix) + sha256Hex(text).substr(0, FingerprintDigits);
}

bool isRequestFingerprint(std::string_view suspect)
{
    return suspect.substr(0, FingerprintPrefix.size()) == FingerprintPrefix;
}

std::vector<PromptPart> crashSuspects(const ServingRequest &request)
{
    std::vector<PromptPart> suspects{{requestFingerprint(request), 0}};
    suspects.insert(suspects.end(), request.prompt.begin(), request.prompt.end());
    if (request.prompt.empty()) {
        suspects.push_back({request.id.str(), 0});
    }
    return suspects;
}

} // namespace marigoldspool
