#include "marigoldspool/Support/IpAddress.h"

#include "marigoldspool/Support/Settings.h"

namespace marigoldspool {

Expected<IpAddress> splitAddress(std::string_view text)
{
    const Expected<std::string> checked = parseAddress(text);
    if (!checked) {
        return tl::unexpected<Error>(checked.error());
    }
    const std::size_t colon = checked->rfind(':');
    IpAddress address;
    address.host = checked->substr(0, colon);
    address.port = static_cast<std::uint16_t>(std::stoul(checked->substr(colon + 1)));
    if (address.host.front() == '[') {
        address.host = address.host.substr(1, address.host.size() - 2);
    }
    return address;
}

bool isConnectableAddress(std::string_view text)
{
    const Expected<IpAddress> address = splitAddress(text);
    return address && address->port != 0;
}

} // namespace marigoldspool
