#ifndef MARIGOLDSPOOL_LIB_DAEMON_PLACEMENTSERVICE_H
#define MARIGOLDSPOOL_LIB_DAEMON_PLACEMENTSERVICE_H

#include "Daemon/ConfigService.h"
#include "Daemon/HomeService.h"
#include "Daemon/Runtime.h"
#include "marigoldspool/Placement/PlacementEngine.h"
#include "marigoldspool/Supervisor/Supervisor.h"
#include "marigoldspool/Support/PeriodicTimer.h"

#include <map>
#include <string>

namespace marigoldspool {

/// Executes the actions of the placement engine, such as store calls and orders to engines, and
/// polls the status of the engines in this instance's zone.
class PlacementService final : public Service
{
public:
    PlacementService(Runtime &runtime, ConfigService &config, PeerService &peers,
                     HomeService &home);

    std::string_view name() const override { return "placement"; }
    Expected<void> start() override;
    void stop(std::function<void()> stopped) override;

    const PlacementEngine &engine() const { return m_engine; }
    /// False when an engine of this zone has not answered its latest status calls.
    bool isReachable(const EndpointId &endpoint) const;

private:
    class StatusCall;
    class OrderCall;
    struct PollState {
        bool pending = false;
        SteadyTime nextAt;
        int consecutiveFailures = 0;
    };

    void handle(const PlacementEvent &event);
    void execute(const PlacementAction &action);
    void onTick();
    void pollEngines();
    void poll(const EndpointRule &rule);
    void onStatus(const EndpointId &endpoint, SteadyTime requestedAt, std::string_view body);
    void sendOrder(const EngineOrder &order);
    void refuseLoad(const LoadRefused &refused);
    void updateReplicas(const ModelName &model);
    Tick makeTick();

    Runtime &m_runtime;
    ConfigService &m_config;
    PeerService &m_peers;
    HomeService &m_home;
    PlacementEngine m_engine;
    std::unique_ptr<EndpointClient> m_client;
    std::map<EndpointId, PollState> m_polls;
    std::uint64_t m_nextCallId = 1;
    PeriodicTimer m_timer;
    SteadyTime m_nextTick;
};

} // namespace marigoldspool

#endif
