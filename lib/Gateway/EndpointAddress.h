#ifndef MARIGOLDSPOOL_LIB_GATEWAY_ENDPOINTADDRESS_H
#define MARIGOLDSPOOL_LIB_GATEWAY_ENDPOINTADDRESS_H

#include "marigoldspool/Support/Error.h"

#include <string_view>

#include <boost/asio/ip/tcp.hpp>

namespace marigoldspool {

/// Parses `IP:PORT`. Fails with InvalidArgument.
Expected<boost::asio::ip::tcp::endpoint> parseEndpoint(std::string_view address);

} // namespace marigoldspool

#endif
