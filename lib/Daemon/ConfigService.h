#ifndef MARIGOLDSPOOL_LIB_DAEMON_CONFIGSERVICE_H
#define MARIGOLDSPOOL_LIB_DAEMON_CONFIGSERVICE_H

#include "Daemon/PeerService.h"
#include "Daemon/Runtime.h"
#include "marigoldspool/Config/ConfigReplica.h"
#include "marigoldspool/Config/ConfigStore.h"
#include "marigoldspool/Platform/Watcher.h"
#include "marigoldspool/Supervisor/Supervisor.h"
#include "marigoldspool/Support/PeriodicTimer.h"

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace marigoldspool {

/// Keeps this instance's configuration current: two instances of each zone watch the store, the
/// others receive versions and their confirmation from peers.
class ConfigService final : public Service, private PeerListener, private WatchListener
{
public:
    using ChangeHandler = std::function<void(std::shared_ptr<const Configuration>)>;

    ConfigService(Runtime &runtime, PeerService &peers);

    std::string_view name() const override { return "config"; }
    Expected<void> start() override;
    void stop(std::function<void()> stopped) override;

    /// Handlers are called in the order in which they were added.
    void addChangeHandler(ChangeHandler handler) { m_handlers.push_back(std::move(handler)); }
    const ConfigReplica &replica() const { return m_replica; }
    /// The active configuration; endpoints that the platform reports as leaving are marked Leaving.
    /// Never null.
    std::shared_ptr<const Configuration> current() const { return m_effective; }
    /// False until the first version is active.
    bool hasConfiguration() const { return m_replica.version() > 0; }

private:
    void onPeerMessage(const InstanceId &from, std::uint64_t incarnation,
                       const PeerMessage &message) override;
    void onPlatformList(gsl::span<const PlatformInstance> list) override;
    void onObject(const WatchEvent &event) override;
    void onConfirmed(std::uint64_t revision, SteadyTime asOf) override;
    void onHeartbeat(const InstanceId &from, const Heartbeat &heartbeat);
    void onTick();
    bool isWatcher() const;
    void fetch(SteadyTime asOf);
    void activate();
    void offer(std::uint64_t version, std::string_view rules, std::string_view source);

    Runtime &m_runtime;
    PeerService &m_peers;
    ConfigReplica m_replica;
    std::shared_ptr<const Configuration> m_effective;
    std::set<std::string> m_leavingEndpoints;
    Watcher m_watcher;
    bool m_watching = false;
    bool m_fetching = false;
    /// Version of the newest configuration root that the watch has reported.
    std::uint64_t m_newestRootVersion = 0;
    SteadyTime m_nextFetch;
    SteadyTime m_lastRequest;
    std::vector<ChangeHandler> m_handlers;
    PeriodicTimer m_timer;
};

} // namespace marigoldspool

#endif
