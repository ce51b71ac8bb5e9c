#ifndef MARIGOLDSPOOL_DAEMON_DAEMONSETTINGS_H
#define MARIGOLDSPOOL_DAEMON_DAEMONSETTINGS_H

#include "marigoldspool/Support/Identifiers.h"
#include "marigoldspool/Support/Settings.h"

#include <cstdint>
#include <string>
#include <vector>

#include <gsl/span>

namespace marigoldspool {

/// The validated settings of one daemon.
struct DaemonSettings {
    InstanceId instance;
    ZoneName zone;
    /// Address for callers and operators.
    std::string listenAddress;
    /// Address for other instances.
    std::string peerListenAddress;
    std::string platformAddress;
    /// Shared by all instances; a peer without it is refused.
    std::string peerSecret;
    /// Added to the port of an instance on the platform's list to get its peer port.
    std::uint16_t peerPortOffset = 0;
    /// Time from the failure of `/readyz` until no connections are accepted, for the load balancer
    /// to notice.
    Duration drainNotice = Duration::zero();
    /// Maximum time that a planned stop waits for open requests, counted from the end of the drain
    /// notice. All services share it.
    Duration stopTimeout = Duration::zero();
    Duration storeTimeout = Duration::zero();
    /// Model loads started per second by all instances together.
    std::size_t loadsPerSecond = 0;
    /// Expected duration of a cold start while a model has no history.
    Duration assumedColdStart = Duration::zero();
};

std::vector<SettingSpec> daemonSettingSpecs();
/// Fails with InvalidArgument on the first invalid setting.
Expected<DaemonSettings> readDaemonSettings(const Settings &settings);

/// \p address with \p offset added to its port; fails with InvalidArgument beyond 65535.
Expected<std::string> shiftPort(std::string_view address, std::uint16_t offset);

} // namespace marigoldspool

#endif
