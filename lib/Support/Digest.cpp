#include "marigoldspool/Support/Digest.h"

#include <array>

#include <openssl/sha.h>

namespace marigoldspool {

namespace {

constexpr std::size_t DigestBytes = SHA256_DIGEST_LENGTH;

std::array<unsigned char, DigestBytes> sha256(std::string_view bytes)
{
    std::array<unsigned char, DigestBytes> digest{};
    SHA256(reinterpret_cast<const unsigned char *>(bytes.data()), bytes.size(), digest.data());
    return digest;
}

} // namespace

std::string sha256Hex(std::string_view bytes)
{
    static constexpr char HexDigits[] = "0123456789abcdef";
    std::string text;
    text.reserve(2 * DigestBytes);
    for (const unsigned char byte : sha256(bytes)) {
        text.push_back(HexDigits[byte >> 4]);
        text.push_back(HexDigits[byte & 0xF]);
    }
    return text;
}

std::uint64_t stableHash(std::string_view bytes)
{
    const auto digest = sha256(bytes);
    std::uint64_t hash = 0;
    for (std::size_t i = 0; i < sizeof(hash); ++i) {
        hash = (hash << 8) | digest[i];
    }
    return hash;
}

} // namespace marigoldspool
