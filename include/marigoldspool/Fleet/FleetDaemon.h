#ifndef MARIGOLDSPOOL_FLEET_FLEETDAEMON_H
#define MARIGOLDSPOOL_FLEET_FLEETDAEMON_H

#include "marigoldspool/Fleet/FleetCodec.h"
#include "marigoldspool/Fleet/FleetOptions.h"
#include "marigoldspool/Platform/ObjectStore.h"
#include "marigoldspool/Support/Metrics.h"

#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>

namespace marigoldspool {

/// One instance of a fleet whose configuration, endpoints and instances live in a platform's store.
class FleetDaemon
{
public:
    /// \p wire must outlive the daemon.
    FleetDaemon(boost::asio::io_context &io, FleetOptions options, const FleetCodec &wire,
                std::unique_ptr<ObjectStore> store, std::unique_ptr<Metrics> metrics);
    ~FleetDaemon();

    /// Fails with Unavailable when an address cannot be bound.
    Expected<void> start();
    /// Planned stop: takes itself out of the load balancer, finishes open requests, and calls
    /// \p stopped within the grace of the options.
    void stop(std::function<void()> stopped);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace marigoldspool

#endif
