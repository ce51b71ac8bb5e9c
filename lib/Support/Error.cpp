#include "marigoldspool/Support/Error.h"

#include <cassert>
#include <utility>

namespace marigoldspool {

std::string_view errorKindName(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::InvalidArgument:
        return "invalid_argument";
    case ErrorKind::InvalidRule:
        return "invalid_rule";
    case ErrorKind::NotFound:
        return "not_found";
    case ErrorKind::Conflict:
        return "conflict";
    case ErrorKind::Unavailable:
        return "unavailable";
    case ErrorKind::Timeout:
        return "timeout";
    case ErrorKind::OutcomeUnknown:
        return "outcome_unknown";
    case ErrorKind::TooLarge:
        return "too_large";
    case ErrorKind::RateLimited:
        return "rate_limited";
    case ErrorKind::Malformed:
        return "malformed";
    case ErrorKind::StaleFencing:
        return "stale_fencing";
    case ErrorKind::InsufficientMemory:
        return "insufficient_memory";
    case ErrorKind::Cancelled:
        return "cancelled";
    case ErrorKind::Internal:
        return "internal";
    }
    assert(false && "unknown error kind");
    return "internal";
}

Error makeError(ErrorKind kind, std::string message, std::string remedy)
{
    assert(!message.empty() && !remedy.empty() && "an error must have a message and a remedy");
    return Error{kind, std::move(message), std::move(remedy)};
}

tl::unexpected<Error> unexpectedError(ErrorKind kind, std::string message, std::string remedy)
{
    return tl::make_unexpected(makeError(kind, std::move(message), std::move(remedy)));
}

std::string describeError(const Error &error)
{
    return error.message + "; remedy: " + error.remedy;
}

} // namespace marigoldspool
