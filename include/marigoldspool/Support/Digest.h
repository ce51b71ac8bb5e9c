#ifndef MARIGOLDSPOOL_SUPPORT_DIGEST_H
#define MARIGOLDSPOOL_SUPPORT_DIGEST_H

#include <cstdint>
#include <string>
#include <string_view>

namespace marigoldspool {

/// SHA-256 of \p bytes as 64 lower-case hexadecimal digits.
std::string sha256Hex(std::string_view bytes);

/// A 64-bit hash that is the same on every instance and in every release.
std::uint64_t stableHash(std::string_view bytes);

} // namespace marigoldspool

#endif
