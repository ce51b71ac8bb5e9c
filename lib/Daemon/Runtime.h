#ifndef MARIGOLDSPOOL_LIB_DAEMON_RUNTIME_H
#define MARIGOLDSPOOL_LIB_DAEMON_RUNTIME_H

#include "marigoldspool/Daemon/DaemonSettings.h"
#include "marigoldspool/Platform/ObjectStore.h"
#include "marigoldspool/Support/Clock.h"
#include "marigoldspool/Support/Metrics.h"
#include "marigoldspool/Support/RandomSource.h"

#include <cstdint>
#include <memory>

#include <boost/asio/io_context.hpp>

namespace marigoldspool {

/// State that all services of one daemon share. All services run on the thread of `io`.
struct Runtime {
    Runtime(boost::asio::io_context &ioContext, DaemonSettings daemonSettings);

    boost::asio::io_context &io;
    DaemonSettings settings;
    SystemClock clock;
    SeededRandomSource random;
    Metrics metrics;
    /// Increases with each start of this instance.
    std::uint64_t incarnation;
    std::unique_ptr<ObjectStore> store;
    /// Set by a planned stop; from then on no new requests are accepted.
    bool stopping = false;
    /// When a planned stop ends what is still open, in all services.
    SteadyTime answersEndAt = SteadyTime::max();
};

} // namespace marigoldspool

#endif
