#ifndef MARIGOLDSPOOL_LIB_PEER_CBORREADER_H
#define MARIGOLDSPOOL_LIB_PEER_CBORREADER_H

#include <cstdint>
#include <optional>

#include <gsl/span>
#include <nlohmann/json.hpp>

namespace marigoldspool {

/// Reads one CBOR value from untrusted bytes. Returns nullopt on truncated, malformed or deeply
/// nested input.
std::optional<nlohmann::json> readCbor(gsl::span<const std::uint8_t> bytes);

} // namespace marigoldspool

#endif
