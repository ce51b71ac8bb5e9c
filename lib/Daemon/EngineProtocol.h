#ifndef MARIGOLDSPOOL_LIB_DAEMON_ENGINEPROTOCOL_H
#define MARIGOLDSPOOL_LIB_DAEMON_ENGINEPROTOCOL_H

#include "marigoldspool/Placement/PlacementEngine.h"

#include <string>
#include <string_view>

namespace marigoldspool {

/// Parses the answer to `GET /engine/status`. Fails with Malformed.
Expected<EngineStatus> parseEngineStatus(std::string_view body, const EndpointId &endpoint,
                                         SteadyTime requestedAt);
/// The body of `POST /engine/orders`.
std::string formatOrder(const EngineOrder &order, std::int64_t validMs);
/// Maps the engine's answer to an order to success or an error.
Expected<void> parseOrderReply(int status, std::string_view body);

} // namespace marigoldspool

#endif
