#ifndef MARIGOLDSPOOL_SUPPORT_ERROR_H
#define MARIGOLDSPOOL_SUPPORT_ERROR_H

#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace marigoldspool {

enum class ErrorKind {
    InvalidArgument,
    InvalidRule,
    NotFound,
    Conflict, ///< A conditional write found another version; nothing was written.
    Unavailable, ///< The operation certainly did not take effect.
    Timeout,
    OutcomeUnknown, ///< The answer was lost; the operation may have taken effect.
    TooLarge,
    RateLimited,
    Malformed,
    StaleFencing,
    InsufficientMemory,
    Cancelled,
    Internal,
};

/// Lower-case name for logs and metric labels.
std::string_view errorKindName(ErrorKind kind);

/// \c message gives the cause, \c remedy what the reader can do about it.
struct Error {
    ErrorKind kind = ErrorKind::Internal;
    std::string message;
    std::string remedy;
};

template <class T>
using Expected = tl::expected<T, Error>;

Error makeError(ErrorKind kind, std::string message, std::string remedy);

/// An error ready to be returned from a function whose result is an Expected.
tl::unexpected<Error> unexpectedError(ErrorKind kind, std::string message, std::string remedy);

/// Cause and remedy in one line.
std::string describeError(const Error &error);

} // namespace marigoldspool

#endif
