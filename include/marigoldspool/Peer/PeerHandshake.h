#ifndef MARIGOLDSPOOL_PEER_PEERHANDSHAKE_H
#define MARIGOLDSPOOL_PEER_PEERHANDSHAKE_H

#include "marigoldspool/Peer/Messages.h"

#include <string>
#include <string_view>

namespace marigoldspool {

/// What an instance says about itself when it dials a peer.
struct PeerHello {
    std::uint32_t protocol = PeerProtocolVersion;
    InstanceId from;
    std::uint64_t incarnation = 0;
    /// The instance that the dialler wants to reach.
    InstanceId to;
    /// Random, so that an answer cannot be replayed to another dial.
    std::string nonce;
};

/// Header fields that carry the hello, the acceptor's incarnation and the proofs.
namespace peerHeader {
constexpr const char *Protocol = "X-Marigoldspool-Protocol";
constexpr const char *From = "X-Marigoldspool-From";
constexpr const char *Incarnation = "X-Marigoldspool-Incarnation";
constexpr const char *Nonce = "X-Marigoldspool-Nonce";
constexpr const char *Proof = "X-Marigoldspool-Proof";
} // namespace peerHeader

/// Shows that the dialler knows the secret, which itself is never sent. The proofs keep strangers
/// out; they do not protect against someone who can change the traffic between two instances.
std::string dialProof(std::string_view secret, const PeerHello &hello);
/// Shows the same of the acceptor, bound to the dial that it answers.
std::string acceptProof(std::string_view secret, const PeerHello &hello,
                        std::uint64_t acceptorIncarnation);
/// Compares in a time that does not depend on the contents.
bool equalProofs(std::string_view a, std::string_view b);

} // namespace marigoldspool

#endif
