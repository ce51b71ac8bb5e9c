#include "Fleet/FleetRuntime.h"

namespace marigoldspool {

namespace {

// Four ticks of the event loop.
constexpr Duration MaxObservedStep = std::chrono::milliseconds(100);

} // namespace

FleetCodec::~FleetCodec() = default;

FleetRuntime::FleetRuntime(boost::asio::io_context &ioContext, FleetOptions fleetOptions,
                           const FleetCodec &fleetCodec, std::unique_ptr<ObjectStore> objectStore,
                           std::unique_ptr<Metrics> fleetMetrics)
    : io(ioContext)
    , options(std::move(fleetOptions))
    , codec(fleetCodec)
    , observedTime(clock.now(), MaxObservedStep)
    , random(entropySeed())
    , metrics(std::move(fleetMetrics))
    , store(std::move(objectStore))
    , endpoints(makeEndpointClient(io, clock, *metrics))
    , directory(options.zone, clock)
    , quota(clock, options.quota)
    , retries(options.retries, clock)
    , quarantine(clock)
    , incarnation(static_cast<std::uint64_t>(toMilliseconds(clock.wallNow().time_since_epoch())))
{
    directory.setColdPhase(1 - random.uniform());
}

} // namespace marigoldspool
