#ifndef MARIGOLDSPOOL_PEER_PEERHANDSHAKE_H
#define MARIGOLDSPOOL_PEER_PEERHANDSHAKE_H

#include "marigoldspool/Peer/Messages.h"

#include <string>
#include <string_view>

namespace marigoldspool {

/// Handshake data that an instance sends when it dials a peer.
struct PeerHello {
    std::uint32_t protocol = PeerProtocolVersion;
    InstanceId from;
    std::uint64_t incarnation = 0;
    /// The instance that the dialler wants to reach.
    InstanceId to;
    /// Random, so that a response cannot be replayed to another connection attempt.
    std::string nonce;
};

/// Names of the header fields that carry the hello, the acceptor's incarnation and the proofs.
namespace peerHeader {
constexpr const char *Protocol = "X-Marigoldspool-Protocol";
constexpr const char *From = "X-Marigoldspool-From";
constexpr const char *Incarnation = "X-Marigoldspool-Incarnation";
constexpr const char *Nonce = "X-Marigoldspool-Nonce";
constexpr const char *Proof = "X-Marigoldspool-Proof";
} // namespace peerHeader

/// HMAC that proves that the dialler knows the shared secret without sending it. The proofs
/// authenticate the handshake; they do not protect against an attacker who can modify the traffic
/// between two instances.
std::string dialProof(std::string_view secret, const PeerHello &hello);
/// Proves the same for the acceptor; covers the hello that it answers.
std::string acceptProof(std::string_view secret, const PeerHello &hello,
                        std::uint64_t acceptorIncarnation);
/// Compares two proofs in a time that does not depend on their contents.
bool equalProofs(std::string_view a, std::string_view b);

} // namespace marigoldspool

#endif
