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

/// Runs one instance of a fleet that reads its configuration, endpoints and members from the
/// platform's object store.
class FleetDaemon
{
public:
    /// \p codec must outlive the daemon.
    FleetDaemon(boost::asio::io_context &io, FleetOptions options, const FleetCodec &codec,
                std::unique_ptr<ObjectStore> store, std::unique_ptr<Metrics> metrics);
    ~FleetDaemon();

    /// Fails with Unavailable when an address cannot be bound.
    Expected<void> start();
    /// Planned stop: reports itself as not ready, completes open requests, and calls \p stopped
    /// before the grace period of the options ends.
    void stop(std::function<void()> stopped);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace marigoldspool

#endif
