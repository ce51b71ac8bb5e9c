#ifndef MARIGOLDSPOOL_OPERATOR_INSTANCECLIENT_H
#define MARIGOLDSPOOL_OPERATOR_INSTANCECLIENT_H

#include "marigoldspool/Platform/ObjectStore.h"

#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>

namespace marigoldspool {

struct InstanceResponse {
    int status = 0;
    std::string body;
};

/// Sends HTTP requests for operator pages to instances.
class InstanceClient
{
public:
    virtual ~InstanceClient();
    /// Sends `GET` for \p target (path and query) to \p address (`IP:PORT`). Any HTTP status
    /// is a success. Fails with Unavailable, Timeout or Malformed.
    virtual void get(std::string_view address, std::string_view target, Duration timeout,
                     Callback<InstanceResponse> done) = 0;
};

/// Plain HTTP/1.1 with one connection for each request. The client must outlive its calls.
std::unique_ptr<InstanceClient> makeHttpInstanceClient(boost::asio::io_context &io);

} // namespace marigoldspool

#endif
