#ifndef MARIGOLDSPOOL_SUPPORT_IPADDRESS_H
#define MARIGOLDSPOOL_SUPPORT_IPADDRESS_H

#include "marigoldspool/Support/Error.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace marigoldspool {

struct IpAddress {
    /// Numeric IPv4 or IPv6 address, without brackets.
    std::string host;
    std::uint16_t port = 0;
};

/// Splits `IP:PORT`, with an IPv6 address in brackets. Fails with InvalidArgument.
Expected<IpAddress> splitAddress(std::string_view text);

/// Whether \p text is an `IP:PORT` to which a connection can be opened: its port is not 0.
bool isConnectableAddress(std::string_view text);

} // namespace marigoldspool

#endif
