#include "marigoldspool/Peer/PeerHandshake.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace marigoldspool {

namespace {

std::string hmacHex(std::string_view secret, std::string_view text)
{
    unsigned char digest[EVP_MAX_MD_SIZE];
    unsigned length = 0;
    HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
         reinterpret_cast<const unsigned char *>(text.data()), text.size(), digest, &length);
    static constexpr char HexDigits[] = "0123456789abcdef";
    std::string hex;
    hex.reserve(2 * static_cast<std::size_t>(length));
    for (unsigned i = 0; i < length; ++i) {
        hex.push_back(HexDigits[digest[i] >> 4U]);
        hex.push_back(HexDigits[digest[i] & 15U]);
    }
    return hex;
}

// Header field values contain no line breaks, so different field values give different texts.
std::string proofText(std::string_view role, const PeerHello &hello)
{
    return std::string(role) + '\n' + std::to_string(hello.protocol) + '\n' + hello.from.str()
        + '\n' + std::to_string(hello.incarnation) + '\n' + hello.to.str() + '\n' + hello.nonce;
}

} // namespace

std::string dialProof(std::string_view secret, const PeerHello &hello)
{
    return hmacHex(secret, proofText("dial", hello));
}

std::string acceptProof(std::string_view secret, const PeerHello &hello,
                        std::uint64_t acceptorIncarnation)
{
    return hmacHex(secret, proofText("accept", hello) + '\n' + std::to_string(acceptorIncarnation));
}

bool equalProofs(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

} // namespace marigoldspool
