#include "EndpointAddress.h"

#include "marigoldspool/Support/Settings.h"

#include <charconv>
#include <string>

#include <boost/asio/ip/address.hpp>

namespace marigoldspool {

Expected<boost::asio::ip::tcp::endpoint> parseEndpoint(std::string_view address)
{
    const Expected<std::string> checked = parseAddress(address);
    if (!checked) {
        return tl::unexpected<Error>(checked.error());
    }
    const std::size_t colon = checked->rfind(':');
    std::string host = checked->substr(0, colon);
    if (host.front() == '[') {
        host = host.substr(1, host.size() - 2);
    }
    std::uint16_t port = 0;
    std::from_chars(checked->data() + colon + 1, checked->data() + checked->size(), port);
    boost::system::error_code ec;
    const auto ip = boost::asio::ip::make_address(host, ec);
    if (ec) {
        return unexpectedError(ErrorKind::InvalidArgument, "\"" + host + "\" is not an IP number",
                               "give IP:PORT");
    }
    return boost::asio::ip::tcp::endpoint(ip, port);
}

} // namespace marigoldspool
