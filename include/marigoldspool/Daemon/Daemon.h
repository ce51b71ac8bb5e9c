#ifndef MARIGOLDSPOOL_DAEMON_DAEMON_H
#define MARIGOLDSPOOL_DAEMON_DAEMON_H

#include "marigoldspool/Daemon/DaemonSettings.h"
#include "marigoldspool/Support/Error.h"

#include <cstdint>
#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>

namespace marigoldspool {

/// One instance: all services in a supervisor tree, on one thread.
class Daemon
{
public:
    Daemon(boost::asio::io_context &io, DaemonSettings settings);
    ~Daemon();
    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    Expected<void> start();
    /// Planned stop: accepts no new requests, finishes the open ones, then calls \p stopped.
    void stop(std::function<void()> stopped);
    /// \p handler is called when a service keeps failing and the process has to exit.
    void setFailureHandler(std::function<void(Error)> handler);
    /// The port on which callers are accepted.
    std::uint16_t port() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace marigoldspool

#endif
