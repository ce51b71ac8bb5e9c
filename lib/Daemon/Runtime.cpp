#include "Daemon/Runtime.h"

#include "marigoldspool/Platform/HttpObjectStore.h"

namespace marigoldspool {

Runtime::Runtime(boost::asio::io_context &ioContext, DaemonSettings daemonSettings)
    : io(ioContext)
    , settings(std::move(daemonSettings))
    , random(entropySeed())
    , incarnation(static_cast<std::uint64_t>(toMilliseconds(clock.wallNow().time_since_epoch())))
    , store(makeHttpObjectStore(io, settings.platformAddress, settings.storeTimeout, metrics))
{ }

} // namespace marigoldspool
