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

/// Asks instances for the pages that operators read.
class InstanceClient
{
public:
    virtual ~InstanceClient();
    /// `GET` of \p target, path and query, at \p address, `IP:PORT`, within \p timeout. Any HTTP
    /// status is an answer. Fails with Unavailable, Timeout or Malformed.
    virtual void get(std::string_view address, std::string_view target, Duration timeout,
                     Callback<InstanceResponse> done) = 0;
};

/// Plain HTTP/1.1 with one connection for each request. The client has to outlive its calls.
std::unique_ptr<InstanceClient> makeHttpInstanceClient(boost::asio::io_context &io);

} // namespace marigoldspool

#endif
